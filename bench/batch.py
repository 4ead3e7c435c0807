"""Share of batch slots in use at targets that have queued jobs."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bench._baseline import BaselineSystem
from bench._fakes import EventLoop, FakeEngine
from bench._measurement import Measurement
from bench._runs import WARM_UP_S, Task, run_on_all_shapes
from bench._shapes import arrivals, constant_load
from bench._system import PolicySystem

LOAD = 1.3
DURATION_S = 480.0
BOUND = 0.92
SAMPLE_S = 0.25


def run(seed: int) -> Measurement:
    """Measure on every shape and report the lowest share."""
    results = run_on_all_shapes(_measure, seed)
    worst = min(results.values(), key=lambda row: row["value"])
    holds = all(
        row["value"] >= BOUND and row["value"] >= row["baseline"]
        for row in results.values()
    )
    return Measurement(
        measure="batch",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=BOUND,
        holds=holds,
        unit="share",
        fields={"shapes": results},
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    system, baseline = PolicySystem(shape, seed), BaselineSystem(shape, seed)
    fill = _BatchFill(
        system.loop,
        [(a.engine, lambda a=a: len(a.queue)) for a in system.agents],  # type: ignore[misc]
    )
    baseline_fill = _BatchFill(
        baseline.loop,
        [(a.engine, lambda a=a: len(a.queue)) for a in baseline.agents],  # type: ignore[misc]
    )
    system.run(arrivals(shape, seed, DURATION_S, constant_load(LOAD)), DURATION_S)
    baseline.run(arrivals(shape, seed, DURATION_S, constant_load(LOAD)), DURATION_S)
    return {
        "value": fill.share(),
        "baseline": baseline_fill.share(),
        "all_places": fill.share_of_all(),
        "baseline_all_places": baseline_fill.share_of_all(),
    }


class _BatchFill:
    """Samples the filled batch slots of targets with queued jobs and of all targets."""

    def __init__(
        self, loop: EventLoop, targets: Sequence[tuple[FakeEngine, Callable[[], int]]]
    ) -> None:
        self._loop = loop
        self._targets = targets
        self._filled_slots = self._slots = self._all_filled_slots = self._all_slots = 0
        loop.call_at(WARM_UP_S, self._sample)

    def _sample(self) -> None:
        for engine, queued in self._targets:
            filled = len(engine.running)
            self._all_filled_slots += filled
            self._all_slots += engine.batch_slots
            if queued():
                self._filled_slots += filled
                self._slots += engine.batch_slots
        self._loop.call_later(SAMPLE_S, self._sample)

    def share(self) -> float:
        """Return the filled share of the batch slots of targets with queued jobs."""
        return self._filled_slots / max(1, self._slots)

    def share_of_all(self) -> float:
        """Return the filled share of all batch slots."""
        return self._all_filled_slots / max(1, self._all_slots)
