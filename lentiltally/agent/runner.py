"""Serves one target: its queue, its batch places and the attempts that run."""

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
from lentiltally.decisions.attempts import AlreadyKnown, AttemptState, RefusedForGood
from lentiltally.decisions.lengths import LengthEstimates
from lentiltally.decisions.quarantine import Admission, ClearRecord, Suspicion
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

LIVE = "live"
LEAVING = "leaving"
STARTING = "starting"


class TargetRunner:
    """The queue and the running attempts of one target."""

    def __init__(
        self,
        settings: TargetSettings,
        state: AgentState,
        reporter: Reporter,
        target: Target,
    ) -> None:
        """Start with an empty queue; ``state.lock`` guards it."""
        self.settings = settings
        self.name = settings.name
        self.places = settings.batch_places or 32
        self._state = state
        self._reporter = reporter
        self._target = target
        self._queue = target.queue
        self._lengths = LengthEstimates()
        self._running: dict[str, Job] = {}
        self._is_leaving = False
        self._measured = QueueMetrics(state.metrics, self.name, self.places)
        self._last_state: TargetState | None = None
        self._pool = ThreadPoolExecutor(self.places, f"run-{settings.name}")

    def submit(self, execute: Execute) -> None:
        """Take an attempt over from an entry, or refuse it."""
        state = self._state
        now_s = state.clock.monotonic_s()
        with state.lock:
            offered = state.attempts.offer(
                execute.attempt_id, execute.agent_incarnation, now_s
            )
            if isinstance(offered, RefusedForGood):
                executed = "unknown" if offered.may_have_run else "no"
                self._refuse(execute, offered.reason.value, executed=executed)
            elif isinstance(offered, AlreadyKnown):
                self._repeat(execute, offered)
            else:
                self._accept(execute, now_s)
        self.pump()

    def cancel(self, message: Cancel) -> bool:
        """Refuse an attempt for good if it waits here; stop it if it runs here.

        False if this target has no such attempt.
        """
        attempt_id = message.attempt_id
        with self._state.lock:
            job = self._running.get(attempt_id)
            item = self._queue.cancel(attempt_id)
            if item is not None:
                self._give_back(item, "cancelled")
        if job is not None and job.execute.idempotent:
            self._target.cancel(job)
        return job is not None or item is not None

    def changed(self) -> None:
        """Tell the entries after a change of status or incarnation."""
        self._reporter.broadcast()
        self.pump()

    def pump(self) -> None:
        """Start what can start now and refuse what is too late."""
        state = self._state
        now_s = state.clock.monotonic_s()
        with state.lock:
            if not len(self._queue):
                return
            for item in self._queue.expired(now_s):
                self._give_back(item, "deadline")
            free = self.places - len(self._running)
            if free > 0 and self._target.may_start():
                self._start(free, now_s)
            is_waiting = len(self._queue) > 0
        if is_waiting:
            self._target.work_waits()

    def leave(self) -> None:
        """Accept no more work and hand back what waits."""
        with self._state.lock:
            self._is_leaving = True
            for item in self._queue.clear():
                self._give_back(item, "leaving")

    def is_idle(self) -> bool:
        """Return whether nothing runs or waits."""
        with self._state.lock:
            return not self._running and not len(self._queue)

    def abort(self) -> None:
        """Answer what still runs at the end of a drain as unknown."""
        with self._state.lock:
            for job in list(self._running.values()):
                self.emit(job, self._unknown(job, "shutdown", "drain"))

    def state(self) -> TargetState:
        """Return the target's state; a changed one gets the next sequence number."""
        shared = self._state
        with shared.lock:
            known = self._last_state
            state = self._make_state(known.sequence if known is not None else 0)
            if known is None or not known.equals_ignoring_counts(state):
                shared.state_sequence += 1
                state = msgspec.structs.replace(state, sequence=shared.state_sequence)
            self._last_state = state
            return state

    def _make_state(self, sequence: int) -> TargetState:
        shared = self._state
        return TargetState(
            agent=shared.name,
            agent_address=shared.address,
            agent_incarnation=shared.incarnation,
            sequence=sequence,
            target=self.name,
            kind=self.settings.kind,
            base_model=self.settings.base_model or "",
            failure_domain=shared.failure_domain,
            status=self._status(),
            reason="",
            engine_incarnation=self._target.incarnation,
            counts=self._counts(),
            batch_places=self.places,
            adapter_slots=self.settings.adapter_slots or 0,
            resident=tuple(
                adapter_name_hash(name) for name in sorted(self._target.resident())
            ),
        )

    def running(self) -> dict[str, Job]:
        """Return the running jobs by attempt id."""
        with self._state.lock:
            return dict(self._running)

    def emit(self, job: Job, message: AnswerMessage) -> None:
        """Keep a message of the answer and send it, with the present counts."""
        if isinstance(message, (AnswerEnd, CompleteAnswer, Refused)):
            with self._state.lock:
                if job.kept.is_finished:
                    return
                message = msgspec.structs.replace(
                    message,
                    # The job that ends here no longer counts.
                    counts=self._counts(ended=1),
                )
        job.kept.add(message)
        self._reporter.send(job.kept.reply_address, message)

    def _accept(self, execute: Execute, now_s: float) -> None:
        state = self._state
        objection = self._objection(execute)
        if objection:
            state.attempts.refuse(execute.attempt_id)
            self._refuse(execute, objection, retry_after_s=1.0)
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
        state.live[execute.attempt_id] = KeptAnswer(execute.reply_address)
        self._target.accepted(execute)
        if adapter and adapter not in self._target.resident():
            self._measured.arrived_cold(execute.attempt_id)

    def _objection(self, execute: Execute) -> str:
        """Return why an attempt is refused on arrival, or an empty text."""
        state = self._state
        if self._is_leaving:
            return "leaving"
        fingerprint = execute.fingerprint
        if state.quarantine.suspicion(fingerprint) is Suspicion.QUARANTINED:
            return "quarantined"
        model = f"{execute.team}/{execute.adapter}@{execute.version}"
        if execute.reject_if_no_slot and self._target.lacks_slot(model):
            return "no-slot"
        return ""

    def _repeat(self, execute: Execute, known: AlreadyKnown) -> None:
        kept = self._state.kept(execute.attempt_id)
        if kept is not None:
            for message in kept.since(0):
                self._reporter.send(execute.reply_address, message)
        elif known.state is AttemptState.REFUSED:
            self._refuse(execute, "refused before")

    def _start(self, free: int, now_s: float) -> None:
        suspect_runs = any(job.item.is_suspect for job in self._running.values())
        resident = self._target.resident()
        yielding = self._queue.yielding(resident, now_s)
        items = self._queue.take(
            free,
            resident,
            now_s,
            running_long=self._running_long(),
            suspect_running=suspect_runs,
            held_back=() if yielding is None else (yielding,),
        )
        for item in items:
            assert isinstance(item.payload, Execute)
            kept = self._state.live[item.attempt_id]
            job = Job(item, item.payload, kept)
            admission = self._state.quarantine.admit(
                self.name, item.payload.fingerprint
            )
            if admission is Admission.QUARANTINED:
                self._give_back(item, "quarantined")
            elif admission is Admission.HOLD or not self._target.pin(job):
                self._put_back(item, now_s)
            else:
                self._begin(job, now_s)

    def _put_back(self, item: QueuedWork, now_s: float) -> None:
        if not self._queue.put(item, now_s):
            self._give_back(item, "deadline")

    def _begin(self, job: Job, now_s: float) -> None:
        state = self._state
        state.attempts.started(job.item.attempt_id)
        state.quarantine.started(self.name, job.execute.fingerprint)
        self._running[job.item.attempt_id] = job
        if job.execute.key:
            state.claimed[job.item.attempt_id] = (job.execute.team, job.execute.key)
        self._time_wait(job, now_s)
        self._pool.submit(self._run, job)

    def _time_wait(self, job: Job, now_s: float) -> None:
        is_short = not self._queue.is_long(job.item.predicted_tokens)
        self._measured.began(
            job.item.attempt_id,
            now_s - job.item.enqueued_s,
            is_behind_long=is_short and self._running_long() > 0,
        )

    def sample(self) -> None:
        """Take a sample of how full the batch is while work waits."""
        with self._state.lock:
            if len(self._queue):
                self._measured.sample(len(self._running))

    def set_gauges(self) -> None:
        """Send the queue's length and the mean fill of the batch."""
        with self._state.lock:
            self._measured.send_gauges(len(self._queue))

    def _run(self, job: Job) -> None:
        is_finished = False
        try:
            self._target.run(job, lambda message: self.emit(job, message))
            is_finished = True
        except TargetError as error:
            self._failed(job, error)
        except Exception:
            _log.exception("attempt failed", extra={"attempt": job.item.attempt_id})
            self.emit(job, self._unknown(job, "internal", "run"))
        finally:
            self._end(job, is_finished)
        self.pump()

    def _failed(self, job: Job, error: TargetError) -> None:
        _log.warning(
            "attempt failed",
            extra={
                "attempt": job.item.attempt_id,
                "target": self.name,
                "error": str(error),
            },
        )
        self._target.failed(job, error)
        if error.may_have_run or job.kept.next_index:
            self.emit(job, self._unknown(job, error.reason, error.step))
            return
        with self._state.lock:
            self._state.attempts.returned(job.item.attempt_id)
            self._state.claimed.pop(job.item.attempt_id, None)
        self.emit(job, self._not_run(job, "target-unreachable", error.step))

    def _end(self, job: Job, is_finished: bool) -> None:
        state = self._state
        fingerprint = job.execute.fingerprint
        with state.lock:
            self._running.pop(job.item.attempt_id, None)
            self._target.unpin(job)
            if is_finished:
                self._lengths.finished(job.item.adapter, max(1, job.kept.next_index))
                if state.quarantine.ended(self.name, fingerprint, finished=True):
                    state.record_quarantine(ClearRecord(fingerprint))
            state.live.pop(job.item.attempt_id, None)
            state.attempts.finished(job.item.attempt_id, job.kept, job.kept.size_bytes)

    def _give_back(self, item: QueuedWork, reason: str) -> None:
        """Refuse a waiting attempt for good, so that the entry can place it anew."""
        execute = item.payload
        assert isinstance(execute, Execute)
        state = self._state
        state.attempts.refuse(item.attempt_id)
        state.live.pop(item.attempt_id, None)
        self._measured.given_back(item.attempt_id)
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

    def _unknown(self, job: Job, reason: str, step: str) -> Refused:
        return Refused(job.item.attempt_id, "unknown", reason, step, self.name, 0.0)

    def _not_run(self, job: Job, reason: str, step: str) -> Refused:
        return Refused(job.item.attempt_id, "no", reason, step, self.name, 1.0)

    def _counts(self, ended: int = 0) -> TargetCounts:
        return TargetCounts(
            len(self._queue),
            max(0, len(self._running) - ended),
            self._target.free_slots(),
        )

    def _running_long(self) -> int:
        return sum(
            self._queue.is_long(job.kept.next_index) for job in self._running.values()
        )

    def _status(self) -> str:
        if self._is_leaving:
            return LEAVING
        return LIVE if self._target.is_ready() else STARTING
