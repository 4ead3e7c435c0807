"""How full the batches are while work waits."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from bench._baseline import PlainSystem
from bench._fakes import FakeEngine, Loop
from bench._measurement import Measurement
from bench._runs import WARM_UP_S, Task, on_all_shapes
from bench._shapes import arrivals, constant
from bench._system import System

LOAD = 1.3
DURATION_S = 480.0
BOUND = 0.92
SAMPLE_S = 0.25


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst share."""
    results = on_all_shapes(_measure, seed)
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
    ours, plain = System(shape, seed), PlainSystem(shape, seed)
    ours_fill = _Fill(
        ours.loop,
        [(a.engine, lambda a=a: len(a.queue)) for a in ours.agents],  # type: ignore[misc]
    )
    plain_fill = _Fill(
        plain.loop,
        [(a.engine, lambda a=a: len(a.queue)) for a in plain.agents],  # type: ignore[misc]
    )
    ours.run(arrivals(shape, seed, DURATION_S, constant(LOAD)), DURATION_S)
    plain.run(arrivals(shape, seed, DURATION_S, constant(LOAD)), DURATION_S)
    return {
        "value": ours_fill.share(),
        "baseline": plain_fill.share(),
        "all_places": ours_fill.share_of_all(),
        "baseline_all_places": plain_fill.share_of_all(),
    }


class _Fill:
    """Samples the filled places of each target that has waiting work."""

    def __init__(
        self, loop: Loop, targets: Sequence[tuple[FakeEngine, Callable[[], int]]]
    ) -> None:
        self._loop = loop
        self._targets = targets
        self._filled = self._places = self._all_filled = self._all_places = 0
        loop.at(WARM_UP_S, self._sample)

    def _sample(self) -> None:
        for engine, queued in self._targets:
            filled = len(engine.running)
            self._all_filled += filled
            self._all_places += engine.places
            if queued():
                self._filled += filled
                self._places += engine.places
        self._loop.after(SAMPLE_S, self._sample)

    def share(self) -> float:
        """Return the filled share of the places of targets with waiting work."""
        return self._filled / max(1, self._places)

    def share_of_all(self) -> float:
        """Return the filled share of all places."""
        return self._all_filled / max(1, self._all_places)
