"""Client side of an HTTP/1.1 connection to a target, the store or an engine.

A connection carries one request at a time. Bytes that arrive while no request is open
belong to no answer, so the connection is closed. An answer without a length is complete
only if the peer closed the connection in order (FIN), not if it was reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

import h11

from lentiltally.decisions.message_size import MessageTooLargeError
from lentiltally.direct.read_resources import ReadResources
from lentiltally.direct.read_turns import MAX_PIECES_PER_TURN
from lentiltally.direct.settings import SocketAddress
from lentiltally.errors import LentiltallyError

__all__ = ["ConnectError", "Event", "HttpConnection", "PeerError", "open_connection"]

CONNECT_TIMEOUT_S = 0.5
# A dead connection is detected after about three seconds without an answer to keepalive
# probes, or without an acknowledgement of sent data.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_LIMIT_MS = 2_500
MAX_HEAD_BYTES = 64 * 1024
# HTTP has no statuses above this one, and clients can't read them as answers.
MAX_STATUS = 599
# Informational responses (1xx) that may precede the head of an answer.
MAX_INTERIM_RESPONSES = 16
# Reading pauses while this much of an answer has not been processed, for instance
# because the caller reads slowly. The kernel then holds some more.
MAX_UNREAD_BYTES = 64 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024
# Bound on what a connection holds that shares its resources with no other.
MAX_HELD_ALONE_BYTES = 64 * 1024 * 1024

RawHeaders = Sequence[tuple[bytes, bytes]]
Event = h11.Response | h11.Data | h11.EndOfMessage


class ConnectError(LentiltallyError):
    """No connection could be opened, so nothing was sent.

    ``is_refused`` says that nothing listens at the address, unlike a timeout.
    """

    def __init__(
        self, message: str, *, step: str, peer: str = "", is_refused: bool = False
    ) -> None:
        """Store the message, its origin and whether the connection was refused."""
        super().__init__(message, step=step, peer=peer)
        self.is_refused = is_refused


class PeerError(LentiltallyError):
    """The connection was lost, or the peer did not send a valid answer."""


class HttpConnection(asyncio.BufferedProtocol):
    """One client connection.

    ``used_at_s`` and ``keep_alive_s`` are for a pool: when the connection was last used
    and how long the peer keeps it open while it is idle, None if unknown.
    """

    def __init__(
        self, address: SocketAddress, resources: ReadResources | None = None
    ) -> None:
        """Create the protocol; ``open_connection`` connects it.

        Without ``resources`` the connection shares none.
        """
        self.address = address
        self.used_at_s = 0.0
        self.keep_alive_s: float | None = None
        self.requests = 0
        self._transport: asyncio.Transport | None = None
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._is_closed = False
        self._error: str | None = None
        self._is_busy = False
        self._wake: asyncio.Future[None] | None = None
        self._sent: h11.Request | None = None
        self._body = b""
        self._interim_responses = 0
        self._unread_bytes = 0
        self._is_reading_paused = False
        resources = resources or ReadResources.from_limit(MAX_HELD_ALONE_BYTES)
        self._turns = resources.turns
        self._pieces_in_turn = 0
        self._receive_buffer = resources.buffer
        self._holding = resources.held.open(self._give_up)
        self._kept_bytes = 0
        self._is_given_up = False

    @property
    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        states = self._http.states
        return (
            not self._is_closed
            and not self._is_busy
            and states == {h11.CLIENT: h11.IDLE, h11.SERVER: h11.IDLE}
        )

    @property
    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that detect a dead connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        set_socket_options(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes; it is free again when they are used."""
        del sizehint
        return self._receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes in the buffer."""
        self.data_received(bytes(memoryview(self._receive_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, or close if no request is open."""
        if not self._is_busy:
            self._record_error("bytes without a request")
            self.close()
            return
        try:
            self._http.receive_data(data)
        except (h11.RemoteProtocolError, RuntimeError):
            self._record_error("bytes after the end")
        self._unread_bytes += len(data)
        self._update_holding()
        if self._unread_bytes > MAX_UNREAD_BYTES and self._transport is not None:
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._notify()

    def eof_received(self) -> bool:
        """Tell the parser of an orderly close; it ends an answer without a length."""
        if self._is_busy:
            self._http.receive_data(b"")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Mark the connection as closed; an error means that it was reset."""
        self._is_closed = True
        self._holding.close()
        if error is not None:
            self._record_error(f"connection lost: {error}")
        self._notify()

    def send(
        self, method: bytes, path: bytes, headers: RawHeaders, body: bytes
    ) -> None:
        """Send a complete request.

        Raises PeerError if the connection is closed or the request is not valid HTTP.
        """
        if not self.is_reusable or self._transport is None:
            raise PeerError("connection has ended", step="send", peer=str(self.address))
        try:
            request = h11.Request(method=method, target=path, headers=list(headers))
        except h11.LocalProtocolError as error:
            raise PeerError(
                f"invalid request: {error}", step="send", peer=str(self.address)
            ) from error
        self._is_busy = True
        self._interim_responses = 0
        self.requests += 1
        self._sent = request
        self._body = body
        self._transport.write(self._encode(self._http, self._sent, body))

    async def next_event(self) -> Event:
        """Return the next event of the answer.

        Raises PeerError if the connection is lost or the answer is malformed, and
        MessageTooLargeError if it was given up to keep the bound on all answers.
        """
        while True:
            await self._end_turn_if_long()
            if self._is_given_up:
                raise MessageTooLargeError("the most of too many bytes that are held")
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise self._peer_error(f"no answer in the protocol: {error}") from error
            if isinstance(event, h11.Response) and event.status_code > MAX_STATUS:
                raise self._peer_error(f"invalid status {event.status_code}")
            if isinstance(event, h11.Response | h11.Data | h11.EndOfMessage):
                return event
            if isinstance(event, h11.ConnectionClosed):
                raise self._peer_error("connection closed without an answer")
            if isinstance(event, h11.InformationalResponse):
                self._interim_responses += 1
                if self._interim_responses > MAX_INTERIM_RESPONSES:
                    raise self._peer_error("interim responses without end")
                continue
            self._resume_reading()
            if self._error is not None:
                raise self._peer_error(self._error)
            if self._is_closed:
                raise self._peer_error("connection closed")
            self._wake = asyncio.get_running_loop().create_future()
            await self._wake
            self._pieces_in_turn = 0

    async def _end_turn_if_long(self) -> None:
        """Let other work go on after each ``MAX_PIECES_PER_TURN`` pieces."""
        self._pieces_in_turn += 1
        if self._pieces_in_turn > MAX_PIECES_PER_TURN:
            await self._turns.wait()
            self._pieces_in_turn = 1

    def count_pieces(self, pieces: int) -> None:
        """Count work of the reader as that many pieces, towards the end of its turn."""
        self._pieces_in_turn += pieces

    def keep(self, size_bytes: int) -> None:
        """Note how much of the answer its reader keeps until it is complete."""
        self._kept_bytes = size_bytes
        self._update_holding()

    def skip_answer(self) -> None:
        """Discard an answer to another request and read on for the right one."""
        trailing, _ = self._http.trailing_data
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        assert self._sent is not None
        self._encode(self._http, self._sent, self._body)
        if trailing:
            self._http.receive_data(trailing)

    def finish(self) -> bool:
        """End a request whose answer is complete.

        Returns whether the connection can be reused; if not, it is closed.
        """
        transport = self._transport
        trailing, _ = self._http.trailing_data
        is_unsent = transport is not None and transport.get_write_buffer_size() > 0
        if self._is_closed or trailing or is_unsent or self._error is not None:
            self.close()
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            self.close()
            return False
        self._is_busy = False
        self._body = b""
        self._kept_bytes = 0
        self._resume_reading()
        return True

    def close(self) -> None:
        """Close at once, which makes most targets cancel the request."""
        self._is_closed = True
        self._body = b""
        self._holding.close()
        if self._transport is not None:
            self._transport.abort()

    def _give_up(self) -> None:
        """Close, because the answers of all connections hold too much."""
        self._is_given_up = True
        self.close()
        self._notify()

    def _update_holding(self) -> None:
        self._holding.resize(self._unread_bytes + self._kept_bytes)

    def _resume_reading(self) -> None:
        """Read on: the parser has processed all bytes that it can."""
        self._unread_bytes = 0
        self._update_holding()
        if self._is_reading_paused and not self._is_closed:
            self._is_reading_paused = False
            assert self._transport is not None
            self._transport.resume_reading()

    def _record_error(self, reason: str) -> None:
        if self._error is None:
            self._error = reason

    def _peer_error(self, reason: str) -> PeerError:
        return PeerError(self._error or reason, step="answer", peer=str(self.address))

    def _notify(self) -> None:
        wake, self._wake = self._wake, None
        if wake is not None and not wake.done():
            wake.set_result(None)

    @staticmethod
    def _encode(http: h11.Connection, request: h11.Request, body: bytes) -> bytes:
        parts = [http.send(request)]
        if body:
            parts.append(http.send(h11.Data(data=body)))
        parts.append(http.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)


def set_socket_options(
    sock: socket.socket, *, limits_unacknowledged: bool = True
) -> None:
    """Disable Nagle's algorithm and make a dead connection time out.

    With ``limits_unacknowledged`` a connection also ends if the peer does not
    acknowledge sent data, or has no room for more, for a while.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    if limits_unacknowledged:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS
        )


async def open_connection(
    address: SocketAddress,
    timeout_s: float = CONNECT_TIMEOUT_S,
    resources: ReadResources | None = None,
) -> HttpConnection:
    """Open a connection; raises ConnectError on failure or timeout."""
    loop = asyncio.get_running_loop()
    connection = HttpConnection(address, resources)
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: connection, address.ip, address.port)
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # ValueError and OverflowError: the host or the port is no valid one.
        raise ConnectError(
            f"no connection: {error or 'timeout'}",
            step="connect",
            peer=str(address),
            is_refused=isinstance(error, ConnectionRefusedError),
        ) from error
    return connection
