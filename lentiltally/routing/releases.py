"""Tells agents, in batches, which answers were received and need not be kept."""

from __future__ import annotations

import logging
import threading
from collections import deque

from lentiltally.wire import ChannelError, Outboxes, Release

_log = logging.getLogger(__name__)

# A frame costs about 60 us of CPU time at both ends together, and no request waits for
# a release, so releases are collected for this long and sent in batches.
BATCH_DELAY_S = 0.05


class ReleaseSender:
    """Collects releases and sends them from a background thread."""

    def __init__(self, outboxes: Outboxes) -> None:
        """Start with an empty queue."""
        self._outboxes = outboxes
        self._queue: deque[tuple[str, Release]] = deque()
        self._queue_filled = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="releases")

    def start(self) -> None:
        """Start the background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Send the queued releases and stop."""
        self._stopped.set()
        self._queue_filled.set()
        self._thread.join(timeout=1.0)

    def put(self, address: str, attempt_id: str) -> None:
        """Queue the release of an answer for an agent address; never blocks."""
        self._queue.append((address, Release(attempt_id)))
        if not self._queue_filled.is_set():
            self._queue_filled.set()

    def _run(self) -> None:
        while True:
            self._queue_filled.wait()
            self._stopped.wait(BATCH_DELAY_S)
            self._queue_filled.clear()
            self._send()
            if self._stopped.is_set():
                return

    def _send(self) -> None:
        while self._queue:
            address, release = self._queue.popleft()
            try:
                self._outboxes.put(address, release)
            except ChannelError as error:
                _log.info("cannot send message to agent", extra={"error": str(error)})
