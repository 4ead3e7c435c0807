"""Hedging: whether and when idempotent work is also sent to a second target."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import deque


class HedgeBudget:
    """Delays hedges to a quantile of the latency and limits their number.

    Hedged requests are described in Dean and Barroso, The Tail at Scale, 2013.
    Non-idempotent work is never hedged.
    """

    def __init__(
        self,
        *,
        hedges_per_request: float = 0.02,
        quantile: float = 0.95,
        max_balance: float = 10.0,
        window: int = 200,
    ) -> None:
        """Start without hedges to spend and without latencies.

        Each request adds ``hedges_per_request`` to the balance, up to ``max_balance``.
        The delay is the ``quantile`` of the last ``window`` latencies.
        """
        self._hedges_per_request = hedges_per_request
        self._quantile = quantile
        self._max_balance = max_balance
        self._balance = 0.0
        self._window = window
        self._latencies_s: deque[float] = deque()
        self._sorted_latencies_s: list[float] = []

    def request_sent(self) -> None:
        """Count the first attempt of a request, which adds to the balance."""
        self._balance = min(self._max_balance, self._balance + self._hedges_per_request)

    def first_token(self, latency_s: float) -> None:
        """Add the latency of a request from its sending to its first token."""
        self._latencies_s.append(latency_s)
        insort(self._sorted_latencies_s, latency_s)
        if len(self._latencies_s) > self._window:
            oldest_s = self._latencies_s.popleft()
            del self._sorted_latencies_s[
                bisect_left(self._sorted_latencies_s, oldest_s)
            ]

    def hedge_delay_s(self, is_idempotent: bool) -> float | None:
        """Return how long to wait for a first token before hedging; None for never.

        Nothing is hedged until a quarter of the window is filled with latencies.
        """
        if not is_idempotent or len(self._sorted_latencies_s) < self._window // 4:
            return None
        position = int(self._quantile * len(self._sorted_latencies_s))
        return self._sorted_latencies_s[
            min(position, len(self._sorted_latencies_s) - 1)
        ]

    def take(self) -> bool:
        """Take one hedge from the balance; False if there is none."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
