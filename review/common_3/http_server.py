"""A small HTTP/1.1 server on asyncio streams, without any dependency."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass

__all__ = ["HttpServer", "Request", "answer"]


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its whole body; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


def answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Answers one request after the other on each connection."""

    def __init__(self) -> None:
        """Prepare a server that does not listen yet."""
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen; with port 0 the system chooses one."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def exchange(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether to keep the connection."""
        raise NotImplementedError

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await _read(reader)) is not None:
                if not await self._answered(request, reader, writer):
                    return
        except (
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answered(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request, or drop it when its caller closes the connection."""
        task = asyncio.ensure_future(self.exchange(request, writer))
        while not task.done():
            await asyncio.wait({task}, timeout=0.01)
            if not task.done() and (reader.at_eof() or writer.is_closing()):
                task.cancel()
                return False
        return task.result()


async def _read(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    fields = (line.partition(":") for line in lines[1:] if line)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, path, headers, body)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection as the end of its process does."""
    if writer.is_closing():
        return
    sock = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
