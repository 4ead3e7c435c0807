"""Steps for the turns of connections that hold much to read."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from functools import partial

import h11
from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.decisions.event_stream import EventStream
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.http_connection import HttpConnection
from lentiltally.direct.model import CallerLimits
from lentiltally.direct.read_turns import ReadTurns
from lentiltally.direct.settings import SocketAddress
from tests.fakes.memory_transport import MemoryTransport

ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECE = b"1\r\na\r\n"
END = b"0\r\n\r\n"


class CollectingHandler:
    """Handles a caller's request by noting its body."""

    limits = CallerLimits()
    is_stopping = False

    def __init__(self):
        self.body = None

    async def handle(self, request, connection):
        self.body = request.body
        connection.send_answer(200, [], b"")

    def opened(self, connection):
        pass

    def closed(self, connection):
        pass


class CountingBuffer(bytearray):
    """Counts the bytes that are searched."""

    searched_bytes = 0

    def rfind(self, what, start=0):
        type(self).searched_bytes += len(self) - start
        return super().rfind(what, start)


async def read_answer(transport, pieces, work=0):
    """Read an answer of many pieces that has arrived already; return its size.

    Each piece counts as ``work`` more.
    """
    connection = HttpConnection(SocketAddress("127.0.0.1", 1))
    connection.connection_made(transport)
    connection.send(b"GET", b"/", [(b"Host", b"a")], b"")
    connection.data_received(ANSWER_HEAD + PIECE * pieces + END)
    size_bytes = 0
    while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
        size_bytes += len(event.data) if isinstance(event, h11.Data) else 0
        connection.count_pieces(work)
    return size_bytes


async def read_request(transport, pieces):
    """Read a request of many pieces that has arrived already; return its size."""
    handler = CollectingHandler()
    connection = CallerConnection(handler, SystemClock())
    connection.connection_made(transport)
    connection.data_received(REQUEST_HEAD + PIECE * pieces + END)
    while handler.body is None:
        await asyncio.sleep(0)
    return len(handler.body)


READERS = {
    "a connection to a target": read_answer,
    "a caller's connection": read_request,
}


@given("read turns of {reader} that has received {pieces:d} pieces of one byte")
def reader_with_pieces(context, reader, pieces):
    context.read = READERS[reader]
    context.pieces = pieces


@given(
    "read turns of a connection whose pieces take {work:d} times the work and that has "
    "{pieces:d}"
)
def reader_with_events(context, work, pieces):
    context.read = partial(read_answer, work=work - 1)
    context.pieces = pieces


@when("read turns let the pieces be read beside other work")
def read_beside_work(context):
    async def act():
        context.iterations = 0

        async def work():
            while True:
                context.iterations += 1
                await asyncio.sleep(0)

        other = asyncio.create_task(work())
        with socket.socket() as sock:
            async with asyncio.timeout(30.0):
                size = await context.read(MemoryTransport(sock), context.pieces)
        other.cancel()
        assert size == context.pieces, size

    asyncio.run(act())


@then("read turns let the other work go on after every {pieces:d} pieces")
def work_went_on(context, pieces):
    assert context.iterations >= context.pieces // pieces, context.iterations


@given("read turns with {count:d} connections waiting")
def turns_waiting(context, count):
    context.waiting = count


@when("read turns run one iteration of the event loop")
def one_iteration(context):
    async def act():
        turns, released = ReadTurns(), []
        for number in range(context.waiting):
            turns.call(lambda number=number: released.append(number))
        await asyncio.sleep(0)
        context.released = len(released)

    asyncio.run(act())


@then("read turns have let {count:d} connection go on")
def have_released(context, count):
    assert context.released == count, context.released


@when("read turns lose the first connection")
def lose_first(context):
    async def act():
        turns = ReadTurns()
        tasks = [asyncio.create_task(turns.wait()) for _ in range(context.waiting)]
        await asyncio.sleep(0)
        tasks[0].cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(2.0):
                await asyncio.gather(*tasks[1:])
        context.ended = sum(t.done() and not t.cancelled() for t in tasks)

    asyncio.run(act())


@then("read turns let the {count:d} others go on")
def others_go_on(context, count):
    assert context.ended == count, context.ended


@given("event stream that counts the bytes it searches")
def counting_stream(context):
    context.stream = EventStream(None)
    CountingBuffer.searched_bytes = 0
    context.stream._buffer = CountingBuffer()


@when("event stream gets {size_bytes:d} bytes of one event in pieces of {piece:d}")
def small_pieces(context, size_bytes, piece):
    context.size_bytes = size_bytes
    for _ in range(size_bytes // piece):
        assert context.stream.received(b"a" * piece) == b""


@then("event stream has searched at most {count:d} bytes for each byte")
def searched_once(context, count):
    limit = count * context.size_bytes
    assert 0 < CountingBuffer.searched_bytes <= limit, CountingBuffer.searched_bytes


@then("event stream completes the same events however their bytes are cut")
def cut_anywhere(context):
    data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n:\n\nid: 3\ndata: c\n\n"
    for first, second in itertools.combinations(range(len(data) + 1), 2):
        stream = EventStream(None)
        parts = (data[:first], data[first:second], data[second:])
        assert b"".join(stream.received(part) for part in parts) == data
        assert (stream.last_event_id, stream.has_partial_event) == (3, False)
