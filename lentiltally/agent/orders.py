"""Sends adapter load and unload orders to one engine, one at a time.

Waiting work determines which adapter is loaded next. Before a load the agent needs a
permit, because all agents together may load only a limited number of adapters at once.
"""

from __future__ import annotations

import logging
import random
import threading
from collections.abc import Callable

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineClient, OrderRefusedError
from lentiltally.agent.permits import Permits
from lentiltally.clock import Clock
from lentiltally.decisions.adapter_slots import (
    AdapterSlots,
    Order,
    OrderEffect,
    OrderKind,
    OrderOutcome,
)
from lentiltally.decisions.load_order import LoadOrder
from lentiltally.decisions.ownership import Ownership
from lentiltally.decisions.work_queue import WorkQueue
from lentiltally.metrics import Metrics

_log = logging.getLogger(__name__)

IDLE_INTERVAL_S = 0.25
PERMIT_TIMEOUT_S = 5.0
HTTP_PRECONDITION_FAILED = 412


class OrderSender:
    """Chooses the next order for one engine, sends it and applies its outcome.

    It works on a thread of its own. ``lock`` guards queue, slots and ownership; it is
    not held during I/O.
    """

    def __init__(
        self,
        *,
        target: str,
        client: EngineClient,
        queue: WorkQueue,
        slots: AdapterSlots,
        ownership: Ownership,
        permits: Permits,
        weight_sources: dict[str, str],
        lock: threading.RLock,
        clock: Clock,
        metrics: Metrics,
        on_order_ended: Callable[[], None],
    ) -> None:
        """Start nothing yet.

        ``weight_sources`` maps adapters to the ``lora_path`` of their weights; the
        caller keeps it up to date. ``on_order_ended`` is called without the lock after
        each order that changed the slots.
        """
        self._target = target
        self._client = client
        self._queue = queue
        self._slots = slots
        self._ownership = ownership
        self._permits = permits
        self._weight_sources = weight_sources
        self._lock = lock
        self._clock = clock
        self._metrics = metrics
        self._on_order_ended = on_order_ended
        self._load_order = LoadOrder(random.Random())
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=f"orders-{target}"
        )

    def start(self) -> None:
        """Begin to send orders."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the order that is being sent."""
        self._stopped = True
        self._wake.set()

    def wake(self) -> None:
        """Look for the next order now instead of at the next interval."""
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(IDLE_INTERVAL_S)
            self._wake.clear()
            try:
                while not self._stopped and self._send_next():
                    pass
            except Exception:
                _log.exception(
                    "unexpected error while sending orders",
                    extra={"target": self._target},
                )

    def _send_next(self) -> bool:
        """Load the next adapter, or send another order; False if nothing was sent."""
        adapter = self._next_adapter()
        if adapter is None:
            return self._send_maintenance_order([])
        permit = self._permits.acquire(PERMIT_TIMEOUT_S)
        if permit is None:
            return False
        try:
            return self._unload_and_load(adapter)
        finally:
            self._permits.release(permit)

    def _next_adapter(self) -> str | None:
        """Return the adapter to load next, or None if none is due or possible."""
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._slots.needs_listing or not self._update_fencing_token(now_s):
                return None
            loaded = self._slots.loaded_adapters
            demands = self._queue.missing_adapters(loaded, now_s)
            if not demands:
                return None
            adapter = self._load_order.next(demands, (), now_s)
            if adapter is None or not self._can_get_slot():
                return None
            return adapter

    def _can_get_slot(self) -> bool:
        if len(self._slots.loaded_adapters) < self._slots.limit:
            return True
        return any(not self._slots.pins(name) for name in self._slots.loaded_adapters)

    def _update_fencing_token(self, now_s: float) -> bool:
        """Give the slots the current fencing token; False if none may be used."""
        may_order = self._ownership.may_order(now_s)
        self._slots.set_fencing_token(self._ownership.token if may_order else None)
        return may_order

    def _unload_and_load(self, adapter: str) -> bool:
        """Load the adapter, after an unload if no slot is free.

        At most two orders are sent. False if one of them was not possible. True also if
        both were unloads; the next adapter is then chosen again.
        """
        for _ in range(2):
            with self._lock:
                # The process may have been paused while it waited for the permit.
                self._update_fencing_token(self._clock.monotonic_s())
                order = self._slots.next_order([adapter])
            if order is None:
                return False
            self._send(order)
            if order.kind is OrderKind.LOAD:
                return True
        return True

    def _send_maintenance_order(self, wanted: list[str]) -> bool:
        """Send an order that needs no permit, such as an unload; False if none is due.

        That includes the order by which an engine learns a new fencing token.
        """
        with self._lock:
            order = self._slots.next_order(wanted)
        if order is None:
            return False
        self._send(order)
        return True

    def _send(self, order: Order) -> None:
        """Send an order and apply its outcome to the slots."""
        _log.info(
            "sending order to engine",
            extra={
                "target": self._target,
                "order": order.kind.value,
                "model": order.adapter,
                "fencing": order.fencing_token,
            },
        )
        outcome = self._send_to_engine(order)
        now_s = self._clock.monotonic_s()
        with self._lock:
            result = self._slots.order_answered(order.order_id, outcome)
            if result is None:
                return
            if result.effect is OrderEffect.LOADED:
                self._load_order.loaded(order.adapter)
            elif result.effect in (OrderEffect.LOAD_FAILED, OrderEffect.UNKNOWN):
                self._load_order.failed(order.adapter, now_s)
                self._metrics.count("load_failures")
        self._on_order_ended()

    def _send_to_engine(self, order: Order) -> OrderOutcome:
        try:
            if order.kind is OrderKind.UNLOAD:
                self._client.unload_adapter(order.adapter, order.fencing_token)
            else:
                self._metrics.count("loads")
                source = self._weight_sources.get(order.adapter, order.adapter)
                self._client.load_adapter(order.adapter, source, order.fencing_token)
        except OrderRefusedError as error:
            self._log_failure(order, error)
            is_fenced = error.status == HTTP_PRECONDITION_FAILED
            return OrderOutcome.FENCED if is_fenced else OrderOutcome.FAILED
        except TargetError as error:
            self._log_failure(order, error)
            return (
                OrderOutcome.ANSWER_LOST if error.may_have_run else OrderOutcome.FAILED
            )
        return OrderOutcome.DONE

    def _log_failure(self, order: Order, error: TargetError) -> None:
        _log.warning(
            "order failed",
            extra={
                "target": self._target,
                "order": order.kind.value,
                "model": order.adapter,
                "error": str(error),
            },
        )
