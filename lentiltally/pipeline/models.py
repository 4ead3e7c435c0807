"""Answers ``GET /v1/models`` from the configuration."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lentiltally.config import AdapterConfig, ConfigTree
from lentiltally.exchange import JSON, Answer, Exchange, Handler
from lentiltally.problems import Refusal

MODELS_PATH = "/v1/models"


class _Model(msgspec.Struct, frozen=True):
    """One model in the OpenAI format."""

    id: str
    owned_by: str
    root: str
    object: str = "model"
    created: int = 0


class _ModelList(msgspec.Struct, frozen=True):
    """The list of models in the OpenAI format."""

    data: list[_Model]
    object: str = "list"


class ModelsFilter:
    """Lists every adapter version as the model name that callers send."""

    def __init__(self, tree: Callable[[], ConfigTree | None]) -> None:
        """``tree`` returns the current configuration, None before the first is read."""
        self._tree = tree

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Answer with the list, or pass any other request on."""
        if exchange.request.path != MODELS_PATH:
            return next_handler(exchange)
        tree = self._tree()
        if tree is None:
            raise Refusal(
                503,
                "no-configuration",
                "the configuration has not been read yet",
                step="models",
                retry_after_s=1.0,
            )
        body = msgspec.json.encode(_ModelList(_models(tree)))
        headers = (
            ("Content-Type", JSON),
            ("Lentiltally-Config-Offset", str(tree.offset)),
        )
        return Answer(200, headers, body)


def _models(tree: ConfigTree) -> list[_Model]:
    models = []
    for item in tree.list("/teams"):
        if isinstance(item.entry.value, AdapterConfig):
            _, _, team, _, adapter = item.path.split("/")
            models += [
                _Model(f"{team}/{adapter}@{version}", team, item.entry.value.base_model)
                for version in sorted(item.entry.value.versions)
            ]
    return models
