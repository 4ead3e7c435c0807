"""Steps for calls to the store and to engines, and the limits of their answers."""

from __future__ import annotations

import asyncio
import json
import re
from unittest.mock import patch

from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.decisions.engine_orders import EngineOrder, EngineOrderKind
from lentiltally.decisions.message_size import MessageLimits, MessageSize
from lentiltally.direct.entry_feeds import ConfigurationFeed
from lentiltally.direct.feed_types import FeedError, FeedPage, FeedRecord
from lentiltally.direct.http_client import HttpResponse
from lentiltally.direct.http_connection import HttpConnection
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.settings import SocketAddress
from lentiltally.errors import LentiltallyError
from lentiltally.platform.engine_control import EngineControlClient
from lentiltally.platform.store_client import StoreTopic
from tests.steps.store_reader_steps import ScriptedTopic

BLOCK_BYTES = 65_536
LIMIT_S = 20.0
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# What an answer begins with, and what is repeated without end.
ENDLESS = {
    "a body without end": (b"HTTP/1.1 200 OK\r\n\r\n", b"a"),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n"),
    "a length of 1 TB": (
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % 10**12,
        b"a",
    ),
    "a head without end": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
}
REASONS = {"its size": "too large", "the head": "", "any cause": ""}
ORDER = EngineOrder(EngineOrderKind.LOAD, "m", "a1", 1, 0, "test")


def call(name, address):
    engine = EngineControlClient(address, "agent")
    topic = StoreTopic.from_address("keyed.servers", address)
    return {
        "report": engine.report,
        "order": lambda: engine.order(ORDER),
        "health check": lambda: engine.identify("/health"),
        "newest records": topic.newest,
        "records": lambda: topic.read(0, 0.0),
    }[name]()


@given("HTTP client calls a peer that sends {answer}")
def peer(context, answer):
    context.first, repeated = ENDLESS[answer]
    context.block = repeated * (BLOCK_BYTES // len(repeated))


@when("HTTP client makes the {name}")
def makes(context, name):
    context.read_bytes = 0
    receive = HttpConnection.data_received

    def count(connection, data):
        context.read_bytes += len(data)
        receive(connection, data)

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(context.first)
        try:
            while not writer.is_closing():
                writer.write(context.block)
                await writer.drain()
        except ConnectionError:
            pass

    async def act():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        context.failure = None
        try:
            async with asyncio.timeout(LIMIT_S):
                with patch.object(HttpConnection, "data_received", count):
                    await call(name, SocketAddress("127.0.0.1", port))
        except LentiltallyError as error:
            context.failure = error
        server.close()
        await asyncio.sleep(0.05)

    asyncio.run(act())


@then("HTTP client fails because of {reason}")
def fails(context, reason):
    assert context.failure is not None
    text = str(context.failure)
    assert REASONS[reason] in text, text
    assert reason != "the head" or "no answer within" not in text, text


@then("HTTP client has read at most {limit_mb:d} MB")
def has_read(context, limit_mb):
    assert 0 < context.read_bytes <= limit_mb * 1e6, context.read_bytes


@then(
    "HTTP client fails within {limit_s:d} s to read a configuration of {size:d} bytes "
    "that stops"
)
def fails_to_read_rest(context, limit_s, size):
    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\naa" % size)
        await reader.read()
        writer.close()

    async def act():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = SocketAddress("127.0.0.1", server.sockets[0].getsockname()[1])
        topic = StoreTopic.from_address("keyed.op", address, has_large_records=True)
        try:
            async with asyncio.timeout(limit_s):
                await topic.read(0, 0.0)
        except FeedError:
            return
        finally:
            topic.close()
            server.close()
        raise AssertionError("no failure")

    asyncio.run(act())


class PagedClient:
    """Answers each read with the next of endless pages of newest records."""

    address = SocketAddress("127.0.0.1", 1)

    def __init__(self, items_in_page):
        self.items_in_page = items_in_page
        self.calls = 0

    async def call(self, method, path, *, timeout_s):
        self.calls += 1
        assert self.calls < 50_000, "read on and on"
        items = [
            {"key": f"{self.calls}-{n}", "value": "e30=", "offset": n}
            for n in range(self.items_in_page)
        ]
        page = {"items": items, "more": True, "end": 10}
        return HttpResponse(200, {}, json.dumps(page).encode())


@then("store topic fails to read newest records {what}")
def fails_to_read(context, what):
    items = int(number[0]) if (number := re.search(r"\d+", what)) else 1
    client = PagedClient(items)
    topic = StoreTopic("keyed.servers", client)
    try:
        asyncio.run(topic.newest())
    except FeedError:
        assert items == 1 or client.calls == 1, client.calls
        return
    raise AssertionError("no failure")


class LogClient:
    """Answers a read with all records from its offset on."""

    address = SocketAddress("127.0.0.1", 1)

    def __init__(self, records):
        self.records = records

    async def call(self, method, path, *, timeout_s):
        offset = int(re.search(rb"from=(\d+)", path)[1])
        body = self.records.to_bytes(8) + bytes(8)
        body += b"\0\0\0\2\1k" * (self.records - offset)
        return HttpResponse(200, {}, body)


@then(
    "store topic reads {count:d} records without a value in parts of at most {most:d}"
)
def reads_in_parts(context, count, most):
    topic = StoreTopic("keyed.servers", LogClient(count))
    offsets = []
    while len(offsets) < count:
        page = asyncio.run(topic.read(len(offsets), 0.0))
        assert 0 < len(page.records) <= most and page.end == count, page.end
        offsets += [record.offset for record in page.records]
        assert page.next_offset == len(offsets)
    assert offsets == list(range(count))


@given("feed of a topic with {count:d} records")
def large_topic(context, count):
    records = [FeedRecord(f"k{n}", b"{", n) for n in range(count)]
    empty = FeedPage(0, (), 0)
    page = FeedPage(count, tuple(records), count)
    context.count = count
    context.pages = {"newest records": [page], "following records": [empty, page]}


@when("feed reads the {kind} beside other work")
def reads_beside(context, kind):
    newest, *following = context.pages[kind]

    async def act():
        context.iterations = 0

        async def work():
            while True:
                context.iterations += 1
                await asyncio.sleep(0)

        def decode(key, value):
            return None

        listener = ConfigurationFeed(decode, lambda _: None, lambda _: None)
        feed = KeyedFeed(
            "configuration",
            ScriptedTopic(newest, following),
            listener,
            SystemClock(),
            pause_s=0.0,
            wait_s=0.0,
        )
        for _ in following:
            await feed.read_once()
        other = asyncio.create_task(work())
        await feed.read_once()
        other.cancel()
        assert feed.next_offset == context.count, feed.next_offset

    asyncio.run(act())


@then("feed let the other work go on after every {records:d} records")
def other_work(context, records):
    assert context.iterations >= context.count // records, context.iterations


@then("message limits allow {message}")
def allow(context, message):
    size = MessageSize(MessageLimits(max_bytes=256 * 1024))
    for part in message.split(" and "):
        if match := re.match(r"(\d+) single bytes", part):
            pieces = [1] * int(match[1])
        else:
            total_kb, packet = map(int, re.match(r"(\d+) kB .* (\d+) B", part).groups())
            pieces = [packet] * (total_kb * 1000 // packet)
        for piece in pieces:
            size.add(piece)
    assert size.bytes > 0
