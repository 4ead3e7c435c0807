"""Permits to send requests to one target, at the rate that the target names."""

from __future__ import annotations

import math

__all__ = ["PermitBucket"]

# Unused permits are kept for this time, so that requests that arrive together need not
# be spread.
BURST_S = 1.0


class PermitBucket:
    """A token bucket with one owner.

    It starts without a whole permit: nobody knows what the target got before.
    """

    def __init__(
        self,
        rate_per_s: float,
        now_s: float,
        burst_s: float = BURST_S,
        permits: float = 0.0,
    ) -> None:
        """Give ``rate_per_s`` permits a second from now on; keep them for ``burst_s``.

        At least one permit is kept. ``permits`` is the part of one that is there now.
        """
        self.rate_per_s = rate_per_s
        self._burst_s = burst_s
        self._permits = permits
        self._updated_at_s = now_s

    def set_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate; permits that were collected before stay valid."""
        self._collect(now_s)
        self.rate_per_s = rate_per_s

    def wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Return the time to the next permit, behind ``ahead`` others that wait."""
        self._collect(now_s)
        missing = 1 + ahead - self._permits
        if missing <= 0.0:
            return 0.0
        return missing / self.rate_per_s if self.rate_per_s > 0.0 else math.inf

    def reserve(self, now_s: float, max_wait_s: float) -> float | None:
        """Take the next permit if it is due within ``max_wait_s``; return when.

        Returns None, and takes none, if it is due later.
        """
        wait_s = self.wait_s(now_s)
        if wait_s > max_wait_s:
            return None
        self._permits -= 1.0
        return wait_s

    def _collect(self, now_s: float) -> None:
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = now_s
        most = max(1.0, self._burst_s * self.rate_per_s)
        self._permits = min(most, self._permits + elapsed_s * self.rate_per_s)
