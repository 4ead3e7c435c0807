"""Global record of a schedule, from which violations of the guarantees are counted.

It records the events of all processes, so each guarantee is a plain comparison.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

GUARANTEES = {
    "g1": "g1_exact_adapter",
    "g2": "g2_no_unload_in_use",
    "g3": "g3_whole_answer",
    "g4": "g4_true_refusal",
    "g5": "g5_at_most_once",
    "g6": "g6_leaving",
    "g7": "g7_graceful_shutdown",
    "g8": "g8_configuration",
}
DRAIN_NOTICE_BOUND_S = 2.0


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request of a caller.

    A caller that sends the same work again makes another call, with the same key.
    ``events`` is the number of events of the answer, ``duration_s`` the time that an
    engine takes for them.
    """

    number: int
    team: str
    key: str
    adapter: str
    body: bytes
    is_idempotent: bool
    is_minted: bool
    is_streamed: bool
    events: int
    duration_s: float

    @property
    def work_id(self) -> str:
        """Return the id of the work; non-idempotent work is executed at most once."""
        return self.key or f"call-{self.number}"


@dataclass(slots=True)
class Execution:
    """One execution of a call by an engine, with the adapter that it really used."""

    number: int
    call: Call
    adapter: str
    started_at_s: float
    is_over: bool = False


@dataclass(slots=True)
class Delivery:
    """What the caller of one call has received.

    ``events`` are pairs of execution number and event index. ``result`` is "whole",
    "refused" or empty while there is none; ``executed`` is what the caller was told:
    "yes", "no" or "unknown".
    """

    events: list[tuple[int, int]] = field(default_factory=list)
    result: str = ""
    executed: str = ""
    total: int = -1
    ended_at_s: float = 0.0


class Journal:
    """Calls, executions, deliveries and violations of one schedule.

    ``undelivered_at_drain`` are the calls that ran when their agent started to drain,
    and whose complete answer had not reached the caller when the agent exited.
    """

    def __init__(self) -> None:
        """Start without records."""
        self.executions: list[Execution] = []
        self.calls: dict[int, Call] = {}
        self.deliveries: dict[int, Delivery] = {}
        self.violations: Counter[str] = Counter()
        self.undelivered_at_drain: set[int] = set()

    def record_call(self, call: Call) -> None:
        """Record a call that an entry has received."""
        self.calls[call.number] = call
        self.deliveries[call.number] = Delivery()

    def record_execution(self, call: Call, adapter: str, now_s: float) -> Execution:
        """Record that an engine started to execute a call."""
        execution = Execution(len(self.executions), call, adapter, now_s)
        self.executions.append(execution)
        return execution

    def record_event(self, call: int, execution: int, index: int) -> None:
        """Record that a caller received one event."""
        self.deliveries[call].events.append((execution, index))

    def record_completion(self, call: int, total: int, now_s: float) -> None:
        """Record that a caller was told that its answer is complete."""
        self._record_end(call, "whole", "yes", now_s)
        self.deliveries[call].total = total

    def record_refusal(self, call: int, executed: str, now_s: float) -> None:
        """Record that a caller got a refusal or a broken stream."""
        self._record_end(call, "refused", executed, now_s)

    def record_unload(self, users: int) -> None:
        """Record an unload, and how many running executions used the adapter."""
        self.violations["g2"] += users

    def record_sent_to_draining(self) -> None:
        """Record that new work was sent to a draining target after the time allowed."""
        self.violations["g6"] += 1

    def check(self) -> Counter[str]:
        """Return the violations of each guarantee."""
        for number in self.deliveries:
            self._check_answer(number)
        self._check_refusals()
        self._check_at_most_once()
        self.violations["g7"] += len(self.undelivered_at_drain)
        return self.violations

    def _record_end(self, call: int, result: str, executed: str, now_s: float) -> None:
        delivery = self.deliveries[call]
        if delivery.result:
            self.violations["g3"] += 1
        delivery.result = result
        delivery.executed = executed
        delivery.ended_at_s = now_s

    def _check_answer(self, number: int) -> None:
        call, delivery = self.calls[number], self.deliveries[number]
        sources = {execution for execution, _ in delivery.events}
        runs = [self.executions[execution] for execution in sources]
        self.violations["g1"] += any(r.adapter != call.adapter for r in runs)
        indexes = [index for _, index in delivery.events]
        is_same_work = all(run.call.work_id == call.work_id for run in runs)
        is_ordered = indexes == list(range(len(indexes))) and len(runs) <= 1
        is_complete = delivery.result != "whole" or len(indexes) == call.events
        self.violations["g3"] += not (is_same_work and is_ordered and is_complete)

    def _check_refusals(self) -> None:
        executed = {execution.call.number for execution in self.executions}
        for number, delivery in self.deliveries.items():
            self.violations["g4"] += delivery.executed == "no" and number in executed

    def _check_at_most_once(self) -> None:
        runs = Counter(
            e.call.work_id for e in self.executions if not e.call.is_idempotent
        )
        self.violations["g5"] += sum(count - 1 for count in runs.values())
