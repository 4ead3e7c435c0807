"""Decides which adapter an agent loads next, and when a failed load is retried."""

from __future__ import annotations

import random
from collections.abc import Container, Sequence
from dataclasses import dataclass

from lentiltally.decisions.work_queue import AdapterDemand


@dataclass(frozen=True, slots=True)
class LoadOrderSettings:
    """Ageing and retry delays, in seconds.

    The oldest request of an adapter counts as one more request for every ``aging_s``
    that it has waited, so an adapter that few requests wait for is loaded after a
    bounded time. The retry delay after a failed load is random; its upper bound starts
    at twice ``retry_base_s``, doubles with each failure and ends at ``retry_max_s``.
    """

    aging_s: float = 2.0
    retry_base_s: float = 0.5
    retry_max_s: float = 15.0


class LoadOrder:
    """Order of the adapter loads on one target.

    All requests for one adapter share one load.
    """

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

        ``in_flight`` are adapters whose load was ordered or waits for a permit.
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
        """Record a failed load and return the time from which it may be retried.

        The delay has full jitter, so that agents don't retry at the same time.
        """
        settings = self._settings
        failures = self._failures.get(adapter, 0) + 1
        self._failures[adapter] = failures
        max_delay_s = min(settings.retry_max_s, settings.retry_base_s * 2.0**failures)
        self._retry_at_s[adapter] = now_s + self._rng.uniform(0.0, max_delay_s)
        return self._retry_at_s[adapter]

    def loaded(self, adapter: str) -> None:
        """Clear the failures of an adapter that is loaded or no longer needed."""
        self._failures.pop(adapter, None)
        self._retry_at_s.pop(adapter, None)

    def _rank(self, demand: AdapterDemand, now_s: float) -> tuple[int, float, str]:
        waited_s = max(0.0, now_s - demand.oldest_s)
        weight = demand.waiting + waited_s / self._settings.aging_s
        is_deferrable = int(demand.criticality >= 2)
        return is_deferrable, -weight, demand.adapter
