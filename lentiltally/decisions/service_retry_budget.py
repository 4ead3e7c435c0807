"""Budget of retries on another target for each service, over a sliding window.

In any window, all entries together may retry a share of the requests of a service, plus
a fixed number. Each entry uses the share of its own requests and an equal part of the
fixed number, so the sum stays within the budget without messages between entries.
"""

from __future__ import annotations

from collections import deque

__all__ = ["ServiceRetryBudget"]

# Entries may disagree for a short time on how many they are, so a part stays unused.
SAFETY_SHARE = 0.7


class ServiceRetryBudget:
    """The budget of one service at one entry."""

    def __init__(self, share: float, slack: float, window_s: float) -> None:
        """Start without requests.

        ``share`` is the number of retries per request, ``slack`` the fixed number of
        retries of all entries in one window of ``window_s``.
        """
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def request_received(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)
        self._drop_expired(now_s)

    def remaining(self, entries: int, now_s: float) -> float:
        """Return how many retries this entry has left, with ``entries`` in total."""
        self._drop_expired(now_s)
        allowed = self._share * len(self._requests) + self._slack / max(1, entries)
        return SAFETY_SHARE * allowed - len(self._retries)

    def spend(self, entries: int, now_s: float, reserve: float = 0.0) -> bool:
        """Count a retry if at least ``reserve`` remain after it, else return False."""
        if self.remaining(entries, now_s) < 1.0 + reserve:
            return False
        self._retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        window_start_s = now_s - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < window_start_s:
                times.popleft()
