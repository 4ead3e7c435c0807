"""Load and unload orders, their outcomes, and the results of pinning an adapter."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class SlotState(enum.Enum):
    """State of an adapter on the engine, as far as the agent knows.

    It is ``UNKNOWN`` after an order whose answer was lost or an unload that failed,
    until the engine has listed its adapters again.
    """

    ABSENT = "absent"
    LOADING = "loading"
    LOADED = "resident"
    UNLOADING = "unloading"
    UNKNOWN = "unknown"


class OrderKind(enum.Enum):
    """Whether an order loads or unloads an adapter."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.Enum):
    """How an order ended.

    ``ANSWER_LOST`` means that the engine may or may not have carried it out;
    ``FENCED`` that it rejected the order because of a newer fencing token.
    """

    DONE = "done"
    FAILED = "failed"
    ANSWER_LOST = "answer lost"
    FENCED = "fenced"


class OrderEffect(enum.Enum):
    """What the outcome of an order means for work that waits for the adapter."""

    LOADED = "loaded"
    LOAD_FAILED = "load failed"
    UNLOADED = "unloaded"
    UNLOAD_FAILED = "unload failed"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Pinned:
    """The adapter is loaded and pinned; ``pin_id`` identifies this pin."""

    adapter: str
    pin_id: int


@dataclass(frozen=True, slots=True)
class LoadNeeded:
    """The adapter can't be pinned yet; a load is possible or in progress."""

    adapter: str


@dataclass(frozen=True, slots=True)
class SlotsBusy:
    """Every slot is pinned or has an order in progress, so no load is possible now."""

    adapter: str


PinResult = Pinned | LoadNeeded | SlotsBusy


@dataclass(frozen=True, slots=True)
class Order:
    """One load or unload order to the engine."""

    order_id: int
    kind: OrderKind
    adapter: str
    fencing_token: int
    engine_incarnation: str


@dataclass(frozen=True, slots=True)
class OrderResult:
    """The effect of a finished order on one adapter."""

    adapter: str
    effect: OrderEffect
