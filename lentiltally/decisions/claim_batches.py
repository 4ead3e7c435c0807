"""Batches of claim records, so that many requests share one append to the log.

The log takes several hundred appends per second from all entries together, so an entry
has to limit the number of its appends rather than their size.
"""

from __future__ import annotations

import enum
from collections import deque
from typing import Generic, TypeVar

T = TypeVar("T")

WINDOW_S = 0.005
# With 215 entries and about 400 appends/s, the fair share of an entry is 2 appends/s.
MAX_WINDOW_S = 0.5
MAX_BATCH = 500


class BatchAppendOutcome(enum.Enum):
    """How the append of a batch ended; it determines the next window."""

    DONE = "done"
    RATE_LIMITED = "rate limited"
    FAILED = "failed or answer lost"


class ClaimBatcher(Generic[T]):
    """Collects records into batches, of which one is appended at a time.

    The first record of a batch waits for others for the length of the window. The
    window grows while appends are slow or rate-limited and shrinks again after that.
    """

    def __init__(
        self,
        *,
        window_s: float = WINDOW_S,
        max_window_s: float = MAX_WINDOW_S,
        max_batch: int = MAX_BATCH,
    ) -> None:
        """Start with the shortest window and no append in progress."""
        self._min_window_s = window_s
        self._max_window_s = max_window_s
        self._max_batch = max_batch
        self._window_s = window_s
        self._queue: deque[T] = deque()
        self._window_start_s = 0.0
        self._is_appending = False
        self._append_start_s = 0.0

    @property
    def window_s(self) -> float:
        """Return the present length of the window in seconds."""
        return self._window_s

    def add(self, record: T, now_s: float) -> None:
        """Add a record to the open batch."""
        if not self._queue:
            self._window_start_s = now_s
        self._queue.append(record)

    def due_at_s(self) -> float | None:
        """Return when the open batch is due.

        Return None if the batch is empty or an append is in progress.
        """
        if not self._queue or self._is_appending:
            return None
        return self._window_start_s + self._window_s

    def take(self, now_s: float) -> list[T]:
        """Return the batch if it is due or full, else an empty list.

        After a batch was returned, its append counts as in progress until ``appended``.
        """
        due_at_s = self.due_at_s()
        is_full = len(self._queue) >= self._max_batch
        if due_at_s is None or (now_s < due_at_s and not is_full):
            return []
        count = min(len(self._queue), self._max_batch)
        batch = [self._queue.popleft() for _ in range(count)]
        self._is_appending = True
        self._append_start_s = now_s
        return batch

    def appended(self, outcome: BatchAppendOutcome, now_s: float) -> None:
        """Adapt the window to the append that ended.

        After a successful append, the records that queued during it are due at once,
        and the window grows to the duration of the append. After a rate limit the
        window doubles and the queued records wait for it. In all other cases it halves,
        down to the shortest window.
        """
        self._is_appending = False
        has_queue = bool(self._queue)
        if outcome is BatchAppendOutcome.RATE_LIMITED:
            self._window_s = min(2 * self._window_s, self._max_window_s)
            self._window_start_s = now_s
        elif outcome is BatchAppendOutcome.DONE and has_queue:
            took_s = now_s - self._append_start_s
            widened_s = max(self._window_s, min(took_s, self._max_window_s))
            self._window_s = widened_s
            self._window_start_s = now_s - self._window_s
        else:
            self._window_s = max(self._window_s / 2, self._min_window_s)

    def withdraw(self, record: T) -> bool:
        """Remove a record from the open batch; False if it was taken already."""
        try:
            self._queue.remove(record)
        except ValueError:
            return False
        return True
