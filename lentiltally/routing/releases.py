"""Tells agents which answers were received whole, many at a time."""

from __future__ import annotations

import logging
import threading
from collections import deque

from lentiltally.wire import ChannelError, Outboxes, Release

_log = logging.getLogger(__name__)

# A frame costs about 60 us of processor time at both ends together, and nobody waits
# for a release, so releases travel together.
GATHER_S = 0.05


class ReleaseSender:
    """Collects releases and sends them from a thread of its own."""

    def __init__(self, outboxes: Outboxes) -> None:
        """Start with none."""
        self._outboxes = outboxes
        self._waiting: deque[tuple[str, Release]] = deque()
        self._has_work = threading.Event()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="releases")

    def start(self) -> None:
        """Begin to send."""
        self._thread.start()

    def stop(self) -> None:
        """Send what waits and stop."""
        self._stopped.set()
        self._has_work.set()
        self._thread.join(timeout=1.0)

    def put(self, address: str, attempt_id: str) -> None:
        """Release an answer at the agent with this address; never blocks."""
        self._waiting.append((address, Release(attempt_id)))
        if not self._has_work.is_set():
            self._has_work.set()

    def _run(self) -> None:
        while True:
            self._has_work.wait()
            self._stopped.wait(GATHER_S)
            self._has_work.clear()
            self._send()
            if self._stopped.is_set():
                return

    def _send(self) -> None:
        while self._waiting:
            address, release = self._waiting.popleft()
            try:
                self._outboxes.put(address, release)
            except ChannelError as error:
                _log.info("message not sent", extra={"error": str(error)})
