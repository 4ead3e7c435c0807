"""How well agents keep the weight store's shared load limit without a coordinator."""

from __future__ import annotations

from bench._baseline import BaselineSystem
from bench._fakes import EventLoop, FakeWeightStore
from bench._measurement import Measurement
from bench._runs import Task, run_on_all_shapes
from bench._shapes import arrivals, constant_load
from bench._system import PolicySystem

LOAD = 1.0
DURATION_S = 420.0
LOG_OUTAGE_S = (100.0, 220.0)
# The store is slow with the log up, and with the log down.
SLOW_PERIODS_S = ((170.0, 200.0), (280.0, 340.0))
SLOW_FACTOR = 8.0
BOUND = 0.99
# A permit request may wait for four requests of each other agent, and permits are
# granted at 4.5/s.
STARVED_S = 30.0


def run(seed: int) -> Measurement:
    """Measure on every shape and report the lowest share of time within the limit."""
    results = run_on_all_shapes(_measure, seed)
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
    system = PolicySystem(shape, seed)
    _schedule_faults(system)
    system.run(arrivals(shape, seed, DURATION_S, constant_load(LOAD)), DURATION_S)
    baseline = BaselineSystem(shape, seed)
    _schedule_slow_store(baseline.loop, baseline.store)
    baseline.run(arrivals(shape, seed, DURATION_S, constant_load(LOAD)), DURATION_S)
    waits_s = [agent.longest_permit_wait_s for agent in system.agents]
    loads = [agent.loads for agent in system.agents]
    return {
        "value": 1.0 - system.store.over_limit_s / DURATION_S,
        "baseline": 1.0 - baseline.store.over_limit_s / DURATION_S,
        "most_in_flight": system.store.max_in_flight,
        "starved": sum(wait_s > STARVED_S for wait_s in waits_s) + loads.count(0),
        "longest_permit_wait_s": max(waits_s),
        "fewest_loads_over_mean": min(loads) * len(loads) / sum(loads),
        "loads_per_s": sum(loads) / DURATION_S,
    }


def _schedule_faults(system: PolicySystem) -> None:
    def set_log_down(is_down: bool) -> None:
        system.log.is_down = is_down

    system.loop.call_at(LOG_OUTAGE_S[0], lambda: set_log_down(True))
    system.loop.call_at(LOG_OUTAGE_S[1], lambda: set_log_down(False))
    _schedule_slow_store(system.loop, system.store)


def _schedule_slow_store(loop: EventLoop, store: FakeWeightStore) -> None:
    def set_slow_factor(factor: float) -> None:
        store.slow_factor = factor

    for start_s, end_s in SLOW_PERIODS_S:
        loop.call_at(start_s, lambda: set_slow_factor(SLOW_FACTOR))
        loop.call_at(end_s, lambda: set_slow_factor(1.0))
