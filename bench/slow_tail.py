"""Tail latency while neighbours slow some targets for moments."""

from __future__ import annotations

import random
from collections.abc import Sequence

from bench._baseline import PlainSystem
from bench._fakes import FakeEngine, Loop
from bench._measurement import Measurement
from bench._runs import DRAIN_S, Task, measured, on_all_shapes, quantile
from bench._shapes import Job, Shape, arrivals, constant
from bench._system import System

DURATION_S = 540.0
BOUND = 1.3
EXTRA_WORK_BOUND = 0.03


def run(seed: int) -> Measurement:
    """Measure on every shape and report the worst ratio of p99 latencies."""
    results = on_all_shapes(_measure, seed)
    worst = max(results.values(), key=lambda row: row["value"])
    extra_work = max(row["extra_work"] for row in results.values())
    return Measurement(
        measure="slow-tail",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=BOUND,
        holds=worst["value"] <= BOUND and extra_work <= EXTRA_WORK_BOUND,
        unit="ratio",
        fields={"extra_work": extra_work, "shapes": results},
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    with_jobs, without_jobs, plain_with, plain_without = (
        arrivals(shape, seed, DURATION_S, constant(shape.low_load)) for _ in range(4)
    )
    slowed = _run(System(shape, seed), shape, seed, with_jobs, is_slowed=True)
    _run(System(shape, seed), shape, seed, without_jobs, is_slowed=False)
    _run(PlainSystem(shape, seed), shape, seed, plain_with, is_slowed=True)
    _run(PlainSystem(shape, seed), shape, seed, plain_without, is_slowed=False)
    first = _p99_first_s(with_jobs) / _p99_first_s(without_jobs)
    whole = _p99_whole_s(with_jobs) / _p99_whole_s(without_jobs)
    plain_first = _p99_first_s(plain_with) / _p99_first_s(plain_without)
    plain_whole = _p99_whole_s(plain_with) / _p99_whole_s(plain_without)
    return {
        "value": max(first, whole),
        "baseline": max(plain_first, plain_whole),
        "first_token": first,
        "whole_answer": whole,
        "p99_first_s": _p99_first_s(with_jobs),
        "p99_first_without_s": _p99_first_s(without_jobs),
        "p99_whole_s": _p99_whole_s(with_jobs),
        "extra_work": slowed.extra_work() if isinstance(slowed, System) else 0.0,
        "unserved": _unserved(with_jobs),
        "unserved_without": _unserved(without_jobs),
    }


def _run(
    system: System | PlainSystem,
    shape: Shape,
    seed: int,
    jobs: list[Job],
    *,
    is_slowed: bool,
) -> System | PlainSystem:
    if is_slowed:
        rng = random.Random(f"{seed}/{shape.name}/slowdowns")
        engines = [agent.engine for agent in system.agents]
        for _ in range(shape.slowed_targets):
            _Slowdowns(system.loop, engines, shape, rng).begin()
    system.run(jobs, DURATION_S + DRAIN_S)
    return system


class _Slowdowns:
    """Slows one target after another; each instance has one slowed at a time."""

    def __init__(
        self, loop: Loop, engines: list[FakeEngine], shape: Shape, rng: random.Random
    ) -> None:
        self._loop = loop
        self._engines = engines
        self._shape = shape
        self._rng = rng

    def begin(self) -> None:
        usual = [engine for engine in self._engines if engine.factor == 1.0]
        engine = self._rng.choice(usual)
        engine.slow(self._shape.slow_factor)
        length_s = self._rng.uniform(self._shape.slow_min_s, self._shape.slow_max_s)
        self._loop.after(length_s, lambda: self._end(engine))

    def _end(self, engine: FakeEngine) -> None:
        engine.slow(1.0)
        if self._loop.now_s < DURATION_S:
            self.begin()


def _p99_first_s(jobs: Sequence[Job]) -> float:
    """Return the p99 time to the first token; giving up counts with its wait."""
    waits_s = []
    for job in measured(jobs):
        until_s = job.first_s if job.first_s is not None else job.refused_s
        if until_s is not None and until_s - job.arrival_s >= 0.1:
            waits_s.append(until_s - job.arrival_s)
    return quantile(waits_s, 0.99)


def _p99_whole_s(jobs: Sequence[Job]) -> float:
    ended = [job for job in measured(jobs) if job.end_s is not None]
    return quantile([(job.end_s or 0.0) - job.arrival_s for job in ended], 0.99)


def _unserved(jobs: Sequence[Job]) -> float:
    after = measured(jobs)
    return sum(job.end_s is None for job in after) / len(after)
