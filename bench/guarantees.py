"""Violations of the guarantees G1 to G8 over random schedules of faults.

The real decision classes run with small fakes of the log, the engines and the channels.
The result is checked against a journal that records the events of all processes.
"""

from __future__ import annotations

import multiprocessing
from collections import Counter

from bench._guarantees.components import Components
from bench._guarantees.journal import GUARANTEES
from bench._guarantees.mutations import MUTATIONS
from bench._guarantees.schedule import Schedule
from bench._measurement import Measurement

PROCESSES = 6
_SCHEDULES_PER_TASK = 25


def run(seed: int, schedules: int) -> Measurement:
    """Count violations over schedules 0 to ``schedules`` - 1 of a seed, in parallel."""
    with multiprocessing.get_context("spawn").Pool(PROCESSES) as pool:
        tasks = [
            (seed, start, min(start + _SCHEDULES_PER_TASK, schedules))
            for start in range(0, schedules, _SCHEDULES_PER_TASK)
        ]
        results = pool.imap_unordered(_run_task, tasks)
        total: Counter[str] = Counter()
        for violations in results:
            total.update(violations)
    return _to_measurement(seed, schedules, total)


def run_with_mutation(
    name: str, seed: int, schedules: int, first: int = 0
) -> Measurement:
    """Count violations with one mechanism turned off, in this process.

    The schedules start at index ``first``, because some mechanisms matter only in a
    few schedules.
    """
    components = MUTATIONS[name].components
    return _to_measurement(
        seed, schedules, _count_violations(seed, first, first + schedules, components)
    )


def run_in_process(seed: int, schedules: int, first: int = 0) -> Measurement:
    """Count violations in this process, starting at schedule ``first``."""
    total = _count_violations(seed, first, first + schedules, Components())
    return _to_measurement(seed, schedules, total)


def _run_task(task: tuple[int, int, int]) -> Counter[str]:
    seed, start, end = task
    return _count_violations(seed, start, end, Components())


def _count_violations(
    seed: int, start: int, end: int, components: Components
) -> Counter[str]:
    total: Counter[str] = Counter()
    for index in range(start, end):
        total.update(Schedule(seed, index, components).run())
    return total


def _to_measurement(seed: int, schedules: int, total: Counter[str]) -> Measurement:
    fields: dict[str, object] = {
        field: total[guarantee] for guarantee, field in GUARANTEES.items()
    }
    value = float(total.total())
    return Measurement(
        measure="guarantees",
        seed=seed,
        baseline=None,
        value=value,
        bound=0.0,
        holds=value == 0.0,
        unit="violations",
        fields={"schedules": schedules, **fields},
    )
