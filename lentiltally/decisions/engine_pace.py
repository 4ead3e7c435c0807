"""Estimates of an engine's prefill pace and of the work that arrives at it.

They are only reported to entries; what an agent itself decides doesn't depend on them.
"""

from __future__ import annotations

import math

__all__ = ["ArrivalRate", "PaceEstimate"]

# With noise that slows an engine for 0.6 s at a time, a shorter average would differ by
# 1.5 times among equal engines.
MIN_WEIGHT = 0.01
# Until this number of prefills the pace counts as unknown.
MIN_PREFILLS = 20
ARRIVAL_TIME_S = 2.0
# Callers name the lengths of their prompts. One of 1e12 would let the engine look
# fast for thousands of prefills.
MAX_PROMPT_TOKENS = 100_000


class PaceEstimate:
    """Time per prompt token of an engine that prefills one prompt after another."""

    def __init__(self) -> None:
        """Start without prefills."""
        self._prefills = 0
        self._tokens = 0.0
        self._busy_s = 0.0
        self._last_finished_s = -math.inf

    @property
    def ns_per_token(self) -> int:
        """Return the time per token, 0 if not known."""
        if self._prefills < MIN_PREFILLS or self._tokens <= 0.0:
            return 0
        return max(1, round(self._busy_s / self._tokens * 1e9))

    def finished(self, tokens: int, admitted_s: float, now_s: float) -> None:
        """Count a finished prefill: the engine began it after the one before."""
        took_s = max(0.0, now_s - max(admitted_s, self._last_finished_s))
        self._last_finished_s = now_s
        if tokens > MAX_PROMPT_TOKENS:
            return
        self._prefills += 1
        weight = max(MIN_WEIGHT, 1.0 / self._prefills)
        # Averages of both, so that long prompts weigh more than short ones, whose time
        # is mostly latency.
        self._tokens += weight * (tokens - self._tokens)
        self._busy_s += weight * (took_s - self._busy_s)


class ArrivalRate:
    """Rate of the prompt tokens that an agent admits, averaged over about 2 s."""

    def __init__(self) -> None:
        """Start without arrivals."""
        self._tokens = 0.0
        self._at_s = 0.0

    def add(self, tokens: int, now_s: float) -> None:
        """Count the prompt of an admitted request."""
        self._tokens = self._decayed(now_s) + min(tokens, MAX_PROMPT_TOKENS)
        self._at_s = now_s

    def tokens_per_s(self, now_s: float) -> int:
        """Return the rate."""
        return round(self._decayed(now_s) / ARRIVAL_TIME_S)

    def _decayed(self, now_s: float) -> float:
        return self._tokens * math.exp(-max(0.0, now_s - self._at_s) / ARRIVAL_TIME_S)
