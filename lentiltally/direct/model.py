"""Data types of the direct path, independent of any wire format."""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lentiltally.decisions.account_table import AccountTable

__all__ = [
    "AccountLimit",
    "AdapterNotice",
    "CallerLimits",
    "ClientAccount",
    "DesiredState",
    "EngineSpec",
    "LimitUnit",
    "ModelSpec",
    "Route",
    "RouteKind",
    "Service",
    "TargetRecord",
    "TargetStage",
    "WeightedService",
]


class RouteKind(enum.Enum):
    """Whether the requests of a route are idempotent, and whether answers are streams.

    A stream is idempotent only if its route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route's requests are split by weight."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route of the desired state.

    ``timeout_s`` bounds the time from a request's arrival to the end of its answer.
    ``objective_s`` is the latency objective of an answer, ``max_gap_s`` the longest
    inter-token latency of a stream that is still on time. ``rank`` is the priority
    class; 0 is the most urgent. ``max_targets`` bounds how many targets may run one
    request. ``is_resumable`` says that a broken stream can continue at another target.
    Requests of a route that ``is_public`` need no key of a client account.
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
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may be executed more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A base model that the engines of a service can load.

    ``weights_mb`` and ``adapter_mb`` are the memory for its weights and for each of its
    adapters, ``load_s`` is the time to load it.
    """

    name: str
    weights_mb: float
    load_s: float
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each model engine of a service.

    ``batch_slots`` bounds the requests that run at once, ``cache_tokens`` the KV cache,
    ``adapter_slots`` the loaded adapters and ``weights_mb`` the memory that models and
    adapters share.
    """

    batch_slots: int
    cache_tokens: int
    adapter_slots: int
    weights_mb: float
    models: tuple[ModelSpec, ...]


@dataclass(frozen=True, slots=True)
class Service:
    """A group of equivalent targets; ``engine`` is None for plain services.

    ``max_connections`` is read from the configuration but not used.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time to send them.

    ``header_timeout_s`` is the limit for a head, and once more for the body after it.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0

    def or_larger(self, other: CallerLimits) -> CallerLimits:
        """Return the larger of each of these limits and another's."""
        if other is self:
            return self
        return CallerLimits(
            max(self.header_bytes, other.header_bytes),
            max(self.body_bytes, other.body_bytes),
            max(self.header_timeout_s, other.header_timeout_s),
            max(self.idle_timeout_s, other.idle_timeout_s),
        )


class LimitUnit(enum.Enum):
    """What the limit of a client account counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class AccountLimit:
    """The rate limit of a client account, over all entries together.

    ``rate_per_s`` and ``burst`` count requests or tokens, as ``unit`` says. With
    tokens, a request costs its prompt and the longest answer that it allows;
    ``default_cost`` is the cost of a request that does not name them.
    """

    rate_per_s: float
    burst: float
    unit: LimitUnit = LimitUnit.REQUESTS
    default_cost: int = 1


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, whose callers identify themselves by its keys.

    ``rank`` is its priority class, 0 the most urgent, and goes before the rank of a
    route; None if it has none. ``limit`` is None if its rate is not limited.
    """

    name: str
    rank: int | None = None
    limit: AccountLimit | None = None


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One complete version of the operators' configuration.

    ``accounts`` is None if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: AccountTable | None = None


@dataclass(frozen=True, slots=True)
class AdapterNotice:
    """Announces a new version of an adapter."""

    model: str
    adapter: str
    version: int


class TargetStage(enum.Enum):
    """The availability of a target, as it announces it.

    A draining target takes no new work.
    """

    READY = "ready"
    DRAINING = "leaving"


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """A target's record in the list of targets.

    ``started_ms`` and ``sequence`` order the records of one target: a target that
    restarts under the same id has a later start, and the sequence counts the records of
    one run. ``concurrency_limit`` is how many requests the target runs at once.
    ``slow_start_left_s`` is how long it still runs slower after its start.
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

    @property
    def ip(self) -> str:
        """Return the IP number of the target's host, at which its agent listens too."""
        return self.address.rpartition(":")[0]
