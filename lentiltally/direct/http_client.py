"""HTTP client for short calls to the store and to an engine."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import h11

from lentiltally.decisions.message_size import (
    MessageLimits,
    MessageSize,
    MessageTooLargeError,
)
from lentiltally.direct.http_connection import (
    HttpConnection,
    PeerError,
    open_connection,
)
from lentiltally.direct.settings import SocketAddress

__all__ = ["HttpClient", "HttpResponse"]

# Smaller bodies arrive within the timeout of a call; one that does not is lost, and
# waiting for it longer would only delay the next call.
LARGE_BODY_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class HttpClient:
    """Makes one call at a time to one address over a persistent connection."""

    def __init__(
        self,
        address: SocketAddress,
        limits: MessageLimits,
        body_timeout_s: float | None = None,
    ) -> None:
        """Connect on the first call; ``limits`` are those of a response's body.

        With ``body_timeout_s``, a large body has this time once its head is complete,
        and the timeout of the call is that of the head alone.
        """
        self.address = address
        self._body_timeout_s = body_timeout_s
        self._limits = limits
        self._connection: HttpConnection | None = None

    async def call(
        self,
        method: bytes,
        path: bytes,
        *,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        timeout_s: float,
    ) -> HttpResponse:
        """Make a call and return the response.

        Raises ConnectError if no connection can be opened, and PeerError if the
        connection is lost, the response is malformed or too large, or it does not
        arrive within ``timeout_s``. After any failure the connection is replaced,
        because one on which a response was lost may never deliver another.
        """
        is_done = False
        try:
            async with asyncio.timeout(timeout_s) as timeout:
                connection = await self._connect()
                self._send(connection, method, path, headers, body)
                response = await self._response(connection, timeout)
            is_done = True
            return response
        except TimeoutError as error:
            raise self._error(f"no answer within {timeout_s:.1f} s") from error
        finally:
            if not is_done:
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _connect(self) -> HttpConnection:
        connection = self._connection
        if connection is None or not connection.is_reusable:
            connection = await open_connection(self.address)
            self._connection = connection
        return connection

    def _send(
        self,
        connection: HttpConnection,
        method: bytes,
        path: bytes,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> None:
        fields = [(b"Host", str(self.address).encode()), *headers]
        if body:
            fields.append((b"Content-Length", b"%d" % len(body)))
        connection.send(method, path, fields, body)

    async def _response(
        self, connection: HttpConnection, timeout: asyncio.Timeout
    ) -> HttpResponse:
        head = await connection.next_event()
        if not isinstance(head, h11.Response):
            raise self._error("answer without a head")
        if self._body_timeout_s is not None and _is_large(head):
            timeout.reschedule(asyncio.get_running_loop().time() + self._body_timeout_s)
        body = await self._read_body(connection)
        if not connection.finish():
            self._connection = None
        return HttpResponse(head.status_code, dict(head.headers), body)

    async def _read_body(self, connection: HttpConnection) -> bytes:
        data = bytearray()
        size = MessageSize(self._limits)
        while isinstance(part := await connection.next_event(), h11.Data):
            try:
                size.add(len(part.data))
            except MessageTooLargeError as error:
                raise self._error(f"response too large: {error}") from error
            data += part.data
        return bytes(data)

    def _error(self, detail: str) -> PeerError:
        return PeerError(detail, step="call", peer=str(self.address))


def _is_large(head: h11.Response) -> bool:
    """Return whether a response may have a large body."""
    length = dict(head.headers).get(b"content-length")
    return length is None or int(length) > LARGE_BODY_BYTES
