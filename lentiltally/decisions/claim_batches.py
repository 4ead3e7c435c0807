"""Batches of claim records, so that many requests share one append.

The log takes several hundred appends a second in total, so the number of appends, not
their size, is what an entry has to save.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")

WINDOW_S = 0.005
# With 215 entries and about 400 appends/s, 2 appends/s and entry are a fair share.
MAX_WINDOW_S = 0.5
MAX_BATCH = 500


class AppendOutcome(enum.Enum):
    """How an append ended, as far as it matters for the next one."""

    DONE = "done"
    RATE_LIMITED = "rate limited"
    FAILED = "failed or answer lost"


class ClaimBatcher(Generic[T]):
    """Collects records and gives them out as one batch at a time."""

    def __init__(
        self,
        *,
        window_s: float = WINDOW_S,
        max_window_s: float = MAX_WINDOW_S,
        max_batch: int = MAX_BATCH,
    ) -> None:
        """Start with the shortest window and no append under way."""
        self._min_window_s = window_s
        self._max_window_s = max_window_s
        self._max_batch = max_batch
        self._window_s = window_s
        self._waiting: deque[T] = deque()
        self._opened_at_s = 0.0
        self._is_appending = False
        self._started_at_s = 0.0

    @property
    def window_s(self) -> float:
        """Return how long the first record of a batch waits for others."""
        return self._window_s

    def add(self, record: T, now_s: float) -> None:
        """Add a record to the open batch."""
        if not self._waiting:
            self._opened_at_s = now_s
        self._waiting.append(record)

    def due_at_s(self) -> float | None:
        """Return when a batch is due, or None if nothing waits or an append runs."""
        if not self._waiting or self._is_appending:
            return None
        return self._opened_at_s + self._window_s

    def take(self, now_s: float) -> list[T]:
        """Return the batch that is due, or an empty list; the append then runs."""
        due_at_s = self.due_at_s()
        is_full = len(self._waiting) >= self._max_batch
        if due_at_s is None or (now_s < due_at_s and not is_full):
            return []
        count = min(len(self._waiting), self._max_batch)
        batch = [self._waiting.popleft() for _ in range(count)]
        self._is_appending = True
        self._started_at_s = now_s
        return batch

    def appended(self, outcome: AppendOutcome, now_s: float) -> None:
        """Note the end of the append; records that waited for it are due at once.

        After a rate limit the window doubles and the waiting records keep to it.
        """
        self._is_appending = False
        has_queue = bool(self._waiting)
        if outcome is AppendOutcome.RATE_LIMITED:
            self._window_s = min(2 * self._window_s, self._max_window_s)
            self._opened_at_s = now_s
        elif outcome is AppendOutcome.DONE and has_queue:
            took_s = now_s - self._started_at_s
            widened_s = max(self._window_s, min(took_s, self._max_window_s))
            self._window_s = widened_s
            self._opened_at_s = now_s - self._window_s
        else:
            self._window_s = max(self._window_s / 2, self._min_window_s)

    def withdraw(self, record: T) -> bool:
        """Remove a record that was not yet given out; False if it was."""
        try:
            self._waiting.remove(record)
        except ValueError:
            return False
        return True
