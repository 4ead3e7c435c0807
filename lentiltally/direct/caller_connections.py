"""The open connections of callers, and a bound on their number."""

from __future__ import annotations

import asyncio
import resource
import socket
from collections.abc import Callable, Iterator

from lentiltally.direct.caller_connection import CallerConnection, ConnectionUse
from lentiltally.direct.settings import HostSettings, SocketAddress

__all__ = ["CallerConnections", "listen_to_callers", "max_caller_connections"]

# Descriptors for listeners, the store, the log and the peers.
OWN_DESCRIPTORS = 32
# A connection that is closed for another one keeps its descriptor for a moment.
CLOSING_DESCRIPTORS = 16
MEMORY_SHARE = 0.1
# An idle connection with its parser takes some 10 KB, and one that is being read up to
# another 16 KB of input.
CONNECTION_BYTES = 16 * 1024
DEFAULT_MAX_CONNECTIONS = 4096
MIN_CONNECTIONS = 8
# The event loop accepts as many connections in one step as the backlog that it knows,
# before any of them is counted. The kernel's own queue may be longer.
MAX_ACCEPTED_AT_ONCE = 8
BACKLOG = 1024


def max_caller_connections(settings: HostSettings) -> int:
    """Return how many callers may be connected: each may need a target's descriptor."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [DEFAULT_MAX_CONNECTIONS]
    if soft_limit != resource.RLIM_INFINITY:
        limits.append(_max_for_descriptors(soft_limit))
    if settings.max_descriptors is not None:
        limits.append(_max_for_descriptors(settings.max_descriptors))
    if settings.memory_mb is not None:
        limits.append(int(settings.memory_mb * 1e6 * MEMORY_SHARE / CONNECTION_BYTES))
    return max(MIN_CONNECTIONS, min(limits))


def _max_for_descriptors(descriptors: int) -> int:
    return (descriptors - OWN_DESCRIPTORS - CLOSING_DESCRIPTORS) // 2


class CallerConnections:
    """Keeps at most ``max_open`` connections, in the order of their last requests.

    For a new connection beyond that, one without a request is closed, the longest
    unused first, then one that is reading a request. If all have requests in progress,
    the new one is closed.
    """

    __slots__ = ("_open", "_surplus", "max_open")

    def __init__(self, max_open: int) -> None:
        """Start without connections."""
        self.max_open = max_open
        # A dict keeps its order; the values have no meaning.
        self._open: dict[CallerConnection, None] = {}
        # Those that have been closed for others, and have not ended yet.
        self._surplus: set[CallerConnection] = set()

    def __iter__(self) -> Iterator[CallerConnection]:
        """Iterate over a copy, so that connections may close meanwhile."""
        return iter(list(self._open))

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def add(self, connection: CallerConnection) -> None:
        """Keep a new connection, and close one if there are too many."""
        self._open[connection] = None
        if len(self._open) - len(self._surplus) > self.max_open:
            self._close_for(connection)

    def discard(self, connection: CallerConnection) -> None:
        """Forget a connection that has closed."""
        self._open.pop(connection, None)
        self._surplus.discard(connection)

    def used(self, connection: CallerConnection) -> None:
        """Note that a request has begun on a connection."""
        if connection in self._open:
            del self._open[connection]
            self._open[connection] = None

    def _close_for(self, newest: CallerConnection) -> None:
        chosen = newest
        chosen_use = ConnectionUse.ANSWERING
        for connection in self._open:
            if connection is newest or connection in self._surplus:
                continue
            use = connection.use
            if use < chosen_use:
                chosen, chosen_use = connection, use
                if use is ConnectionUse.IDLE:
                    break
        self._surplus.add(chosen)
        chosen.close_surplus()


async def listen_to_callers(
    protocol: Callable[[], asyncio.BaseProtocol], address: SocketAddress
) -> asyncio.Server:
    """Listen on an address; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.ip, address.port))
        server = await asyncio.get_running_loop().create_server(
            protocol, sock=sock, backlog=MAX_ACCEPTED_AT_ONCE
        )
    except OSError:
        sock.close()
        raise
    sock.listen(BACKLOG)
    return server
