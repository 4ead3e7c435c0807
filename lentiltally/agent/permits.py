"""Permits for adapter loads, which limit the loads of all agents together.

Agents append requests, renewals and releases to stream ``loads``. Each agent computes
from the stream which requests have a permit. While the log is down each agent uses a
fixed share of the limits.
"""

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
# How many of the newest records are read at start. Older ones concern no valid permit,
# because permits expire after 2 s and the log takes several hundred appends a second.
INITIAL_RECORDS = 1_000
POLL_INTERVAL_S = 0.02
RENEWAL_INTERVAL_S = 1.0
_decoder = msgspec.json.Decoder(LoadRecord)


class Permits:
    """Hands out permits to the engines of one agent; safe for several threads."""

    def __init__(
        self, log: LogClient, agent: str, clock: Clock, settings: PermitSettings
    ) -> None:
        """Hold no permits yet; ``agent`` is the agent's name in its requests."""
        self._log = log
        self._agent = agent
        self._clock = clock
        self._settings = settings
        self._table = LoadPermits(settings)
        self._known_agents = {agent}
        self._static_share = StaticShare(1, settings)
        # Log time minus monotonic time, in seconds.
        self._log_time_offset_s = 0.0
        # Permits granted through the log, by request id.
        self._granted: set[str] = set()
        self._stopped = threading.Event()
        self._renewer = threading.Thread(
            target=self._renew, daemon=True, name="permits"
        )
        self._lock = threading.Lock()
        self._follower = StreamFollower(
            log,
            STREAM,
            _decoder,
            self._apply,
            clock,
            max_initial_records=INITIAL_RECORDS,
        )

    def start(self) -> None:
        """Begin to follow the stream and to renew permits."""
        self._follower.start()
        self._renewer.start()

    def stop(self) -> None:
        """Stop following and renewing."""
        self._stopped.set()
        self._follower.stop()

    def held_count(self) -> int:
        """Return how many permits granted through the log this agent holds."""
        with self._lock:
            return len(self._granted)

    def acquire(self, timeout_s: float) -> str | None:
        """Wait for a permit and return its id; None if the timeout ends first.

        While the log is down, permits come from this agent's fixed share.
        """
        request_id = new_incarnation()
        deadline_s = self._clock.monotonic_s() + timeout_s
        if not self._request(request_id):
            return self._acquire_from_share(request_id, deadline_s)
        while self._clock.monotonic_s() < deadline_s:
            with self._lock:
                is_granted = request_id in self._table.grants(self._log_now_s())
                if is_granted:
                    self._granted.add(request_id)
            if is_granted:
                return request_id
            if self._follower.is_log_down:
                return self._acquire_from_share(request_id, deadline_s)
            threading.Event().wait(POLL_INTERVAL_S)
        self.release(request_id)
        return None

    def release(self, request_id: str) -> None:
        """Release a permit, or withdraw the request for one."""
        with self._lock:
            self._granted.discard(request_id)
            self._static_share.ended(request_id)
        try:
            self._log.append(STREAM, [LoadRelease(request_id)])
        except LentiltallyError as error:
            # The permit will expire without a release.
            _log.info("could not append permit release", extra={"error": str(error)})

    def _renew(self) -> None:
        """Renew the held permits at intervals, for loads that outlast their expiry."""
        while not self._stopped.wait(RENEWAL_INTERVAL_S):
            with self._lock:
                renewals = [LoadRenewal(request_id) for request_id in self._granted]
            if not renewals:
                continue
            try:
                self._log.append(STREAM, renewals)
            except LentiltallyError as error:
                _log.info("could not renew load permits", extra={"error": str(error)})

    def _request(self, request_id: str) -> bool:
        """Append a request for a permit; False if the log can't be used."""
        if self._follower.is_log_down or not self._follower.is_caught_up:
            return False
        try:
            self._log.append(STREAM, [LoadRequest(request_id, self._agent)])
        except LentiltallyError as error:
            _log.info("could not request a load permit", extra={"error": str(error)})
            return False
        return True

    def _acquire_from_share(self, request_id: str, deadline_s: float) -> str | None:
        while (now_s := self._clock.monotonic_s()) < deadline_s:
            with self._lock:
                if self._static_share.try_start(request_id, now_s):
                    return request_id
            threading.Event().wait(POLL_INTERVAL_S)
        return None

    def _apply(self, entry: LoadRecord, record: LogRecord) -> None:
        log_time_s = record.time_ms / 1000
        with self._lock:
            self._table.apply(entry, record.offset, log_time_s)
            offset_s = log_time_s - self._clock.monotonic_s()
            self._log_time_offset_s = max(self._log_time_offset_s, offset_s)
            if isinstance(entry, LoadRequest) and entry.agent not in self._known_agents:
                self._known_agents.add(entry.agent)
                self._static_share = StaticShare(
                    len(self._known_agents), self._settings
                )

    def _log_now_s(self) -> float:
        """Return an estimate of the log's current time.

        Records arrive after their log time, so the estimate may lag behind the log's
        clock but is never ahead of it.
        """
        return self._clock.monotonic_s() + self._log_time_offset_s
