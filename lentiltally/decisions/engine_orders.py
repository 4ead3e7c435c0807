"""What an engine reports and can be ordered to do, and what requests want of it."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass

__all__ = [
    "AdapterRequest",
    "EngineOrder",
    "EngineOrderKind",
    "EngineReport",
    "LoadedAdapter",
    "LoadedModel",
    "AdapterRequestResult",
    "AdapterRequestState",
]


@dataclass(frozen=True, slots=True)
class LoadedAdapter:
    """An adapter that the engine holds; version 0 is unknown."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A base model that the engine holds, with its adapters."""

    name: str
    adapters: tuple[LoadedAdapter, ...]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What the engine says of itself.

    ``sequence`` counts the orders it accepted since its start. ``coming`` are adapters
    on their way from the weight store, as ``model/adapter``.
    """

    started_ms: int
    instance: str | None
    sequence: int
    is_busy: bool
    running: int
    waiting: int
    cache_used_tokens: int
    cache_total_tokens: int
    models: tuple[LoadedModel, ...]
    coming: tuple[str, ...] = ()


class EngineOrderKind(enum.Enum):
    """What an order asks for."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to the engine; ``adapter`` is empty for the base model itself."""

    kind: EngineOrderKind
    model: str
    adapter: str
    version: int | None
    expected_sequence: int
    reason: str


@dataclass(frozen=True, slots=True)
class AdapterRequest:
    """A request that needs a model, and mostly an adapter of it, on this engine.

    It is declined after ``patience_until_s``, and forgotten after ``expires_s``. Its
    caller is served in time if its prompt is read before ``objective_until_s``.
    """

    request_id: str
    model: str
    adapter: str
    rank: int
    since_s: float
    wait_deadline_s: float
    expires_s: float
    prompt_tokens: int = 0
    objective_deadline_s: float = math.inf

    @property
    def key(self) -> str:
        """Return model and adapter as one string."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class AdapterRequestState(enum.Enum):
    """What became of a want; ``NO_ENGINE`` while the engine does not answer."""

    GRANTED = "granted"
    DECLINED = "declined"
    NO_ENGINE = "no engine"


@dataclass(frozen=True, slots=True)
class AdapterRequestResult:
    """The answer to a want; a granted one holds its adapter until it is released."""

    request: AdapterRequest
    state: AdapterRequestState
    version: int
    reason: str
