"""Mean time that requests wait for adapter loads."""

from __future__ import annotations

from collections.abc import Sequence

from bench._measurement import Measurement
from bench._runs import (
    Task,
    count_in_time,
    jobs_after_warm_up,
    run_baseline,
    run_on_all_shapes,
    run_policies,
)
from bench._shapes import Job, arrivals, constant_load

DURATION_S = 540.0


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst ratio to the baseline."""
    results = run_on_all_shapes(_measure, seed)
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
    policy_jobs = arrivals(shape, seed, DURATION_S, constant_load(shape.low_load))
    baseline_jobs = arrivals(shape, seed, DURATION_S, constant_load(shape.low_load))
    run_policies(shape, seed, policy_jobs, DURATION_S)
    run_baseline(shape, seed, baseline_jobs, DURATION_S)
    policy_jobs, baseline_jobs = (
        jobs_after_warm_up(policy_jobs),
        jobs_after_warm_up(baseline_jobs),
    )
    return {
        "value": _mean_wait_ms(policy_jobs),
        "baseline": _mean_wait_ms(baseline_jobs),
        "in_time": count_in_time(shape, policy_jobs) / len(policy_jobs),
        "baseline_in_time": count_in_time(shape, baseline_jobs) / len(baseline_jobs),
    }


def _mean_wait_ms(jobs: Sequence[Job]) -> float:
    """Return the mean over all requests, including those that timed out."""
    return 1000.0 * sum(job.load_wait_s for job in jobs) / len(jobs)
