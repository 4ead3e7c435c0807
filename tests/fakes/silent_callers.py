"""Callers of a play: they send requests and keep what they see on their sockets."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import h11

from tests.fakes.direct import HOST, Answer

# A request that gets nothing is given up this long after its last time limit.
LATE_S = 0.5
CONNECT_TIMEOUT_S = 1.0
HEADERS = {"X-Token-Counts": "300,24"}


@dataclass
class Call:
    """One request, and what its caller saw of the answer.

    ``place`` is its place on the connection, from 0. ``head_at_s`` and ``sent_at_s``
    are when its head and its last byte were sent, ``ended_at_s`` when the caller was
    done with it: ``is_open`` says that nothing ended it until then.
    """

    request_id: str
    path: str
    deadline_s: float | None
    entry: int
    place: int
    body: bytes = b""
    adapter: str = ""
    body_pause_s: float = 0.0
    head_at_s: float = 0.0
    sent_at_s: float = 0.0
    ended_at_s: float = 0.0
    is_open: bool = False
    answer: Answer = field(default_factory=Answer)

    @property
    def name(self):
        return self.path.split("/")[1]

    @property
    def is_stream(self):
        return bool(self.adapter)

    def head(self):
        fields = {"Host": HOST, "X-Request-Id": self.request_id}
        if self.deadline_s is not None:
            fields["X-Deadline-Milliseconds"] = str(int(self.deadline_s * 1000))
        if self.adapter:
            fields |= {"X-Model": f"m/{self.adapter}", **HEADERS}
        if self.body:
            fields["Content-Length"] = str(len(self.body))
        lines = [f"{'POST' if self.body else 'GET'} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class CallerConnection:
    """A connection of a caller, which sends one request after another."""

    def __init__(self, reader, writer, entry):
        self._reader = reader
        self._writer = writer
        self.entry = entry
        self.calls = 0

    @classmethod
    async def open(cls, address, entry):
        """Connect; raises OSError or TimeoutError."""
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            return cls(*await asyncio.open_connection(address.ip, address.port), entry)

    @property
    def is_closed(self):
        """Return whether the caller has seen the end of the connection."""
        return self._reader.at_eof() or self._reader.exception() is not None

    def close(self):
        self._writer.transport.abort()

    async def run(self, call, limit_s):
        """Send a request and read its answer; return whether to keep the connection.

        ``limit_s`` is how long the caller waits after the head has been sent.
        """
        self.calls += 1
        call.head_at_s = call.sent_at_s = time.monotonic()
        try:
            async with asyncio.timeout(limit_s):
                return await self._exchange(call)
        except TimeoutError:
            call.is_open = True
        except (OSError, h11.RemoteProtocolError):
            pass
        finally:
            call.ended_at_s = time.monotonic()
        return False

    async def _exchange(self, call):
        self._writer.write(call.head())
        if call.body:
            middle = len(call.body) // 2 if call.body_pause_s else 0
            self._writer.write(call.body[:middle])
            await asyncio.sleep(call.body_pause_s)
            self._writer.write(call.body[middle:])
            call.sent_at_s = time.monotonic()
        http = h11.Connection(h11.CLIENT)
        http.send(h11.Request(method="GET", target="/", headers=[("Host", HOST)]))
        http.send(h11.EndOfMessage())
        answer = call.answer
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await self._reader.read(65_536))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {n.decode(): v.decode() for n, v in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                return answer.headers.get("connection", "") != "close"
            else:
                return False
