"""Connections to targets, kept between requests."""

from __future__ import annotations

from collections import deque

from lentiltally.clock import Clock
from lentiltally.direct.http_connection import HttpConnection, open_connection
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.settings import SocketAddress

__all__ = ["TargetPool"]

# A target closes idle connections on its own; one that is about to be closed could
# take a request and drop it.
IDLE_MARGIN_S = 1.0
DEFAULT_IDLE_S = 4.0
# A request that must not be repeated only uses a connection that was used this lately.
FRESH_S = 2.0
CLOSE_IDLE_AFTER_S = 20.0


class TargetPool:
    """Idle connections by target id; the one used last is taken first."""

    def __init__(self, clock: Clock) -> None:
        """Start without connections."""
        self._clock = clock
        self._idle: dict[str, deque[HttpConnection]] = {}
        self.opened = 0

    async def take(
        self, target: TargetRecord, *, must_be_fresh: bool, timeout_s: float
    ) -> HttpConnection:
        """Return a connection; raises ConnectError if a new one can't be opened."""
        idle = self._idle.get(target.target_id)
        now_s = self._clock.monotonic_s()
        while idle:
            connection = idle.pop()
            if not connection.is_reusable or self._is_stale(connection, now_s):
                connection.close()
            elif must_be_fresh and now_s - connection.used_at_s > FRESH_S:
                idle.append(connection)
                break
            else:
                return connection
        self.opened += 1
        return await open_connection(SocketAddress.from_text(target.address), timeout_s)

    def give_back(self, target_id: str, connection: HttpConnection) -> None:
        """Keep a connection whose answer is complete."""
        if connection.finish():
            connection.used_at_s = self._clock.monotonic_s()
            self._idle.setdefault(target_id, deque()).append(connection)

    def drop(self, target_id: str) -> None:
        """Close the idle connections of a target that is gone."""
        for connection in self._idle.pop(target_id, ()):
            connection.close()

    def sweep(self) -> None:
        """Close connections that are too old to be used again."""
        now_s = self._clock.monotonic_s()
        for target_id, idle in list(self._idle.items()):
            kept = deque(
                c for c in idle if c.is_reusable and not self._is_stale(c, now_s)
            )
            for connection in idle:
                if connection not in kept:
                    connection.close()
            if kept:
                self._idle[target_id] = kept
            else:
                del self._idle[target_id]

    def close(self) -> None:
        """Close all idle connections."""
        for target_id in list(self._idle):
            self.drop(target_id)

    @staticmethod
    def _is_stale(connection: HttpConnection, now_s: float) -> bool:
        limit_s = connection.keep_alive_s or DEFAULT_IDLE_S
        usable_s = min(CLOSE_IDLE_AFTER_S, max(0.5, limit_s - IDLE_MARGIN_S))
        return now_s - connection.used_at_s > usable_s
