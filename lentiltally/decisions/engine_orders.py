"""State reports of a model engine, orders to it, and requests for its adapters."""

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
    """An adapter that is loaded on the engine; version 0 means unknown."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A base model that is loaded on the engine, and its loaded adapters."""

    name: str
    adapters: tuple[LoadedAdapter, ...]


@dataclass(frozen=True, slots=True)
class EngineReport:
    """State that a model engine reports about itself.

    ``started_ms`` is the start time of the engine in milliseconds; it changes with
    every restart. ``instance`` is the instance id of the engine, None if unknown.
    ``sequence`` counts the orders that the engine has accepted since its start. While
    ``is_busy``, the engine gets no orders. ``running`` and ``waiting`` count requests;
    the ``cache`` fields are the used and the total size of the KV cache. ``loading``
    are adapters that are being loaded from the weight store, as ``model/adapter``.
    ``rate_limit_per_s`` is how many requests a second the engine takes from all hosts
    together, None if it names no limit.
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
    loading: tuple[str, ...] = ()
    rate_limit_per_s: float | None = None


class EngineOrderKind(enum.Enum):
    """Whether an order loads or unloads."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load or unload a base model or an adapter.

    ``adapter`` is empty if the order concerns the base model itself. ``version`` is
    the adapter version to load; None leaves it to the engine. The engine carries the
    order out only if its own sequence number equals ``expected_sequence``.
    """

    kind: EngineOrderKind
    model: str
    adapter: str
    version: int | None
    expected_sequence: int
    reason: str


@dataclass(frozen=True, slots=True)
class AdapterRequest:
    """A request that needs a base model, and usually an adapter of it, on this engine.

    ``adapter`` is empty if only the base model is needed. ``rank`` 0 is the most
    urgent. All times are in seconds on the agent's monotonic clock: ``since_s`` is
    when the agent received the request. A request that still waits at
    ``wait_deadline_s`` is declined, or granted if its adapter is loaded and only
    prefill pacing has kept it waiting. At ``expires_s`` it is dropped. Its latency
    objective is met if its prefill has finished by ``objective_deadline_s``.
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
        """Return ``model/adapter``, or the model alone if no adapter is needed."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class AdapterRequestState(enum.Enum):
    """Outcome of an adapter request; ``NO_ENGINE`` if the engine is unresponsive."""

    GRANTED = "granted"
    DECLINED = "declined"
    NO_ENGINE = "no engine"


@dataclass(frozen=True, slots=True)
class AdapterRequestResult:
    """Outcome of one adapter request.

    A granted request pins its adapter until the request is released. ``version`` is
    that of the loaded adapter, 0 if unknown or not granted. ``wait_s`` is how long a
    request that the engine's limit declines would have waited.
    """

    request: AdapterRequest
    state: AdapterRequestState
    version: int
    reason: str
    wait_s: float = 0.0
