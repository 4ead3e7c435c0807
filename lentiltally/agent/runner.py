"""Serves one target: queues attempts, starts them and sends their answers.

An attempt that an entry sends is refused, or accepted and queued. When a batch slot is
free and its adapter is loaded, it becomes a ``Job`` and runs on a thread of the pool.
Every accepted attempt gets an answer or a refusal that tells whether it was executed.
"""

from __future__ import annotations

import logging
from concurrent.futures import ThreadPoolExecutor

import msgspec

from lentiltally.agent._http import TargetError
from lentiltally.agent.kept_answers import AnswerMessage, KeptAnswer
from lentiltally.agent.queue_metrics import QueueMetrics
from lentiltally.agent.reporter import Reporter
from lentiltally.agent.shared import AgentState, refuse
from lentiltally.agent.target import Job, Target
from lentiltally.decisions.answer_lengths import AnswerLengthEstimates
from lentiltally.decisions.attempts import AlreadyKnown, AttemptState, PermanentRefusal
from lentiltally.decisions.quarantine import BatchAdmission, ClearRecord, Suspicion
from lentiltally.decisions.work_queue import QueuedWork
from lentiltally.ids import adapter_name_hash
from lentiltally.settings import TargetSettings
from lentiltally.wire import (
    AnswerEnd,
    Cancel,
    CompleteAnswer,
    Execute,
    Refused,
    TargetCounts,
    TargetState,
)

_log = logging.getLogger(__name__)

# Values of ``TargetState.status``.
STATUS_LIVE = "live"
STATUS_DRAINING = "leaving"
STATUS_STARTING = "starting"


class TargetRunner:
    """The queue and the running attempts of one target; safe for several threads."""

    def __init__(
        self,
        settings: TargetSettings,
        state: AgentState,
        reporter: Reporter,
        target: Target,
    ) -> None:
        """Serve ``target`` and its empty queue.

        ``state.lock`` guards the queue and everything else here that changes.
        """
        self.settings = settings
        self.name = settings.name
        self.batch_slots = settings.batch_places or 32
        self._state = state
        self._reporter = reporter
        self._target = target
        self._queue = target.queue
        self._lengths = AnswerLengthEstimates()
        self._running: dict[str, Job] = {}
        self._is_draining = False
        self._queue_metrics = QueueMetrics(state.metrics, self.name, self.batch_slots)
        self._last_report: TargetState | None = None
        self._pool = ThreadPoolExecutor(self.batch_slots, f"run-{settings.name}")

    def submit(self, execute: Execute) -> None:
        """Queue an attempt that an entry has sent, or refuse it.

        The answer of an attempt that was accepted before is sent again.
        """
        state = self._state
        now_s = state.clock.monotonic_s()
        with state.lock:
            offered = state.attempts.offer(
                execute.attempt_id, execute.agent_incarnation, now_s
            )
            if isinstance(offered, PermanentRefusal):
                executed = "unknown" if offered.may_have_run else "no"
                self._refuse(execute, offered.reason.value, executed=executed)
            elif isinstance(offered, AlreadyKnown):
                self._resend_answer(execute, offered)
            else:
                self._accept(execute, now_s)
        self.process_queue()

    def cancel(self, message: Cancel) -> bool:
        """Cancel an attempt; False if it neither waits nor runs on this target.

        A waiting attempt is refused permanently. A running one is stopped at the target
        only if it is idempotent, otherwise it runs to its end.
        """
        attempt_id = message.attempt_id
        with self._state.lock:
            job = self._running.get(attempt_id)
            if job is not None:
                job.is_cancelled = True
            item = self._queue.cancel(attempt_id)
            if item is not None:
                self._refuse_queued(item, "cancelled")
        if job is not None and job.execute.idempotent:
            self._target.cancel(job)
        return job is not None or item is not None

    def on_target_changed(self) -> None:
        """Send the entries the target's changed status or incarnation."""
        self._reporter.broadcast()
        self.process_queue()

    def process_queue(self) -> None:
        """Refuse waiting attempts that are too late; start those that can start."""
        state = self._state
        now_s = state.clock.monotonic_s()
        with state.lock:
            if not len(self._queue):
                return
            for item in self._queue.remove_expired(now_s):
                self._refuse_queued(item, "deadline")
            free_batch_slots = self.batch_slots - len(self._running)
            if free_batch_slots > 0 and self._target.may_start():
                self._start_queued(free_batch_slots, now_s)
            is_waiting = len(self._queue) > 0
        if is_waiting:
            self._target.on_work_waiting()

    def drain(self) -> None:
        """Accept no more attempts and refuse those that wait."""
        with self._state.lock:
            self._is_draining = True
            for item in self._queue.clear():
                self._refuse_queued(item, "leaving")

    def is_idle(self) -> bool:
        """Return whether no attempt runs or waits."""
        with self._state.lock:
            return not self._running and not len(self._queue)

    def abort_running(self) -> None:
        """Report an unknown outcome for attempts that still run after a drain."""
        with self._state.lock:
            for job in list(self._running.values()):
                self.emit(job, self._refusal_outcome_unknown(job, "shutdown", "drain"))

    def state_report(self) -> TargetState:
        """Return the target's state report.

        A report that differs from the last one in more than the counts gets the agent's
        next sequence number; any other report keeps the last number.
        """
        agent_state = self._state
        with agent_state.lock:
            last = self._last_report
            report = self._make_report(last.sequence if last is not None else 0)
            if last is None or not last.equals_ignoring_counts(report):
                agent_state.state_sequence += 1
                report = msgspec.structs.replace(
                    report, sequence=agent_state.state_sequence
                )
            self._last_report = report
            return report

    def _make_report(self, sequence: int) -> TargetState:
        agent_state = self._state
        return TargetState(
            agent=agent_state.name,
            agent_address=agent_state.address,
            agent_incarnation=agent_state.incarnation,
            sequence=sequence,
            target=self.name,
            kind=self.settings.kind,
            base_model=self.settings.base_model or "",
            failure_domain=agent_state.failure_domain,
            status=self._status(),
            reason="",
            engine_incarnation=self._target.incarnation,
            counts=self._counts(),
            batch_places=self.batch_slots,
            adapter_slots=self.settings.adapter_slots or 0,
            resident=tuple(
                adapter_name_hash(name)
                for name in sorted(self._target.loaded_adapters())
            ),
        )

    def running_jobs(self) -> dict[str, Job]:
        """Return the running jobs by attempt id."""
        with self._state.lock:
            return dict(self._running)

    def emit(self, job: Job, message: AnswerMessage) -> None:
        """Store a message of the job's answer and send it to the entry.

        The last message carries the target's current counts. Once the answer
        has ended, another last message is dropped.
        """
        if isinstance(message, (AnswerEnd, CompleteAnswer, Refused)):
            with self._state.lock:
                if job.answer.is_finished:
                    return
                message = msgspec.structs.replace(
                    message,
                    # The job that ends with this message is still in _running.
                    counts=self._counts(ended=1),
                )
        job.answer.add(message)
        self._reporter.send(job.answer.reply_address, message)

    def _accept(self, execute: Execute, now_s: float) -> None:
        """Queue a new attempt, or refuse it permanently."""
        state = self._state
        reason = self._refusal_reason(execute)
        if reason:
            state.attempts.refuse(execute.attempt_id)
            self._refuse(execute, reason, retry_after_s=1.0)
            return
        model = f"{execute.team}/{execute.adapter}@{execute.version}"
        adapter = model if self.settings.kind == "engine" else ""
        item = QueuedWork(
            attempt_id=execute.attempt_id,
            adapter=adapter,
            priority=0,
            criticality=execute.priority,
            enqueued_s=now_s,
            deadline_s=now_s + execute.deadline_left_s,
            predicted_tokens=self._lengths.expected(adapter),
            is_suspect=execute.is_suspect
            or state.quarantine.suspicion(execute.fingerprint) is Suspicion.SUSPECT,
            payload=execute,
        )
        if not self._queue.put(item, now_s):
            state.attempts.refuse(execute.attempt_id)
            self._refuse(execute, "queue-full", retry_after_s=1.0)
            return
        state.open_answers[execute.attempt_id] = KeptAnswer(execute.reply_address)
        self._target.on_queued(execute)
        if adapter and adapter not in self._target.loaded_adapters():
            self._queue_metrics.record_cold_arrival(execute.attempt_id)

    def _refusal_reason(self, execute: Execute) -> str:
        """Return why an attempt is refused on arrival; empty if it is not."""
        state = self._state
        if self._is_draining:
            return "leaving"
        fingerprint = execute.fingerprint
        if state.quarantine.suspicion(fingerprint) is Suspicion.QUARANTINED:
            return "quarantined"
        model = f"{execute.team}/{execute.adapter}@{execute.version}"
        if execute.reject_if_no_slot and self._target.lacks_slot(model):
            return "no-slot"
        return ""

    def _resend_answer(self, execute: Execute, known: AlreadyKnown) -> None:
        answer = self._state.find_answer(execute.attempt_id)
        if answer is not None:
            for message in answer.messages_from(0):
                self._reporter.send(execute.reply_address, message)
        elif known.state is AttemptState.REFUSED:
            self._refuse(execute, "refused before")

    def _start_queued(self, free_batch_slots: int, now_s: float) -> None:
        """Start queued attempts; refuse quarantined ones and requeue blocked ones."""
        suspect_running = any(job.item.is_suspect for job in self._running.values())
        loaded = self._target.loaded_adapters()
        held_back_adapter = self._queue.adapter_to_hold_back(loaded, now_s)
        items = self._queue.take(
            free_batch_slots,
            loaded,
            now_s,
            running_long=self._running_long_count(),
            suspect_running=suspect_running,
            held_back=() if held_back_adapter is None else (held_back_adapter,),
        )
        for item in items:
            assert isinstance(item.payload, Execute)
            answer = self._state.open_answers[item.attempt_id]
            job = Job(item, item.payload, answer)
            admission = self._state.quarantine.admit(
                self.name, item.payload.fingerprint
            )
            if admission is BatchAdmission.QUARANTINED:
                self._refuse_queued(item, "quarantined")
            elif admission is BatchAdmission.HOLD or not self._target.pin(job):
                self._requeue(item, now_s)
            else:
                self._start_job(job, now_s)

    def _requeue(self, item: QueuedWork, now_s: float) -> None:
        if not self._queue.put(item, now_s):
            self._refuse_queued(item, "deadline")

    def _start_job(self, job: Job, now_s: float) -> None:
        state = self._state
        state.attempts.started(job.item.attempt_id)
        state.quarantine.started(self.name, job.execute.fingerprint)
        self._running[job.item.attempt_id] = job
        if job.execute.key:
            state.unrecorded_claims[job.item.attempt_id] = (
                job.execute.team,
                job.execute.key,
            )
        self._record_queue_wait(job, now_s)
        self._pool.submit(self._run, job)

    def _record_queue_wait(self, job: Job, now_s: float) -> None:
        is_short = not self._queue.is_long(job.item.predicted_tokens)
        self._queue_metrics.record_start(
            job.item.attempt_id,
            now_s - job.item.enqueued_s,
            is_behind_long=is_short and self._running_long_count() > 0,
        )

    def sample_batch_fill(self) -> None:
        """Take a sample of the batch fill if attempts wait."""
        with self._state.lock:
            if len(self._queue):
                self._queue_metrics.sample_batch_fill(len(self._running))

    def set_gauges(self) -> None:
        """Send the queue length and the mean batch fill."""
        with self._state.lock:
            self._queue_metrics.send_gauges(len(self._queue))

    def _run(self, job: Job) -> None:
        is_finished = False
        try:
            self._target.run(job, lambda message: self.emit(job, message))
            is_finished = True
        except TargetError as error:
            self._on_failure(job, error)
        except Exception:
            _log.exception(
                "unexpected error while running an attempt",
                extra={"attempt": job.item.attempt_id},
            )
            self.emit(job, self._refusal_outcome_unknown(job, "internal", "run"))
        finally:
            self._finish_job(job, is_finished)
        self.process_queue()

    def _on_failure(self, job: Job, error: TargetError) -> None:
        _log.warning(
            "attempt failed",
            extra={
                "attempt": job.item.attempt_id,
                "target": self.name,
                "error": str(error),
            },
        )
        self._target.on_failure(job, error)
        if error.may_have_run or job.answer.next_index:
            self.emit(job, self._refusal_outcome_unknown(job, error.reason, error.step))
            return
        with self._state.lock:
            self._state.attempts.cancel_start(job.item.attempt_id)
            self._state.unrecorded_claims.pop(job.item.attempt_id, None)
        self.emit(
            job, self._refusal_not_executed(job, "target-unreachable", error.step)
        )

    def _finish_job(self, job: Job, is_finished: bool) -> None:
        state = self._state
        fingerprint = job.execute.fingerprint
        with state.lock:
            self._running.pop(job.item.attempt_id, None)
            self._target.unpin(job)
            if is_finished:
                self._lengths.finished(job.item.adapter, max(1, job.answer.next_index))
                if state.quarantine.ended(self.name, fingerprint, finished=True):
                    state.record_quarantine(ClearRecord(fingerprint))
            state.open_answers.pop(job.item.attempt_id, None)
            state.attempts.finished(
                job.item.attempt_id, job.answer, job.answer.size_bytes
            )

    def _refuse_queued(self, item: QueuedWork, reason: str) -> None:
        """Refuse an attempt that has left the queue without being started.

        The refusal is permanent, so the entry can safely send a new attempt elsewhere.
        """
        execute = item.payload
        assert isinstance(execute, Execute)
        state = self._state
        state.attempts.refuse(item.attempt_id)
        state.open_answers.pop(item.attempt_id, None)
        self._queue_metrics.record_not_run(item.attempt_id)
        self._refuse(execute, reason, retry_after_s=1.0)

    def _refuse(
        self,
        execute: Execute,
        reason: str,
        *,
        executed: str = "no",
        retry_after_s: float = 0.0,
    ) -> None:
        refuse(
            self._reporter,
            execute.reply_address,
            execute.attempt_id,
            reason,
            self.name,
            executed=executed,
            retry_after_s=retry_after_s,
            counts=self._counts(),
        )

    def _refusal_outcome_unknown(self, job: Job, reason: str, step: str) -> Refused:
        return Refused(job.item.attempt_id, "unknown", reason, step, self.name, 0.0)

    def _refusal_not_executed(self, job: Job, reason: str, step: str) -> Refused:
        return Refused(job.item.attempt_id, "no", reason, step, self.name, 1.0)

    def _counts(self, ended: int = 0) -> TargetCounts:
        """Return the target's counts, without ``ended`` of the running jobs."""
        return TargetCounts(
            len(self._queue),
            max(0, len(self._running) - ended),
            self._target.free_slots(),
        )

    def _running_long_count(self) -> int:
        """Return how many running jobs have produced enough events to count as long."""
        return sum(
            self._queue.is_long(job.answer.next_index) for job in self._running.values()
        )

    def _status(self) -> str:
        if self._is_draining:
            return STATUS_DRAINING
        return STATUS_LIVE if self._target.is_ready() else STATUS_STARTING
