"""Keeps the agent's ownership of its targets in step with stream ``leases``."""

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
CHECK_S = 1.0
_decoder = msgspec.json.Decoder(LeaseRecord)


class Leases:
    """Appends lease records where one is needed and applies those of all agents."""

    def __init__(
        self,
        log: LogClient,
        owners: Mapping[str, Ownership],
        lock: threading.RLock,
        clock: Clock,
    ) -> None:
        """Take the ownership of each target; ``lock`` guards them."""
        self._log = log
        self._owners = owners
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
        self._follower.wait_caught_up(CHECK_S)
        while not self._stopped.is_set():
            self._check()
            self._stopped.wait(CHECK_S)

    def _check(self) -> None:
        follower = self._follower
        with self._lock:
            must_ask = any(owner.needs_check for owner in self._owners.values())
        asked_at_s = follower.caught_up_as_of_s() if must_ask else None
        now_s = self._clock.monotonic_s()
        with self._lock:
            for owner in self._owners.values():
                if follower.is_log_down or not follower.is_caught_up:
                    owner.log_unavailable(now_s)
                else:
                    owner.followed(asked_at_s or follower.last_read_started_s, now_s)
            needed = [o.record() for o in self._owners.values() if o.needs_record]
        if needed and follower.is_caught_up:
            self._append(needed)

    def _append(self, records: list[LeaseRecord]) -> None:
        try:
            result = self._log.append(STREAM, records)
        except LentiltallyError as error:
            _log.info("lease not recorded", extra={"error": str(error)})
            return
        self._follower.wait_past(result.next_offset - 1, CHECK_S)

    def _apply(self, lease: LeaseRecord, record: LogRecord) -> None:
        with self._lock:
            for owner in self._owners.values():
                owner.apply(lease, record.offset)
