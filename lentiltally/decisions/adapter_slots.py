"""Adapter slots of one target: which adapters are loaded, pinned or to be evicted.

The agent is the only sender of load and unload orders. A request pins its adapter from
the time it leaves the queue to the end of its answer, and a pinned adapter is never
unloaded.
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


# Unloading a name that no adapter has changes nothing, but tells the engine the token.
FENCE_ADAPTER = "lentiltally-fence"


@dataclass(slots=True)
class _Slot:
    state: SlotState
    # Logical times, see AdapterSlots._next_time.
    last_use: int = 0
    last_change: int = 0
    # The order in progress, 0 if there is none.
    order_id: int = 0
    # An unload whose answer was lost may still take effect, so the adapter is not
    # pinned again before an unload is confirmed.
    must_unload: bool = False


class AdapterSlots:
    """The adapter slots of one target and the orders that change them."""

    def __init__(
        self,
        slots: int,
        engine_incarnation: str = "",
        *,
        enforces_fencing: bool = False,
    ) -> None:
        """Start without known adapters; the engine has to list them first.

        An engine that enforces fencing learns a new fencing token only from an order.
        Until then it would still carry out a delayed order of the previous owner.
        Therefore the first order with a new token is a fence, an order without effect,
        and nothing is pinned before the engine has answered it.
        """
        self._enforces_fencing = enforces_fencing
        self._needs_fence = enforces_fencing
        self._fence_order_id: int | None = None
        self._announced_token: int | None = None
        # Whether the engine has answered the fence and listed its adapters since, so
        # that no delayed order of a previous owner can change them any more.
        self._is_trusted = not enforces_fencing
        self._listing_needed_since = 0
        self._slot_count = slots
        self._engine_incarnation = engine_incarnation
        self._slots: dict[str, _Slot] = {}
        self._pins: dict[str, set[int]] = {}
        self._retired: set[str] = set()
        # Logical times of removals, so that an older list does not restore an adapter.
        self._removed_at: dict[str, int] = {}
        self._orders: dict[int, Order] = {}
        self._order_count = 0
        self._logical_time = 0
        self._fencing_token: int | None = None
        self._needs_listing = True

    @property
    def engine_incarnation(self) -> str:
        """Return the engine incarnation that the slots describe."""
        return self._engine_incarnation

    @property
    def needs_listing(self) -> bool:
        """Return whether the engine has to list its adapters."""
        return self._needs_listing

    @property
    def limit(self) -> int:
        """Return the number of slots."""
        return self._slot_count

    @property
    def needs_fence(self) -> bool:
        """Return whether the next order is a fence that tells the engine the token.

        Nothing can be pinned before, so ``next_order`` has to be called even if no work
        waits for a load.
        """
        return self._needs_fence

    @property
    def loaded_adapters(self) -> frozenset[str]:
        """Return the adapters that are known to be loaded."""
        return frozenset(
            name
            for name, slot in self._slots.items()
            if slot.state is SlotState.LOADED and not slot.must_unload
        )

    def state(self, adapter: str) -> SlotState:
        """Return the known state of an adapter."""
        slot = self._slots.get(adapter)
        return SlotState.ABSENT if slot is None else slot.state

    def pins(self, adapter: str) -> int:
        """Return the number of pins of an adapter."""
        return len(self._pins.get(adapter, ()))

    def set_fencing_token(self, token: int | None) -> None:
        """Set the fencing token of the orders; None stops all orders."""
        if token is not None and token != self._announced_token:
            self._announced_token = token
            self._require_fence()
        self._fencing_token = token

    def pin(self, adapter: str) -> PinResult:
        """Pin an adapter for one attempt if it is loaded."""
        slot = self._slots.get(adapter)
        if not self._is_trusted:
            return LoadNeeded(adapter)
        if slot is not None:
            if slot.state is not SlotState.LOADED or slot.must_unload:
                return LoadNeeded(adapter)
            slot.last_use = self._next_time()
            self._pins.setdefault(adapter, set()).add(slot.last_use)
            return Pinned(adapter, slot.last_use)
        if self._has_free_slot() or self._victim(()) is not None:
            return LoadNeeded(adapter)
        return SlotsBusy(adapter)

    def unpin(self, pin: Pinned) -> None:
        """Remove a pin; every pin must be removed, also after an engine restart."""
        pins = self._pins.get(pin.adapter, set())
        pins.discard(pin.pin_id)
        if not pins:
            self._pins.pop(pin.adapter, None)
        slot = self._slots.get(pin.adapter)
        if slot is not None:
            slot.last_use = self._next_time()

    def retire(self, adapter: str) -> None:
        """Mark an adapter as no longer configured; it is unloaded once unused."""
        self._retired.add(adapter)

    def unretire(self, adapter: str) -> None:
        """Undo ``retire`` for an adapter that is configured again."""
        self._retired.discard(adapter)

    def next_order(self, wanted: Sequence[str]) -> Order | None:
        """Return the next order, or None if none is needed or possible.

        ``wanted`` are the adapters that queued work waits for, the most urgent first.
        No order is possible without a fencing token, and none but the fence before the
        engine has listed its adapters.
        """
        if self._fencing_token is None:
            return None
        if self._needs_fence:
            return self._fence_order()
        if self._needs_listing or not self._is_trusted:
            return None
        due = self._due_unload(wanted)
        if due is not None:
            return self._start_order(OrderKind.UNLOAD, due)
        return self._load_or_evict(wanted)

    def order_answered(
        self, order_id: int, outcome: OrderOutcome
    ) -> OrderResult | None:
        """Apply the outcome of an order and return its effect.

        None for a fence, and for an order to an earlier engine incarnation.
        """
        order = self._orders.pop(order_id, None)
        if order is None:
            return None
        if order.adapter == FENCE_ADAPTER:
            self._fence_finished(order_id, outcome)
            return None
        slot = self._slots[order.adapter]
        slot.last_change = self._next_time()
        slot.order_id = 0
        if outcome is OrderOutcome.ANSWER_LOST:
            slot.state = SlotState.UNKNOWN
            self._require_listing()
            return OrderResult(order.adapter, OrderEffect.UNKNOWN)
        if outcome is OrderOutcome.FENCED:
            self._fencing_token = None
        if order.kind is OrderKind.LOAD:
            return self._load_finished(order.adapter, slot, outcome)
        return self._unload_finished(order.adapter, slot, outcome)

    def engine_restarted(self, incarnation: str) -> list[str]:
        """Drop the slots of the earlier incarnation and return the pinned adapters.

        The requests that pinned the adapters have lost them and must be ended. Until
        they are, their adapter is not unloaded: a request that was sent just before the
        restart was detected may run on the restarted engine.
        """
        pinned_adapters = list(self._pins)
        self._slots.clear()
        self._removed_at.clear()
        self._orders.clear()
        self._engine_incarnation = incarnation
        self._require_fence()
        self._require_listing()
        return pinned_adapters

    def listing_started(self) -> int:
        """Return the logical time to pass to ``engine_listed`` as ``requested_at``.

        To be called before the list is requested.
        """
        return self._logical_time

    def engine_listed(
        self,
        incarnation: str,
        adapters: Collection[str],
        requested_at: int | None = None,
    ) -> list[str]:
        """Apply the engine's list of its adapters; return those that lost their pins.

        These are pinned adapters that the engine no longer has and, if it has
        restarted, all pinned adapters. Slots with an order in progress, or changed
        since ``requested_at``, stay as they are, because the list may be older than
        their last change.
        """
        lost: list[str] = []
        if incarnation != self._engine_incarnation:
            lost = self.engine_restarted(incarnation)
        since = self._logical_time if requested_at is None else requested_at
        for name in list(self._slots):
            if self._is_unchanged_since(name, since) and name not in adapters:
                lost += [name] if name in self._pins else []
                del self._slots[name]
        self._apply_listed(adapters, since)
        self._removed_at = {n: at for n, at in self._removed_at.items() if at > since}
        if since >= self._listing_needed_since:
            self._needs_listing = False
            self._is_trusted = not self._needs_fence
        return lost

    def _apply_listed(self, adapters: Iterable[str], since: int) -> None:
        for name in adapters:
            slot = self._slots.get(name)
            if slot is None and self._removed_at.get(name, 0) > since:
                continue
            if slot is None:
                slot = self._slots[name] = _Slot(SlotState.UNKNOWN)
            if (
                self._is_unchanged_since(name, since)
                and slot.state is SlotState.UNKNOWN
            ):
                slot.state = SlotState.LOADED
                slot.last_change = self._next_time()

    def _is_unchanged_since(self, name: str, since: int) -> bool:
        slot = self._slots[name]
        return slot.order_id == 0 and slot.last_change <= since

    def _remove(self, adapter: str) -> None:
        del self._slots[adapter]
        self._removed_at[adapter] = self._next_time()

    def _require_listing(self) -> None:
        """Require a list from the engine that is requested after this call."""
        self._needs_listing = True
        self._listing_needed_since = self._next_time()

    def _require_fence(self) -> None:
        if self._enforces_fencing:
            self._needs_fence = True
            self._is_trusted = False
            self._fence_order_id = None

    def _fence_order(self) -> Order | None:
        if self._fence_order_id in self._orders:
            return None
        order = self._new_order(OrderKind.UNLOAD, FENCE_ADAPTER)
        self._fence_order_id = order.order_id
        return order

    def _fence_finished(self, order_id: int, outcome: OrderOutcome) -> None:
        if order_id != self._fence_order_id:
            return
        self._fence_order_id = None
        if outcome is OrderOutcome.FENCED:
            self._fencing_token = None
        elif outcome is not OrderOutcome.ANSWER_LOST:
            self._needs_fence = False
            self._require_listing()

    def _load_finished(
        self, adapter: str, slot: _Slot, outcome: OrderOutcome
    ) -> OrderResult:
        if outcome is OrderOutcome.DONE:
            slot.state = SlotState.LOADED
            slot.last_use = self._next_time()
            return OrderResult(adapter, OrderEffect.LOADED)
        self._remove(adapter)
        # The load may have failed because the engine has adapters loaded that the agent
        # does not know of.
        self._require_listing()
        return OrderResult(adapter, OrderEffect.LOAD_FAILED)

    def _unload_finished(
        self, adapter: str, slot: _Slot, outcome: OrderOutcome
    ) -> OrderResult:
        if outcome is OrderOutcome.DONE:
            self._remove(adapter)
            self._retired.discard(adapter)
            return OrderResult(adapter, OrderEffect.UNLOADED)
        slot.state = SlotState.UNKNOWN
        self._require_listing()
        return OrderResult(adapter, OrderEffect.UNLOAD_FAILED)

    def _load_or_evict(self, wanted: Sequence[str]) -> Order | None:
        missing = [adapter for adapter in wanted if adapter not in self._slots]
        if not missing:
            return None
        if self._has_free_slot():
            return self._start_order(OrderKind.LOAD, missing[0])
        victim = self._victim(wanted)
        if victim is None or self._unload_count() >= len(set(missing)):
            return None
        return self._start_order(OrderKind.UNLOAD, victim)

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

    def _start_order(self, kind: OrderKind, adapter: str) -> Order:
        order = self._new_order(kind, adapter)
        is_load = kind is OrderKind.LOAD
        slot = self._slots.setdefault(adapter, _Slot(SlotState.LOADING))
        slot.state = SlotState.LOADING if is_load else SlotState.UNLOADING
        slot.must_unload = not is_load
        slot.order_id = order.order_id
        slot.last_change = self._next_time()
        return order

    def _has_free_slot(self) -> bool:
        return len(self._slots) < self._slot_count

    def _unload_count(self) -> int:
        return sum(s.state is SlotState.UNLOADING for s in self._slots.values())

    def _due_unload(self, wanted: Sequence[str]) -> str | None:
        """Return an adapter to unload even if no slot is needed, or None."""
        for name, slot in self._slots.items():
            if slot.state is not SlotState.LOADED or name in self._pins:
                continue
            if slot.must_unload or (name in self._retired and name not in wanted):
                return name
        return None

    def _victim(self, wanted: Sequence[str]) -> str | None:
        """Return the least recently used adapter that is neither pinned nor wanted."""
        candidates = [
            (slot.last_use, name)
            for name, slot in self._slots.items()
            if slot.state is SlotState.LOADED
            and name not in self._pins
            and name not in wanted
        ]
        return min(candidates)[1] if candidates else None

    def _next_time(self) -> int:
        """Advance the logical clock, by which uses, changes and lists are compared."""
        self._logical_time += 1
        return self._logical_time
