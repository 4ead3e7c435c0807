"""A server of caller connections on loopback, with a scripted handler and a clock."""

from __future__ import annotations

import asyncio
import logging

from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.model import CallerLimits

LOGGER = "lentiltally.direct"
HEAD = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"
READ_S = 5.0


class StoppedClock:
    """A clock that only tests move on."""

    def __init__(self):
        self.now_s = 100.0

    def monotonic_s(self):
        return self.now_s


class LogLines(logging.Handler):
    """Collects the log records of the direct path."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def of(self, message):
        return [record for record in self.records if record.getMessage() == message]

    def start(self):
        logger = logging.getLogger(LOGGER)
        logger.addHandler(self)
        self._level = logger.level
        logger.setLevel(logging.DEBUG)

    def stop(self):
        logger = logging.getLogger(LOGGER)
        logger.removeHandler(self)
        logger.setLevel(self._level)


class ScriptedServer:
    """Serves caller connections; ``answers`` maps paths to coroutine functions.

    Without one, a request is answered with its path.
    """

    def __init__(self):
        self.clock = StoppedClock()
        self.limits = CallerLimits()
        self.is_stopping = False
        self.answers = {}
        self.handled = []
        self.connections = []
        self.ended = []

    async def start(self):
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self, self.clock), "127.0.0.1", 0
        )
        self.address = self._server.sockets[0].getsockname()

    def stop(self):
        self._server.close()
        for connection in self.connections:
            connection.abort()

    async def connect(self):
        """Return the streams of a new caller and the server's side of it."""
        count = len(self.connections)
        reader, writer = await asyncio.open_connection(*self.address)
        while len(self.connections) == count:
            await asyncio.sleep(0.005)
        return reader, writer, self.connections[-1]

    def check_timeouts(self):
        for connection in self.connections:
            if connection not in self.ended:
                connection.check_timeouts()

    async def handle(self, request, connection):
        path = request.path.decode().strip("/")
        self.handled.append(path)
        if path in self.answers:
            await self.answers[path](connection)
        else:
            connection.send_answer(200, [], b"answer to " + path.encode())

    def opened(self, connection):
        self.connections.append(connection)

    def closed(self, connection):
        self.ended.append(connection)


async def read_all(reader):
    """Return what the caller receives until the connection ends, and how it ended."""
    data = b""
    try:
        async with asyncio.timeout(READ_S):
            while chunk := await reader.read(65_536):
                data += chunk
    except ConnectionResetError:
        return data, "reset"
    except TimeoutError:
        return data, "open"
    return data, "closed"
