"""How well the agents keep the weight store's shared limit without a coordinator."""

from __future__ import annotations

from bench._baseline import PlainSystem
from bench._fakes import FakeWeightStore, Loop
from bench._measurement import Measurement
from bench._runs import Task, on_all_shapes
from bench._shapes import arrivals, constant
from bench._system import System

LOAD = 1.0
DURATION_S = 420.0
LOG_OUTAGE_S = (100.0, 220.0)
# The store is slow with the log up, and with the log down.
SLOW_PHASES_S = ((170.0, 200.0), (280.0, 340.0))
SLOW_FACTOR = 8.0
BOUND = 0.99
# A request may wait behind each other agent's four requests at 4.5 grants/s.
STARVED_S = 30.0


def run(seed: int) -> Measurement:
    """Measure on every shape and report the lowest share of time in the limit."""
    results = on_all_shapes(_measure, seed)
    worst = min(results.values(), key=lambda row: row["value"])
    starved = sum(row["starved"] for row in results.values())
    return Measurement(
        measure="load-limit",
        seed=seed,
        baseline=worst["baseline"],
        value=worst["value"],
        bound=BOUND,
        holds=worst["value"] >= BOUND and not starved,
        unit="share",
        fields={"starved": starved, "shapes": results},
    )


def _measure(task: Task) -> dict[str, float]:
    shape, seed = task.shape, task.seed
    system = System(shape, seed)
    _plan_faults(system)
    system.run(arrivals(shape, seed, DURATION_S, constant(LOAD)), DURATION_S)
    plain = PlainSystem(shape, seed)
    _plan_slow_store(plain.loop, plain.store)
    plain.run(arrivals(shape, seed, DURATION_S, constant(LOAD)), DURATION_S)
    waits_s = [agent.longest_permit_wait_s for agent in system.agents]
    loads = [agent.loads for agent in system.agents]
    return {
        "value": 1.0 - system.store.over_limit_s / DURATION_S,
        "baseline": 1.0 - plain.store.over_limit_s / DURATION_S,
        "most_in_flight": system.store.most_in_flight,
        "starved": sum(wait_s > STARVED_S for wait_s in waits_s) + loads.count(0),
        "longest_permit_wait_s": max(waits_s),
        "fewest_loads_over_mean": min(loads) * len(loads) / sum(loads),
        "loads_per_s": sum(loads) / DURATION_S,
    }


def _plan_faults(system: System) -> None:
    def log_down(is_down: bool) -> None:
        system.log.is_down = is_down

    system.loop.at(LOG_OUTAGE_S[0], lambda: log_down(True))
    system.loop.at(LOG_OUTAGE_S[1], lambda: log_down(False))
    _plan_slow_store(system.loop, system.store)


def _plan_slow_store(loop: Loop, store: FakeWeightStore) -> None:
    def slow(factor: float) -> None:
        store.slow_factor = factor

    for start_s, end_s in SLOW_PHASES_S:
        loop.at(start_s, lambda: slow(SLOW_FACTOR))
        loop.at(end_s, lambda: slow(1.0))
