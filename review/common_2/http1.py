"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

__all__ = ["Answer", "HttpServer", "Request", "exchange", "head_bytes"]


@dataclass(slots=True)
class Request:
    """A request that was read completely; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Answer:
    """What a client has received; ``status`` is 0 without an answer.

    ``is_complete`` says whether the body ended as its head promised.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    error: str = ""


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def _read_chunks(reader: asyncio.StreamReader, body: bytearray) -> None:
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            return


def head_bytes(status: int, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return the head of an answer."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"HTTP/1.1 {status} X\r\n{lines}\r\n".encode()


class HttpServer:
    """Serves one request at a time on each connection."""

    def __init__(self) -> None:
        """Start without a listener."""
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Accept connections at an address."""
        self._server = await asyncio.start_server(self._accept, ip, port)

    async def close(self) -> None:
        """Stop accepting, and reset the open connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection may be used again."""
        raise NotImplementedError

    @staticmethod
    def send(
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes = b"",
        headers: Iterable[tuple[str, str]] = (),
    ) -> None:
        """Write a whole answer."""
        length = ("Content-Length", str(len(body)))
        writer.write(head_bytes(status, [*headers, length]) + body)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        line, headers = await _read_head(reader)
        method, path, _ = line.split(" ")
        body = bytearray()
        if "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
        elif headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, body)
        request = Request(method, path, headers, bytes(body))
        is_kept = await self.handle(request, writer)
        await writer.drain()
        return is_kept


async def exchange(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout_s: float = 10.0,
    on_sent: Callable[[], None] = lambda: None,
) -> Answer:
    """Send one request on a new connection and return what was received."""
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = dict(headers)
            if body:
                fields["Content-Length"] = str(len(body))
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            on_sent()
            await _read_answer(reader, answer)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    line, answer.headers = await _read_head(reader)
    answer.status = int(line.split(" ")[1])
    body = bytearray()
    try:
        if answer.headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, body)
        else:
            size = int(answer.headers.get("content-length", "0"))
            body += await reader.readexactly(size)
        answer.is_complete = True
    finally:
        answer.body = bytes(body)
