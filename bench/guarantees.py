"""Violations of the guarantees over random schedules of faults.

The real decision classes run over small fakes of the log, the engines and the channels.
A journal that sees every process at once is the comparison.
"""

from __future__ import annotations

import multiprocessing
from collections import Counter

from bench._guarantees.journal import GUARANTEES
from bench._guarantees.mutations import MUTATIONS
from bench._guarantees.parts import Parts
from bench._guarantees.schedule import Schedule
from bench._measurement import Measurement

PROCESSES = 6
_CHUNK = 25


def run(seed: int, schedules: int) -> Measurement:
    """Count violations over schedules of the seed, each given by its index."""
    with multiprocessing.get_context("spawn").Pool(PROCESSES) as pool:
        chunks = [
            (seed, start, min(start + _CHUNK, schedules))
            for start in range(0, schedules, _CHUNK)
        ]
        results = pool.imap_unordered(_run_chunk, chunks)
        total: Counter[str] = Counter()
        for violations in results:
            total.update(violations)
    return _measurement(seed, schedules, total)


def run_with_mutation(
    name: str, seed: int, schedules: int, first: int = 0
) -> Measurement:
    """Count violations with one mechanism switched off, in this process.

    The schedules begin at index ``first``, because some mechanisms matter only in a
    few of them.
    """
    parts = MUTATIONS[name].parts
    return _measurement(seed, schedules, _count(seed, first, first + schedules, parts))


def run_here(seed: int, schedules: int, first: int = 0) -> Measurement:
    """Count violations in this process, beginning at schedule ``first``."""
    total = _count(seed, first, first + schedules, Parts())
    return _measurement(seed, schedules, total)


def _run_chunk(chunk: tuple[int, int, int]) -> Counter[str]:
    seed, start, end = chunk
    return _count(seed, start, end, Parts())


def _count(seed: int, start: int, end: int, parts: Parts) -> Counter[str]:
    total: Counter[str] = Counter()
    for index in range(start, end):
        total.update(Schedule(seed, index, parts).run())
    return total


def _measurement(seed: int, schedules: int, total: Counter[str]) -> Measurement:
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
