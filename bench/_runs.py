"""Runs the same arrivals through the real policies, the baseline and an ideal pool.

The ideal pool has the batch slots of all engines and needs no adapter loads.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing import get_context
from typing import TypeVar

from bench._baseline import BaselineSystem
from bench._shapes import SHAPES, Job, Shape
from bench._system import PolicySystem

PROCESSES = 6
# Long answers take minutes, so engines need that long to reach a steady state.
WARM_UP_S = 300.0
DRAIN_S = 400.0

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class Task:
    """The shape and seed of one simulated run in a worker process."""

    shape: Shape
    seed: int


def run_on_all_shapes(measure: Callable[[Task], R], seed: int) -> dict[str, R]:
    """Return the result of a measurement for each shape, computed in parallel."""
    tasks = [Task(shape, seed) for shape in SHAPES]
    with get_context("spawn").Pool(min(PROCESSES, len(tasks))) as pool:
        results = pool.map(measure, tasks, chunksize=1)
    return dict(zip((shape.name for shape in SHAPES), results, strict=True))


def run_policies(
    shape: Shape, seed: int, jobs: list[Job], duration_s: float
) -> PolicySystem:
    """Run the jobs through the real decision classes until all have ended."""
    system = PolicySystem(shape, seed)
    system.run(jobs, duration_s + DRAIN_S)
    return system


def run_baseline(
    shape: Shape, seed: int, jobs: list[Job], duration_s: float
) -> BaselineSystem:
    """Run the jobs through the baseline policies until all have ended."""
    system = BaselineSystem(shape, seed)
    system.run(jobs, duration_s + DRAIN_S)
    return system


def jobs_after_warm_up(jobs: Sequence[Job]) -> list[Job]:
    """Return the jobs that arrived after the warm-up."""
    return [job for job in jobs if job.arrival_s >= WARM_UP_S]


def count_ideal_in_time(shape: Shape, jobs: Sequence[Job]) -> int:
    """Return how many jobs after the warm-up could have been answered in time.

    All batch slots form one pool, every adapter is loaded on every engine, and jobs
    start in order of arrival unless their first token would come too late.
    """
    free_at_s = [0.0] * (shape.engines * shape.batch_slots)
    served = 0
    for job in jobs:
        start_s = max(job.arrival_s, free_at_s[0])
        if start_s + shape.first_token_s > job.first_token_deadline_s:
            continue
        service_s = shape.first_token_s + job.tokens * shape.token_s
        heapq.heapreplace(free_at_s, start_s + service_s)
        served += job.arrival_s >= WARM_UP_S
    return served


def count_in_time(shape: Shape, jobs: Sequence[Job]) -> int:
    """Return how many jobs got a complete answer in time."""
    return sum(job.is_in_time(shape.token_s) for job in jobs)


def worst_team_share(shape: Shape, jobs: Sequence[Job], served: int) -> float:
    """Return the lowest ratio of a team's answers to its max-min fair share.

    ``served`` is divided equally among the teams; what a team does not need is divided
    among the others.
    """
    offered = [0] * shape.teams
    answered = [0] * shape.teams
    for job in jobs:
        offered[job.team] += 1
        answered[job.team] += job.is_in_time(shape.token_s)
    remaining, shares = float(served), {}
    for position, team in enumerate(
        sorted(range(shape.teams), key=offered.__getitem__)
    ):
        shares[team] = min(offered[team], remaining / (shape.teams - position))
        remaining -= shares[team]
    return min(answered[team] / max(1.0, share) for team, share in shares.items())


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile (0 to 1) without interpolation; 0.0 for no values."""
    ordered = sorted(values)
    return (
        ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0
    )
