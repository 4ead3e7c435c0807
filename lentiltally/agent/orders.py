"""Sends the load and unload orders of one engine, one at a time."""

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

IDLE_CHECK_S = 0.25
PERMIT_TIMEOUT_S = 5.0
HTTP_PRECONDITION_FAILED = 412


class OrderSender:
    """Decides on the next order of one engine, sends it and applies its outcome.

    ``lock`` guards queue, slots and ownership; it is not held during I/O.
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
        sources: dict[str, str],
        lock: threading.RLock,
        clock: Clock,
        metrics: Metrics,
        on_change: Callable[[], None],
    ) -> None:
        """Start nothing yet; ``on_change`` is called after each order."""
        self._target = target
        self._client = client
        self._queue = queue
        self._slots = slots
        self._ownership = ownership
        self._permits = permits
        self._sources = sources
        self._lock = lock
        self._clock = clock
        self._metrics = metrics
        self._on_change = on_change
        self._order = LoadOrder(random.Random())
        self._wake = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=f"orders-{target}"
        )

    def start(self) -> None:
        """Begin to send orders."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the order that is under way."""
        self._stopped = True
        self._wake.set()

    def wake(self) -> None:
        """Look for the next order now."""
        self._wake.set()

    def _run(self) -> None:
        while not self._stopped:
            self._wake.wait(IDLE_CHECK_S)
            self._wake.clear()
            try:
                while not self._stopped and self._step():
                    pass
            except Exception:
                _log.exception("order failed", extra={"target": self._target})

    def _step(self) -> bool:
        """Carry out one step towards the next load; False if there is none."""
        adapter = self._next_adapter()
        if adapter is None:
            return self._send_next([])
        permit = self._permits.acquire(PERMIT_TIMEOUT_S)
        if permit is None:
            return False
        try:
            return self._load(adapter)
        finally:
            self._permits.release(permit)

    def _next_adapter(self) -> str | None:
        now_s = self._clock.monotonic_s()
        with self._lock:
            if self._slots.needs_listing or not self._refresh_token(now_s):
                return None
            resident = self._slots.resident
            demands = self._queue.missing_adapters(resident, now_s)
            if not demands:
                return None
            adapter = self._order.next(demands, (), now_s)
            if adapter is None or not self._can_get_slot():
                return None
            return adapter

    def _can_get_slot(self) -> bool:
        if len(self._slots.resident) < self._slots.limit:
            return True
        return any(not self._slots.pins(name) for name in self._slots.resident)

    def _refresh_token(self, now_s: float) -> bool:
        may_order = self._ownership.may_order(now_s)
        self._slots.set_fencing_token(self._ownership.token if may_order else None)
        return may_order

    def _load(self, adapter: str) -> bool:
        """Unload as needed, then load the adapter; False if that was not possible."""
        for _ in range(2):
            with self._lock:
                # The permit took time, in which this process may have been paused.
                self._refresh_token(self._clock.monotonic_s())
                order = self._slots.next_order([adapter])
            if order is None:
                return False
            self._send(order)
            if order.kind is OrderKind.LOAD:
                return True
        return True

    def _send_next(self, wanted: list[str]) -> bool:
        with self._lock:
            order = self._slots.next_order(wanted)
        if order is None:
            return False
        self._send(order)
        return True

    def _send(self, order: Order) -> None:
        _log.info(
            "order",
            extra={
                "target": self._target,
                "order": order.kind.value,
                "model": order.adapter,
                "fencing": order.fencing_token,
            },
        )
        outcome = self._carry_out(order)
        now_s = self._clock.monotonic_s()
        with self._lock:
            result = self._slots.order_answered(order.order_id, outcome)
            if result is None:
                return
            if result.effect is OrderEffect.LOADED:
                self._order.loaded(order.adapter)
            elif result.effect in (OrderEffect.LOAD_FAILED, OrderEffect.UNKNOWN):
                self._order.failed(order.adapter, now_s)
                self._metrics.count("load_failures")
        self._on_change()

    def _carry_out(self, order: Order) -> OrderOutcome:
        try:
            if order.kind is OrderKind.UNLOAD:
                self._client.unload_adapter(order.adapter, order.fencing_token)
            else:
                self._metrics.count("loads")
                source = self._sources.get(order.adapter, order.adapter)
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
