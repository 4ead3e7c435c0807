"""Mean time that requests wait for adapter loads."""

from __future__ import annotations

from collections.abc import Sequence

from bench._measurement import Measurement
from bench._runs import (
    Task,
    in_time,
    measured,
    on_all_shapes,
    run_baseline,
    run_policies,
)
from bench._shapes import Job, arrivals, constant

DURATION_S = 540.0


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst ratio to the baseline."""
    results = on_all_shapes(_measure, seed)
    worst = max(results.values(), key=lambda row: row["value"] / row["baseline"])
    holds = all(row["value"] <= row["baseline"] / 2 for row in results.values())
    return Measurement(
        measure="cold-starts",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=worst["baseline"] / 2,
        holds=holds,
        unit="ms",
        fields={"shapes": results},
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    ours = arrivals(shape, seed, DURATION_S, constant(shape.low_load))
    plain = arrivals(shape, seed, DURATION_S, constant(shape.low_load))
    run_policies(shape, seed, ours, DURATION_S)
    run_baseline(shape, seed, plain, DURATION_S)
    ours, plain = measured(ours), measured(plain)
    return {
        "value": _mean_wait_ms(ours),
        "baseline": _mean_wait_ms(plain),
        "in_time": in_time(shape, ours) / len(ours),
        "baseline_in_time": in_time(shape, plain) / len(plain),
    }


def _mean_wait_ms(jobs: Sequence[Job]) -> float:
    """Return the mean over all requests, also those that gave up waiting."""
    return 1000.0 * sum(job.load_wait_s for job in jobs) / len(jobs)
