"""Serves the HTTP pages of a process, such as readiness and metrics."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Mapping

from lentiltally.clock import Clock
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.caller_connections import CallerConnections
from lentiltally.direct.model import CallerLimits
from lentiltally.direct.raw_request import RawRequest
from lentiltally.direct.read_resources import ReadResources
from lentiltally.direct.settings import SocketAddress
from lentiltally.problems import Refusal

__all__ = ["EXPLAIN_PATH", "METRICS_PATH", "PageServer"]

METRICS_PATH = b"/metrics"
EXPLAIN_PATH = b"/explain"
# What callers of pages may hold together: requests, which have no body, and pages that
# they don't read.
MAX_HELD_BYTES = 8 * 1024 * 1024
MAX_CONNECTIONS = 32

Page = Callable[[], tuple[int, bytes]]
# Gets the query of the URL.
QueryPage = Callable[[str], tuple[int, bytes]]


class PageServer:
    """An HTTP server for a fixed set of pages."""

    def __init__(
        self,
        pages: Mapping[bytes, Page],
        clock: Clock,
        query_pages: Mapping[bytes, QueryPage] | None = None,
    ) -> None:
        """Serve the page of each path; a page returns its status and body."""
        self._pages = pages
        self._query_pages = query_pages or {}
        self._clock = clock
        self._resources = ReadResources.from_limit(MAX_HELD_BYTES)
        self._connections = CallerConnections(MAX_CONNECTIONS)
        self.limits = CallerLimits(body_bytes=0)
        self.is_stopping = False

    async def listen(self, address: SocketAddress) -> asyncio.Server:
        """Listen on an address; raises OSError."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: CallerConnection(self, self._clock, self._resources),
            address.ip,
            address.port,
            reuse_address=True,
        )

    async def handle(self, request: RawRequest, connection: CallerConnection) -> None:
        """Answer with the page of the request's path, or 404."""
        page = self._find(request.path)
        if page is None:
            connection.refuse(Refusal(404, "no-page", "no such page", step="page"))
            return
        status, body = page()
        connection.send_answer(status, [(b"Content-Type", b"text/plain")], body)

    def _find(self, path: bytes) -> Page | None:
        page = self._pages.get(path)
        if page is not None:
            return page
        name, _, query = path.partition(b"?")
        query_page = self._query_pages.get(name)
        if query_page is None:
            return None
        return functools.partial(query_page, query.decode("latin-1"))

    def opened(self, connection: CallerConnection) -> None:
        """Keep track of a new connection, and end older ones that are due."""
        for older in self._connections:
            older.check_timeouts()
        self._connections.add(connection)

    def closed(self, connection: CallerConnection) -> None:
        """Forget a connection that has closed."""
        self._connections.discard(connection)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close()
