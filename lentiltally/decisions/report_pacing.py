"""How often an agent reads the report of its engine."""

from __future__ import annotations

__all__ = ["ReportPacing"]

# Interval between two reads while nothing is awaited.
IDLE_INTERVAL_S = 0.1
# While a load or a request is awaited, reads begin at the shortest interval after each
# change of the report, and become rarer as long as it stays the same: an adapter in
# host memory is ready within some reads, one from the weight store takes many.
MIN_INTERVAL_S = 0.015
MAX_INTERVAL_S = 0.06
INTERVAL_GROWTH = 1.4


class ReportPacing:
    """Decides when the next report is due; times are seconds of a monotonic clock."""

    __slots__ = ("_interval_s", "_read_at_s", "_seen")

    def __init__(self) -> None:
        """Start with a report that is due."""
        self._interval_s = 0.0
        self._read_at_s = float("-inf")
        self._seen: object = None

    def was_read(self, seen: object, now_s: float) -> None:
        """Note what a report showed of adapters and orders; None if it failed."""
        if seen != self._seen:
            self._interval_s = MIN_INTERVAL_S
        else:
            self._interval_s = min(MAX_INTERVAL_S, INTERVAL_GROWTH * self._interval_s)
        self._seen = seen
        self._read_at_s = now_s

    def is_due(self, now_s: float, *, has_work: bool) -> bool:
        """Return whether to read a report now.

        ``has_work`` says that a load or a request is awaited.
        """
        interval_s = self._interval_s if has_work else IDLE_INTERVAL_S
        return now_s - self._read_at_s >= interval_s
