"""Limits the adapter loads of all agents, agreed through the log stream ``loads``.

Every agent applies the same records in offset order and so computes the same grants;
there is no coordinator. While the log is unavailable, ``StaticShare`` gives each agent
a fixed part of the limit.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import msgspec


class LoadRequest(msgspec.Struct, frozen=True, tag="request"):
    """An agent requests a permit; ``request_id`` is unique over all agents."""

    request_id: str
    agent: str


class LoadRelease(msgspec.Struct, frozen=True, tag="release"):
    """The load has ended, or its request is withdrawn."""

    request_id: str


class LoadRenewal(msgspec.Struct, frozen=True, tag="renewal"):
    """The load is still in progress; its permit is extended by ``expiry_s``.

    Without renewals, a weight store that needs longer than ``expiry_s`` per load would
    get more than ``max_in_flight`` loads at once.
    """

    request_id: str


LoadRecord = LoadRequest | LoadRelease | LoadRenewal


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """Limits of the weight store, and when a permit expires.

    At most ``max_in_flight`` loads run at once, and ``max_per_s`` start after a
    ``burst``. A permit expires ``expiry_s`` after its grant or last renewal, because
    its holder may have crashed. A load takes 0.25 s, so 2 s cover a slow one.
    """

    max_in_flight: int = 8
    max_per_s: float = 4.5
    burst: float = 8.0
    expiry_s: float = 2.0


class LoadPermits:
    """Permits as a function of the records, their offsets and their log times.

    At most ``max_in_flight`` permits are held at once, and a token bucket limits the
    rate of grants. Requests are granted in offset order, so a later record can make the
    grant of an earlier request come sooner, but never revoke it.
    """

    def __init__(self, settings: PermitSettings | None = None) -> None:
        """Start with a full bucket and no requests."""
        self._settings = settings or PermitSettings()
        self._waiting: OrderedDict[str, None] = OrderedDict()
        self._granted: OrderedDict[str, float] = OrderedDict()
        self._tokens = self._settings.burst
        self._time_s: float | None = None
        self._offset = -1

    def apply(self, record: LoadRecord, offset: int, log_time_s: float) -> None:
        """Apply a record; one at or below the last offset is ignored.

        ``log_time_s`` is the timestamp of the log in seconds. If it is earlier than
        that of the last record, the time of the last record is used.
        """
        if offset <= self._offset:
            return
        self._offset = offset
        self._advance(log_time_s)
        if isinstance(record, LoadRequest):
            if record.request_id not in self._granted:
                self._waiting.setdefault(record.request_id)
        elif isinstance(record, LoadRenewal):
            if self._granted.pop(record.request_id, None) is not None:
                # Reinserted, so that the permits stay in the order of expiry.
                self._granted[record.request_id] = self._now_s()
        else:
            self._waiting.pop(record.request_id, None)
            self._granted.pop(record.request_id, None)
        self._advance(log_time_s)

    def grants(self, log_now_s: float) -> dict[str, float]:
        """Return the permits held at a log time, and when they were last confirmed.

        That is the log time of the grant or of the last renewal, in seconds.

        Only records advance the table itself, because a record with an earlier time may
        still arrive.
        """
        advanced = self._copy()
        advanced._advance(log_now_s)
        return dict(advanced._granted)

    def next_change_s(self) -> float | None:
        """Return the log time of the next grant if no record arrives.

        Return None if no request waits.
        """
        if not self._waiting or self._time_s is None:
            return None
        return self._next_grant_s()

    def waiting(self) -> int:
        """Return the number of requests without a permit as of the last record."""
        return len(self._waiting)

    def _copy(self) -> LoadPermits:
        copy = LoadPermits(self._settings)
        copy._waiting = self._waiting.copy()
        copy._granted = self._granted.copy()
        copy._tokens = self._tokens
        copy._time_s = self._time_s
        return copy

    def _advance(self, to_s: float) -> None:
        if self._time_s is None:
            self._time_s = to_s
        to_s = max(to_s, self._time_s)
        while self._waiting:
            at_s = self._next_grant_s()
            if at_s > to_s:
                break
            self._set_time(at_s)
            request_id, _ = self._waiting.popitem(last=False)
            self._granted[request_id] = at_s
            self._tokens = max(0.0, self._tokens - 1.0)
        self._set_time(to_s)

    def _now_s(self) -> float:
        assert self._time_s is not None
        return self._time_s

    def _next_grant_s(self) -> float:
        """Return the log time at which the first waiting request gets its permit."""
        assert self._time_s is not None
        at_s = self._time_s
        if self._tokens < 1.0:
            at_s += (1.0 - self._tokens) / self._settings.max_per_s
        excess = len(self._granted) - self._settings.max_in_flight
        if excess >= 0:
            confirmed_s = list(self._granted.values())[excess]
            at_s = max(at_s, confirmed_s + self._settings.expiry_s)
        return at_s

    def _set_time(self, to_s: float) -> None:
        assert self._time_s is not None
        elapsed_s = to_s - self._time_s
        refilled = self._tokens + elapsed_s * self._settings.max_per_s
        self._tokens = min(self._settings.burst, refilled)
        self._time_s = to_s
        for request_id, at_s in list(self._granted.items()):
            if at_s + self._settings.expiry_s <= to_s:
                del self._granted[request_id]


class StaticShare:
    """An agent's fixed part of the limits while the log is unavailable.

    Each agent gets at least one load at a time, even if there are more agents than
    permits; then the time between the starts bounds the loads in flight.
    """

    def __init__(self, agents: int, settings: PermitSettings | None = None) -> None:
        """Divide the limits evenly by the number of agents."""
        limits = settings or PermitSettings()
        self._max_in_flight = limits.max_in_flight
        self._max_own_loads = max(1, limits.max_in_flight // max(1, agents))
        self._spacing_s = max(1, agents) / limits.max_per_s
        self._agents = max(1, agents)
        self._next_start_s = float("-inf")
        self._started: dict[str, float] = {}

    def try_start(self, request_id: str, now_s: float) -> bool:
        """Count a load and return True if it may start now, else return False."""
        if now_s < self._next_start_s or len(self._started) >= self._max_own_loads:
            return False
        self._started[request_id] = now_s
        self._next_start_s = now_s + self._spacing_s
        return True

    def ended(self, request_id: str, now_s: float | None = None) -> None:
        """Count the end of a load; ``now_s``, if given, delays the next start.

        While the weight store is slow, the loads of all agents stay within the limit
        only if each agent pauses in proportion to the duration of its loads.
        """
        started_s = self._started.pop(request_id, None)
        if started_s is None or now_s is None:
            return
        pause_s = (now_s - started_s) * self._agents / self._max_in_flight
        self._next_start_s = max(self._next_start_s, started_s + pause_s)
