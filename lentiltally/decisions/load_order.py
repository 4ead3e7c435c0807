"""Which adapter an agent loads next, and when a failed load is tried again."""

from __future__ import annotations

import math
import random
from collections.abc import Container, Sequence
from dataclasses import dataclass

from lentiltally.decisions.work_queue import AdapterDemand


@dataclass(frozen=True, slots=True)
class LoadOrderSettings:
    """Ageing and retry delays, in seconds.

    A request's claim grows by one request per ``aging_s`` of waiting, so an adapter
    that few requests wait for is loaded after a bounded time.
    """

    aging_s: float = 2.0
    retry_base_s: float = 0.5
    retry_max_s: float = 15.0


class LoadOrder:
    """Order of the loads of one target; requests of one adapter share one load."""

    def __init__(
        self, rng: random.Random, settings: LoadOrderSettings | None = None
    ) -> None:
        """Start without failures; ``rng`` draws the jitter."""
        self._rng = rng
        self._settings = settings or LoadOrderSettings()
        self._failures: dict[str, int] = {}
        self._retry_at_s: dict[str, float] = {}

    def next(
        self, demands: Sequence[AdapterDemand], in_flight: Container[str], now_s: float
    ) -> str | None:
        """Return the adapter to load next, or None.

        ``in_flight`` are adapters whose load is ordered or waits for a permit.
        """
        due = [
            demand
            for demand in demands
            if demand.adapter not in in_flight
            and self._retry_at_s.get(demand.adapter, now_s) <= now_s
        ]
        if not due:
            return None
        return min(due, key=lambda demand: self._rank(demand, now_s)).adapter

    def failed(self, adapter: str, now_s: float) -> float:
        """Note a failed load and return the time before which it isn't tried again.

        The delay has full jitter, so that agents don't retry at the same time.
        """
        settings = self._settings
        failures = self._failures.get(adapter, 0) + 1
        self._failures[adapter] = failures
        limit_s = min(settings.retry_max_s, settings.retry_base_s * 2.0**failures)
        self._retry_at_s[adapter] = now_s + self._rng.uniform(0.0, limit_s)
        return self._retry_at_s[adapter]

    def loaded(self, adapter: str) -> None:
        """Forget the failures of an adapter that is loaded or no longer wanted."""
        self._failures.pop(adapter, None)
        self._retry_at_s.pop(adapter, None)

    def _rank(self, demand: AdapterDemand, now_s: float) -> tuple[int, float, str]:
        waited_s = max(0.0, now_s - demand.oldest_s)
        claim = demand.waiting + waited_s / self._settings.aging_s
        is_deferrable = int(demand.criticality >= 2)
        return is_deferrable, -claim, demand.adapter


class AdapterUse:
    """How much each adapter was asked for lately, to choose which to unload.

    Counts halve every ``half_life_s``. Under a Zipf popularity most loads are for
    adapters that are asked for once; the least recently used adapter is then often a
    popular one, the least asked for is not.
    """

    def __init__(self, half_life_s: float = 30.0, max_adapters: int = 2048) -> None:
        """Start without counts; the least asked for are forgotten over the limit."""
        self._half_life_s = half_life_s
        self._max_adapters = max_adapters
        # The logarithm of the count at time 0; decay then needs no writes.
        self._levels: dict[str, float] = {}

    def used(self, adapter: str, now_s: float) -> None:
        """Count one request."""
        now = now_s / self._half_life_s
        earlier = self.score(adapter, now_s)
        self._levels[adapter] = now + math.log2(1.0 + earlier)
        if len(self._levels) > self._max_adapters:
            kept = sorted(self._levels.items(), key=lambda entry: -entry[1])
            self._levels = dict(kept[: self._max_adapters // 2])

    def score(self, adapter: str, now_s: float) -> float:
        """Return the decayed count of requests."""
        level = self._levels.get(adapter)
        return 0.0 if level is None else 2.0 ** (level - now_s / self._half_life_s)
