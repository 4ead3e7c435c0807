"""The part of a fake agent that deals with its engine and the lease stream."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable
from dataclasses import dataclass, field

from bench._guarantees.environment import Environment
from bench._guarantees.journal import Call, Execution
from bench._guarantees.kernel import Process
from bench._guarantees.platform import FakeEngine
from lentiltally.decisions.adapter_slots import Order, OrderOutcome, Pinned
from lentiltally.decisions.ownership import LeaseRecord
from lentiltally.wire import messages

BATCH_SLOTS = 4


@dataclass(slots=True)
class Work:
    """An attempt at an agent, with the answer so far.

    ``events`` are pairs of execution and event index. ``run_count`` counts how often
    the agent ran the attempt on its engine; callbacks of earlier runs are ignored.
    """

    execute: messages.Execute
    call: Call
    reply_address: str
    events: list[tuple[Execution, int]] = field(default_factory=list)
    pin: Pinned | None = None
    refusal: messages.Refused | None = None
    is_ended: bool = False
    run_count: int = 0
    was_running_at_drain: bool = False


class AgentTarget(Process):
    """Queue, adapter slots, ownership and running work of one target."""

    def __init__(
        self, environment: Environment, engine: FakeEngine, name: str, run_number: int
    ):
        """Start with empty tables, as an agent does after a restart."""
        super().__init__(environment.kernel)
        self.name, self.engine = name, engine
        self.network, self.log = environment.network, environment.log
        self.components = components = environment.components
        self.incarnation = f"{name}#{run_number}"
        # With a small bound, closed attempts are dropped within a short schedule, so
        # that the watermark of dropped attempts matters.
        self.attempt_table = components.attempts(self.incarnation, max_closed=6)
        is_fenced = engine.enforces_fencing and components.fences_before_pin
        self.adapter_slots = components.adapter_slots(
            engine.adapter_slots, enforces_fencing=is_fenced
        )
        self.ownership = components.ownership(
            engine.name, name, self.incarnation, self.now_s
        )
        self.work_by_attempt_id: dict[str, Work] = {}
        self.queue: list[Work] = []
        self.terminate_after_order: Callable[[str], None] | None = None
        self._lease_offset = 0
        self._is_listing = False
        self._is_appending = False
        self._is_reading_leases = False
        self.call_every(0.3, self._read_leases)
        self.call_every(0.5, self._poll_engine)
        self.call_every(0.2, self.start_ready_work)

    @abstractmethod
    def terminate(self) -> None:
        """Terminate at once."""

    @abstractmethod
    def refuse_queued(self, work: Work, reason: str, executed: str = "no") -> None:
        """Refuse queued work that has not been started."""

    @abstractmethod
    def send_answer(self, work: Work, next_index: int) -> None:
        """Send the available part of an answer, from an event index."""

    @abstractmethod
    def send_events(self, work: Work, first_index: int) -> None:
        """Send the available events of an answer, from an event index."""

    def start_ready_work(self) -> None:
        """Start queued work whose adapter is loaded, and send the next order."""
        if not self.ownership.may_order(self.now_s):
            if self.ownership.is_superseded:
                for work in list(self.queue):
                    self.refuse_queued(work, "superseded")
            return
        self.adapter_slots.set_fencing_token(self.ownership.token)
        waiting = [work for work in self.queue if not self._try_start(work)]
        self.queue = waiting
        order = self.adapter_slots.next_order([work.call.adapter for work in waiting])
        if order is not None:
            self.engine.execute_order(
                self, order, lambda o: self._handle_order_outcome(order, o)
            )
            if self.terminate_after_order is not None:
                self.terminate_after_order(order.adapter)
                self.terminate()

    def _try_start(self, work: Work) -> bool:
        running = sum(w.pin is not None for w in self.work_by_attempt_id.values())
        if running >= BATCH_SLOTS:
            return False
        pin = self.adapter_slots.pin(work.call.adapter)
        if not isinstance(pin, Pinned):
            return False
        if not self.attempt_table.started(work.execute.attempt_id):
            self.adapter_slots.unpin(pin)
            return True
        work.pin = pin
        self._run_on_engine(work)
        return True

    def _run_on_engine(self, work: Work) -> None:
        work.run_count += 1
        number = work.run_count

        def on_event(
            execution: Execution, index: int, model: str, engine_incarnation: str
        ) -> None:
            if number == work.run_count:
                self._handle_event(work, execution, index, model, engine_incarnation)

        def on_end(execution: Execution, total: int) -> None:
            if number == work.run_count:
                self._handle_end(work)

        def on_broken() -> None:
            if number == work.run_count:
                self._handle_broken(work)

        self.engine.run_call(self, work.call, on_event, on_end, on_broken)

    def _handle_event(
        self,
        work: Work,
        execution: Execution,
        index: int,
        model: str,
        engine_incarnation: str,
    ) -> None:
        is_expected = (
            model == work.call.adapter
            and engine_incarnation == self.adapter_slots.engine_incarnation
        )
        if work.is_ended:
            return
        if self.components.checks_answers and not is_expected:
            execution.is_over = True
            self._handle_broken(work)
            return
        work.events.append((execution, index))
        if work.call.is_streamed:
            self.send_events(work, len(work.events) - 1)

    def _handle_end(self, work: Work) -> None:
        if work.is_ended:
            return
        self._close(work)
        self.send_answer(work, len(work.events))

    def _handle_broken(self, work: Work) -> None:
        """Handle work whose engine restarted or answered with an unexpected model.

        Idempotent work without events runs again; other work is refused.
        """
        if work.is_ended:
            return
        self._apply_engine_incarnation(self.engine.incarnation)
        if work.call.is_idempotent and not work.events:
            if work.pin is not None:
                self.adapter_slots.unpin(work.pin)
            pin = self.adapter_slots.pin(work.call.adapter)
            if isinstance(pin, Pinned):
                work.pin = pin
                self._run_on_engine(work)
                return
        work.refusal = self._refusal(work.execute.attempt_id, "unknown", "engine")
        self._close(work)
        self.send_answer(work, 0)

    def _close(self, work: Work) -> None:
        work.is_ended = True
        if work.pin is not None:
            self.adapter_slots.unpin(work.pin)
            work.pin = None
        self.attempt_table.finished(work.execute.attempt_id, work, 1)

    def _apply_engine_incarnation(self, incarnation: str) -> None:
        if incarnation != self.adapter_slots.engine_incarnation:
            self.adapter_slots.engine_restarted(incarnation)

    def _refusal(self, attempt_id: str, executed: str, reason: str) -> messages.Refused:
        return messages.Refused(attempt_id, executed, reason, "agent", self.name, 0.0)

    def _read_leases(self) -> None:
        if self._is_reading_leases:
            return
        requested_at_s = self.now_s
        records = self.log.read("leases", self._lease_offset)
        if records is None:
            self.call_later(0.005, lambda: self.ownership.log_unavailable(self.now_s))
            return
        self._is_reading_leases = True
        self.call_later(
            self.kernel.rng.uniform(0.002, 0.1),
            lambda: self._apply_leases(requested_at_s, records),
        )

    def _apply_leases(
        self, requested_at_s: float, records: list[tuple[object, int]]
    ) -> None:
        for record, _ in records:
            assert isinstance(record, LeaseRecord)
            self.ownership.apply(record, self._lease_offset)
            self._lease_offset += 1
        self._is_reading_leases = False
        self.ownership.stream_read(requested_at_s, self.now_s)
        if self.ownership.needs_lease_record and not self._is_appending:
            self._is_appending = True
            self.log.append(
                self, "leases", [self.ownership.record()], self._lease_appended
            )

    def _lease_appended(self, offset: int | None) -> None:
        del offset
        self.call_later(1.0, self._allow_append)

    def _allow_append(self) -> None:
        self._is_appending = False

    def _poll_engine(self) -> None:
        if self._is_listing:
            return
        self._is_listing = True
        listing_mark, requested_at_s = self.adapter_slots.listing_started(), self.now_s

        def on_listed(incarnation: str, adapters: frozenset[str], token: int) -> None:
            self._is_listing = False
            self._apply_engine_incarnation(incarnation)
            self.adapter_slots.engine_listed(incarnation, adapters, listing_mark)
            self.ownership.engine_reported(token, requested_at_s, self.now_s)

        self.engine.list_adapters(self, on_listed)

    def _handle_order_outcome(self, order: Order, outcome: OrderOutcome) -> None:
        self.adapter_slots.order_answered(order.order_id, outcome)
        self.start_ready_work()
