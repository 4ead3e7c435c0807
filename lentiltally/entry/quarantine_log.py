"""The entry's copy of the quarantine table, kept up to date from the log."""

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


class QuarantineLog:
    """Reads stream ``quarantine`` into a table; safe to use from several threads."""

    def __init__(self, log: LogClient, clock: Clock) -> None:
        """Start with an empty table."""
        self._log = log
        self._table = Quarantine()
        self._lock = threading.Lock()
        self._follower = StreamFollower(log, STREAM, _decoder, self._apply, clock)

    def start(self) -> None:
        """Start reading the stream."""
        self._follower.start()

    def stop(self) -> None:
        """Stop reading the stream."""
        self._follower.stop()

    def suspicion(self, fingerprint: str) -> Suspicion:
        """Return whether a fingerprint is suspect, quarantined or neither."""
        with self._lock:
            return self._table.suspicion(fingerprint)

    def quarantined(self) -> list[Quarantined]:
        """Return the quarantined requests, the oldest first."""
        with self._lock:
            return self._table.quarantined()

    def lift(self, record: LiftRecord) -> None:
        """Append a record that lifts a quarantine; raises LogError."""
        self._log.append(STREAM, [record])

    def _apply(self, decoded: QuarantineRecord, record: LogRecord) -> None:
        with self._lock:
            self._table.apply(decoded, record.offset, record.time_ms)
