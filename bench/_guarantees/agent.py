"""A fake agent process around the real decision classes, with one target."""

from __future__ import annotations

from collections.abc import Callable

from bench._guarantees.agent_target import BATCH_PLACES, AgentTarget, Work
from bench._guarantees.platform import FakeEngine
from bench._guarantees.world import Shared
from lentiltally.decisions import attempts, minted_keys
from lentiltally.wire import messages

DRAIN_S = 30.0
SECRET = b"secret"


class FakeAgent(AgentTarget):
    """One run of an agent."""

    def __init__(
        self,
        shared: Shared,
        engine: FakeEngine,
        name: str,
        run: int,
        on_exit: Callable[[], None],
    ) -> None:
        """Listen for entries and begin to report."""
        super().__init__(shared, engine, name, run)
        self._on_exit = on_exit
        self.minted = shared.parts.minted()
        self.entries: set[str] = set()
        self.left_at_s: float | None = None
        self._stay_until_s = 0.0
        self._sequence = 0
        self.network.listen(name, self, self.receive)
        self.every(1.0, self._report)

    def leave(self) -> None:
        """Begin a graceful shutdown, as on SIGTERM."""
        if self.left_at_s is not None:
            return
        self.left_at_s = self.now_s
        self._stay_until_s = self.now_s + self.kernel.rng.choice([0.0, 4.0, 12.0])
        for work in self.works.values():
            state = self.table.state(work.execute.attempt_id)
            work.was_running_at_leave = state is attempts.AttemptState.RUNNING
        for work in list(self.queue):
            self.refuse_queued(work, "leaving")
        self._say_state()
        self.every(0.1, self._exit_if_idle)

    def end(self) -> None:
        """End at once."""
        if not self.is_dead:
            self.is_dead = True
            self.engine.disconnect(self)
            self._on_exit()

    def receive(self, message: object) -> None:
        """Handle a message of an entry."""
        match message:
            case messages.Hello():
                self.entries.add(message.reply_address)
                self._say_state()
            case messages.Execute():
                self._execute(message)
            case messages.Release():
                self.table.released(message.attempt_id)
            case messages.Cancel():
                self._cancel(message)
            case messages.Resume():
                self._resume_answer(message)
            case messages.ClaimQuery():
                self._claim_query(message)

    def _execute(self, message: messages.Execute) -> None:
        attempt_id, now_s = message.attempt_id, self.now_s
        offer = self.table.offer(attempt_id, message.agent_incarnation, now_s)
        match offer:
            case attempts.PermanentRefusal():
                executed = "unknown" if offer.may_have_run else "no"
                refusal = self._refused(attempt_id, executed, offer.reason.value)
                self._reply(message.reply_address, refusal)
            case attempts.AlreadyKnown():
                self.send_answer(self.works[attempt_id], 0)
            case attempts.Enqueue():
                self._queue(message)

    def _queue(self, message: messages.Execute) -> None:
        call = self.kernel.journal.calls[int(message.body)]
        work = Work(message, call, message.reply_address)
        self.works[message.attempt_id] = work
        if call.is_minted and not self._may_use_key(work):
            return
        if self.left_at_s is not None:
            self.refuse_queued(work, "leaving")
            return
        self.queue.append(work)

    def _may_use_key(self, work: Work) -> bool:
        """Check a minted key; a repeated one gets the first attempt's answer."""
        attempt_id = work.execute.attempt_id
        key = minted_keys.verify([SECRET], work.call.key)
        is_mine = key is not None and key.agent_incarnation == self.incarnation
        if key is None or not (is_mine or not self.parts.checks_minted_incarnation):
            self.refuse_queued(work, "key of another agent run", "unknown")
            return False
        digest = work.call.work.encode()
        offer = self.minted.offer(key.nonce, digest, attempt_id, self.now_s)
        if isinstance(offer, minted_keys.JoinAttempt):
            first = self.table.refuse(offer.attempt_id)
            is_free = isinstance(first, attempts.Refused) and self.minted.replace(
                key.nonce, offer.attempt_id, attempt_id
            )
            if not is_free:
                # The fake does not join answers; the caller learns that it may run.
                self.refuse_queued(work, "key in use", "unknown")
                return False
            self.queue = [
                w for w in self.queue if w is not self.works.get(offer.attempt_id)
            ]
        return True

    def refuse_queued(self, work: Work, reason: str, executed: str = "no") -> None:
        self.table.refuse(work.execute.attempt_id)
        self.queue = [other for other in self.queue if other is not work]
        refusal = self._refused(work.execute.attempt_id, executed, reason)
        self._reply(work.reply, refusal)

    def _cancel(self, message: messages.Cancel) -> None:
        result = self.table.refuse(message.attempt_id, message.agent_incarnation)
        executed = "no" if isinstance(result, attempts.Refused) else "unknown"
        work = self.works.get(message.attempt_id)
        if work is not None and executed == "no":
            self.queue = [other for other in self.queue if other is not work]
        refusal = self._refused(message.attempt_id, executed, "cancelled")
        self._reply(message.reply_address, refusal)

    def _resume_answer(self, message: messages.Resume) -> None:
        attempt_id = message.attempt_id
        result = self.table.query(attempt_id, message.agent_incarnation)
        work = self.works.get(attempt_id)
        match result:
            case attempts.Refused():
                refusal = self._refused(attempt_id, "no", "not received")
                self._reply(message.reply_address, refusal)
            case attempts.MayHaveRun() if result.answer is None:
                refusal = self._refused(attempt_id, "unknown", "answer dropped")
                self._reply(message.reply_address, refusal)
            case _ if work is not None:
                self.send_answer(work, message.next_index)

    def _claim_query(self, message: messages.ClaimQuery) -> None:
        result = self.table.query(message.claim_id, message.agent_incarnation)
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
        self._reply(message.reply_address, answer)

    def send_answer(self, work: Work, next_index: int) -> None:
        attempt_id = work.execute.attempt_id
        state = self.table.state(attempt_id)
        if work.refusal is not None:
            self._reply(work.reply, work.refusal)
        elif state is attempts.AttemptState.RELEASED:
            return
        elif not work.call.is_streamed:
            if work.is_ended:
                body = repr([(e.number, i) for e, i in work.events]).encode()
                whole = messages.CompleteAnswer(attempt_id, 200, "", body)
                self._reply(work.reply, whole)
        else:
            if next_index == 0:
                self._reply(work.reply, messages.AnswerHead(attempt_id, 200, ""))
            self.send_events(work, next_index)
            if work.is_ended:
                end = messages.AnswerEnd(attempt_id, len(work.events))
                self._reply(work.reply, end)

    def send_events(self, work: Work, first: int) -> None:
        attempt_id = work.execute.attempt_id
        if first == 0:
            self._reply(work.reply, messages.AnswerHead(attempt_id, 200, ""))
        # Batches overlap at random, as after a resume.
        start = max(0, first - self.kernel.rng.choice([0, 0, 0, 1, 2]))
        parts = work.events[start:]
        if parts:
            data = b"".join(f"{e.number} {i}\n\n".encode() for e, i in parts)
            count = len(parts)
            event = messages.AnswerEvents(attempt_id, start, count, data)
            self._reply(work.reply, event)

    def _reply(self, address: str, message: object) -> None:
        self.network.send(self.name, address, message)

    def _say_state(self) -> None:
        self._sequence += 1
        status = "live" if self.left_at_s is None else "leaving"
        for entry in sorted(self.entries):
            self._reply(entry, self._state(status))

    def _state(self, status: str) -> messages.TargetState:
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
            engine_incarnation=self.slots.engine_incarnation,
            counts=messages.TargetCounts(len(self.queue)),
            batch_places=BATCH_PLACES,
            adapter_slots=self.engine.slots,
            resident=(),
        )

    def _report(self) -> None:
        alive = {
            work.execute.attempt_id: len(work.events)
            for work in self.works.values()
            if self.table.state(work.execute.attempt_id)
            in {
                attempts.AttemptState.QUEUED,
                attempts.AttemptState.RUNNING,
                attempts.AttemptState.FINISHED,
            }
        }
        for entry in sorted(self.entries):
            progress = messages.Progress(self.name, self.incarnation, alive)
            self._reply(entry, progress)
        self._say_state()

    def _exit_if_idle(self) -> None:
        assert self.left_at_s is not None
        is_idle = self.table.is_idle
        if not self.parts.waits_for_release:
            is_idle = not any(work.pin for work in self.works.values())
        is_idle = is_idle and self.now_s >= self._stay_until_s
        if is_idle or self.now_s - self.left_at_s > DRAIN_S:
            if not self.parts.waits_for_release or is_idle:
                self._note_interrupted()
            self.end()

    def _note_interrupted(self) -> None:
        for work in self.works.values():
            delivery = self.kernel.journal.deliveries[work.call.number]
            has_answer = work.is_ended and work.refusal is None
            if work.was_running_at_leave and has_answer and not delivery.result:
                self.kernel.journal.interrupted.add(work.call.number)
