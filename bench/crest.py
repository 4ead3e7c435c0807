"""Share of answers in time under a load that oscillates around the capacity."""

from __future__ import annotations

from bench._measurement import Measurement
from bench._runs import (
    Task,
    count_ideal_in_time,
    count_in_time,
    jobs_after_warm_up,
    run_baseline,
    run_on_all_shapes,
    run_policies,
    worst_team_share,
)
from bench._shapes import arrivals, oscillating_load

DURATION_S = 690.0
BOUND = 0.92
TEAM_BOUND = 0.85
REFUSAL_BOUND_MS = 100.0


def run(seed: int) -> Measurement:
    """Measure on every shape and report the lowest share.

    It is the share of the answers that the ideal pool gives in time.
    """
    results = run_on_all_shapes(_measure, seed)
    worst = min(results.values(), key=lambda row: row["value"])
    team_share = min(row["worst_team_share"] for row in results.values())
    refusal_ms = max(row["refusal_ms"] for row in results.values())
    holds = worst["value"] >= BOUND and team_share >= TEAM_BOUND
    return Measurement(
        measure="crest",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=BOUND,
        holds=holds and refusal_ms <= REFUSAL_BOUND_MS,
        unit="share",
        fields={
            "worst_team_share": team_share,
            "refusal_ms": refusal_ms,
            "shapes": results,
        },
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    policy_jobs = arrivals(shape, seed, DURATION_S, oscillating_load)
    baseline_jobs = arrivals(shape, seed, DURATION_S, oscillating_load)
    run_policies(shape, seed, policy_jobs, DURATION_S)
    run_baseline(shape, seed, baseline_jobs, DURATION_S)
    possible = count_ideal_in_time(shape, policy_jobs)
    policy_jobs, baseline_jobs = (
        jobs_after_warm_up(policy_jobs),
        jobs_after_warm_up(baseline_jobs),
    )
    refusals = sorted(
        job.refused_s - job.arrival_s
        for job in policy_jobs
        if job.refused_s is not None
    )
    late = sum(wait_s > REFUSAL_BOUND_MS / 1000 for wait_s in refusals)
    return {
        "value": count_in_time(shape, policy_jobs) / possible,
        "baseline": count_in_time(shape, baseline_jobs) / possible,
        "worst_team_share": worst_team_share(shape, policy_jobs, possible),
        # All refusals count, including those of requests that were admitted first.
        "refusal_ms": 1000.0 * refusals[int(0.99 * len(refusals))] if refusals else 0.0,
        "refused": len(refusals) / len(policy_jobs),
        "refused_late": late / len(policy_jobs),
    }
