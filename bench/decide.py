"""Processor time of one placement, and the memory of the placement tables."""

from __future__ import annotations

import random
import resource
import time
from collections.abc import Callable
from multiprocessing import get_context

from bench._measurement import Measurement
from lentiltally.decisions.placement import Placement, PlacementRequest, TargetView

TARGETS = (13, 200, 1900)
ADAPTERS = (3_000, 100_000)
BASE_MODELS = 6
ADAPTER_SLOTS = 8
BATCH_SLOTS = 16
PLACEMENTS = 4_000
# 15,000 requests/s over 215 entries are 70 placements/s; 3.6% of a core allow 514 us.
BOUND_US = 514.0
BOUND_MB = 64.0


def run(seed: int) -> Measurement:
    """Measure each size in a process of its own; the largest size gives the value."""
    sizes = [(seed, targets, adapters) for targets in TARGETS for adapters in ADAPTERS]
    with get_context("spawn").Pool(2, maxtasksperchild=1) as pool:
        results = pool.map(_measure, sizes, chunksize=1)
    largest = results[-1]
    return Measurement(
        measure="decide",
        seed=seed,
        baseline=largest["scan_us"],
        value=largest["us"],
        bound=BOUND_US,
        holds=largest["us"] <= BOUND_US and largest["process_mb"] <= BOUND_MB,
        unit="us",
        fields={
            "process_mb": largest["process_mb"],
            "sizes": {
                f"{targets} targets, {adapters} adapters": row
                for (_, targets, adapters), row in zip(sizes, results, strict=True)
            },
        },
    )


def _measure(size: tuple[int, int, int]) -> dict[str, float]:
    seed, targets, adapters = size
    rng = random.Random(f"{seed}/{targets}/{adapters}")
    views = [_target_view(rng, number, adapters) for number in range(targets)]
    before_kb = _peak_memory_kb()
    placement = Placement(rng)
    for view in views:
        placement.update(view)
    requests = [_request(rng, adapters) for _ in range(PLACEMENTS)]
    cost_us = _cost_us(lambda request: _place_request(placement, request), requests)
    after_kb = _peak_memory_kb()
    scan_us = _cost_us(
        lambda request: _scan_for_least_loaded(views, request), requests[:400]
    )
    return {
        "us": cost_us,
        "scan_us": scan_us,
        "tables_mb": (after_kb - before_kb) / 1024,
        "process_mb": after_kb / 1024,
    }


def _target_view(rng: random.Random, number: int, adapters: int) -> TargetView:
    return TargetView(
        name=f"target-{number}",
        failure_domain=f"domain-{number % 8}",
        base_model=f"model-{number % BASE_MODELS if number >= BASE_MODELS else 0}",
        agent=f"agent-{number // 4}",
        batch_places=BATCH_SLOTS,
        adapter_slots=ADAPTER_SLOTS,
        queued=rng.randrange(4),
        running=rng.randrange(BATCH_SLOTS),
        resident=frozenset(_adapter_hash(rng, adapters) for _ in range(ADAPTER_SLOTS)),
        reported_at_s=0.0,
        free_slots=rng.randrange(4),
    )


def _adapter_hash(rng: random.Random, adapters: int) -> int:
    """Return the hash of a random adapter.

    The logarithm of its rank is uniform, which is a Zipf distribution with exponent 1.
    """
    return int(adapters ** rng.random()) * 0x9E3779B97F4A7C15 % 2**64


def _request(rng: random.Random, adapters: int) -> PlacementRequest:
    return PlacementRequest(
        base_model=f"model-{rng.randrange(BASE_MODELS)}",
        adapter_hash=_adapter_hash(rng, adapters),
        prefix_hash=rng.randrange(1, 2**40),
        failure_domain=f"domain-{rng.randrange(8)}",
    )


def _place_request(placement: Placement, request: PlacementRequest) -> None:
    """Make one placement and apply its dispatch, end and counts, as an entry does."""
    choice = placement.choose(request, 1.0)
    if choice is not None:
        placement.dispatched(choice.target, request, 1.0)
        placement.finished(choice.target, 1.5)
        placement.update_counts(choice.target, 1, 8, 2.0)


def _scan_for_least_loaded(views: list[TargetView], request: PlacementRequest) -> None:
    eligible = (view for view in views if view.base_model == request.base_model)
    min(eligible, key=lambda view: view.queued + view.running, default=None)


def _cost_us(
    call: Callable[[PlacementRequest], None], requests: list[PlacementRequest]
) -> float:
    """Return the mean processor time per call, in microseconds."""
    start_s = time.process_time()
    for request in requests:
        call(request)
    return (time.process_time() - start_s) / len(requests) * 1e6


def _peak_memory_kb() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
