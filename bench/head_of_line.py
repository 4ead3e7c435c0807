"""How much longer short work waits when there is long work."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace

from bench._measurement import Measurement
from bench._runs import (
    Task,
    measured,
    on_all_shapes,
    quantile,
    run_baseline,
    run_policies,
)
from bench._shapes import Job, Shape, arrivals, constant

DURATION_S = 540.0
BOUND = 1.25


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst ratio of p95 waits."""
    results = on_all_shapes(_measure, seed)
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
    ours, ours_without = (_jobs(shape, seed, with_long) for with_long in (True, False))
    plain, plain_without = (_jobs(shape, seed, keep) for keep in (True, False))
    for jobs in (ours, ours_without):
        run_policies(shape, seed, jobs, DURATION_S)
    for jobs in (plain, plain_without):
        run_baseline(shape, seed, jobs, DURATION_S)
    with_s, without_s = _p95_wait_s(ours), _p95_wait_s(ours_without)
    plain_s, plain_without_s = _p95_wait_s(plain), _p95_wait_s(plain_without)
    return {
        "value": with_s / without_s,
        "baseline": plain_s / plain_without_s,
        "p95_with_s": with_s,
        "p95_without_s": without_s,
        "baseline_p95_with_s": plain_s,
        "unserved": _unserved(ours),
        "unserved_without": _unserved(ours_without),
        "long_wait_max_s": max(
            (job.start_s or job.arrival_s) - job.arrival_s
            for job in measured(ours)
            if job.is_long
        ),
    }


def _jobs(shape: Shape, seed: int, with_long: bool) -> list[Job]:
    """Return the arrivals; without long work, the same ones of usual length."""
    jobs = arrivals(shape, seed, DURATION_S, constant(shape.low_load))
    if with_long:
        return jobs
    return [
        replace(job, tokens=job.tokens / shape.long_factor) if job.is_long else job
        for job in jobs
    ]


def _p95_wait_s(jobs: Sequence[Job]) -> float:
    """Return the p95 wait of short work; work that gave up counts with its wait.

    Work that was refused at once hasn't waited; its share is a figure of its own.
    """
    waits = []
    for job in measured(jobs):
        until_s = job.start_s if job.start_s is not None else job.refused_s
        if not job.is_long and until_s is not None and not _is_shed(job):
            waits.append(until_s - job.arrival_s)
    return max(quantile(waits, 0.95), 0.001)


def _is_shed(job: Job) -> bool:
    return job.refused_s is not None and job.refused_s - job.arrival_s < 0.1


def _unserved(jobs: Sequence[Job]) -> float:
    short = [job for job in measured(jobs) if not job.is_long]
    return sum(job.end_s is None for job in short) / len(short)
