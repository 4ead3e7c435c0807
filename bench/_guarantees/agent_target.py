"""The part of a fake agent that faces its engine and the lease stream."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from bench._guarantees.journal import Call, Execution
from bench._guarantees.kernel import Process
from bench._guarantees.platform import FakeEngine
from bench._guarantees.world import Shared
from lentiltally.decisions.adapter_slots import Order, OrderOutcome, Pinned
from lentiltally.decisions.ownership import LeaseRecord
from lentiltally.wire import messages

BATCH_PLACES = 4


@dataclass(slots=True)
class Work:
    """An attempt at the agent, with the answer so far."""

    execute: messages.Execute
    call: Call
    reply: str
    events: list[tuple[Execution, int]] = field(default_factory=list)
    pin: Pinned | None = None
    refusal: messages.Refused | None = None
    is_ended: bool = False
    runs: int = 0
    was_running_at_leave: bool = False


class AgentTarget(Process):
    """Queue, slots, ownership and running work of one target."""

    def __init__(self, shared: Shared, engine: FakeEngine, name: str, run: int):
        """Start with empty tables, as after a restart."""
        super().__init__(shared.kernel)
        self.name, self.engine = name, engine
        self.network, self.log = shared.network, shared.log
        self.parts = parts = shared.parts
        self.incarnation = f"{name}#{run}"
        # The small bound makes the dropped mark matter within a short schedule.
        self.table = parts.attempts(self.incarnation, max_closed=6)
        is_fenced = engine.enforces_fencing and parts.fences_before_pin
        self.slots = parts.slots(engine.slots, enforces_fencing=is_fenced)
        self.ownership = parts.ownership(
            engine.name, name, self.incarnation, self.now_s
        )
        self.works: dict[str, Work] = {}
        self.queue: list[Work] = []
        self.end_after_order: Callable[[str], None] | None = None
        self._lease_offset = 0
        self._is_listing = False
        self._is_appending = False
        self._is_following = False
        self.every(0.3, self._follow)
        self.every(0.5, self._poll_engine)
        self.every(0.2, self.pump)

    @abstractmethod
    def end(self) -> None:
        """End at once."""

    @abstractmethod
    def refuse_queued(self, work: Work, reason: str, executed: str = "no") -> None:
        """Refuse work that has not been started."""

    @abstractmethod
    def send_answer(self, work: Work, next_index: int) -> None:
        """Send what there is of an answer, from an event index."""

    @abstractmethod
    def send_events(self, work: Work, first: int) -> None:
        """Send events of an answer, from an event index."""

    def pump(self) -> None:
        """Start queued work whose adapter is resident, and send the next order."""
        if not self.ownership.may_order(self.now_s):
            if self.ownership.is_superseded:
                for work in list(self.queue):
                    self.refuse_queued(work, "superseded")
            return
        self.slots.set_fencing_token(self.ownership.token)
        wanted = [work for work in self.queue if not self._start(work)]
        self.queue = wanted
        order = self.slots.next_order([work.call.adapter for work in wanted])
        if order is not None:
            self.engine.order(self, order, lambda o: self._ordered(order, o))
            if self.end_after_order is not None:
                self.end_after_order(order.adapter)
                self.end()

    def _start(self, work: Work) -> bool:
        running = sum(w.pin is not None for w in self.works.values())
        if running >= BATCH_PLACES:
            return False
        pin = self.slots.pin(work.call.adapter)
        if not isinstance(pin, Pinned):
            return False
        if not self.table.started(work.execute.attempt_id):
            self.slots.unpin(pin)
            return True
        work.pin = pin
        self._run(work)
        return True

    def _run(self, work: Work) -> None:
        work.runs += 1
        number = work.runs

        def event(execution: Execution, index: int, model: str, run: str) -> None:
            if number == work.runs:
                self._event(work, execution, index, model, run)

        def ended(execution: Execution, total: int) -> None:
            if number == work.runs:
                self._ended(work)

        def broken() -> None:
            if number == work.runs:
                self._broken(work)

        self.engine.run(self, work.call, event, ended, broken)

    def _event(
        self, work: Work, execution: Execution, index: int, model: str, run: str
    ) -> None:
        is_right = model == work.call.adapter and run == self.slots.engine_incarnation
        if work.is_ended:
            return
        if self.parts.checks_answers and not is_right:
            execution.is_over = True
            self._broken(work)
            return
        work.events.append((execution, index))
        if work.call.is_streamed:
            self.send_events(work, len(work.events) - 1)

    def _ended(self, work: Work) -> None:
        if work.is_ended:
            return
        self._close(work)
        self.send_answer(work, len(work.events))

    def _broken(self, work: Work) -> None:
        """End work whose engine run is gone or was not the expected one."""
        if work.is_ended:
            return
        self._restarted(self.engine.incarnation)
        if work.call.is_idempotent and not work.events:
            if work.pin is not None:
                self.slots.unpin(work.pin)
            pin = self.slots.pin(work.call.adapter)
            if isinstance(pin, Pinned):
                work.pin = pin
                self._run(work)
                return
        work.refusal = self._refused(work.execute.attempt_id, "unknown", "engine")
        self._close(work)
        self.send_answer(work, 0)

    def _close(self, work: Work) -> None:
        work.is_ended = True
        if work.pin is not None:
            self.slots.unpin(work.pin)
            work.pin = None
        self.table.finished(work.execute.attempt_id, work, 1)

    def _restarted(self, incarnation: str) -> None:
        if incarnation != self.slots.engine_incarnation:
            self.slots.engine_restarted(incarnation)

    def _refused(self, attempt_id: str, executed: str, why: str) -> messages.Refused:
        return messages.Refused(attempt_id, executed, why, "agent", self.name, 0.0)

    def _follow(self) -> None:
        if self._is_following:
            return
        asked_at_s = self.now_s
        records = self.log.read("leases", self._lease_offset)
        if records is None:
            self.later(0.005, lambda: self.ownership.log_unavailable(self.now_s))
            return
        self._is_following = True
        self.later(
            self.kernel.rng.uniform(0.002, 0.1),
            lambda: self._followed(asked_at_s, records),
        )

    def _followed(self, asked_at_s: float, records: list[tuple[object, int]]) -> None:
        for record, _ in records:
            assert isinstance(record, LeaseRecord)
            self.ownership.apply(record, self._lease_offset)
            self._lease_offset += 1
        self._is_following = False
        self.ownership.stream_read(asked_at_s, self.now_s)
        if self.ownership.needs_lease_record and not self._is_appending:
            self._is_appending = True
            self.log.append(
                self, "leases", [self.ownership.record()], self._lease_appended
            )

    def _lease_appended(self, offset: int | None) -> None:
        del offset
        self.later(1.0, self._allow_append)

    def _allow_append(self) -> None:
        self._is_appending = False

    def _poll_engine(self) -> None:
        if self._is_listing:
            return
        self._is_listing = True
        mark, asked_at_s = self.slots.listing_started(), self.now_s

        def listed(incarnation: str, adapters: frozenset[str], token: int) -> None:
            self._is_listing = False
            self._restarted(incarnation)
            self.slots.engine_listed(incarnation, adapters, mark)
            self.ownership.engine_reported(token, asked_at_s, self.now_s)

        self.engine.listing(self, listed)

    def _ordered(self, order: Order, outcome: OrderOutcome) -> None:
        self.slots.order_answered(order.order_id, outcome)
        self.pump()
