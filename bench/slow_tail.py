"""Tail latency while noisy neighbours slow some targets for short times."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bench._baseline import BaselineSystem
from bench._fakes import EventLoop, FakeEngine
from bench._measurement import Measurement
from bench._runs import DRAIN_S, Task, jobs_after_warm_up, quantile, run_on_all_shapes
from bench._shapes import Job, Shape, arrivals, constant_load
from bench._system import PolicySystem

DURATION_S = 540.0
BOUND = 1.3
EXTRA_WORK_BOUND = 0.03


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst ratio of p99 latencies."""
    results = run_on_all_shapes(_measure, seed)
    worst = max(results.values(), key=lambda row: row["value"])
    cancelled_work_share = max(row["extra_work"] for row in results.values())
    return Measurement(
        measure="slow-tail",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=BOUND,
        holds=worst["value"] <= BOUND and cancelled_work_share <= EXTRA_WORK_BOUND,
        unit="ratio",
        fields={"extra_work": cancelled_work_share, "shapes": results},
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    slowed_jobs, normal_jobs, baseline_slowed_jobs, baseline_normal_jobs = (
        arrivals(shape, seed, DURATION_S, constant_load(shape.low_load))
        for _ in range(4)
    )
    slowed = _run(PolicySystem(shape, seed), shape, seed, slowed_jobs, is_slowed=True)
    _run(PolicySystem(shape, seed), shape, seed, normal_jobs, is_slowed=False)
    _run(BaselineSystem(shape, seed), shape, seed, baseline_slowed_jobs, is_slowed=True)
    _run(
        BaselineSystem(shape, seed), shape, seed, baseline_normal_jobs, is_slowed=False
    )
    first = _p99_first_token_s(slowed_jobs) / _p99_first_token_s(normal_jobs)
    complete = _p99_complete_s(slowed_jobs) / _p99_complete_s(normal_jobs)
    baseline_first = _p99_first_token_s(baseline_slowed_jobs) / _p99_first_token_s(
        baseline_normal_jobs
    )
    baseline_complete = _p99_complete_s(baseline_slowed_jobs) / _p99_complete_s(
        baseline_normal_jobs
    )
    return {
        "value": max(first, complete),
        "baseline": max(baseline_first, baseline_complete),
        "first_token": first,
        "whole_answer": complete,
        "p99_first_s": _p99_first_token_s(slowed_jobs),
        "p99_first_without_s": _p99_first_token_s(normal_jobs),
        "p99_whole_s": _p99_complete_s(slowed_jobs),
        "extra_work": slowed.cancelled_work_share()
        if isinstance(slowed, PolicySystem)
        else 0.0,
        "unserved": _unserved(slowed_jobs),
        "unserved_without": _unserved(normal_jobs),
    }


def _run(
    system: PolicySystem | BaselineSystem,
    shape: Shape,
    seed: int,
    jobs: list[Job],
    *,
    is_slowed: bool,
) -> PolicySystem | BaselineSystem:
    if is_slowed:
        rng = random.Random(f"{seed}/{shape.name}/slowdowns")
        engines = [agent.engine for agent in system.agents]
        for _ in range(shape.slowed_targets):
            _Slowdowns(system.loop, engines, shape, rng).begin()
    system.run(jobs, DURATION_S + DRAIN_S)
    return system


class _Slowdowns:
    """Slows one target after another; each instance slows one at a time."""

    def __init__(
        self,
        loop: EventLoop,
        engines: list[FakeEngine],
        shape: Shape,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._engines = engines
        self._shape = shape
        self._rng = rng

    def begin(self) -> None:
        candidates = [engine for engine in self._engines if engine.slow_factor == 1.0]
        engine = self._rng.choice(candidates)
        engine.set_slow_factor(self._shape.slow_factor)
        length_s = self._rng.uniform(self._shape.slow_min_s, self._shape.slow_max_s)
        self._loop.call_later(length_s, lambda: self._end(engine))

    def _end(self, engine: FakeEngine) -> None:
        engine.set_slow_factor(1.0)
        if self._loop.now_s < DURATION_S:
            self.begin()


def _p99_first_token_s(jobs: Sequence[Job]) -> float:
    """Return the p99 time to the first token, including waits that timed out.

    Jobs that were refused within 0.1 s have not waited and are left out.
    """
    waits_s = []
    for job in jobs_after_warm_up(jobs):
        until_s = (
            job.first_token_at_s if job.first_token_at_s is not None else job.refused_s
        )
        if until_s is not None and until_s - job.arrival_s >= 0.1:
            waits_s.append(until_s - job.arrival_s)
    return quantile(waits_s, 0.99)


def _p99_complete_s(jobs: Sequence[Job]) -> float:
    ended = [job for job in jobs_after_warm_up(jobs) if job.end_s is not None]
    return quantile([(job.end_s or 0.0) - job.arrival_s for job in ended], 0.99)


def _unserved(jobs: Sequence[Job]) -> float:
    after = jobs_after_warm_up(jobs)
    return sum(job.end_s is None for job in after) / len(after)
