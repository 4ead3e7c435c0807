"""Resolves the adapter version or service that a request names.

All look-ups of one request use the same configuration tree and so the same offset.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from lentiltally.config import (
    AdapterConfig,
    ConfigTree,
    LimitsConfig,
    ServiceConfig,
    VersionConfig,
)
from lentiltally.decisions.work_queue import DEFERRABLE, INTERACTIVE, NON_IDEMPOTENT
from lentiltally.exchange import Answer, Exchange, Handler, Work
from lentiltally.ids import content_fingerprint
from lentiltally.pipeline.parse import SERVICE_PREFIX
from lentiltally.problems import Refusal

STEP = "resolve"
# Prompts that start with the same characters up to this length are likely to share a
# cached prefix.
PREFIX_CHARACTERS = 256
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
DEFAULT_MAX_TOKENS = 256


class ResolveFilter:
    """Resolves a request to a team and adapter version, or to a team and service."""

    def __init__(
        self, tree: Callable[[], ConfigTree | None], default_deadline_s: float
    ) -> None:
        """``tree`` returns the current configuration, None before the first is read.

        ``default_deadline_s`` applies to teams whose limits set no deadline.
        """
        self._tree = tree
        self._default_deadline_s = default_deadline_s

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on with its resolved work."""
        tree = self._tree()
        if tree is None:
            raise Refusal(
                503,
                "no-configuration",
                "the configuration has not been read yet",
                step=STEP,
                retry_after_s=1.0,
            )
        if exchange.document is not None:
            return next_handler(self._resolve_model(exchange, exchange.document, tree))
        return next_handler(self._resolve_service(exchange, tree))

    def _resolve_model(
        self, exchange: Exchange, document: dict[str, Any], tree: ConfigTree
    ) -> Exchange:
        team, adapter, version = _split_model(document["model"])
        adapter_config, version_config = _find_version(tree, team, adapter, version)
        limits = tree.limits(team)
        body = _engine_body(document, exchange.request.body)
        work = Work(
            kind="model",
            team=team,
            adapter=adapter,
            version=version,
            source=version_config.source,
            base_model=adapter_config.base_model,
            targets=(),
            path=exchange.request.path,
            stream=bool(document.get("stream")),
            is_idempotent=not adapter_config.non_idempotent,
            is_keyed=adapter_config.non_idempotent,
            criticality=_criticality(limits, adapter_config.non_idempotent),
            share=limits.share,
            max_concurrent=limits.max_concurrent,
            deadline_s=limits.deadline_s or self._default_deadline_s,
            config_offset=tree.offset,
            max_tokens=document.get("max_tokens") or DEFAULT_MAX_TOKENS,
            prefix_hash=_prefix_hash(team, adapter, document),
        )
        return msgspec.structs.replace(
            exchange,
            work=work,
            body=body,
            fingerprint=content_fingerprint(team, adapter, body),
        )

    def _resolve_service(self, exchange: Exchange, tree: ConfigTree) -> Exchange:
        request = exchange.request
        team, service, path = _split_service(request.path)
        service_config = tree.service(team, service) if team else None
        if service_config is None:
            raise Refusal(
                404, "no-such-service", f"no service {team}/{service}", step=STEP
            )
        limits = tree.limits(team)
        is_keyed = _is_declared_non_idempotent(service_config, request.method, path)
        work = Work(
            kind="service",
            team=team,
            adapter=service,
            version="",
            source="",
            base_model="",
            targets=service_config.targets,
            path=path + (f"?{request.query}" if request.query else ""),
            stream=False,
            is_idempotent=request.method in IDEMPOTENT_METHODS and not is_keyed,
            is_keyed=is_keyed,
            criticality=_criticality(limits, is_keyed),
            share=limits.share,
            max_concurrent=limits.max_concurrent,
            deadline_s=limits.deadline_s or self._default_deadline_s,
            config_offset=tree.offset,
            max_tokens=1,
            prefix_hash=0,
        )
        content = f"{request.method} {work.path}\n".encode() + request.body
        return msgspec.structs.replace(
            exchange,
            work=work,
            body=request.body,
            fingerprint=content_fingerprint(team, service, content),
        )


def _split_model(model: str) -> tuple[str, str, str]:
    team, slash, rest = model.partition("/")
    adapter, at_sign, version = rest.rpartition("@")
    if not (team and slash and adapter and at_sign and version):
        raise Refusal(
            400,
            "bad-model",
            "model must have the form team/adapter@version",
            step=STEP,
        )
    return team, adapter, version


def _find_version(
    tree: ConfigTree, team: str, adapter: str, version: str
) -> tuple[AdapterConfig, VersionConfig]:
    adapter_config = tree.adapter(team, adapter)
    if adapter_config is None:
        raise Refusal(404, "no-such-adapter", f"no adapter {team}/{adapter}", step=STEP)
    version_config = adapter_config.versions.get(version)
    if version_config is None:
        raise Refusal(
            404,
            "no-such-version",
            f"adapter {team}/{adapter} has no version {version}",
            step=STEP,
        )
    return adapter_config, version_config


def _split_service(path: str) -> tuple[str, str, str]:
    team, _, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
    service, slash, rest = rest.partition("/")
    return team, service, (slash + rest) or "/"


def _is_declared_non_idempotent(
    service_config: ServiceConfig, method: str, path: str
) -> bool:
    return any(
        rule.method == method and path.startswith(rule.path_prefix)
        for rule in service_config.non_idempotent
    )


def _criticality(limits: LimitsConfig, is_keyed: bool) -> int:
    if is_keyed:
        return NON_IDEMPOTENT
    return DEFERRABLE if limits.criticality == "deferrable" else INTERACTIVE


def _engine_body(document: dict[str, Any], body: bytes) -> bytes:
    """Return the body for the engine; callers may not set the engine's priority."""
    if "priority" not in document:
        return body
    return msgspec.json.encode({k: v for k, v in document.items() if k != "priority"})


def _prefix_hash(team: str, adapter: str, document: dict[str, Any]) -> int:
    text = document.get("prompt")
    if text is None:
        messages = document.get("messages")
        text = messages[0] if messages else ""
    prefix = str(text)[:PREFIX_CHARACTERS]
    return xxhash.xxh3_64_intdigest(f"{team}/{adapter}\n{prefix}".encode())
