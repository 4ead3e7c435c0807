"""Pools idle connections to targets."""

from __future__ import annotations

from collections import deque

from lentiltally.clock import Clock
from lentiltally.direct.http_connection import HttpConnection, open_connection
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.read_resources import ReadResources
from lentiltally.direct.settings import SocketAddress

__all__ = ["TargetPool"]

# Targets close idle connections after their keep-alive timeout. A request that is sent
# on a connection that is just being closed could be lost.
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_KEEP_ALIVE_S = 4.0
# A non-idempotent request only reuses a connection that was idle no longer than this.
NON_IDEMPOTENT_MAX_IDLE_S = 2.0
MAX_IDLE_S = 20.0


class TargetPool:
    """Idle connections by target id; the most recently used is taken first."""

    def __init__(self, clock: Clock, resources: ReadResources) -> None:
        """Start without connections; all of them share ``resources``."""
        self._clock = clock
        self._resources = resources
        self._idle: dict[str, deque[HttpConnection]] = {}
        self.opened = 0

    async def take(
        self, target: TargetRecord, *, must_be_fresh: bool, timeout_s: float
    ) -> HttpConnection:
        """Return an idle or a new connection; raises ConnectError.

        With ``must_be_fresh`` only a recently used connection is reused.
        """
        idle = self._idle.get(target.target_id)
        now_s = self._clock.monotonic_s()
        while idle:
            connection = idle.pop()
            if not connection.is_reusable or self._is_stale(connection, now_s):
                connection.close()
            elif (
                must_be_fresh
                and now_s - connection.used_at_s > NON_IDEMPOTENT_MAX_IDLE_S
            ):
                idle.append(connection)
                break
            else:
                return connection
        return await self._open(target, timeout_s)

    async def add(self, target: TargetRecord, timeout_s: float) -> None:
        """Open a connection for a later request; raises ConnectError."""
        connection = await self._open(target, timeout_s)
        connection.used_at_s = self._clock.monotonic_s()
        self._idle.setdefault(target.target_id, deque()).append(connection)

    def give_back(self, target_id: str, connection: HttpConnection) -> None:
        """Return a connection to the pool after a complete answer."""
        if connection.finish():
            connection.used_at_s = self._clock.monotonic_s()
            self._idle.setdefault(target_id, deque()).append(connection)

    def drop(self, target_id: str) -> None:
        """Close the idle connections of a target that was removed."""
        for connection in self._idle.pop(target_id, ()):
            connection.close()

    def close_stale(self) -> None:
        """Close connections that have been idle for too long to be reused."""
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

    async def _open(self, target: TargetRecord, timeout_s: float) -> HttpConnection:
        self.opened += 1
        address = SocketAddress.from_text(target.address)
        return await open_connection(address, timeout_s, self._resources)

    @staticmethod
    def _is_stale(connection: HttpConnection, now_s: float) -> bool:
        limit_s = connection.keep_alive_s or DEFAULT_KEEP_ALIVE_S
        usable_s = min(MAX_IDLE_S, max(0.5, limit_s - KEEP_ALIVE_MARGIN_S))
        return now_s - connection.used_at_s > usable_s
