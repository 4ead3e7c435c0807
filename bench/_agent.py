"""A simulated agent: the real decision classes of one target on top of fakes."""

from __future__ import annotations

import random
from typing import Protocol

from bench._fakes import EventLoop, FakeEngine, FakeLog, FakeWeightStore, RunningJob
from bench._shapes import Job
from lentiltally.decisions.load_order import LoadOrder
from lentiltally.decisions.load_permits import (
    LoadPermits,
    LoadRecord,
    LoadRelease,
    LoadRenewal,
    LoadRequest,
    StaticShare,
)
from lentiltally.decisions.work_queue import QueuedWork, QueueSettings, WorkQueue

STATIC_SHARE_RETRY_S = 0.25
RENEWAL_INTERVAL_S = 1.0


class EntryCallbacks(Protocol):
    """Callbacks of the entry that sent a job."""

    def job_rejected(self, agent: BenchAgent, job: Job) -> None:
        """Handle a job that was rejected before execution."""
        ...

    def first_token_produced(self, job: Job) -> None:
        """Handle the first token of an answer."""
        ...

    def job_ended(self, agent: BenchAgent, job: Job, is_complete: bool) -> None:
        """Handle a complete answer (``is_complete``) or a refusal."""
        ...


def _unpack_payload(item: QueuedWork) -> tuple[Job, EntryCallbacks]:
    payload = item.payload
    assert isinstance(payload, tuple)
    return payload


class BenchAgent:
    """Queue, adapter slots and loads of one target."""

    def __init__(
        self,
        loop: EventLoop,
        engine: FakeEngine,
        store: FakeWeightStore,
        log: FakeLog[LoadRecord],
        rng: random.Random,
    ) -> None:
        """Follow the log of load permits from its start."""
        self.loop = loop
        self.engine = engine
        self.store = store
        self.log = log
        self.queue = WorkQueue(engine.batch_slots, QueueSettings())
        self.load_order = LoadOrder(rng)
        self.permits = LoadPermits()
        self.loaded_at_s: dict[int, float] = {}
        self.static_share = StaticShare(engine.shape.engines)
        self.longest_permit_wait_s = 0.0
        self.loads = 0
        self._pending_requests: set[str] = set()
        self._requested_at_s: dict[str, float] = {}
        self._active_load_ids: set[str] = set()
        self._is_share_retry_scheduled = False
        self._last_request_number = 0
        log.followers.append(self._apply_record)

    def execute(
        self,
        job: Job,
        first_token_deadline_s: float,
        entry: EntryCallbacks,
        *,
        reject_if_no_slot: bool = False,
    ) -> None:
        """Queue a job.

        The entry is told at once if the job is refused because the queue is full, or
        rejected because no adapter slot is free. A job is rejected only with
        ``reject_if_no_slot``; otherwise it waits for a slot.
        """
        now_s = self.loop.now_s
        if reject_if_no_slot and self._has_no_free_slot(job.adapter):
            entry.job_rejected(self, job)
            return
        item = QueuedWork(
            attempt_id=str(job.number),
            adapter=str(job.adapter),
            priority=0,
            criticality=job.criticality,
            enqueued_s=now_s,
            deadline_s=first_token_deadline_s,
            predicted_tokens=0.0,
            payload=(job, entry),
        )
        if not self.queue.put(item, now_s):
            entry.job_ended(self, job, False)
            return
        self.loop.call_at(first_token_deadline_s, self._expire)
        self.start_ready_jobs()

    def cancel(self, job: Job) -> None:
        """Stop a queued or running job."""
        if self.queue.cancel(str(job.number)) is None:
            for run in [run for run in self.engine.running if run.job is job]:
                self.engine.cancel(run)
        self.start_ready_jobs()

    def start_ready_jobs(self) -> None:
        """Start the jobs that can run and request permits for the loads others need."""
        now_s = self.loop.now_s
        loaded = {str(adapter) for adapter in self.engine.loaded}
        held_back_adapter = self.queue.adapter_to_hold_back(loaded, now_s)
        running_long = sum(
            self.queue.is_long(self.engine.produced_tokens(run))
            for run in self.engine.running
        )
        for item in self.queue.take(
            self.engine.free_batch_slots,
            loaded,
            now_s,
            running_long=running_long,
            held_back=() if held_back_adapter is None else (held_back_adapter,),
        ):
            self._start(item)
        self._request_permits(loaded)

    def _start(self, item: QueuedWork) -> None:
        job, entry = _unpack_payload(item)
        now_s = self.loop.now_s
        job.start_s = now_s
        loaded_s = self.loaded_at_s.get(job.adapter, 0.0)
        job.load_wait_s += max(0.0, loaded_s - item.enqueued_s)
        self.engine.start(
            job,
            lambda run: self._handle_first_token(run, entry),
            lambda run: self._handle_end(run, entry),
        )

    def _handle_first_token(self, run: RunningJob, entry: EntryCallbacks) -> None:
        if run.job.first_token_at_s is None:
            run.job.first_token_at_s = self.loop.now_s
        entry.first_token_produced(run.job)

    def _handle_end(self, run: RunningJob, entry: EntryCallbacks) -> None:
        run.job.end_s = self.loop.now_s
        entry.job_ended(self, run.job, True)
        self.start_ready_jobs()

    def _expire(self) -> None:
        now_s = self.loop.now_s
        loaded = self.engine.loaded
        for item in self.queue.remove_expired(now_s):
            job, entry = _unpack_payload(item)
            if job.adapter not in loaded:
                job.load_wait_s += now_s - item.enqueued_s
            entry.job_ended(self, job, False)

    def _has_no_free_slot(self, adapter: int) -> bool:
        loaded = {str(name) for name in self.engine.loaded}
        known = loaded | {str(name) for name in self.engine.loading}
        return (
            str(adapter) not in known
            and str(adapter) not in self.queue.adapters()
            and self.counts()[2] <= 0
        )

    def counts(self) -> tuple[int, int, int]:
        """Return the numbers of queued and running jobs and of free adapter slots."""
        engine = self.engine
        loaded = {str(adapter) for adapter in engine.loaded}
        missing = self.queue.adapters() - loaded
        missing |= {str(adapter) for adapter in engine.loading}
        free_slots = engine.adapter_slots - len(engine.pinned_adapters()) - len(missing)
        return len(self.queue), len(engine.running), free_slots

    def _request_permits(self, loaded: set[str]) -> None:
        missing = len(self.queue.missing_adapters(loaded, self.loop.now_s))
        missing -= len(self.engine.loading)
        while len(self._pending_requests) < min(
            missing, 4
        ) and self._has_unpinned_slots(len(self._pending_requests) + 1):
            request = LoadRequest(self._next_id(), self.engine.name)
            if not self.log.append(request):
                self._load_by_static_share()
                return
            self._pending_requests.add(request.request_id)
            self._requested_at_s[request.request_id] = self.loop.now_s

    def _next_id(self) -> str:
        self._last_request_number += 1
        return f"{self.engine.name}/{self._last_request_number}"

    def _load_by_static_share(self) -> None:
        """Load within the static share of the rate limit, while the log is down."""
        if self._pending_requests or self._is_share_retry_scheduled:
            # Requests appended before the outage still get their permits.
            return
        request_id = self._next_id()
        if self.static_share.try_start(request_id, self.loop.now_s):
            self._load(request_id)
            return
        self._is_share_retry_scheduled = True
        self.loop.call_later(STATIC_SHARE_RETRY_S, self._retry_static_share)

    def _retry_static_share(self) -> None:
        self._is_share_retry_scheduled = False
        self.start_ready_jobs()

    def _has_unpinned_slots(self, count: int) -> bool:
        engine = self.engine
        used = len(engine.pinned_adapters()) + len(engine.loading)
        return used + count <= engine.adapter_slots

    def _apply_record(self, record: LoadRecord, offset: int, time_s: float) -> None:
        self.permits.apply(record, offset, time_s)
        self._start_granted_loads()

    def _start_granted_loads(self) -> None:
        now_s = self.loop.now_s
        if self._pending_requests:
            for request_id in self.permits.grants(now_s):
                if request_id in self._pending_requests:
                    self._pending_requests.discard(request_id)
                    waited_s = now_s - self._requested_at_s.pop(request_id)
                    self.longest_permit_wait_s = max(
                        self.longest_permit_wait_s, waited_s
                    )
                    self._load(request_id)
            due_s = self.permits.next_change_s()
            if due_s is not None and self._pending_requests and due_s > now_s:
                self.loop.call_at(due_s, self._start_granted_loads)

    def _load(self, request_id: str) -> None:
        engine, now_s = self.engine, self.loop.now_s
        loaded = {str(adapter) for adapter in engine.loaded}
        loading = {str(adapter) for adapter in engine.loading}
        adapter = self.load_order.next(
            self.queue.missing_adapters(loaded, now_s), loading, now_s
        )
        victim = self._choose_victim()
        is_full = len(engine.loaded) + len(engine.loading) >= engine.adapter_slots
        if adapter is None or (is_full and victim is None):
            self.log.append(LoadRelease(request_id))
            self.static_share.ended(request_id)
            return
        engine.begin_load(int(adapter), victim if is_full else None)
        self.loads += 1
        self.store.load(lambda: self._handle_load_end(int(adapter), request_id))
        self._active_load_ids.add(request_id)
        self.loop.call_later(RENEWAL_INTERVAL_S, lambda: self._renew(request_id))

    def _renew(self, request_id: str) -> None:
        if request_id in self._active_load_ids:
            self.log.append(LoadRenewal(request_id))
            self.loop.call_later(RENEWAL_INTERVAL_S, lambda: self._renew(request_id))

    def _handle_load_end(self, adapter: int, request_id: str) -> None:
        self._active_load_ids.discard(request_id)
        self.static_share.ended(request_id, self.loop.now_s)
        self.engine.end_load(adapter)
        self.loaded_at_s[adapter] = self.loop.now_s
        self.load_order.loaded(str(adapter))
        self.log.append(LoadRelease(request_id))
        self.start_ready_jobs()

    def _choose_victim(self) -> int | None:
        """Return the least recently used adapter that no running job uses.

        Adapters that queued jobs need are chosen last.
        """
        engine = self.engine
        free = set(engine.loaded) - engine.pinned_adapters()
        waited_for = {int(name) for name in self.queue.adapters()}
        if not free:
            return None
        return min(
            free,
            key=lambda name: (name in waited_for, engine.loaded[name], name),
        )
