"""A discrete-event loop and small fakes of the systems around the decision code."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from bench._shapes import Job, Shape

T = TypeVar("T")


class Loop:
    """Runs calls in the order of their times; equal times in the order of planning."""

    def __init__(self) -> None:
        """Start at 0 s."""
        self.now_s = 0.0
        self._planned: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, time_s: float, call: Callable[[], None]) -> None:
        """Plan a call at a time, or now if that has passed."""
        self._count += 1
        entry = (max(time_s, self.now_s), self._count, call)
        heapq.heappush(self._planned, entry)

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Plan a call after a delay."""
        self.at(self.now_s + delay_s, call)

    def run(self, until_s: float) -> None:
        """Run all calls up to a time."""
        while self._planned and self._planned[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._planned)
            call()
        self.now_s = until_s


class FakeWeightStore:
    """Starts 4.5 loads/s (burst 8); over 8 in flight each takes longer in proportion.

    ``in_flight`` counts ordered loads, also those that wait for their start.
    """

    PER_S = 4.5
    BURST = 8.0
    LIMIT = 8
    LOAD_S = 0.25

    def __init__(self, loop: Loop) -> None:
        """Start with a full bucket."""
        self._loop = loop
        self._tokens = self.BURST
        self._tokens_at_s = 0.0
        self.slow_factor = 1.0
        self.in_flight = 0
        self.most_in_flight = 0
        self.loads = 0
        self.over_limit_s = 0.0
        self._changed_s = 0.0

    def load(self, done: Callable[[], None]) -> None:
        """Order a load; ``done`` is called at its end."""
        self._count(1)
        self.loads += 1
        now_s = self._loop.now_s
        refilled = self._tokens + (now_s - self._tokens_at_s) * self.PER_S
        self._tokens = min(self.BURST, refilled) - 1.0
        self._tokens_at_s = now_s
        wait_s = max(0.0, -self._tokens / self.PER_S)
        load_s = self.LOAD_S * max(1.0, self.in_flight / self.LIMIT)
        load_s *= self.slow_factor
        self._loop.after(wait_s + load_s, lambda: self._end(done))

    def _end(self, done: Callable[[], None]) -> None:
        self._count(-1)
        done()

    def _count(self, by: int) -> None:
        if self.in_flight > self.LIMIT:
            self.over_limit_s += self._loop.now_s - self._changed_s
        self._changed_s = self._loop.now_s
        self.in_flight += by
        self.most_in_flight = max(self.most_in_flight, self.in_flight)


@dataclass(slots=True, eq=False)
class Run:
    """A job in a batch place of an engine."""

    job: Job
    left_s: float
    first_left_s: float
    since_s: float
    on_first: Callable[[Run], None]
    on_end: Callable[[Run], None]
    version: int = 0
    is_over: bool = False
    has_begun: bool = False


class FakeEngine:
    """An engine with batch places, adapter slots and a factor that slows it."""

    def __init__(self, loop: Loop, name: str, shape: Shape) -> None:
        """Start empty."""
        self.name = name
        self.places = shape.batch_places
        self.slots = shape.adapter_slots
        self.loop = loop
        self.shape = shape
        self.running: list[Run] = []
        self.resident: dict[int, float] = {}
        self.loading: set[int] = set()
        self.factor = 1.0
        self.worked_s = 0.0
        self.wasted_s = 0.0

    @property
    def free_places(self) -> int:
        """Return the number of free batch places."""
        return self.places - len(self.running)

    def pinned(self) -> set[int]:
        """Return the adapters of the running jobs."""
        return {run.job.adapter for run in self.running}

    def begin_load(self, adapter: int, victim: int | None) -> None:
        """Reserve a slot for an adapter; the victim, if any, is unloaded at once."""
        if victim is not None:
            assert victim not in self.pinned()
            del self.resident[victim]
        assert len(self.resident) + len(self.loading) < self.slots
        self.loading.add(adapter)

    def end_load(self, adapter: int) -> None:
        """Make a loaded adapter usable."""
        self.loading.discard(adapter)
        self.resident[adapter] = self.loop.now_s

    def start(
        self, job: Job, on_first: Callable[[Run], None], on_end: Callable[[Run], None]
    ) -> Run:
        """Run a job whose adapter is resident in a free place."""
        assert job.adapter in self.resident and self.free_places > 0
        self.resident[job.adapter] = self.loop.now_s
        first_s = self.shape.first_token_s
        left_s = first_s + job.tokens * self.shape.token_s
        run = Run(job, left_s, first_s, self.loop.now_s, on_first, on_end)
        self.running.append(run)
        self._plan(run)
        return run

    def cancel(self, run: Run) -> None:
        """Stop a job, free its place and count its work as wasted."""
        if not run.is_over:
            self.wasted_s += self._release(run)

    def _release(self, run: Run) -> float:
        """Free the place and return the seconds of work done in it."""
        self._progress(run)
        run.is_over = True
        self.running.remove(run)
        nominal_s = self.shape.first_token_s + run.job.tokens * self.shape.token_s
        done_s = nominal_s - run.left_s
        self.worked_s += done_s
        return done_s

    def slow(self, factor: float) -> None:
        """Change the factor; running jobs keep the work they have done."""
        for run in self.running:
            self._progress(run)
        self.factor = factor
        for run in self.running:
            self._plan(run)

    def tokens_done(self, run: Run) -> float:
        """Return how many tokens a running job has produced."""
        passed_s = (self.loop.now_s - run.since_s) / self.factor
        left_s = run.left_s - passed_s
        return max(0.0, run.job.tokens - left_s / self.shape.token_s)

    def _progress(self, run: Run) -> None:
        passed_s = (self.loop.now_s - run.since_s) / self.factor
        run.left_s -= passed_s
        run.first_left_s -= passed_s
        run.since_s = self.loop.now_s

    def _plan(self, run: Run) -> None:
        run.version += 1
        version = run.version
        if not run.has_begun:
            first_at_s = run.since_s + run.first_left_s * self.factor
            self.loop.at(first_at_s, lambda: self._first(run, version))
        end_at_s = run.since_s + run.left_s * self.factor
        self.loop.at(end_at_s, lambda: self._end(run, version))

    def _first(self, run: Run, version: int) -> None:
        if run.is_over or run.has_begun or run.version != version:
            return
        run.has_begun = True
        run.on_first(run)

    def _end(self, run: Run, version: int) -> None:
        if run.is_over or run.version != version:
            return
        self._release(run)
        run.on_end(run)


class LaggingReport(Generic[T]):
    """Delivers snapshots of a target at intervals, each some time late."""

    def __init__(
        self,
        loop: Loop,
        shape: Shape,
        offset_s: float,
        snapshot: Callable[[], T],
        deliver: Callable[[T], None],
    ) -> None:
        """Begin at an offset, so that the targets don't report at once."""
        self._loop = loop
        self._shape = shape
        self._snapshot = snapshot
        self._deliver = deliver
        loop.at(offset_s, self._report)

    def _report(self) -> None:
        snapshot = self._snapshot()
        self._loop.after(self._shape.report_lag_s, lambda: self._deliver(snapshot))
        self._loop.after(self._shape.report_every_s, self._report)


class FakeLog(Generic[T]):
    """An append-only stream; each follower sees a record some time after its append."""

    def __init__(self, loop: Loop, append_s: float, follow_s: float) -> None:
        """Keep the delays of an append and of the way to the followers."""
        self._loop = loop
        self._append_s = append_s
        self._follow_s = follow_s
        self._offset = 0
        self.is_down = False
        self.followers: list[Callable[[T, int, float], None]] = []

    def append(self, record: T) -> bool:
        """Append a record; False while the log is down."""
        if not self.is_down:
            self._loop.after(self._append_s, lambda: self._store(record))
        return not self.is_down

    def _store(self, record: T) -> None:
        offset, self._offset = self._offset, self._offset + 1
        time_s = self._loop.now_s
        for follower in self.followers:
            self._loop.after(
                self._follow_s,
                lambda follower=follower: follower(record, offset, time_s),  # type: ignore[misc]
            )
