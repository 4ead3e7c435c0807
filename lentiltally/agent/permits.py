"""Permits for adapter loads, agreed with the other agents through the log."""

from __future__ import annotations

import logging
import threading

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.load_permits import (
    LoadPermits,
    LoadRecord,
    LoadRelease,
    LoadRenewal,
    LoadRequest,
    PermitSettings,
    StaticShare,
)
from lentiltally.errors import LentiltallyError
from lentiltally.ids import new_incarnation
from lentiltally.platform.log_client import LogClient, LogRecord
from lentiltally.platform.stream_follower import StreamFollower

_log = logging.getLogger(__name__)

STREAM = "loads"
# Older records can't hold a permit any more: permits expire after 2 s, and the log
# takes several hundred appends a second.
START_RECORDS = 1_000
CHECK_S = 0.02
RENEWAL_S = 1.0
_decoder = msgspec.json.Decoder(LoadRecord)


class Permits:
    """Hands out permits to the targets of one agent; safe for several threads."""

    def __init__(
        self, log: LogClient, agent: str, clock: Clock, settings: PermitSettings
    ) -> None:
        """Follow stream ``loads`` once started."""
        self._log = log
        self._agent = agent
        self._clock = clock
        self._settings = settings
        self._table = LoadPermits(settings)
        self._agents = {agent}
        self._share = StaticShare(1, settings)
        self._log_ahead_s = 0.0
        self._held: set[str] = set()
        self._stopped = threading.Event()
        self._renewer = threading.Thread(
            target=self._renew, daemon=True, name="permits"
        )
        self._lock = threading.Lock()
        self._follower = StreamFollower(
            log, STREAM, _decoder, self._apply, clock, max_initial_records=START_RECORDS
        )

    def start(self) -> None:
        """Begin to follow the stream."""
        self._follower.start()
        self._renewer.start()

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()
        self._follower.stop()

    def held(self) -> int:
        """Return how many permits of the log this agent holds."""
        with self._lock:
            return len(self._held)

    def acquire(self, timeout_s: float) -> str | None:
        """Return a permit's id, or None if there was none within the timeout.

        While the log is down the agent's fixed share of the limits applies.
        """
        request_id = new_incarnation()
        until_s = self._clock.monotonic_s() + timeout_s
        if not self._request(request_id):
            return self._acquire_share(request_id, until_s)
        while self._clock.monotonic_s() < until_s:
            with self._lock:
                granted = request_id in self._table.grants(self._log_now_s())
                if granted:
                    self._held.add(request_id)
            if granted:
                return request_id
            if self._follower.is_log_down:
                return self._acquire_share(request_id, until_s)
            threading.Event().wait(CHECK_S)
        self.release(request_id)
        return None

    def release(self, request_id: str) -> None:
        """Give a permit back, or withdraw the request for one."""
        with self._lock:
            self._held.discard(request_id)
            self._share.ended(request_id)
        try:
            self._log.append(STREAM, [LoadRelease(request_id)])
        except LentiltallyError as error:
            # The permit expires by itself.
            _log.info("release not recorded", extra={"error": str(error)})

    def _renew(self) -> None:
        """Renew the permits of loads that take longer than usual."""
        while not self._stopped.wait(RENEWAL_S):
            with self._lock:
                renewals = [LoadRenewal(request_id) for request_id in self._held]
            if not renewals:
                continue
            try:
                self._log.append(STREAM, renewals)
            except LentiltallyError as error:
                _log.info("permits not renewed", extra={"error": str(error)})

    def _request(self, request_id: str) -> bool:
        if self._follower.is_log_down or not self._follower.is_caught_up:
            return False
        try:
            self._log.append(STREAM, [LoadRequest(request_id, self._agent)])
        except LentiltallyError as error:
            _log.info("permit not requested", extra={"error": str(error)})
            return False
        return True

    def _acquire_share(self, request_id: str, until_s: float) -> str | None:
        while (now_s := self._clock.monotonic_s()) < until_s:
            with self._lock:
                if self._share.may_start(request_id, now_s):
                    return request_id
            threading.Event().wait(CHECK_S)
        return None

    def _apply(self, entry: LoadRecord, record: LogRecord) -> None:
        log_time_s = record.time_ms / 1000
        with self._lock:
            self._table.apply(entry, record.offset, log_time_s)
            ahead_s = log_time_s - self._clock.monotonic_s()
            self._log_ahead_s = max(self._log_ahead_s, ahead_s)
            if isinstance(entry, LoadRequest) and entry.agent not in self._agents:
                self._agents.add(entry.agent)
                self._share = StaticShare(len(self._agents), self._settings)

    def _log_now_s(self) -> float:
        """Estimate the log's present time; a late record makes it lag, never lead."""
        return self._clock.monotonic_s() + self._log_ahead_s
