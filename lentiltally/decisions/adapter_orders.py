"""Orders for adapter slots, their outcomes and the answers to a pin."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class SlotState(enum.Enum):
    """State of an adapter at the engine, as far as the agent knows."""

    ABSENT = "absent"
    LOADING = "loading"
    RESIDENT = "resident"
    UNLOADING = "unloading"
    UNKNOWN = "unknown"


class OrderKind(enum.Enum):
    """The two orders an engine accepts for adapters."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.Enum):
    """How an order ended."""

    DONE = "done"
    FAILED = "failed"
    ANSWER_LOST = "answer lost"
    FENCED = "fenced"


class OrderEffect(enum.Enum):
    """What the end of an order means for the work that waits for the adapter."""

    LOADED = "loaded"
    LOAD_FAILED = "load failed"
    UNLOADED = "unloaded"
    UNLOAD_FAILED = "unload failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Pinned:
    """The adapter is resident and pinned; ``pin_id`` tells this pin from all others."""

    adapter: str
    pin_id: int


@dataclass(frozen=True, slots=True)
class LoadNeeded:
    """The adapter is not resident; a load is possible or under way."""

    adapter: str


@dataclass(frozen=True, slots=True)
class SlotsBusy:
    """Every slot is pinned or under an order, so no load is possible now."""

    adapter: str


PinResult = Pinned | LoadNeeded | SlotsBusy


@dataclass(frozen=True, slots=True)
class Order:
    """One load or unload order for the engine."""

    order_id: int
    kind: OrderKind
    adapter: str
    fencing_token: int
    engine_incarnation: str


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The effect of an answered order on one adapter."""

    adapter: str
    effect: OrderEffect
