"""Adapter slots, pins and orders of one target.

The agent is the only sender of load and unload orders. An adapter is pinned from
dequeue to the end of the answer, and a pinned adapter is never chosen for unloading.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass

from lentiltally.decisions.adapter_orders import (
    LoadNeeded,
    Order,
    OrderEffect,
    OrderKind,
    OrderOutcome,
    OrderResult,
    Pinned,
    PinResult,
    SlotsBusy,
    SlotState,
)

__all__ = [
    "FENCE_ADAPTER",
    "AdapterSlots",
    "LoadNeeded",
    "Order",
    "OrderEffect",
    "OrderKind",
    "OrderOutcome",
    "OrderResult",
    "PinResult",
    "Pinned",
    "SlotState",
    "SlotsBusy",
]


# Unloading a name that no adapter has changes nothing, but the engine notes the token.
FENCE_ADAPTER = "lentiltally-fence"


@dataclass(slots=True)
class _Slot:
    state: SlotState
    used: int = 0
    changed: int = 0
    order_id: int = 0
    # An unload whose answer was lost may still take effect, so the adapter is not
    # pinned again before an unload has been confirmed.
    must_unload: bool = False


class AdapterSlots:
    """The slots of one target and the orders that change them."""

    def __init__(
        self,
        slots: int,
        engine_incarnation: str = "",
        *,
        enforces_fencing: bool = False,
    ) -> None:
        """Start with no known adapters; the engine's list is needed first.

        An engine that enforces fencing learns a new token only from an order. Until
        then it would still obey a delayed order of the owner before, so the first
        order with a token is one without effect, and nothing is pinned before it.
        """
        self._enforces_fencing = enforces_fencing
        self._needs_fence = enforces_fencing
        self._fence_order_id: int | None = None
        self._fenced_token: int | None = None
        self._is_trusted = not enforces_fencing
        self._listing_needed_since = 0
        self._limit = slots
        self._engine_incarnation = engine_incarnation
        self._slots: dict[str, _Slot] = {}
        self._pins: dict[str, set[int]] = {}
        self._retired: set[str] = set()
        # When adapters were removed, so that an older list does not bring them back.
        self._removed: dict[str, int] = {}
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
    def needs_fence(self) -> bool:
        """Return whether the next order only makes the token known to the engine.

        Nothing is pinned until then, so ``next_order`` is called also if nothing waits
        for a load.
        """
        return self._needs_fence

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
        return len(self._pins.get(adapter, ()))

    def set_fencing_token(self, token: int | None) -> None:
        """Set the token of the orders; None stops all orders."""
        if token is not None and token != self._fenced_token:
            self._fenced_token = token
            self._require_fence()
        self._fencing_token = token

    def pin(self, adapter: str) -> PinResult:
        """Pin an adapter for one attempt if it is resident."""
        slot = self._slots.get(adapter)
        if not self._is_trusted:
            return LoadNeeded(adapter)
        if slot is not None:
            if slot.state is not SlotState.RESIDENT or slot.must_unload:
                return LoadNeeded(adapter)
            slot.used = self._tick()
            self._pins.setdefault(adapter, set()).add(slot.used)
            return Pinned(adapter, slot.used)
        if self._has_free_slot() or self._victim(()) is not None:
            return LoadNeeded(adapter)
        return SlotsBusy(adapter)

    def unpin(self, pin: Pinned) -> None:
        """End one pin; every pin must be ended, also one that became void."""
        pins = self._pins.get(pin.adapter, set())
        pins.discard(pin.pin_id)
        if not pins:
            self._pins.pop(pin.adapter, None)
        slot = self._slots.get(pin.adapter)
        if slot is not None:
            slot.used = self._tick()

    def retire(self, adapter: str) -> None:
        """Mark an adapter that configuration no longer has; pins still protect it."""
        self._retired.add(adapter)

    def unretire(self, adapter: str) -> None:
        """Undo the mark of an adapter that configuration has again."""
        self._retired.discard(adapter)

    def next_order(self, wanted: Sequence[str]) -> Order | None:
        """Return the next order, or None if there is nothing to do or to send.

        ``wanted`` are the adapters the queue waits for, the most urgent first. No
        order is given without a fencing token or before the engine's list is read.
        """
        if self._fencing_token is None:
            return None
        if self._needs_fence:
            return self._fence()
        if self._needs_listing or not self._is_trusted:
            return None
        overdue = self._overdue(wanted)
        if overdue is not None:
            return self._order(OrderKind.UNLOAD, overdue)
        return self._replacement(wanted)

    def order_answered(
        self, order_id: int, outcome: OrderOutcome
    ) -> OrderResult | None:
        """Apply the end of an order; None if it belongs to an earlier engine run."""
        order = self._orders.pop(order_id, None)
        if order is None:
            return None
        if order.adapter == FENCE_ADAPTER:
            self._fence_answered(order_id, outcome)
            return None
        slot = self._slots[order.adapter]
        slot.changed = self._tick()
        slot.order_id = 0
        if outcome is OrderOutcome.ANSWER_LOST:
            slot.state = SlotState.UNKNOWN
            self._require_listing()
            return OrderResult(order.adapter, OrderEffect.UNKNOWN)
        if outcome is OrderOutcome.FENCED:
            self._fencing_token = None
        if order.kind is OrderKind.LOAD:
            return self._load_ended(order.adapter, slot, outcome)
        return self._unload_ended(order.adapter, slot, outcome)

    def engine_restarted(self, incarnation: str) -> list[str]:
        """Forget the slots of the earlier run; return adapters with void pins.

        The requests that hold them have lost their adapter and must be ended. Until
        they are, the adapter is not unloaded: a request sent just before the restart
        was noticed may run on the new engine run.
        """
        void = list(self._pins)
        self._slots.clear()
        self._removed.clear()
        self._orders.clear()
        self._engine_incarnation = incarnation
        self._require_fence()
        self._require_listing()
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
                void += [name] if name in self._pins else []
                del self._slots[name]
        self._add_listed(adapters, since)
        self._removed = {n: at for n, at in self._removed.items() if at > since}
        if since >= self._listing_needed_since:
            self._needs_listing = False
            self._is_trusted = not self._needs_fence
        return void

    def _add_listed(self, adapters: Iterable[str], since: int) -> None:
        for name in adapters:
            slot = self._slots.get(name)
            if slot is None and self._removed.get(name, 0) > since:
                continue
            if slot is None:
                slot = self._slots[name] = _Slot(SlotState.UNKNOWN)
            if self._is_settled(name, since) and slot.state is SlotState.UNKNOWN:
                slot.state = SlotState.RESIDENT
                slot.changed = self._tick()

    def _is_settled(self, name: str, since: int) -> bool:
        slot = self._slots[name]
        return slot.order_id == 0 and slot.changed <= since

    def _remove(self, adapter: str) -> None:
        del self._slots[adapter]
        self._removed[adapter] = self._tick()

    def _require_listing(self) -> None:
        """Ask for a list that is requested after this moment."""
        self._needs_listing = True
        self._listing_needed_since = self._tick()

    def _require_fence(self) -> None:
        if self._enforces_fencing:
            self._needs_fence = True
            self._is_trusted = False
            self._fence_order_id = None

    def _fence(self) -> Order | None:
        if self._fence_order_id in self._orders:
            return None
        order = self._new_order(OrderKind.UNLOAD, FENCE_ADAPTER)
        self._fence_order_id = order.order_id
        return order

    def _fence_answered(self, order_id: int, outcome: OrderOutcome) -> None:
        if order_id != self._fence_order_id:
            return
        self._fence_order_id = None
        if outcome is OrderOutcome.FENCED:
            self._fencing_token = None
        elif outcome is not OrderOutcome.ANSWER_LOST:
            self._needs_fence = False
            self._require_listing()

    def _load_ended(
        self, adapter: str, slot: _Slot, outcome: OrderOutcome
    ) -> OrderResult:
        if outcome is OrderOutcome.DONE:
            slot.state = SlotState.RESIDENT
            slot.used = self._tick()
            return OrderResult(adapter, OrderEffect.LOADED)
        self._remove(adapter)
        # A failed load may mean that the engine holds adapters we do not know of.
        self._require_listing()
        return OrderResult(adapter, OrderEffect.LOAD_FAILED)

    def _unload_ended(
        self, adapter: str, slot: _Slot, outcome: OrderOutcome
    ) -> OrderResult:
        if outcome is OrderOutcome.DONE:
            self._remove(adapter)
            self._retired.discard(adapter)
            return OrderResult(adapter, OrderEffect.UNLOADED)
        slot.state = SlotState.UNKNOWN
        self._require_listing()
        return OrderResult(adapter, OrderEffect.UNLOAD_FAILED)

    def _replacement(self, wanted: Sequence[str]) -> Order | None:
        missing = [adapter for adapter in wanted if adapter not in self._slots]
        if not missing:
            return None
        if self._has_free_slot():
            return self._order(OrderKind.LOAD, missing[0])
        victim = self._victim(wanted)
        if victim is None or self._unloading() >= len(set(missing)):
            return None
        return self._order(OrderKind.UNLOAD, victim)

    def _new_order(self, kind: OrderKind, adapter: str) -> Order:
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
        return order

    def _order(self, kind: OrderKind, adapter: str) -> Order:
        order = self._new_order(kind, adapter)
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
            if slot.state is not SlotState.RESIDENT or name in self._pins:
                continue
            if slot.must_unload or (name in self._retired and name not in wanted):
                return name
        return None

    def _victim(self, wanted: Sequence[str]) -> str | None:
        """Return the least recently used adapter without pins that nobody waits for."""
        candidates = [
            (slot.used, name)
            for name, slot in self._slots.items()
            if slot.state is SlotState.RESIDENT
            and name not in self._pins
            and name not in wanted
        ]
        return min(candidates)[1] if candidates else None

    def _tick(self) -> int:
        self._change_count += 1
        return self._change_count
