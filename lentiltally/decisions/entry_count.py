"""How many entries there are, as agents report it to each of them."""

from __future__ import annotations

from collections import deque

__all__ = ["EntryCount"]

# Entries renew their subscriptions within this time, so an agent that has started knows
# all of them after it.
RETENTION_S = 5.0
# Number of entries until an agent has reported one.
ASSUMED_ENTRIES = 8


class EntryCount:
    """The largest number of entries that agents have reported lately.

    Entries divide limits of the fleet by this number. An agent that has just started
    reports those entries only that have subscribed already. An entry that took its word
    for it would use the part of several.
    """

    def __init__(self) -> None:
        """Start with an assumed number."""
        self._last = ASSUMED_ENTRIES
        # Reports of the retention time; none is followed by a larger one.
        self._reports: deque[tuple[int, float]] = deque()

    def reported(self, entries: int, now_s: float) -> None:
        """Note what an agent reports; 0 says nothing."""
        if entries <= 0:
            return
        while self._reports and self._reports[-1][0] <= entries:
            self._reports.pop()
        self._reports.append((entries, now_s))

    def current(self, now_s: float) -> int:
        """Return the largest number of the retention time, or the last one known."""
        while self._reports and now_s - self._reports[0][1] > RETENTION_S:
            self._last = self._reports.popleft()[0]
        return self._reports[0][0] if self._reports else self._last
