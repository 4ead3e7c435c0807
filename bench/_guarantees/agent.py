"""A fake agent process with one target, around the real decision classes."""

from __future__ import annotations

from collections.abc import Callable

from bench._guarantees.agent_target import BATCH_SLOTS, AgentTarget, Work
from bench._guarantees.environment import Environment
from bench._guarantees.platform import FakeEngine
from lentiltally.decisions import attempts, minted_keys
from lentiltally.wire import messages

DRAIN_S = 30.0
MINTED_KEY_SECRET = b"secret"


class FakeAgent(AgentTarget):
    """One incarnation of an agent."""

    def __init__(
        self,
        environment: Environment,
        engine: FakeEngine,
        name: str,
        run_number: int,
        on_exit: Callable[[], None],
    ) -> None:
        """Listen for entries and start to report progress."""
        super().__init__(environment, engine, name, run_number)
        self._on_exit = on_exit
        self.minted_key_table = environment.components.minted_key_table()
        self.entry_addresses: set[str] = set()
        self.drain_started_s: float | None = None
        self._earliest_exit_s = 0.0
        self._sequence = 0
        self.network.listen(name, self, self.receive)
        self.call_every(1.0, self._publish_progress)

    def start_drain(self) -> None:
        """Start a graceful shutdown, as on SIGTERM."""
        if self.drain_started_s is not None:
            return
        self.drain_started_s = self.now_s
        self._earliest_exit_s = self.now_s + self.kernel.rng.choice([0.0, 4.0, 12.0])
        for work in self.work_by_attempt_id.values():
            state = self.attempt_table.state(work.execute.attempt_id)
            work.was_running_at_drain = state is attempts.AttemptState.RUNNING
        for work in list(self.queue):
            self.refuse_queued(work, "leaving")
        self._publish_state()
        self.call_every(0.1, self._exit_if_idle)

    def terminate(self) -> None:
        """Terminate at once, as by SIGKILL."""
        if not self.is_dead:
            self.is_dead = True
            self.engine.disconnect(self)
            self._on_exit()

    def receive(self, message: object) -> None:
        """Handle a message from an entry."""
        match message:
            case messages.Hello():
                self.entry_addresses.add(message.reply_address)
                self._publish_state()
            case messages.Execute():
                self._handle_execute(message)
            case messages.Release():
                self.attempt_table.released(message.attempt_id)
            case messages.Cancel():
                self._handle_cancel(message)
            case messages.Resume():
                self._handle_resume(message)
            case messages.ClaimQuery():
                self._handle_claim_query(message)

    def _handle_execute(self, message: messages.Execute) -> None:
        attempt_id, now_s = message.attempt_id, self.now_s
        offer = self.attempt_table.offer(attempt_id, message.agent_incarnation, now_s)
        match offer:
            case attempts.PermanentRefusal():
                executed = "unknown" if offer.may_have_run else "no"
                refusal = self._refusal(attempt_id, executed, offer.reason.value)
                self._send(message.reply_address, refusal)
            case attempts.AlreadyKnown():
                self.send_answer(self.work_by_attempt_id[attempt_id], 0)
            case attempts.Enqueue():
                self._enqueue(message)

    def _enqueue(self, message: messages.Execute) -> None:
        call = self.kernel.journal.calls[int(message.body)]
        work = Work(message, call, message.reply_address)
        self.work_by_attempt_id[message.attempt_id] = work
        if call.is_minted and not self._accept_minted_key(work):
            return
        if self.drain_started_s is not None:
            self.refuse_queued(work, "leaving")
            return
        self.queue.append(work)

    def _accept_minted_key(self, work: Work) -> bool:
        """Check the minted key of work; refuse the work if it may not run."""
        attempt_id = work.execute.attempt_id
        key = minted_keys.verify([MINTED_KEY_SECRET], work.call.key)
        is_own_key = key is not None and key.agent_incarnation == self.incarnation
        if key is None or not (
            is_own_key or not self.components.checks_minted_incarnation
        ):
            self.refuse_queued(work, "key of another agent run", "unknown")
            return False
        digest = work.call.work_id.encode()
        offer = self.minted_key_table.offer(key.nonce, digest, attempt_id, self.now_s)
        if isinstance(offer, minted_keys.JoinAttempt):
            first = self.attempt_table.refuse(offer.attempt_id)
            is_replaced = isinstance(
                first, attempts.Refused
            ) and self.minted_key_table.replace(key.nonce, offer.attempt_id, attempt_id)
            if not is_replaced:
                # Unlike the real agent, the fake does not join a second attempt to the
                # answer of the first. The caller is told that the work may have run.
                self.refuse_queued(work, "key in use", "unknown")
                return False
            self.queue = [
                w
                for w in self.queue
                if w is not self.work_by_attempt_id.get(offer.attempt_id)
            ]
        return True

    def refuse_queued(self, work: Work, reason: str, executed: str = "no") -> None:
        self.attempt_table.refuse(work.execute.attempt_id)
        self.queue = [other for other in self.queue if other is not work]
        refusal = self._refusal(work.execute.attempt_id, executed, reason)
        self._send(work.reply_address, refusal)

    def _handle_cancel(self, message: messages.Cancel) -> None:
        result = self.attempt_table.refuse(
            message.attempt_id, message.agent_incarnation
        )
        executed = "no" if isinstance(result, attempts.Refused) else "unknown"
        work = self.work_by_attempt_id.get(message.attempt_id)
        if work is not None and executed == "no":
            self.queue = [other for other in self.queue if other is not work]
        refusal = self._refusal(message.attempt_id, executed, "cancelled")
        self._send(message.reply_address, refusal)

    def _handle_resume(self, message: messages.Resume) -> None:
        attempt_id = message.attempt_id
        result = self.attempt_table.query(attempt_id, message.agent_incarnation)
        work = self.work_by_attempt_id.get(attempt_id)
        match result:
            case attempts.Refused():
                refusal = self._refusal(attempt_id, "no", "not received")
                self._send(message.reply_address, refusal)
            case attempts.MayHaveRun() if result.answer is None:
                refusal = self._refusal(attempt_id, "unknown", "answer dropped")
                self._send(message.reply_address, refusal)
            case _ if work is not None:
                self.send_answer(work, message.next_index)

    def _handle_claim_query(self, message: messages.ClaimQuery) -> None:
        result = self.attempt_table.query(message.claim_id, message.agent_incarnation)
        state, body = "unknown", b""
        match result:
            case attempts.Refused():
                state = "refused"
            case attempts.Running():
                state = "running"
            case attempts.MayHaveRun() if isinstance(result.answer, Work):
                if result.answer.refusal is None:
                    state = "finished"
                    body = message.claim_id.encode()
        answer = messages.ClaimAnswer(message.query_id, state, 200, "", body)
        self._send(message.reply_address, answer)

    def send_answer(self, work: Work, next_index: int) -> None:
        attempt_id = work.execute.attempt_id
        state = self.attempt_table.state(attempt_id)
        if work.refusal is not None:
            self._send(work.reply_address, work.refusal)
        elif state is attempts.AttemptState.RELEASED:
            return
        elif not work.call.is_streamed:
            if work.is_ended:
                body = repr([(e.number, i) for e, i in work.events]).encode()
                answer = messages.CompleteAnswer(attempt_id, 200, "", body)
                self._send(work.reply_address, answer)
        else:
            if next_index == 0:
                self._send(work.reply_address, messages.AnswerHead(attempt_id, 200, ""))
            self.send_events(work, next_index)
            if work.is_ended:
                end = messages.AnswerEnd(attempt_id, len(work.events))
                self._send(work.reply_address, end)

    def send_events(self, work: Work, first_index: int) -> None:
        attempt_id = work.execute.attempt_id
        if first_index == 0:
            self._send(work.reply_address, messages.AnswerHead(attempt_id, 200, ""))
        # Batches overlap at random, as they do after a resume.
        start = max(0, first_index - self.kernel.rng.choice([0, 0, 0, 1, 2]))
        batch = work.events[start:]
        if batch:
            data = b"".join(f"{e.number} {i}\n\n".encode() for e, i in batch)
            count = len(batch)
            event = messages.AnswerEvents(attempt_id, start, count, data)
            self._send(work.reply_address, event)

    def _send(self, address: str, message: object) -> None:
        self.network.send(self.name, address, message)

    def _publish_state(self) -> None:
        self._sequence += 1
        status = "live" if self.drain_started_s is None else "leaving"
        for entry in sorted(self.entry_addresses):
            self._send(entry, self._build_state(status))

    def _build_state(self, status: str) -> messages.TargetState:
        return messages.TargetState(
            agent=self.name,
            agent_address=self.name,
            agent_incarnation=self.incarnation,
            sequence=self._sequence,
            target=self.engine.name,
            kind="engine",
            base_model="m",
            failure_domain="d",
            status=status,
            reason="",
            engine_incarnation=self.adapter_slots.engine_incarnation,
            counts=messages.TargetCounts(len(self.queue)),
            batch_places=BATCH_SLOTS,
            adapter_slots=self.engine.adapter_slots,
            resident=(),
        )

    def _publish_progress(self) -> None:
        event_counts = {
            work.execute.attempt_id: len(work.events)
            for work in self.work_by_attempt_id.values()
            if self.attempt_table.state(work.execute.attempt_id)
            in {
                attempts.AttemptState.QUEUED,
                attempts.AttemptState.RUNNING,
                attempts.AttemptState.FINISHED,
            }
        }
        for entry in sorted(self.entry_addresses):
            progress = messages.Progress(self.name, self.incarnation, event_counts)
            self._send(entry, progress)
        self._publish_state()

    def _exit_if_idle(self) -> None:
        assert self.drain_started_s is not None
        is_idle = self.attempt_table.is_idle
        if not self.components.waits_for_release:
            is_idle = not any(work.pin for work in self.work_by_attempt_id.values())
        is_idle = is_idle and self.now_s >= self._earliest_exit_s
        if is_idle or self.now_s - self.drain_started_s > DRAIN_S:
            if not self.components.waits_for_release or is_idle:
                self._record_undelivered()
            self.terminate()

    def _record_undelivered(self) -> None:
        for work in self.work_by_attempt_id.values():
            delivery = self.kernel.journal.deliveries[work.call.number]
            has_answer = work.is_ended and work.refusal is None
            if work.was_running_at_drain and has_answer and not delivery.result:
                self.kernel.journal.undelivered_at_drain.add(work.call.number)
