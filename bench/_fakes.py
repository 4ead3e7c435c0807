"""A discrete-event simulation loop, and fakes of engine, weight store and log."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from bench._shapes import Job, Shape

T = TypeVar("T")


class EventLoop:
    """Runs callbacks in order of simulated time, then in order of scheduling."""

    def __init__(self) -> None:
        """Start at a simulated time of 0 s."""
        self.now_s = 0.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time, or now if the time has passed."""
        self._sequence += 1
        event = (max(time_s, self.now_s), self._sequence, callback)
        heapq.heappush(self._scheduled, event)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now_s + delay_s, callback)

    def run(self, until_s: float) -> None:
        """Run all callbacks due up to a time."""
        while self._scheduled and self._scheduled[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now_s = until_s


class FakeWeightStore:
    """A weight store that starts 4.5 loads/s, with bursts of 8, from a token bucket.

    With more than 8 loads in flight, the duration of a load grows in proportion to
    their number. ``in_flight`` counts all ordered loads, including those that the
    token bucket still delays. ``over_limit_s`` is the time spent above 8 in flight.
    """

    STARTS_PER_S = 4.5
    BURST_LOADS = 8.0
    MAX_FULL_SPEED_LOADS = 8
    LOAD_S = 0.25

    def __init__(self, loop: EventLoop) -> None:
        """Start with a full token bucket."""
        self._loop = loop
        self._tokens = self.BURST_LOADS
        self._tokens_at_s = 0.0
        self.slow_factor = 1.0
        self.in_flight = 0
        self.max_in_flight = 0
        self.loads = 0
        self.over_limit_s = 0.0
        self._in_flight_changed_s = 0.0

    def load(self, on_done: Callable[[], None]) -> None:
        """Order a load; ``on_done`` is called when it ends."""
        self._change_in_flight(1)
        self.loads += 1
        now_s = self._loop.now_s
        refilled = self._tokens + (now_s - self._tokens_at_s) * self.STARTS_PER_S
        self._tokens = min(self.BURST_LOADS, refilled) - 1.0
        self._tokens_at_s = now_s
        wait_s = max(0.0, -self._tokens / self.STARTS_PER_S)
        load_s = self.LOAD_S * max(1.0, self.in_flight / self.MAX_FULL_SPEED_LOADS)
        load_s *= self.slow_factor
        self._loop.call_later(wait_s + load_s, lambda: self._handle_end(on_done))

    def _handle_end(self, on_done: Callable[[], None]) -> None:
        self._change_in_flight(-1)
        on_done()

    def _change_in_flight(self, change: int) -> None:
        if self.in_flight > self.MAX_FULL_SPEED_LOADS:
            self.over_limit_s += self._loop.now_s - self._in_flight_changed_s
        self._in_flight_changed_s = self._loop.now_s
        self.in_flight += change
        self.max_in_flight = max(self.max_in_flight, self.in_flight)


@dataclass(slots=True, eq=False)
class RunningJob:
    """A job in a batch slot of an engine.

    ``remaining_s`` and ``first_token_remaining_s`` are seconds of work at full speed,
    as of ``updated_at_s``. ``schedule_version`` marks callbacks that were scheduled
    before a change of speed as outdated.
    """

    job: Job
    remaining_s: float
    first_token_remaining_s: float
    updated_at_s: float
    on_first_token: Callable[[RunningJob], None]
    on_end: Callable[[RunningJob], None]
    schedule_version: int = 0
    is_ended: bool = False
    has_first_token: bool = False


class FakeEngine:
    """An engine with batch slots and adapter slots.

    ``loaded`` maps each loaded adapter to the time of its last use. ``work_s`` counts
    seconds of work at full speed, ``cancelled_work_s`` the part done for cancelled
    jobs. ``slow_factor`` multiplies the durations; 1 is full speed.
    """

    def __init__(self, loop: EventLoop, name: str, shape: Shape) -> None:
        """Start without adapters and jobs."""
        self.name = name
        self.batch_slots = shape.batch_slots
        self.adapter_slots = shape.adapter_slots
        self.loop = loop
        self.shape = shape
        self.running: list[RunningJob] = []
        self.loaded: dict[int, float] = {}
        self.loading: set[int] = set()
        self.slow_factor = 1.0
        self.work_s = 0.0
        self.cancelled_work_s = 0.0

    @property
    def free_batch_slots(self) -> int:
        """Return the number of free batch slots."""
        return self.batch_slots - len(self.running)

    def pinned_adapters(self) -> set[int]:
        """Return the adapters that running jobs use."""
        return {run.job.adapter for run in self.running}

    def begin_load(self, adapter: int, victim: int | None) -> None:
        """Reserve an adapter slot; the victim, if any, is unloaded at once."""
        if victim is not None:
            assert victim not in self.pinned_adapters()
            del self.loaded[victim]
        assert len(self.loaded) + len(self.loading) < self.adapter_slots
        self.loading.add(adapter)

    def end_load(self, adapter: int) -> None:
        """Mark an adapter as loaded."""
        self.loading.discard(adapter)
        self.loaded[adapter] = self.loop.now_s

    def start(
        self,
        job: Job,
        on_first_token: Callable[[RunningJob], None],
        on_end: Callable[[RunningJob], None],
    ) -> RunningJob:
        """Run a job in a free batch slot; its adapter must be loaded."""
        assert job.adapter in self.loaded and self.free_batch_slots > 0
        self.loaded[job.adapter] = self.loop.now_s
        first_s = self.shape.first_token_s
        remaining_s = first_s + job.tokens * self.shape.token_s
        run = RunningJob(
            job, remaining_s, first_s, self.loop.now_s, on_first_token, on_end
        )
        self.running.append(run)
        self._schedule_events(run)
        return run

    def cancel(self, run: RunningJob) -> None:
        """Stop a job, free its batch slot and count its work as cancelled."""
        if not run.is_ended:
            self.cancelled_work_s += self._release(run)

    def _release(self, run: RunningJob) -> float:
        """Free the batch slot and return the seconds of work done for the job."""
        self._update_progress(run)
        run.is_ended = True
        self.running.remove(run)
        full_work_s = self.shape.first_token_s + run.job.tokens * self.shape.token_s
        performed_s = full_work_s - run.remaining_s
        self.work_s += performed_s
        return performed_s

    def set_slow_factor(self, slow_factor: float) -> None:
        """Change the factor of durations; running jobs keep their progress."""
        for run in self.running:
            self._update_progress(run)
        self.slow_factor = slow_factor
        for run in self.running:
            self._schedule_events(run)

    def produced_tokens(self, run: RunningJob) -> float:
        """Return how many tokens a running job has produced so far."""
        progress_s = (self.loop.now_s - run.updated_at_s) / self.slow_factor
        remaining_s = run.remaining_s - progress_s
        return max(0.0, run.job.tokens - remaining_s / self.shape.token_s)

    def _update_progress(self, run: RunningJob) -> None:
        progress_s = (self.loop.now_s - run.updated_at_s) / self.slow_factor
        run.remaining_s -= progress_s
        run.first_token_remaining_s -= progress_s
        run.updated_at_s = self.loop.now_s

    def _schedule_events(self, run: RunningJob) -> None:
        run.schedule_version += 1
        schedule_version = run.schedule_version
        if not run.has_first_token:
            first_at_s = (
                run.updated_at_s + run.first_token_remaining_s * self.slow_factor
            )
            self.loop.call_at(
                first_at_s, lambda: self._handle_first_token(run, schedule_version)
            )
        end_at_s = run.updated_at_s + run.remaining_s * self.slow_factor
        self.loop.call_at(end_at_s, lambda: self._handle_end(run, schedule_version))

    def _handle_first_token(self, run: RunningJob, schedule_version: int) -> None:
        if (
            run.is_ended
            or run.has_first_token
            or run.schedule_version != schedule_version
        ):
            return
        run.has_first_token = True
        run.on_first_token(run)

    def _handle_end(self, run: RunningJob, schedule_version: int) -> None:
        if run.is_ended or run.schedule_version != schedule_version:
            return
        self._release(run)
        run.on_end(run)


class DelayedReporter(Generic[T]):
    """Delivers snapshots of a target at intervals, each after a network delay."""

    def __init__(
        self,
        loop: EventLoop,
        shape: Shape,
        offset_s: float,
        snapshot: Callable[[], T],
        deliver: Callable[[T], None],
    ) -> None:
        """Begin at an offset, so that targets don't all report at the same time."""
        self._loop = loop
        self._shape = shape
        self._snapshot = snapshot
        self._deliver = deliver
        loop.call_at(offset_s, self._send_report)

    def _send_report(self) -> None:
        snapshot = self._snapshot()
        self._loop.call_later(
            self._shape.report_delay_s, lambda: self._deliver(snapshot)
        )
        self._loop.call_later(self._shape.report_interval_s, self._send_report)


class FakeLog(Generic[T]):
    """An append-only stream whose followers get each record after a delay."""

    def __init__(
        self, loop: EventLoop, append_delay_s: float, follow_delay_s: float
    ) -> None:
        """Set the delay of an append, and of the delivery to each follower."""
        self._loop = loop
        self._append_delay_s = append_delay_s
        self._follow_delay_s = follow_delay_s
        self._offset = 0
        self.is_down = False
        self.followers: list[Callable[[T, int, float], None]] = []

    def append(self, record: T) -> bool:
        """Append a record; return False while the log is down."""
        if not self.is_down:
            self._loop.call_later(self._append_delay_s, lambda: self._store(record))
        return not self.is_down

    def _store(self, record: T) -> None:
        offset, self._offset = self._offset, self._offset + 1
        time_s = self._loop.now_s
        for follower in self.followers:
            self._loop.call_later(
                self._follow_delay_s,
                lambda follower=follower: follower(record, offset, time_s),  # type: ignore[misc]
            )
