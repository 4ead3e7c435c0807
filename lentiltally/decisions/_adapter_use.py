"""Decayed counts of requests for each adapter."""

from __future__ import annotations

import math


class AdapterUse:
    """Counts recent requests per adapter; a count halves every ``half_life_s``."""

    def __init__(self, half_life_s: float = 30.0, max_adapters: int = 2048) -> None:
        """Start without counts.

        Once there are more than ``max_adapters``, only half of that number is kept, the
        adapters with the highest counts.
        """
        self._half_life_s = half_life_s
        self._max_adapters = max_adapters
        # log2 of each count plus the time of its last update in half-lives. The count
        # at a later time follows from it, so decay needs no writes.
        self._log_counts: dict[str, float] = {}

    def record_request(self, adapter: str, now_s: float) -> None:
        """Count one request for an adapter."""
        half_lives = now_s / self._half_life_s
        count = self.decayed_count(adapter, now_s)
        self._log_counts[adapter] = half_lives + math.log2(1.0 + count)
        if len(self._log_counts) > self._max_adapters:
            kept = sorted(self._log_counts.items(), key=lambda entry: -entry[1])
            self._log_counts = dict(kept[: self._max_adapters // 2])

    def decayed_count(self, adapter: str, now_s: float) -> float:
        """Return the decayed count of requests for an adapter."""
        log_count = self._log_counts.get(adapter)
        return (
            0.0 if log_count is None else 2.0 ** (log_count - now_s / self._half_life_s)
        )
