"""The decision classes put together over the fakes, as entries and agents use them."""

from __future__ import annotations

import random

from bench._fakes import FakeEngine, FakeLog, FakeWeightStore, LaggingReport, Loop, Run
from bench._shapes import Job, Shape
from lentiltally.decisions.admission import Admission, AdmissionRequest, Shed
from lentiltally.decisions.load_order import AdapterUse, LoadOrder
from lentiltally.decisions.load_permits import LoadPermits, LoadRelease, LoadRequest
from lentiltally.decisions.placement import (
    Placement,
    PlacementChoice,
    PlacementRequest,
    PlacementSettings,
    TargetView,
)
from lentiltally.decisions.work_queue import QueuedWork, QueueSettings, WorkQueue

MODEL = "m"
LOG_APPEND_S = 0.01
LOG_FOLLOW_S = 0.005


def _unpack(item: QueuedWork) -> tuple[Job, BenchEntry]:
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
        log: FakeLog[LoadRequest | LoadRelease],
        rng: random.Random,
    ) -> None:
        """Follow the log of loads from its start."""
        self.loop = loop
        self.engine = engine
        self.store = store
        self.log = log
        self.queue = WorkQueue(engine.places, QueueSettings())
        self.order = LoadOrder(rng)
        self.use = AdapterUse()
        self.permits = LoadPermits()
        self.loaded_at_s: dict[int, float] = {}
        self._requests: set[str] = set()
        self._count = 0
        log.followers.append(self._record)

    def execute(self, job: Job, latest_start_s: float, entry: BenchEntry) -> None:
        """Queue a job, or hand it back if the queue is full."""
        now_s = self.loop.now_s
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
        self.use.used(item.adapter, now_s)
        if not self.queue.put(item, now_s):
            entry.ended(self, job, False)
            return
        self.loop.at(latest_start_s, self._expire)
        self.pump()

    def pump(self) -> None:
        """Start what can start and order the loads that queued work needs."""
        now_s = self.loop.now_s
        resident = {str(adapter) for adapter in self.engine.resident}
        held = self.queue.yielding(resident, now_s)
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

    def _first(self, run: Run, entry: BenchEntry) -> None:
        if run.job.first_s is None:
            run.job.first_s = self.loop.now_s
        entry.first_token(run.job)

    def _end(self, run: Run, entry: BenchEntry) -> None:
        run.job.end_s = self.loop.now_s
        entry.ended(self, run.job, True)
        self.pump()

    def _expire(self) -> None:
        now_s = self.loop.now_s
        resident = self.engine.resident
        for item in self.queue.expired(now_s):
            job, entry = _unpack(item)
            if job.adapter not in resident:
                job.load_wait_s += now_s - item.enqueued_s
            entry.ended(self, job, False)

    def counts(self) -> tuple[int, int, int]:
        """Return what answers carry: queued and running work, and free slots."""
        engine = self.engine
        resident = {str(adapter) for adapter in engine.resident}
        absent = self.queue.adapters() - resident
        absent |= {str(adapter) for adapter in engine.loading}
        free_slots = engine.slots - len(engine.pinned()) - len(absent)
        return len(self.queue), len(engine.running), free_slots

    def _request_permits(self, resident: set[str]) -> None:
        absent = len(self.queue.wanted(resident, self.loop.now_s))
        absent -= len(self.engine.loading)
        while len(self._requests) < min(absent, 4) and self._has_slot(
            len(self._requests) + 1
        ):
            self._count += 1
            request = LoadRequest(f"{self.engine.name}/{self._count}", self.engine.name)
            if not self.log.append(request):
                return
            self._requests.add(request.request_id)

    def _has_slot(self, count: int) -> bool:
        engine = self.engine
        used = len(engine.pinned()) + len(engine.loading)
        return used + count <= engine.slots

    def _record(
        self, record: LoadRequest | LoadRelease, offset: int, time_s: float
    ) -> None:
        self.permits.apply(record, offset, time_s)
        self._use_permits()

    def _use_permits(self) -> None:
        now_s = self.loop.now_s
        if self._requests:
            for request_id in self.permits.grants(now_s):
                if request_id in self._requests:
                    self._requests.discard(request_id)
                    self._load(request_id)
            due_s = self.permits.next_change_s()
            if due_s is not None and self._requests and due_s > now_s:
                self.loop.at(due_s, self._use_permits)

    def _load(self, request_id: str) -> None:
        engine, now_s = self.engine, self.loop.now_s
        resident = {str(adapter) for adapter in engine.resident}
        loading = {str(adapter) for adapter in engine.loading}
        adapter = self.order.next(self.queue.wanted(resident, now_s), loading, now_s)
        victim = self._victim()
        full = len(engine.resident) + len(engine.loading) >= engine.slots
        if adapter is None or (full and victim is None):
            self.log.append(LoadRelease(request_id))
            return
        engine.begin_load(int(adapter), victim if full else None)
        self.store.load(lambda: self._loaded(int(adapter), request_id))

    def _loaded(self, adapter: int, request_id: str) -> None:
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
        now_s = self.loop.now_s
        return min(
            free,
            key=lambda name: (name in waited, self.use.score(str(name), now_s), name),
        )


class BenchEntry:
    """One entry: placement, admission and the count of its own attempts."""

    def __init__(self, loop: Loop, shape: Shape, rng: random.Random) -> None:
        """Start without targets; states fill the table."""
        self.loop = loop
        self.shape = shape
        self.placement = Placement(rng, PlacementSettings())
        self.admission = Admission(rng)
        self.use = AdapterUse()
        self._waits_for_load: set[int] = set()
        self.agents: dict[str, BenchAgent] = {}

    def request(self, job: Job) -> None:
        """Place a job or refuse it."""
        job.attempts += 1
        now_s = self.loop.now_s
        wanted = PlacementRequest(MODEL, job.adapter)
        choice = self.placement.choose(wanted, now_s)
        if choice is None:
            self._refuse(job)
            return
        needs_load = choice.reason == "cold"
        self.use.used(str(job.adapter), now_s)
        offer = AdmissionRequest(
            team=str(job.team),
            criticality=job.criticality,
            patience_s=job.latest_start_s - now_s,
            queue_wait_s=choice.queue_wait_s,
            needs_load=needs_load,
            demand=self.use.score(str(job.adapter), now_s),
        )
        if isinstance(self.admission.offer(offer, now_s), Shed):
            self._refuse(job)
            return
        if needs_load:
            self._waits_for_load.add(job.number)
        self._send(choice, wanted, job)

    def _send(
        self, choice: PlacementChoice, wanted: PlacementRequest, job: Job
    ) -> None:
        now_s = self.loop.now_s
        self.placement.dispatched(choice.target, wanted, now_s)
        agent = self.agents[choice.target]
        self.loop.after(
            self.shape.one_way_s, lambda: agent.execute(job, job.latest_start_s, self)
        )

    def ended(self, agent: BenchAgent, job: Job, is_whole: bool) -> None:
        """Take an answer or a refusal, with the counts that it carries."""
        counts = agent.counts()
        self.loop.after(
            self.shape.one_way_s,
            lambda: self._count(agent.engine.name, counts, job, is_whole),
        )

    def first_token(self, job: Job) -> None:
        """Take the first token of an answer."""
        self.loop.after(self.shape.one_way_s, lambda: self._load_wait_ended(job))

    def _load_wait_ended(self, job: Job) -> None:
        if job.number in self._waits_for_load:
            self._waits_for_load.discard(job.number)
            self.admission.load_wait_ended(job.criticality, self.loop.now_s)

    def _count(
        self, name: str, counts: tuple[int, int, int], job: Job, is_whole: bool
    ) -> None:
        self._load_wait_ended(job)
        self.admission.finished(str(job.team), self.loop.now_s)
        self.placement.finished(name, self.loop.now_s)
        self.placement.counted(name, counts[0], counts[1], self.loop.now_s, counts[2])
        if not is_whole:
            self._refuse(job)

    def _refuse(self, job: Job) -> None:
        job.refused_s = self.loop.now_s


class System:
    """All entries, agents and fakes of one run."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Connect everything; nothing runs yet."""
        self.loop = Loop()
        self.shape = shape
        self.store = FakeWeightStore(self.loop)
        self.log = FakeLog[LoadRequest | LoadRelease](
            self.loop, LOG_APPEND_S, LOG_FOLLOW_S
        )
        self._rng = random.Random(f"{seed}/{shape.name}/system")
        self.agents = [self._agent(number) for number in range(shape.engines)]
        self.entries = [
            BenchEntry(self.loop, shape, random.Random(self._rng.random()))
            for _ in range(shape.entries)
        ]
        for entry in self.entries:
            entry.agents = {agent.engine.name: agent for agent in self.agents}
            for agent in self.agents:
                entry.placement.update(self._view(agent))
        for number, agent in enumerate(self.agents):
            offset_s = shape.report_every_s * number / shape.engines
            LaggingReport(
                self.loop,
                shape,
                offset_s,
                lambda agent=agent: self._view(agent),  # type: ignore[misc]
                self._deliver,
            )

    def run(self, jobs: list[Job], until_s: float) -> None:
        """Run the jobs; each comes to a random entry."""
        for job in jobs:
            entry = self._rng.choice(self.entries)
            self.loop.at(
                job.arrival_s,
                lambda entry=entry, job=job: entry.request(job),  # type: ignore[misc]
            )
        self.loop.run(until_s)

    def _agent(self, number: int) -> BenchAgent:
        engine = FakeEngine(self.loop, f"t{number}", self.shape)
        rng = random.Random(self._rng.random())
        return BenchAgent(self.loop, engine, self.store, self.log, rng)

    def _view(self, agent: BenchAgent) -> TargetView:
        engine = agent.engine
        queued, running, free_slots = agent.counts()
        number = int(engine.name[1:])
        return TargetView(
            name=engine.name,
            failure_domain=str(number % self.shape.failure_domains),
            base_model=MODEL,
            agent=engine.name,
            batch_places=engine.places,
            adapter_slots=engine.slots,
            queued=queued,
            running=running,
            resident=frozenset(engine.resident) | frozenset(engine.loading),
            reported_at_s=self.loop.now_s,
            free_slots=free_slots,
        )

    def _deliver(self, view: TargetView) -> None:
        for entry in self.entries:
            entry.placement.update(view)
