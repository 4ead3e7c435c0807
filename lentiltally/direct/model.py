"""Values that the direct path works with, free of any wire format."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = [
    "AdapterNotice",
    "CallerLimits",
    "DesiredState",
    "EngineSpec",
    "ModelSpec",
    "Route",
    "RouteKind",
    "Service",
    "TargetRecord",
    "TargetStage",
    "WeightedService",
]


class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are divided."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the desired state.

    ``rank`` 0 is the most urgent. ``max_targets`` bounds how many targets may run one
    caller's attempt. ``objective_s`` is the time within which an answer is worth most,
    ``max_gap_s`` the longest pause of a stream that is still on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    rank: int
    services: tuple[WeightedService, ...]
    max_targets: int
    is_resumable: bool
    max_gap_s: float

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model that the engines of a service may hold."""

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What the model engines of a service can hold and run."""

    batch_slots: int
    cache_tokens: int
    adapter_slots: int
    weights_mb: float
    models: tuple[ModelSpec, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of interchangeable targets; ``engine`` is None for plain services."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the operators' configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class AdapterNotice:
    """A newer version of an adapter was declared."""

    model: str
    adapter: str
    version: int


class TargetStage(enum.Enum):
    """What a target says of its own availability."""

    READY = "ready"
    DRAINING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What the list of targets says of one target.

    ``started_ms`` and ``sequence`` order the records of one target: a restart under the
    same id has a later start, and the sequence counts up within a start.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    concurrency_limit: int
    stage: TargetStage
    started_ms: int
    sequence: int
    slow_start_left_s: float = 0.0
