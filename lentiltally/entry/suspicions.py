"""The entry's copy of the quarantine, from the log."""

from __future__ import annotations

import logging
import threading

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.quarantine import (
    LiftRecord,
    Quarantine,
    Quarantined,
    QuarantineRecord,
    Suspicion,
)
from lentiltally.platform.log_client import LogClient, LogRecord
from lentiltally.platform.stream_follower import StreamFollower

_log = logging.getLogger(__name__)

STREAM = "quarantine"
_decoder = msgspec.json.Decoder(QuarantineRecord)


class FollowedQuarantine:
    """Follows stream ``quarantine``; safe to use from several threads."""

    def __init__(self, log: LogClient, clock: Clock) -> None:
        """Start empty."""
        self._log = log
        self._table = Quarantine()
        self._lock = threading.Lock()
        self._follower = StreamFollower(log, STREAM, _decoder, self._apply, clock)

    def start(self) -> None:
        """Begin to follow."""
        self._follower.start()

    def stop(self) -> None:
        """Stop following."""
        self._follower.stop()

    def suspicion(self, fingerprint: str) -> Suspicion:
        """Return what is held against a fingerprint."""
        with self._lock:
            return self._table.suspicion(fingerprint)

    def quarantined(self) -> list[Quarantined]:
        """Return the quarantined fingerprints, the oldest first."""
        with self._lock:
            return self._table.quarantined()

    def lift(self, record: LiftRecord) -> None:
        """Append the end of a quarantine; raises LogError."""
        self._log.append(STREAM, [record])

    def _apply(self, decoded: QuarantineRecord, record: LogRecord) -> None:
        with self._lock:
            self._table.apply(decoded, record.offset, record.time_ms)
