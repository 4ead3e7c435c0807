"""The baseline: least-loaded routing, FIFO queues, LRU eviction, no affinity."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bench._fakes import (
    DelayedReporter,
    EventLoop,
    FakeEngine,
    FakeWeightStore,
    RunningJob,
)
from bench._shapes import Job, Shape


@dataclass(slots=True)
class _QueuedJob:
    """A queued job, the time of its arrival, and the callback for its end."""

    job: Job
    enqueued_s: float
    on_end: Callable[[], None]


class BaselineAgent:
    """A bounded FIFO queue; all jobs wait until the first one's adapter is loaded."""

    MAX_QUEUE = 128

    def __init__(
        self, loop: EventLoop, engine: FakeEngine, store: FakeWeightStore
    ) -> None:
        """Start with an empty queue."""
        self.loop = loop
        self.engine = engine
        self.store = store
        self.queue: deque[_QueuedJob] = deque()
        self.loaded_at_s: dict[int, float] = {}

    def execute(self, job: Job, on_end: Callable[[], None]) -> None:
        """Queue a job, or refuse it if the queue is full."""
        if len(self.queue) >= self.MAX_QUEUE:
            job.refused_s = self.loop.now_s
            on_end()
            return
        self.queue.append(_QueuedJob(job, self.loop.now_s, on_end))
        self.start_ready_jobs()

    def start_ready_jobs(self) -> None:
        """Start jobs from the head of the queue while their adapters are loaded."""
        while self.queue:
            queue_head = self.queue[0]
            job, now_s = queue_head.job, self.loop.now_s
            if job.first_token_deadline_s <= now_s:
                self._refuse_late(queue_head)
            elif (
                not self.engine.free_batch_slots
                or job.adapter not in self.engine.loaded
            ):
                break
            else:
                self.queue.popleft()
                self._start(queue_head)
        self._order_loads()

    def _start(self, queued_job: _QueuedJob) -> None:
        job, now_s = queued_job.job, self.loop.now_s
        job.start_s = now_s
        loaded_s = self.loaded_at_s.get(job.adapter, 0.0)
        job.load_wait_s += max(0.0, loaded_s - queued_job.enqueued_s)

        def handle_first_token(run: RunningJob) -> None:
            job.first_token_at_s = self.loop.now_s

        def handle_end(run: RunningJob) -> None:
            job.end_s = self.loop.now_s
            queued_job.on_end()
            self.start_ready_jobs()

        self.engine.start(job, handle_first_token, handle_end)

    def _refuse_late(self, queued_job: _QueuedJob) -> None:
        self.queue.popleft()
        queued_job.on_end()
        job = queued_job.job
        job.refused_s = self.loop.now_s
        if job.adapter not in self.engine.loaded:
            job.load_wait_s += job.first_token_deadline_s - queued_job.enqueued_s

    def _order_loads(self) -> None:
        """Order loads in queue order; adapters of earlier jobs are not evicted."""
        engine = self.engine
        needed: set[int] = set()
        for queued_job in self.queue:
            adapter = queued_job.job.adapter
            if adapter in needed:
                continue
            needed.add(adapter)
            if adapter in engine.loaded or adapter in engine.loading:
                continue
            victim = None
            if len(engine.loaded) + len(engine.loading) >= engine.adapter_slots:
                free = set(engine.loaded) - engine.pinned_adapters() - needed
                if not free:
                    return
                victim = min(free, key=lambda name: (engine.loaded[name], name))
            engine.begin_load(adapter, victim)
            self.store.load(lambda adapter=adapter: self._handle_load_end(adapter))  # type: ignore[misc]

    def _handle_load_end(self, adapter: int) -> None:
        self.engine.end_load(adapter)
        self.loaded_at_s[adapter] = self.loop.now_s
        self.start_ready_jobs()


class BaselineSystem:
    """Entries that send each job to the target with the lowest reported load."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Create the store, the agents and their reports."""
        self.loop = EventLoop()
        self.shape = shape
        self.store = FakeWeightStore(self.loop)
        self._rng = random.Random(f"{seed}/{shape.name}/system")
        self.agents = [
            BaselineAgent(self.loop, FakeEngine(self.loop, f"t{n}", shape), self.store)
            for n in range(shape.engines)
        ]
        # Per entry and target. Reports set the counts, and the attempts of the entry
        # change them between two reports.
        self._loads = [[0] * shape.engines for _ in range(shape.entries)]
        for number, agent in enumerate(self.agents):
            self._start_reports(number, agent)

    def run(self, jobs: list[Job], until_s: float) -> None:
        """Run the jobs, each through a random entry."""
        for job in jobs:
            entry = self._rng.randrange(self.shape.entries)
            self.loop.call_at(
                job.arrival_s,
                lambda entry=entry, job=job: self._submit(entry, job),  # type: ignore[misc]
            )
        self.loop.run(until_s)

    def _submit(self, entry: int, job: Job) -> None:
        loads = self._loads[entry]
        lowest = min(loads)
        number = self._rng.choice([n for n, load in enumerate(loads) if load == lowest])
        loads[number] += 1
        agent = self.agents[number]

        def on_end() -> None:
            loads[number] = max(0, loads[number] - 1)

        self.loop.call_later(
            self.shape.one_way_delay_s, lambda: agent.execute(job, on_end)
        )

    def _start_reports(self, number: int, agent: BaselineAgent) -> None:
        def snapshot() -> int:
            return len(agent.queue) + len(agent.engine.running)

        def deliver(load: int) -> None:
            for loads in self._loads:
                loads[number] = load

        offset_s = self.shape.report_interval_s * number / self.shape.engines
        DelayedReporter(self.loop, self.shape, offset_s, snapshot, deliver)
