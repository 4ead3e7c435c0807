"""Adapter slots, pins and orders of one target.

The agent is the only sender of load and unload orders. An adapter is pinned from
dequeue to the end of the answer, and a pinned adapter is never chosen for unloading.
"""

from __future__ import annotations

import enum
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field


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


@dataclass(slots=True)
class _Slot:
    state: SlotState
    pins: set[int] = field(default_factory=set)
    used: int = 0
    changed: int = 0
    order_id: int = 0
    # An unload whose answer was lost may still take effect, so the adapter is not
    # pinned again before an unload has been confirmed.
    must_unload: bool = False


class AdapterSlots:
    """The slots of one target and the orders that change them."""

    def __init__(self, slots: int, engine_incarnation: str = "") -> None:
        """Start with no known adapters; the engine's list is needed first."""
        self._limit = slots
        self._engine_incarnation = engine_incarnation
        self._slots: dict[str, _Slot] = {}
        self._retired: set[str] = set()
        self._orders: dict[int, Order] = {}
        self._order_count = 0
        self._change_count = 0
        self._fencing_token: int | None = None
        self._needs_listing = True

    @property
    def engine_incarnation(self) -> str:
        """Return the engine incarnation that the slots describe."""
        return self._engine_incarnation

    @property
    def needs_listing(self) -> bool:
        """Return whether the engine's list of adapters must be read."""
        return self._needs_listing

    @property
    def limit(self) -> int:
        """Return the number of slots."""
        return self._limit

    @property
    def resident(self) -> frozenset[str]:
        """Return the adapters that are certainly loaded."""
        return frozenset(
            name
            for name, slot in self._slots.items()
            if slot.state is SlotState.RESIDENT and not slot.must_unload
        )

    def state(self, adapter: str) -> SlotState:
        """Return what is known of an adapter."""
        slot = self._slots.get(adapter)
        return SlotState.ABSENT if slot is None else slot.state

    def pins(self, adapter: str) -> int:
        """Return the number of pins of an adapter."""
        slot = self._slots.get(adapter)
        return 0 if slot is None else len(slot.pins)

    def set_fencing_token(self, token: int | None) -> None:
        """Set the token of the orders; None stops all orders."""
        self._fencing_token = token

    def pin(self, adapter: str) -> PinResult:
        """Pin an adapter for one attempt if it is resident."""
        slot = self._slots.get(adapter)
        if slot is not None:
            if slot.state is not SlotState.RESIDENT or slot.must_unload:
                return LoadNeeded(adapter)
            slot.used = self._tick()
            slot.pins.add(slot.used)
            return Pinned(adapter, slot.used)
        if self._has_free_slot() or self._victim(()) is not None:
            return LoadNeeded(adapter)
        return SlotsBusy(adapter)

    def unpin(self, pin: Pinned) -> None:
        """End one pin.

        A pin that became void has no effect, also if the adapter was loaded and pinned
        again by others.
        """
        slot = self._slots.get(pin.adapter)
        if slot is not None and pin.pin_id in slot.pins:
            slot.pins.remove(pin.pin_id)
            slot.used = self._tick()

    def retire(self, adapter: str) -> None:
        """Mark an adapter that configuration no longer has; pins still protect it."""
        self._retired.add(adapter)

    def configured(self, adapter: str) -> None:
        """Undo the mark of an adapter that configuration has again."""
        self._retired.discard(adapter)

    def next_order(self, wanted: Sequence[str]) -> Order | None:
        """Return the next order, or None if there is nothing to do or to send.

        ``wanted`` are the adapters the queue waits for, the most urgent first. No
        order is given without a fencing token or before the engine's list is read.
        """
        if self._fencing_token is None or self._needs_listing:
            return None
        overdue = self._overdue(wanted)
        if overdue is not None:
            return self._order(OrderKind.UNLOAD, overdue)
        missing = [adapter for adapter in wanted if adapter not in self._slots]
        if not missing:
            return None
        if self._has_free_slot():
            return self._order(OrderKind.LOAD, missing[0])
        if self._unloading() >= len(set(missing)):
            return None
        victim = self._victim(wanted)
        return None if victim is None else self._order(OrderKind.UNLOAD, victim)

    def order_answered(
        self, order_id: int, outcome: OrderOutcome
    ) -> OrderResult | None:
        """Apply the end of an order; None if it belongs to an earlier engine run."""
        order = self._orders.pop(order_id, None)
        if order is None:
            return None
        slot = self._slots[order.adapter]
        slot.changed = self._tick()
        slot.order_id = 0
        if outcome is OrderOutcome.ANSWER_LOST:
            slot.state = SlotState.UNKNOWN
            self._needs_listing = True
            return OrderResult(order.adapter, OrderEffect.UNKNOWN)
        if outcome is OrderOutcome.FENCED:
            self._fencing_token = None
        if order.kind is OrderKind.LOAD:
            return self._load_ended(order.adapter, slot, outcome)
        return self._unload_ended(order.adapter, slot, outcome)

    def engine_restarted(self, incarnation: str) -> list[str]:
        """Forget everything about the earlier run; return adapters with void pins."""
        void = [name for name, slot in self._slots.items() if slot.pins]
        self._slots.clear()
        self._orders.clear()
        self._engine_incarnation = incarnation
        self._needs_listing = True
        return void

    def listing_started(self) -> int:
        """Return a mark for ``engine_listed``, taken before the list is requested."""
        return self._change_count

    def engine_listed(
        self, incarnation: str, adapters: Collection[str], mark: int | None = None
    ) -> list[str]:
        """Apply the engine's own list; return adapters whose pins became void.

        Slots under an order, or changed since ``mark``, are left as they are, because
        the list may be older than their last change.
        """
        void: list[str] = []
        if incarnation != self._engine_incarnation:
            void = self.engine_restarted(incarnation)
        since = self._change_count if mark is None else mark
        for name in list(self._slots):
            if self._is_settled(name, since) and name not in adapters:
                void += [name] if self._slots[name].pins else []
                del self._slots[name]
        self._add_listed(adapters, since)
        self._needs_listing = any(
            slot.state is SlotState.UNKNOWN for slot in self._slots.values()
        )
        return void

    def _add_listed(self, adapters: Iterable[str], since: int) -> None:
        for name in adapters:
            slot = self._slots.get(name)
            if slot is None:
                slot = self._slots[name] = _Slot(SlotState.UNKNOWN)
            if self._is_settled(name, since) and slot.state is SlotState.UNKNOWN:
                slot.state = SlotState.RESIDENT
                slot.changed = self._tick()

    def _is_settled(self, name: str, since: int) -> bool:
        slot = self._slots[name]
        return slot.order_id == 0 and slot.changed <= since

    def _load_ended(
        self, adapter: str, slot: _Slot, outcome: OrderOutcome
    ) -> OrderResult:
        if outcome is OrderOutcome.DONE:
            slot.state = SlotState.RESIDENT
            slot.used = self._tick()
            return OrderResult(adapter, OrderEffect.LOADED)
        del self._slots[adapter]
        # A failed load may mean that the engine holds adapters we do not know of.
        self._needs_listing = True
        return OrderResult(adapter, OrderEffect.LOAD_FAILED)

    def _unload_ended(
        self, adapter: str, slot: _Slot, outcome: OrderOutcome
    ) -> OrderResult:
        if outcome is OrderOutcome.DONE:
            del self._slots[adapter]
            self._retired.discard(adapter)
            return OrderResult(adapter, OrderEffect.UNLOADED)
        slot.state = SlotState.UNKNOWN
        self._needs_listing = True
        return OrderResult(adapter, OrderEffect.UNLOAD_FAILED)

    def _order(self, kind: OrderKind, adapter: str) -> Order:
        assert self._fencing_token is not None
        self._order_count += 1
        order = Order(
            self._order_count,
            kind,
            adapter,
            self._fencing_token,
            self._engine_incarnation,
        )
        self._orders[order.order_id] = order
        is_load = kind is OrderKind.LOAD
        slot = self._slots.setdefault(adapter, _Slot(SlotState.LOADING))
        slot.state = SlotState.LOADING if is_load else SlotState.UNLOADING
        slot.must_unload = not is_load
        slot.order_id = order.order_id
        slot.changed = self._tick()
        return order

    def _has_free_slot(self) -> bool:
        return len(self._slots) < self._limit

    def _unloading(self) -> int:
        return sum(s.state is SlotState.UNLOADING for s in self._slots.values())

    def _overdue(self, wanted: Sequence[str]) -> str | None:
        """Return an adapter to unload whether or not a slot is wanted."""
        for name, slot in self._slots.items():
            if slot.state is not SlotState.RESIDENT or slot.pins:
                continue
            if slot.must_unload or (name in self._retired and name not in wanted):
                return name
        return None

    def _victim(self, wanted: Sequence[str]) -> str | None:
        """Return the least recently used adapter without pins that nobody waits for."""
        candidates = [
            (slot.used, name)
            for name, slot in self._slots.items()
            if slot.state is SlotState.RESIDENT and not slot.pins and name not in wanted
        ]
        return min(candidates)[1] if candidates else None

    def _tick(self) -> int:
        self._change_count += 1
        return self._change_count
