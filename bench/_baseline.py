"""The comparison: least-loaded routing, FIFO queues, LRU slots, no affinity."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from bench._fakes import FakeEngine, FakeWeightStore, LaggingReport, Loop, Run
from bench._shapes import Job, Shape


@dataclass(slots=True)
class _Waiting:
    """A queued job, since when it waits, and what to call at its end."""

    job: Job
    enqueued_s: float
    ended: Callable[[], None]


class PlainAgent:
    """A FIFO queue of bounded length whose head waits for its adapter."""

    MAX_QUEUE = 128

    def __init__(self, loop: Loop, engine: FakeEngine, store: FakeWeightStore) -> None:
        """Start empty."""
        self.loop = loop
        self.engine = engine
        self.store = store
        self.queue: deque[_Waiting] = deque()
        self.loaded_at_s: dict[int, float] = {}

    def execute(self, job: Job, ended: Callable[[], None]) -> None:
        """Queue a job, or refuse it if the queue is full."""
        if len(self.queue) >= self.MAX_QUEUE:
            job.refused_s = self.loop.now_s
            ended()
            return
        self.queue.append(_Waiting(job, self.loop.now_s, ended))
        self.pump()

    def pump(self) -> None:
        """Start the head of the queue as long as its adapter is resident."""
        while self.queue:
            head = self.queue[0]
            job, now_s = head.job, self.loop.now_s
            if job.latest_start_s <= now_s:
                self._drop_late(head)
            elif not self.engine.free_places or job.adapter not in self.engine.resident:
                break
            else:
                self.queue.popleft()
                self._start(head)
        self._load_in_order()

    def _start(self, waiting: _Waiting) -> None:
        job, now_s = waiting.job, self.loop.now_s
        job.start_s = now_s
        loaded_s = self.loaded_at_s.get(job.adapter, 0.0)
        job.load_wait_s += max(0.0, loaded_s - waiting.enqueued_s)

        def first(run: Run) -> None:
            job.first_s = self.loop.now_s

        def end(run: Run) -> None:
            job.end_s = self.loop.now_s
            waiting.ended()
            self.pump()

        self.engine.start(job, first, end)

    def _drop_late(self, waiting: _Waiting) -> None:
        self.queue.popleft()
        waiting.ended()
        job = waiting.job
        job.refused_s = self.loop.now_s
        if job.adapter not in self.engine.resident:
            job.load_wait_s += job.latest_start_s - waiting.enqueued_s

    def _load_in_order(self) -> None:
        """Order loads in queue order; what an earlier job needs stays loaded."""
        engine = self.engine
        needed: set[int] = set()
        for waiting in self.queue:
            adapter = waiting.job.adapter
            if adapter in needed:
                continue
            needed.add(adapter)
            if adapter in engine.resident or adapter in engine.loading:
                continue
            victim = None
            if len(engine.resident) + len(engine.loading) >= engine.slots:
                free = set(engine.resident) - engine.pinned() - needed
                if not free:
                    return
                victim = min(free, key=lambda name: (engine.resident[name], name))
            engine.begin_load(adapter, victim)
            self.store.load(lambda adapter=adapter: self._loaded(adapter))  # type: ignore[misc]

    def _loaded(self, adapter: int) -> None:
        self.engine.end_load(adapter)
        self.loaded_at_s[adapter] = self.loop.now_s
        self.pump()


class PlainSystem:
    """Entries that take the target with the lowest reported load."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Connect everything; nothing runs yet."""
        self.loop = Loop()
        self.shape = shape
        self.store = FakeWeightStore(self.loop)
        self._rng = random.Random(f"{seed}/{shape.name}/system")
        self.agents = [
            PlainAgent(self.loop, FakeEngine(self.loop, f"t{n}", shape), self.store)
            for n in range(shape.engines)
        ]
        # Reports set the counts; own attempts change them between two reports.
        self._loads = [[0] * shape.engines for _ in range(shape.entries)]
        for number, agent in enumerate(self.agents):
            self._report(number, agent)

    def run(self, jobs: list[Job], until_s: float) -> None:
        """Run the jobs; each comes to a random entry."""
        for job in jobs:
            entry = self._rng.randrange(self.shape.entries)
            self.loop.at(
                job.arrival_s,
                lambda entry=entry, job=job: self._request(entry, job),  # type: ignore[misc]
            )
        self.loop.run(until_s)

    def _request(self, entry: int, job: Job) -> None:
        loads = self._loads[entry]
        least = min(loads)
        number = self._rng.choice([n for n, load in enumerate(loads) if load == least])
        loads[number] += 1
        agent = self.agents[number]

        def ended() -> None:
            loads[number] = max(0, loads[number] - 1)

        self.loop.after(self.shape.one_way_s, lambda: agent.execute(job, ended))

    def _report(self, number: int, agent: PlainAgent) -> None:
        def snapshot() -> int:
            return len(agent.queue) + len(agent.engine.running)

        def deliver(load: int) -> None:
            for loads in self._loads:
                loads[number] = load

        offset_s = self.shape.report_every_s * number / self.shape.engines
        LaggingReport(self.loop, self.shape, offset_s, snapshot, deliver)
