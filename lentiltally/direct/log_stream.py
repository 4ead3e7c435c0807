"""A stream for log lines that never blocks the process."""

from __future__ import annotations

import logging
import os
import threading
from collections import deque

from lentiltally.clock import Clock

__all__ = ["BoundedStream", "LogRateLimiter"]

# What waits to be written when nobody reads; more is dropped and counted.
MAX_WAITING_LINES = 5_000


class BoundedStream:
    """Takes lines without blocking and writes them on a thread of its own."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor."""
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._has_lines = threading.Event()
        self.dropped = 0
        threading.Thread(target=self._run, daemon=True, name="log").start()

    def write(self, text: str) -> int:
        """Take a line; it is dropped if too many wait."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
        else:
            self._lines.append(text)
            self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes as soon as it can."""

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            lines = []
            while self._lines:
                lines.append(self._lines.popleft())
            self._write("".join(lines).encode())

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                # The log has no reader any more, and there is no other place to say so.
                self.dropped += data.count(b"\n")
                return


class LogRateLimiter(logging.Filter):
    """Bounds the lines a second below warning level."""

    def __init__(self, clock: Clock, lines_per_s: float) -> None:
        """Allow a second's worth of lines at once."""
        super().__init__()
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._saved = lines_per_s
        self._at_s = clock.monotonic_s()
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line may be written."""
        now_s = self._clock.monotonic_s()
        self._saved += (now_s - self._at_s) * self._lines_per_s
        self._saved = min(self._saved, self._lines_per_s)
        self._at_s = now_s
        if record.levelno >= logging.WARNING:
            return True
        if self._saved < 1.0:
            self.dropped += 1
            return False
        self._saved -= 1.0
        return True
