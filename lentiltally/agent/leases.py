"""Keeps the agent's ownership of its engines up to date with stream ``leases``.

All agents append to the stream, whose order decides which agent owns an engine. Only
the owner starts work on the engine and sends it orders.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Mapping

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.ownership import LeaseRecord, Ownership
from lentiltally.errors import LentiltallyError
from lentiltally.platform.log_client import LogClient, LogRecord
from lentiltally.platform.stream_follower import StreamFollower

_log = logging.getLogger(__name__)

STREAM = "leases"
# Also the longest wait for the follower to reach the end of the stream.
CHECK_INTERVAL_S = 1.0
_decoder = msgspec.json.Decoder(LeaseRecord)


class Leases:
    """Appends lease records for this agent and applies those of all agents."""

    def __init__(
        self,
        log: LogClient,
        ownerships: Mapping[str, Ownership],
        lock: threading.RLock,
        clock: Clock,
    ) -> None:
        """Take the ownership of each engine by target name; ``lock`` guards them."""
        self._log = log
        self._ownerships = ownerships
        self._lock = lock
        self._clock = clock
        self._stopped = threading.Event()
        self._follower = StreamFollower(log, STREAM, _decoder, self._apply, clock)
        self._thread = threading.Thread(target=self._run, daemon=True, name="leases")

    def start(self) -> None:
        """Begin to follow the stream and to append records."""
        self._follower.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop following and appending."""
        self._stopped.set()
        self._follower.stop()

    def _run(self) -> None:
        self._follower.wait_caught_up(CHECK_INTERVAL_S)
        while not self._stopped.is_set():
            self._update_ownerships()
            self._stopped.wait(CHECK_INTERVAL_S)

    def _update_ownerships(self) -> None:
        """Tell each ownership what is known of the stream; append missing records."""
        follower = self._follower
        with self._lock:
            needs_check = any(
                ownership.needs_check for ownership in self._ownerships.values()
            )
        # A long poll under way proves only what was true when it began, so an
        # ownership to be checked asks the log again.
        requested_at_s = follower.caught_up_as_of_s() if needs_check else None
        now_s = self._clock.monotonic_s()
        with self._lock:
            for ownership in self._ownerships.values():
                if follower.is_log_down or not follower.is_caught_up:
                    ownership.log_unavailable(now_s)
                else:
                    ownership.stream_read(
                        requested_at_s or follower.last_read_started_s, now_s
                    )
            records = [
                ownership.record()
                for ownership in self._ownerships.values()
                if ownership.needs_lease_record
            ]
        if records and follower.is_caught_up:
            self._append(records)

    def _append(self, records: list[LeaseRecord]) -> None:
        try:
            result = self._log.append(STREAM, records)
        except LentiltallyError as error:
            _log.info("could not append lease records", extra={"error": str(error)})
            return
        self._follower.wait_past(result.next_offset - 1, CHECK_INTERVAL_S)

    def _apply(self, lease: LeaseRecord, record: LogRecord) -> None:
        with self._lock:
            for ownership in self._ownerships.values():
                ownership.apply(lease, record.offset)
