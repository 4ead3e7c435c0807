"""How often requests may be sent to a further target, over a sliding window.

All entries together may send a share of the requests again plus a fixed number in any
window. Each entry uses the share of its own requests and an equal part of the fixed
number, so no message is needed and the sum holds.
"""

from __future__ import annotations

from collections import deque

__all__ = ["ServiceRetryBudget"]

# Entries differ for moments in how many others they count, so a part stays unused.
SAFETY_SHARE = 0.7


class ServiceRetryBudget:
    """The budget of one service at one entry."""

    def __init__(self, share: float, slack: float, window_s: float) -> None:
        """Take the share of requests, the fixed number and the window."""
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def request_received(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)
        self._forget(now_s)

    def remaining(self, entries: int, now_s: float) -> float:
        """Return how many resends are left for this entry."""
        self._forget(now_s)
        allowed = self._share * len(self._requests) + self._slack / max(1, entries)
        return SAFETY_SHARE * allowed - len(self._retries)

    def spend(self, entries: int, now_s: float, reserve: float = 0.0) -> bool:
        """Count a resend if the budget allows it and keeps a reserve."""
        if self.remaining(entries, now_s) < 1.0 + reserve:
            return False
        self._retries.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        since_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < since_s:
                times.popleft()
