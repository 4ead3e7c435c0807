"""Fakes of the log and of the engines."""

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

    def __init__(self, kernel: Kernel, *, lost_answers: float) -> None:
        """Start empty; ``lost_answers`` is the probability per append."""
        self._kernel = kernel
        self._lost_answers = lost_answers
        self._down_until_s = 0.0
        self._up_until_s = 0.0
        self._outages: list[tuple[float, float]] = []
        self.records: dict[str, list[tuple[object, int]]] = {}

    @property
    def is_down(self) -> bool:
        """Return whether the log takes and gives nothing."""
        return self._kernel.now_s < self._down_until_s

    def outage(self, duration_s: float) -> None:
        """Be down for a while."""
        if self._kernel.now_s >= self._up_until_s:
            self._down_until_s = self._kernel.now_s + duration_s
            self._outages.append((self._kernel.now_s, self._down_until_s))

    def was_down_between(self, start_s: float, end_s: float) -> bool:
        """Return whether the log was down at any time from start to end."""
        return any(start < end_s and end > start_s for start, end in self._outages)

    def stay_up(self, duration_s: float) -> bool:
        """Ignore outages for a while; False if the log is down."""
        if not self.is_down:
            self._up_until_s = self._kernel.now_s + duration_s
        return not self.is_down

    def append(
        self,
        process: Process,
        stream: str,
        records: list[object],
        answered: Callable[[int | None], None],
    ) -> None:
        """Append a batch; the answer is its first offset, or None without an answer."""
        rng = self._kernel.rng
        is_lost = self._kernel.flip(self._lost_answers)
        delay_s = rng.uniform(0.5, 5.0) if is_lost else rng.uniform(0.002, 0.03)

        def arrive() -> None:
            if self.is_down:
                process.later(0.01, lambda: None if is_lost else answered(None))
                return
            stored = self.records.setdefault(stream, [])
            first = len(stored)
            time_ms = int(self._kernel.now_s * 1000)
            stored.extend((record, time_ms) for record in records)
            if not is_lost:
                process.later(rng.uniform(0.002, 0.03), lambda: answered(first))

        if is_lost:
            process.later(1.0, lambda: answered(None))
        self._kernel.at(delay_s, arrive)

    def read(self, stream: str, offset: int) -> list[tuple[object, int]] | None:
        """Return the records from an offset, or None while down."""
        return None if self.is_down else self.records.get(stream, [])[offset:]


@dataclass(slots=True)
class _Run:
    execution: Execution
    process: Process
    broken: Callable[[], None]


@dataclass(slots=True)
class FakeEngine:
    """An engine with adapter slots; asked for an absent adapter, it runs the base."""

    kernel: Kernel
    name: str
    slots: int
    enforces_fencing: bool
    lost_answers: float
    incarnation_number: int = 1
    last_token: int = 0
    loaded: set[str] = field(default_factory=set)
    runs: list[_Run] = field(default_factory=list)

    @property
    def incarnation(self) -> str:
        """Return the id of the current engine run."""
        return f"{self.name}/{self.incarnation_number}"

    def restart(self) -> None:
        """Lose all adapters and running requests."""
        self.incarnation_number += 1
        self.loaded.clear()
        self.last_token = 0
        runs, self.runs = self.runs, []
        for run in runs:
            run.execution.is_over = True
            run.process.later(self.kernel.rng.uniform(0.0, 1.0), run.broken)

    def disconnect(self, process: Process) -> None:
        """Stop the requests of a process that ended."""
        for run in self.runs:
            run.execution.is_over = run.execution.is_over or run.process is process
        self.runs = [run for run in self.runs if run.process is not process]

    def has_runs_of(self, process: Process) -> bool:
        """Return whether requests of a process are running."""
        return any(run.process is process for run in self.runs)

    def order(
        self, process: Process, order: Order, answered: Callable[[OrderOutcome], None]
    ) -> None:
        """Carry out an order after a delay; the answer may be lost."""
        rng = self.kernel.rng
        delay_s = rng.uniform(0.01, 0.3)
        if self.enforces_fencing and self.kernel.flip(0.1):
            delay_s = rng.uniform(0.3, 1.5)
        is_lost = self.kernel.flip(self.lost_answers)

        incarnation = self.incarnation

        def arrive(may_wait: bool = True) -> None:
            if process.is_dead and may_wait and self.enforces_fencing:
                # The engine may read what a dead process has sent much later.
                self.kernel.at(rng.uniform(1.0, 8.0), lambda: arrive(False))
                return
            # A restart breaks the connection, so the order never reaches the new run.
            is_broken = incarnation != self.incarnation
            outcome = OrderOutcome.FAILED if is_broken else self._carry_out(order)
            if not is_lost:
                process.later(0.005, lambda: answered(outcome))

        self.kernel.at(delay_s, arrive)
        if is_lost:
            process.later(ORDER_TIMEOUT_S, lambda: answered(OrderOutcome.ANSWER_LOST))

    def listing(
        self, process: Process, answered: Callable[[str, frozenset[str], int], None]
    ) -> None:
        """Answer with incarnation, adapters and last token, as of now but later."""
        delay_s = self.kernel.rng.uniform(0.002, 0.3)
        state = (self.incarnation, frozenset(self.loaded), self.last_token)
        process.later(delay_s, lambda: answered(*state))

    def run(
        self,
        process: Process,
        call: Call,
        on_event: Callable[[Execution, int, str, str], None],
        on_end: Callable[[Execution, int], None],
        broken: Callable[[], None],
    ) -> None:
        """Run a call; each event carries the model and the engine incarnation."""
        adapter = call.adapter
        if adapter not in self.loaded:
            others = sorted(self.loaded)
            adapter = self.kernel.rng.choice([BASE_MODEL, *others])
        execution = self.kernel.journal.executed(call, adapter, self.kernel.now_s)
        run = _Run(execution, process, broken)
        self.runs.append(run)
        step_s = call.duration_s / call.events
        incarnation = self.incarnation

        def step(index: int) -> None:
            if execution.is_over:
                return
            process.enter(lambda: on_event(execution, index, adapter, incarnation))
            if index + 1 < call.events:
                self.kernel.at(step_s, lambda: step(index + 1))
                return
            execution.is_over = True
            self.runs.remove(run)
            process.enter(lambda: on_end(execution, call.events))

        self.kernel.at(step_s, lambda: step(0))

    def _carry_out(self, order: Order) -> OrderOutcome:
        if self.enforces_fencing:
            if order.fencing_token < self.last_token:
                return OrderOutcome.FENCED
            self.last_token = order.fencing_token
        if order.kind is OrderKind.UNLOAD:
            executions = [run.execution for run in self.runs]
            users = sum(
                not execution.is_over and execution.adapter == order.adapter
                for execution in executions
            )
            if order.adapter in self.loaded:
                self.kernel.journal.unloaded(users)
            self.loaded.discard(order.adapter)
            return OrderOutcome.DONE
        is_failure = len(self.loaded) >= self.slots or self.kernel.flip(0.05)
        if order.adapter not in self.loaded and is_failure:
            return OrderOutcome.FAILED
        self.loaded.add(order.adapter)
        return OrderOutcome.DONE
