"""Log output that never blocks the process."""

from __future__ import annotations

import logging
import os
import threading
from collections import deque

from lentiltally.clock import Clock

__all__ = ["BoundedStream", "LogRateLimiter"]

# Lines beyond this buffer are dropped and counted, so that a log without a reader
# neither blocks the process nor fills its memory.
MAX_BUFFERED_LINES = 5_000
# A line may quote what a peer sent, and then have many kilobytes.
MAX_BUFFERED_CHARACTERS = 2_000_000


class BoundedStream:
    """Buffers lines without blocking and writes them on a separate thread."""

    def __init__(self, descriptor: int) -> None:
        """Write to a file descriptor."""
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._characters = 0
        self._has_lines = threading.Event()
        self.dropped = 0
        threading.Thread(target=self._run, daemon=True, name="log").start()

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        is_full = self._characters + len(text) > MAX_BUFFERED_CHARACTERS
        if len(self._lines) >= MAX_BUFFERED_LINES or is_full:
            self.dropped += 1
        else:
            self._characters += len(text)
            self._lines.append(text)
            self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the thread writes buffered lines as soon as it can."""

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            lines = []
            while self._lines:
                lines.append(self._lines.popleft())
            # A line that is added between these two statements is not counted.
            self._characters = 0
            # Texts of faulty writers may contain lone surrogates.
            self._write("".join(lines).encode(errors="backslashreplace"))

    def _write(self, data: bytes) -> None:
        while data:
            try:
                data = data[os.write(self._descriptor, data) :]
            except OSError:
                # The reader has closed the log, and there is nowhere else to report it.
                self.dropped += data.count(b"\n")
                return


class LogRateLimiter(logging.Filter):
    """Limits the rate of lines below warning level with a token bucket."""

    def __init__(self, clock: Clock, lines_per_s: float) -> None:
        """Allow bursts of up to one second's worth of lines."""
        super().__init__()
        self._clock = clock
        self._lines_per_s = lines_per_s
        self._tokens = lines_per_s
        self._refilled_at_s = clock.monotonic_s()
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line may be written; warnings and above always may."""
        now_s = self._clock.monotonic_s()
        self._tokens += (now_s - self._refilled_at_s) * self._lines_per_s
        self._tokens = min(self._tokens, self._lines_per_s)
        self._refilled_at_s = now_s
        if record.levelno >= logging.WARNING:
            return True
        if self._tokens < 1.0:
            self.dropped += 1
            return False
        self._tokens -= 1.0
        return True
