"""One global record of all that happened, from which violations are counted.

It sees every process at once, so each guarantee is a plain comparison.
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
OWN_NOTICE_BOUND_S = 2.0


@dataclass(frozen=True, slots=True)
class Call:
    """One HTTP request of a caller; resends of the same work are further calls."""

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
    def work(self) -> str:
        """Return what must run at most once if it is not idempotent."""
        return self.key or f"call-{self.number}"


@dataclass(slots=True)
class Execution:
    """One run of a call on an engine."""

    number: int
    call: Call
    adapter: str
    started_at_s: float
    is_over: bool = False


@dataclass(slots=True)
class Delivery:
    """What one caller has received."""

    parts: list[tuple[int, int]] = field(default_factory=list)
    result: str = ""
    executed: str = ""
    total: int = -1
    ended_at_s: float = 0.0


class Journal:
    """Everything that the checks need to know."""

    def __init__(self) -> None:
        """Start empty."""
        self.executions: list[Execution] = []
        self.calls: dict[int, Call] = {}
        self.deliveries: dict[int, Delivery] = {}
        self.violations: Counter[str] = Counter()
        self.interrupted: set[int] = set()

    def called(self, call: Call) -> None:
        """Note a call that an entry has received."""
        self.calls[call.number] = call
        self.deliveries[call.number] = Delivery()

    def executed(self, call: Call, adapter: str, now_s: float) -> Execution:
        """Note that an engine began to run a call."""
        execution = Execution(len(self.executions), call, adapter, now_s)
        self.executions.append(execution)
        return execution

    def delivered(self, call: int, execution: int, index: int) -> None:
        """Note that a caller received one event."""
        self.deliveries[call].parts.append((execution, index))

    def completed(self, call: int, total: int, now_s: float) -> None:
        """Note that a caller was told that its answer is whole."""
        self._end(call, "whole", "yes", now_s)
        self.deliveries[call].total = total

    def refused(self, call: int, executed: str, now_s: float) -> None:
        """Note that a caller got a refusal or a broken stream."""
        self._end(call, "refused", executed, now_s)

    def unloaded(self, users: int) -> None:
        """Note an unload, and how many requests used the adapter at that moment."""
        self.violations["g2"] += users

    def sent_to_leaving(self) -> None:
        """Note new work for a leaving target after the bound."""
        self.violations["g6"] += 1

    def check(self) -> Counter[str]:
        """Return the violations of each guarantee."""
        for number in self.deliveries:
            self._check_answer(number)
        self._check_refusals()
        self._check_once()
        self.violations["g7"] += len(self.interrupted)
        return self.violations

    def _end(self, call: int, result: str, executed: str, now_s: float) -> None:
        delivery = self.deliveries[call]
        if delivery.result:
            self.violations["g3"] += 1
        delivery.result = result
        delivery.executed = executed
        delivery.ended_at_s = now_s

    def _check_answer(self, number: int) -> None:
        call, delivery = self.calls[number], self.deliveries[number]
        sources = {execution for execution, _ in delivery.parts}
        runs = [self.executions[execution] for execution in sources]
        self.violations["g1"] += any(r.adapter != call.adapter for r in runs)
        indexes = [index for _, index in delivery.parts]
        is_own = all(run.call.work == call.work for run in runs)
        is_ordered = indexes == list(range(len(indexes))) and len(runs) <= 1
        is_whole = delivery.result != "whole" or len(indexes) == call.events
        self.violations["g3"] += not (is_own and is_ordered and is_whole)

    def _check_refusals(self) -> None:
        executed = {execution.call.number for execution in self.executions}
        for number, delivery in self.deliveries.items():
            self.violations["g4"] += delivery.executed == "no" and number in executed

    def _check_once(self) -> None:
        runs = Counter(e.call.work for e in self.executions if not e.call.is_idempotent)
        self.violations["g5"] += sum(count - 1 for count in runs.values())
