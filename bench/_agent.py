"""An agent of the measurements: the decision classes of one target over fakes."""

from __future__ import annotations

import random
from typing import Protocol

from bench._fakes import FakeEngine, FakeLog, FakeWeightStore, Loop, Run
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

SHARE_RETRY_S = 0.25
RENEW_S = 1.0


class Sender(Protocol):
    """What an agent tells the entry that sent a job."""

    def returned(self, agent: BenchAgent, job: Job) -> None:
        """Take back a job that has not run."""
        ...

    def first_token(self, job: Job) -> None:
        """Take the first token of an answer."""
        ...

    def ended(self, agent: BenchAgent, job: Job, is_whole: bool) -> None:
        """Take the end of an answer, or a refusal."""
        ...


def _unpack(item: QueuedWork) -> tuple[Job, Sender]:
    payload = item.payload
    assert isinstance(payload, tuple)
    return payload


class BenchAgent:
    """One target's queue, slots and loads; ``ended`` tells the entry of each end."""

    def __init__(
        self,
        loop: Loop,
        engine: FakeEngine,
        store: FakeWeightStore,
        log: FakeLog[LoadRecord],
        rng: random.Random,
    ) -> None:
        """Follow the log of loads from its start."""
        self.loop = loop
        self.engine = engine
        self.store = store
        self.log = log
        self.queue = WorkQueue(engine.places, QueueSettings())
        self.order = LoadOrder(rng)
        self.permits = LoadPermits()
        self.loaded_at_s: dict[int, float] = {}
        self.share = StaticShare(engine.shape.engines)
        self.longest_permit_wait_s = 0.0
        self.loads = 0
        self._requests: set[str] = set()
        self._asked_at_s: dict[str, float] = {}
        self._loading_ids: set[str] = set()
        self._is_share_planned = False
        self._count = 0
        log.followers.append(self._record)

    def execute(
        self,
        job: Job,
        latest_start_s: float,
        entry: Sender,
        *,
        reject_if_no_slot: bool = False,
    ) -> None:
        """Queue a job, or hand it back if the queue is full or no slot is left."""
        now_s = self.loop.now_s
        if reject_if_no_slot and self._lacks_slot(job.adapter):
            entry.returned(self, job)
            return
        item = QueuedWork(
            attempt_id=str(job.number),
            adapter=str(job.adapter),
            priority=0,
            criticality=job.criticality,
            enqueued_s=now_s,
            deadline_s=latest_start_s,
            predicted_tokens=0.0,
            payload=(job, entry),
        )
        if not self.queue.put(item, now_s):
            entry.ended(self, job, False)
            return
        self.loop.at(latest_start_s, self._expire)
        self.pump()

    def cancel(self, job: Job) -> None:
        """Stop a job that waits or runs here."""
        if self.queue.cancel(str(job.number)) is None:
            for run in [run for run in self.engine.running if run.job is job]:
                self.engine.cancel(run)
        self.pump()

    def pump(self) -> None:
        """Start what can start and order the loads that queued work needs."""
        now_s = self.loop.now_s
        resident = {str(adapter) for adapter in self.engine.resident}
        held = self.queue.adapter_to_hold_back(resident, now_s)
        running_long = sum(
            self.queue.is_long(self.engine.tokens_done(run))
            for run in self.engine.running
        )
        for item in self.queue.take(
            self.engine.free_places,
            resident,
            now_s,
            running_long=running_long,
            held_back=() if held is None else (held,),
        ):
            self._start(item)
        self._request_permits(resident)

    def _start(self, item: QueuedWork) -> None:
        job, entry = _unpack(item)
        now_s = self.loop.now_s
        job.start_s = now_s
        loaded_s = self.loaded_at_s.get(job.adapter, 0.0)
        job.load_wait_s += max(0.0, loaded_s - item.enqueued_s)
        self.engine.start(
            job,
            lambda run: self._first(run, entry),
            lambda run: self._end(run, entry),
        )

    def _first(self, run: Run, entry: Sender) -> None:
        if run.job.first_s is None:
            run.job.first_s = self.loop.now_s
        entry.first_token(run.job)

    def _end(self, run: Run, entry: Sender) -> None:
        run.job.end_s = self.loop.now_s
        entry.ended(self, run.job, True)
        self.pump()

    def _expire(self) -> None:
        now_s = self.loop.now_s
        resident = self.engine.resident
        for item in self.queue.remove_expired(now_s):
            job, entry = _unpack(item)
            if job.adapter not in resident:
                job.load_wait_s += now_s - item.enqueued_s
            entry.ended(self, job, False)

    def _lacks_slot(self, adapter: int) -> bool:
        resident = {str(name) for name in self.engine.resident}
        known = resident | {str(name) for name in self.engine.loading}
        return (
            str(adapter) not in known
            and str(adapter) not in self.queue.adapters()
            and self.counts()[2] <= 0
        )

    def counts(self) -> tuple[int, int, int]:
        """Return what answers carry: queued and running work, and free slots."""
        engine = self.engine
        resident = {str(adapter) for adapter in engine.resident}
        absent = self.queue.adapters() - resident
        absent |= {str(adapter) for adapter in engine.loading}
        free_slots = engine.slots - len(engine.pinned()) - len(absent)
        return len(self.queue), len(engine.running), free_slots

    def _request_permits(self, resident: set[str]) -> None:
        absent = len(self.queue.missing_adapters(resident, self.loop.now_s))
        absent -= len(self.engine.loading)
        while len(self._requests) < min(absent, 4) and self._has_slot(
            len(self._requests) + 1
        ):
            request = LoadRequest(self._next_id(), self.engine.name)
            if not self.log.append(request):
                self._use_share()
                return
            self._requests.add(request.request_id)
            self._asked_at_s[request.request_id] = self.loop.now_s

    def _next_id(self) -> str:
        self._count += 1
        return f"{self.engine.name}/{self._count}"

    def _use_share(self) -> None:
        """Load by the static share while the log is down."""
        if self._requests or self._is_share_planned:
            # Requests made before the outage are still granted by the table.
            return
        request_id = self._next_id()
        if self.share.try_start(request_id, self.loop.now_s):
            self._load(request_id)
            return
        self._is_share_planned = True
        self.loop.after(SHARE_RETRY_S, self._retry_share)

    def _retry_share(self) -> None:
        self._is_share_planned = False
        self.pump()

    def _has_slot(self, count: int) -> bool:
        engine = self.engine
        used = len(engine.pinned()) + len(engine.loading)
        return used + count <= engine.slots

    def _record(self, record: LoadRecord, offset: int, time_s: float) -> None:
        self.permits.apply(record, offset, time_s)
        self._use_permits()

    def _use_permits(self) -> None:
        now_s = self.loop.now_s
        if self._requests:
            for request_id in self.permits.grants(now_s):
                if request_id in self._requests:
                    self._requests.discard(request_id)
                    waited_s = now_s - self._asked_at_s.pop(request_id)
                    self.longest_permit_wait_s = max(
                        self.longest_permit_wait_s, waited_s
                    )
                    self._load(request_id)
            due_s = self.permits.next_change_s()
            if due_s is not None and self._requests and due_s > now_s:
                self.loop.at(due_s, self._use_permits)

    def _load(self, request_id: str) -> None:
        engine, now_s = self.engine, self.loop.now_s
        resident = {str(adapter) for adapter in engine.resident}
        loading = {str(adapter) for adapter in engine.loading}
        adapter = self.order.next(
            self.queue.missing_adapters(resident, now_s), loading, now_s
        )
        victim = self._victim()
        full = len(engine.resident) + len(engine.loading) >= engine.slots
        if adapter is None or (full and victim is None):
            self.log.append(LoadRelease(request_id))
            self.share.ended(request_id)
            return
        engine.begin_load(int(adapter), victim if full else None)
        self.loads += 1
        self.store.load(lambda: self._loaded(int(adapter), request_id))
        self._loading_ids.add(request_id)
        self.loop.after(RENEW_S, lambda: self._renew(request_id))

    def _renew(self, request_id: str) -> None:
        if request_id in self._loading_ids:
            self.log.append(LoadRenewal(request_id))
            self.loop.after(RENEW_S, lambda: self._renew(request_id))

    def _loaded(self, adapter: int, request_id: str) -> None:
        self._loading_ids.discard(request_id)
        self.share.ended(request_id, self.loop.now_s)
        self.engine.end_load(adapter)
        self.loaded_at_s[adapter] = self.loop.now_s
        self.order.loaded(str(adapter))
        self.log.append(LoadRelease(request_id))
        self.pump()

    def _victim(self) -> int | None:
        """Return the least recently used adapter that nothing runs or waits on."""
        engine = self.engine
        free = set(engine.resident) - engine.pinned()
        waited = {int(name) for name in self.queue.adapters()}
        if not free:
            return None
        return min(
            free,
            key=lambda name: (name in waited, engine.resident[name], name),
        )
