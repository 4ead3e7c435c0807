"""HTTP server on raw sockets, for stand-ins that also send malformed responses."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

import h11

from standins.silence import Silence, SilenceableWriter

__all__ = ["RawHttpServer", "RawRequest", "answer", "reset"]

Headers = dict[str, str]


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A received request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def answer(status: int, body: bytes = b"", headers: Headers | None = None) -> bytes:
    """Return the bytes of a response with a Content-Length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset instead of a FIN."""
    if writer.is_closing():
        return
    no_linger = struct.pack("ii", 1, 0)
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class RawHttpServer:
    """Reads requests with h11 and writes the bytes that ``handle`` returns.

    ``connections`` counts accepted connections since the start. While ``silence`` is
    on, the server reads as usual but sends nothing on the connections concerned.
    """

    def __init__(self) -> None:
        """Prepare a server; it listens after ``start()``."""
        self.port = 0
        self.connections = 0
        self.silence = Silence()
        self._server: asyncio.Server | None = None
        self._writers: set[SilenceableWriter] = set()

    async def start(self, ip: str, port: int = 0) -> int:
        """Listen and return the port; with port 0 the system chooses one."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            reset(writer)

    async def handle(self, request: RawRequest) -> bytes | None:
        """Return the bytes of the response, or None to close without one."""
        raise NotImplementedError

    async def exchange(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer a request on its connection; return whether to keep it open."""
        data = await self.handle(request)
        if data is None:
            return False
        writer.write(data)
        await writer.drain()
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, raw_writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        writer = self.silence.wrap(raw_writer)
        self._writers.add(writer)
        try:
            await self._read_requests(reader, writer)
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            self.silence.forget(writer)
            writer.close()

    async def _read_requests(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        data = b""
        while True:
            http = h11.Connection(h11.SERVER)
            if data:
                http.receive_data(data)
            request = await self._read_request(http, reader)
            if request is None:
                return
            data = http.trailing_data[0]
            if not await self._exchange_until_disconnect(request, reader, writer):
                return

    async def _exchange_until_disconnect(
        self,
        request: RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request, or cancel the answer when the caller disconnects.

        Returns whether to keep the connection open.
        """
        exchange_task = asyncio.ensure_future(self.exchange(request, writer))
        while not exchange_task.done():
            await asyncio.wait({exchange_task}, timeout=0.01)
            if not exchange_task.done() and (reader.at_eof() or writer.is_closing()):
                exchange_task.cancel()
                self.on_disconnect(request)
                return False
        return exchange_task.result()

    def on_disconnect(self, request: RawRequest) -> None:
        """Handle a caller that disconnects while its request is being answered."""

    @staticmethod
    async def _read_request(
        http: h11.Connection, reader: asyncio.StreamReader
    ) -> RawRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65_536)
                if not data:
                    return None
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return RawRequest(
                    head.method.decode(),
                    head.target.decode(),
                    {n.decode(): v.decode() for n, v in head.headers},
                    bytes(body),
                )
            else:
                return None
