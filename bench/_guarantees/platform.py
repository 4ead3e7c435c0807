"""Fakes of the log and the engines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bench._guarantees.journal import Call, Execution
from bench._guarantees.kernel import Kernel, Process
from lentiltally.decisions.adapter_slots import Order, OrderKind, OrderOutcome

ORDER_TIMEOUT_S = 2.0
BASE_MODEL = "base"


class FakeLog:
    """An append-only log with outages and lost answers."""

    def __init__(self, kernel: Kernel, *, answer_loss_probability: float) -> None:
        """Start empty; ``answer_loss_probability`` applies to each append."""
        self._kernel = kernel
        self._answer_loss_probability = answer_loss_probability
        self._down_until_s = 0.0
        self._up_until_s = 0.0
        self._outages: list[tuple[float, float]] = []
        self.records: dict[str, list[tuple[object, int]]] = {}

    @property
    def is_down(self) -> bool:
        """Return whether the log fails all appends and reads."""
        return self._kernel.now_s < self._down_until_s

    def start_outage(self, duration_s: float) -> None:
        """Be down for a while, unless outages are prevented."""
        if self._kernel.now_s >= self._up_until_s:
            self._down_until_s = self._kernel.now_s + duration_s
            self._outages.append((self._kernel.now_s, self._down_until_s))

    def was_down_between(self, start_s: float, end_s: float) -> bool:
        """Return whether the log was down at any time from start to end."""
        return any(start < end_s and end > start_s for start, end in self._outages)

    def prevent_outages(self, duration_s: float) -> bool:
        """Prevent outages for a while; return False if the log is down already."""
        if not self.is_down:
            self._up_until_s = self._kernel.now_s + duration_s
        return not self.is_down

    def append(
        self,
        process: Process,
        stream: str,
        records: list[object],
        on_answer: Callable[[int | None], None],
    ) -> None:
        """Append a batch of records after a delay.

        ``on_answer`` gets the offset of the first record, or None if the append failed
        or its answer was lost. A record whose answer was lost may still be stored.
        """
        rng = self._kernel.rng
        is_answer_lost = self._kernel.flip(self._answer_loss_probability)
        delay_s = rng.uniform(0.5, 5.0) if is_answer_lost else rng.uniform(0.002, 0.03)

        def deliver() -> None:
            if self.is_down:
                process.call_later(
                    0.01, lambda: None if is_answer_lost else on_answer(None)
                )
                return
            stored = self.records.setdefault(stream, [])
            first = len(stored)
            time_ms = int(self._kernel.now_s * 1000)
            stored.extend((record, time_ms) for record in records)
            if not is_answer_lost:
                process.call_later(rng.uniform(0.002, 0.03), lambda: on_answer(first))

        if is_answer_lost:
            process.call_later(1.0, lambda: on_answer(None))
        self._kernel.call_later(delay_s, deliver)

    def read(self, stream: str, offset: int) -> list[tuple[object, int]] | None:
        """Return the records from an offset, or None while the log is down."""
        return None if self.is_down else self.records.get(stream, [])[offset:]


@dataclass(slots=True)
class _RunningCall:
    execution: Execution
    process: Process
    on_broken: Callable[[], None]


@dataclass(slots=True)
class FakeEngine:
    """An engine with adapter slots.

    A call whose adapter is not loaded runs on the base model or another adapter.
    """

    kernel: Kernel
    name: str
    adapter_slots: int
    enforces_fencing: bool
    answer_loss_probability: float
    incarnation_number: int = 1
    last_fencing_token: int = 0
    loaded: set[str] = field(default_factory=set)
    running_calls: list[_RunningCall] = field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Return the incarnation of the engine, which changes at a restart."""
        return f"{self.name}/{self.incarnation_number}"

    def restart(self) -> None:
        """Restart without adapters; running calls are lost."""
        self.incarnation_number += 1
        self.loaded.clear()
        self.last_fencing_token = 0
        running_calls, self.running_calls = self.running_calls, []
        for running_call in running_calls:
            running_call.execution.is_over = True
            running_call.process.call_later(
                self.kernel.rng.uniform(0.0, 1.0), running_call.on_broken
            )

    def disconnect(self, process: Process) -> None:
        """Stop the running calls of a process that terminated."""
        for running_call in self.running_calls:
            running_call.execution.is_over = (
                running_call.execution.is_over or running_call.process is process
            )
        self.running_calls = [
            running_call
            for running_call in self.running_calls
            if running_call.process is not process
        ]

    def has_running_calls_of(self, process: Process) -> bool:
        """Return whether calls of a process are running."""
        return any(
            running_call.process is process for running_call in self.running_calls
        )

    def execute_order(
        self, process: Process, order: Order, on_answer: Callable[[OrderOutcome], None]
    ) -> None:
        """Execute a load or unload order after a delay; the answer may be lost."""
        rng = self.kernel.rng
        delay_s = rng.uniform(0.01, 0.3)
        if self.enforces_fencing and self.kernel.flip(0.1):
            delay_s = rng.uniform(0.3, 1.5)
        is_answer_lost = self.kernel.flip(self.answer_loss_probability)

        incarnation = self.incarnation

        def deliver(may_delay: bool = True) -> None:
            if process.is_dead and may_delay and self.enforces_fencing:
                # The engine may execute an order long after its sender has terminated.
                self.kernel.call_later(rng.uniform(1.0, 8.0), lambda: deliver(False))
                return
            # A restart closes the connection, so the order never reaches the new
            # engine incarnation.
            is_broken = incarnation != self.incarnation
            outcome = OrderOutcome.FAILED if is_broken else self._apply_order(order)
            if not is_answer_lost:
                process.call_later(0.005, lambda: on_answer(outcome))

        self.kernel.call_later(delay_s, deliver)
        if is_answer_lost:
            process.call_later(
                ORDER_TIMEOUT_S, lambda: on_answer(OrderOutcome.ANSWER_LOST)
            )

    def list_adapters(
        self, process: Process, on_answer: Callable[[str, frozenset[str], int], None]
    ) -> None:
        """Answer after a delay with the current incarnation, adapters and token."""
        delay_s = self.kernel.rng.uniform(0.002, 0.3)
        state = (self.incarnation, frozenset(self.loaded), self.last_fencing_token)
        process.call_later(delay_s, lambda: on_answer(*state))

    def run_call(
        self,
        process: Process,
        call: Call,
        on_event: Callable[[Execution, int, str, str], None],
        on_end: Callable[[Execution, int], None],
        on_broken: Callable[[], None],
    ) -> None:
        """Execute a call; each event carries the model and the engine incarnation."""
        adapter = call.adapter
        if adapter not in self.loaded:
            others = sorted(self.loaded)
            adapter = self.kernel.rng.choice([BASE_MODEL, *others])
        execution = self.kernel.journal.record_execution(
            call, adapter, self.kernel.now_s
        )
        running_call = _RunningCall(execution, process, on_broken)
        self.running_calls.append(running_call)
        event_interval_s = call.duration_s / call.events
        incarnation = self.incarnation

        def emit_event(index: int) -> None:
            if execution.is_over:
                return
            process.run_or_defer(
                lambda: on_event(execution, index, adapter, incarnation)
            )
            if index + 1 < call.events:
                self.kernel.call_later(event_interval_s, lambda: emit_event(index + 1))
                return
            execution.is_over = True
            self.running_calls.remove(running_call)
            process.run_or_defer(lambda: on_end(execution, call.events))

        self.kernel.call_later(event_interval_s, lambda: emit_event(0))

    def _apply_order(self, order: Order) -> OrderOutcome:
        if self.enforces_fencing:
            if order.fencing_token < self.last_fencing_token:
                return OrderOutcome.FENCED
            self.last_fencing_token = order.fencing_token
        if order.kind is OrderKind.UNLOAD:
            executions = [running_call.execution for running_call in self.running_calls]
            users = sum(
                not execution.is_over and execution.adapter == order.adapter
                for execution in executions
            )
            if order.adapter in self.loaded:
                self.kernel.journal.record_unload(users)
            self.loaded.discard(order.adapter)
            return OrderOutcome.DONE
        is_failure = len(self.loaded) >= self.adapter_slots or self.kernel.flip(0.05)
        if order.adapter not in self.loaded and is_failure:
            return OrderOutcome.FAILED
        self.loaded.add(order.adapter)
        return OrderOutcome.DONE
