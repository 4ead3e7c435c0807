"""Token bucket for the stand-ins that limit rates."""

from __future__ import annotations


class TokenBucket:
    """Allows ``rate_per_s`` on average and ``burst`` at once; rate 0 is no limit."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Start with a full bucket."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._filled_at_s: float | None = None

    def take(self, now_s: float) -> float:
        """Take a token and return 0, or return the seconds until one is available."""
        if self._rate_per_s <= 0:
            return 0.0
        if self._filled_at_s is not None:
            refill = (now_s - self._filled_at_s) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + refill)
        self._filled_at_s = now_s
        # The tolerance covers rounding errors of the refill.
        if self._tokens >= 1.0 - 1e-9:
            self._tokens -= 1.0
            return 0.0
        return (1.0 - self._tokens) / self._rate_per_s
