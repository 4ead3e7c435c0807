"""Runs the same arrivals through the policies, the baseline and an ideal pool."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from multiprocessing import get_context
from typing import TypeVar

from bench._baseline import PlainSystem
from bench._shapes import SHAPES, Job, Shape
from bench._system import System

PROCESSES = 6
# Long answers take minutes, so engines need that long to reach their steady fill.
WARM_UP_S = 300.0
DRAIN_S = 400.0

R = TypeVar("R")


@dataclass(frozen=True, slots=True)
class Task:
    """One shape and seed for a worker process."""

    shape: Shape
    seed: int


def on_all_shapes(work: Callable[[Task], R], seed: int) -> dict[str, R]:
    """Return the work's result for each shape, computed in parallel."""
    tasks = [Task(shape, seed) for shape in SHAPES]
    with get_context("spawn").Pool(min(PROCESSES, len(tasks))) as pool:
        results = pool.map(work, tasks, chunksize=1)
    return dict(zip((shape.name for shape in SHAPES), results, strict=True))


def run_policies(shape: Shape, seed: int, jobs: list[Job], duration_s: float) -> System:
    """Run the jobs through the decision classes until all have ended."""
    system = System(shape, seed)
    system.run(jobs, duration_s + DRAIN_S)
    return system


def run_baseline(
    shape: Shape, seed: int, jobs: list[Job], duration_s: float
) -> PlainSystem:
    """Run the jobs through the baseline until all have ended."""
    system = PlainSystem(shape, seed)
    system.run(jobs, duration_s + DRAIN_S)
    return system


def measured(jobs: Sequence[Job]) -> list[Job]:
    """Return the jobs that came after the warm-up."""
    return [job for job in jobs if job.arrival_s >= WARM_UP_S]


def count_ideal(shape: Shape, jobs: Sequence[Job]) -> int:
    """Return how many measured jobs the engines could have answered in time.

    All places form one pool, every adapter is loaded everywhere, and jobs start in the
    order of arrival unless their caller has gone.
    """
    free_at_s = [0.0] * (shape.engines * shape.batch_places)
    served = 0
    for job in jobs:
        start_s = max(job.arrival_s, free_at_s[0])
        if start_s + shape.first_token_s > job.latest_start_s:
            continue
        service_s = shape.first_token_s + job.tokens * shape.token_s
        heapq.heapreplace(free_at_s, start_s + service_s)
        served += job.arrival_s >= WARM_UP_S
    return served


def in_time(shape: Shape, jobs: Sequence[Job]) -> int:
    """Return how many jobs got a whole answer in time."""
    return sum(job.is_in_time(shape.token_s) for job in jobs)


def worst_team_share(shape: Shape, jobs: Sequence[Job], served: int) -> float:
    """Return the lowest ratio of a team's answers to its max-min fair share.

    The shares divide ``served`` equally, and what a team doesn't ask for is divided
    among the others.
    """
    offered = [0] * shape.teams
    answered = [0] * shape.teams
    for job in jobs:
        offered[job.team] += 1
        answered[job.team] += job.is_in_time(shape.token_s)
    left, shares = float(served), {}
    for position, team in enumerate(
        sorted(range(shape.teams), key=offered.__getitem__)
    ):
        shares[team] = min(offered[team], left / (shape.teams - position))
        left -= shares[team]
    return min(answered[team] / max(1.0, share) for team, share in shares.items())


def quantile(values: Sequence[float], part: float) -> float:
    """Return a quantile without interpolation; 0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
