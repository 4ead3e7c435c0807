"""Decayed counts of the requests for each adapter."""

from __future__ import annotations

import math


class AdapterUse:
    """How many requests each adapter had lately; counts halve every ``half_life_s``."""

    def __init__(self, half_life_s: float = 30.0, max_adapters: int = 2048) -> None:
        """Start without counts; the least asked for are forgotten over the limit."""
        self._half_life_s = half_life_s
        self._max_adapters = max_adapters
        # The logarithm of the count at time 0; decay then needs no writes.
        self._levels: dict[str, float] = {}

    def record_request(self, adapter: str, now_s: float) -> None:
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
