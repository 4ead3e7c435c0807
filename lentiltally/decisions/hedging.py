"""Whether and when idempotent work is sent to a second target."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque


class HedgeBudget:
    """Delays a second attempt past the p95 and bounds how many there are.

    Idea: hedged requests (Dean and Barroso, The Tail at Scale, 2013). Non-idempotent
    work is never hedged.
    """

    def __init__(
        self,
        *,
        share: float = 0.02,
        quantile: float = 0.95,
        max_saved: float = 10.0,
        window: int = 200,
    ) -> None:
        """Allow ``share`` hedges per request, at most ``max_saved`` at once."""
        self._share = share
        self._quantile = quantile
        self._max_saved = max_saved
        self._saved = 0.0
        self._window = window
        self._order: deque[float] = deque()
        self._sorted: list[float] = []

    def request_sent(self) -> None:
        """Count a first attempt, which earns a share of a hedge."""
        self._saved = min(self._max_saved, self._saved + self._share)

    def first_token(self, latency_s: float) -> None:
        """Learn the time from sending to the first token."""
        self._order.append(latency_s)
        insort(self._sorted, latency_s)
        if len(self._order) > self._window:
            oldest_s = self._order.popleft()
            del self._sorted[bisect_left(self._sorted, oldest_s)]

    def hedge_delay_s(self, is_idempotent: bool) -> float | None:
        """Return after how long without a first token to hedge, or None for never."""
        if not is_idempotent or len(self._sorted) < self._window // 4:
            return None
        position = int(self._quantile * len(self._sorted))
        return self._sorted[min(position, len(self._sorted) - 1)]

    def take(self) -> bool:
        """Use up one hedge; False if the budget has none."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
