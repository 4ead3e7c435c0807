"""How much longer short jobs wait when there are long jobs (head-of-line blocking)."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from bench._measurement import Measurement
from bench._runs import (
    Task,
    jobs_after_warm_up,
    quantile,
    run_baseline,
    run_on_all_shapes,
    run_policies,
)
from bench._shapes import Job, Shape, arrivals, constant_load

DURATION_S = 540.0
BOUND = 1.25


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst ratio of p95 queue waits."""
    results = run_on_all_shapes(_measure, seed)
    worst = max(results.values(), key=lambda row: row["value"])
    return Measurement(
        measure="head-of-line",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=BOUND,
        holds=worst["value"] <= BOUND,
        unit="ratio",
        fields={"shapes": results},
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    policy_jobs, policy_jobs_short = (
        _jobs(shape, seed, with_long) for with_long in (True, False)
    )
    baseline_jobs, baseline_jobs_short = (
        _jobs(shape, seed, with_long) for with_long in (True, False)
    )
    for jobs in (policy_jobs, policy_jobs_short):
        run_policies(shape, seed, jobs, DURATION_S)
    for jobs in (baseline_jobs, baseline_jobs_short):
        run_baseline(shape, seed, jobs, DURATION_S)
    with_s, without_s = _p95_wait_s(policy_jobs), _p95_wait_s(policy_jobs_short)
    baseline_with_s, baseline_without_s = (
        _p95_wait_s(baseline_jobs),
        _p95_wait_s(baseline_jobs_short),
    )
    return {
        "value": with_s / without_s,
        "baseline": baseline_with_s / baseline_without_s,
        "p95_with_s": with_s,
        "p95_without_s": without_s,
        "baseline_p95_with_s": baseline_with_s,
        "unserved": _unserved(policy_jobs),
        "unserved_without": _unserved(policy_jobs_short),
        "long_wait_max_s": max(
            (job.start_s or job.arrival_s) - job.arrival_s
            for job in jobs_after_warm_up(policy_jobs)
            if job.is_long
        ),
    }


def _jobs(shape: Shape, seed: int, with_long: bool) -> list[Job]:
    """Return the arrivals; unless ``with_long``, long jobs get the usual length."""
    jobs = arrivals(shape, seed, DURATION_S, constant_load(shape.low_load))
    if with_long:
        return jobs
    return [
        replace(job, tokens=job.tokens / shape.long_factor) if job.is_long else job
        for job in jobs
    ]


def _p95_wait_s(jobs: Sequence[Job]) -> float:
    """Return the p95 queue wait of short jobs, including those that timed out.

    Jobs that were refused at once have not waited; their share is reported separately.
    """
    waits = []
    for job in jobs_after_warm_up(jobs):
        until_s = job.start_s if job.start_s is not None else job.refused_s
        if not job.is_long and until_s is not None and not _is_shed(job):
            waits.append(until_s - job.arrival_s)
    return max(quantile(waits, 0.95), 0.001)


def _is_shed(job: Job) -> bool:
    return job.refused_s is not None and job.refused_s - job.arrival_s < 0.1


def _unserved(jobs: Sequence[Job]) -> float:
    short = [job for job in jobs_after_warm_up(jobs) if not job.is_long]
    return sum(job.end_s is None for job in short) / len(short)
