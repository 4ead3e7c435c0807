"""Steps for the reads of the store by agents, and for feeds that share them."""

from __future__ import annotations

import asyncio
import json
import random
import struct
from base64 import b64encode

from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.decisions.shared_reads import SharedReads
from lentiltally.direct.entry_feeds import ConfigurationFeed
from lentiltally.direct.feed_types import (
    FeedError,
    FeedPage,
    FeedRecord,
    FeedTruncatedError,
)
from lentiltally.direct.http_client import HttpResponse
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.settings import HostBounds, HostSettings, SocketAddress
from lentiltally.direct.store_reader import StoreReader, StoreTopics
from lentiltally.platform.store_client import StoreTopic
from lentiltally.platform.target_list import decode_target_record

LIMIT_S = 10.0
BOUND_S = 1.0


def engine_record(number, offset, **more):
    fields = {
        "service": "llm",
        "address": f"10.0.0.{number}:80",
        "zone": "z1",
        "state": "ready",
        "sequence": offset,
        "born": 1000 + number,
        **more,
    }
    return FeedRecord(f"e{number}", json.dumps(fields).encode(), offset)


class ScriptedTopic:
    """Answers the read of the newest records, and then with one page for each read."""

    def __init__(self, newest, pages=()):
        self.page = newest
        self.pages = list(pages)
        self.reads = []

    async def newest(self):
        self.reads.append(("newest", 0.0))
        return self.page

    async def read(self, offset, wait_s):
        self.reads.append((offset, wait_s))
        page = self.pages.pop(0) if self.pages else FeedPage(offset, (), offset)
        if isinstance(page, Exception):
            raise page
        return page


@given("store reader of an agent whose list has 60 engines")
def reader(context):
    newest = tuple(engine_record(n, n) for n in range(60))
    context.topic = ScriptedTopic(FeedPage(60, newest, 60))
    settings = HostSettings(
        "side-1",
        "z1",
        "10.0.0.7",
        SocketAddress("127.0.0.1", 1),
        1,
        2,
        bounds=HostBounds(),
    )
    context.reader = StoreReader(
        StoreTopics(ScriptedTopic(FeedPage(0, (), 0)), context.topic),
        ConfigurationFeed(lambda key, value: None, print, print),
        decode_target_record,
        settings,
        "llm",
        clock=SystemClock(),
        rng=random.Random(1),
    )
    context.reader.engine_started(1007)


def read_all(context, count):
    """Read both topics; the list ``count`` times."""

    async def act():
        await context.reader.configuration.read_once()
        for _ in range(count):
            await context.reader.targets.read_once()

    asyncio.run(act())


def last_report(context):
    return context.reader.report(SystemClock().monotonic_s())


@when("store reader's engine starts anew and is listed after 3 reads")
def starts_anew(context):
    nothing = FeedPage(60, (), 60)
    listed = engine_record(7, 60, born=2000, sequence=1)
    context.topic.pages = [nothing, nothing, FeedPage(61, (listed,), 61)]

    async def act():
        tasks = [
            asyncio.create_task(context.reader.configuration.run()),
            asyncio.create_task(context.reader.targets.run()),
        ]
        async with asyncio.timeout(LIMIT_S):
            while not context.topic.reads:
                await asyncio.sleep(0.01)
            context.reader.engine_started(2000)
            while context.topic.pages:
                await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()

    asyncio.run(act())


@then("store reader reports news at the record of that start")
def reports_start(context):
    assert last_report(context).targets_changed_at == 60


@when(
    "store reader reads a draining engine at offset 70 and heartbeats up to offset 100"
)
def reads_draining(context):
    records = [engine_record(n % 60, 60 + n) for n in range(41)]
    records[10] = engine_record(10, 70, state="draining")
    context.topic.pages = [FeedPage(101, tuple(records), 101)]
    read_all(context, 2)


@then("store reader reports news at offset 70 and not beyond")
def reports_draining(context):
    assert last_report(context).targets_changed_at == 70, last_report(context)


@when("store reader can't read for a while and then reads again")
def outage(context):
    context.topic.pages = [FeedError("down", step="read"), FeedPage(60, (), 60)]

    async def act():
        await context.reader.configuration.read_once()
        task = asyncio.create_task(context.reader.targets.run())
        async with asyncio.timeout(LIMIT_S):
            while not context.topic.reads:
                await asyncio.sleep(0.01)
            context.reader.targets.request_read()
            while context.topic.pages:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(act())


@then("store reader reports that an outage has ended")
def reports_outage(context):
    assert 0 <= last_report(context).outage_ended_ms < 2000, last_report(context)


def list_without(number, end):
    """Return the newest records of all engines but one; ``end`` is the topic's end."""
    records = [engine_record(n, n) for n in range(60) if n != number]
    return FeedPage(end, tuple(records), 60)


def meet(context, pages, newest=()):
    """Read the first list, and then each of ``pages``; errors are taken as a feed does.

    Lists in ``newest`` replace the first one after a truncation.
    """
    feed, newest = context.reader.targets, list(newest)

    async def act():
        await context.reader.configuration.read_once()
        await feed.read_once()
        context.topic.pages = list(pages)
        while context.topic.pages or newest:
            try:
                await feed.read_once()
            except FeedTruncatedError as error:
                feed._reset_position(error.first_offset)
                context.topic.page = newest.pop(0)
                await feed.read_once()
            except FeedError as error:
                feed._read_failed(error)

    asyncio.run(act())


def truncated(first_offset):
    error = FeedTruncatedError("deleted", step="read")
    error.first_offset = first_offset
    return error


REMOVED = FeedRecord("e7", None, 60)
OUTAGE = FeedError("down", step="read")


@when("store reader meets its first list")
def first_list(context):
    meet(context, [])


@when("store reader meets a list after deleted records that lacks an engine")
def list_after_deletion(context):
    meet(context, [truncated(71)], [list_without(7, 71)])


@when("store reader meets a list whose engine vanishes between two pages")
def vanishes_between_pages(context):
    async def newest():
        return await topic.newest()

    class Client:
        """Has two pages; the engine's removal is appended between them."""

        address = SocketAddress("127.0.0.1", 1)
        ends = [80, 82]

        async def call(self, method, path, *, timeout_s):
            is_second = b"after" in path
            numbers = range(30, 60) if is_second else range(30)
            items = [
                {"key": r.key, "value": b64encode(r.value).decode(), "offset": r.offset}
                for r in (engine_record(n, n) for n in numbers if n != 37)
            ]
            page = {"items": items, "more": not is_second, "end": self.ends[is_second]}
            return HttpResponse(200, {}, json.dumps(page).encode())

    topic = StoreTopic("keyed.servers", Client())
    meet(context, [truncated(60)], [asyncio.run(newest())])


@when("store reader meets an engine that vanishes after an outage")
def vanishes_after_outage(context):
    meet(context, [OUTAGE, FeedPage(60, (), 60), FeedPage(61, (REMOVED,), 61)])
    assert context.reader._directory.is_usable("e7"), "no grace period"


@when("store reader meets an engine that is still missing after that")
def still_missing(context):
    vanishes_after_outage(context)
    reader = context.reader
    reader._news.changed_at = -1
    reader._directory._store_returned_at_s -= 2.0
    last_report(context)
    assert not reader._directory.is_usable("e7")


@when("store reader meets an engine at another address")
def another_address(context):
    moved = engine_record(7, 60, address="10.0.0.7:81")
    meet(context, [FeedPage(61, (moved,), 61)])


@when("store reader meets an engine that is listed again")
def listed_again(context):
    again = engine_record(7, 61, sequence=61)
    meet(context, [FeedPage(61, (REMOVED,), 61), FeedPage(62, (again,), 62)])


@when("store reader meets an engine with an unreadable record")
def unreadable(context):
    meet(context, [FeedPage(61, (FeedRecord("e7", b"{", 60),), 61)])


@then("store reader reports news at offset {offset:d}")
def reports_news(context, offset):
    assert last_report(context).targets_changed_at == offset, last_report(context)


class SuspendedClock(SystemClock):
    """A clock whose host was suspended for a time."""

    suspended = 0.0

    def suspended_s(self):
        return self.suspended


def suspend(context):
    meet(context, [])
    clock = SuspendedClock()
    context.reader._clock = clock
    assert last_report(context) is not None
    clock.suspended = 5.0


@when("store reader reports after its host was suspended")
def reports_after_suspension(context):
    suspend(context)


@when("store reader reports after its host was suspended and it has read again")
def reports_after_reading(context):
    suspend(context)
    assert last_report(context) is None
    read_all(context, 1)


@when("store reader reports while further records are still to be read")
def reports_while_behind(context):
    records = tuple(engine_record(n, 60 + n) for n in range(10))
    meet(context, [])
    context.reader.targets.last_read_at_s -= 1.0
    context.topic.pages = [FeedPage(200, records, 70)]
    read_all(context, 1)


@when("store reader reports after a list that a record has overtaken")
def reports_after_overtaken(context):
    context.topic.page = FeedPage(61, context.topic.page.records, 60)
    context.reader.targets.last_read_at_s -= 1.0
    read_all(context, 1)


@then("store reader reports no read of this moment")
def reports_no_read(context):
    report = last_report(context)
    assert report is None or report.targets_age_ms >= 1000, report


@when(
    'direct path target "{name}" leaves the list and the store deletes its old records'
)
def leaves_and_deletes(context, name):
    system = context.direct
    # The entry relies on the agents' reads by then.
    system.run(asyncio.sleep(1.0))

    def act():
        system.store.put("keyed.servers", name, None)
        system.store.compact_topic("keyed.servers")

    system.call(act)


@then('direct path entry does not use target "{name}" within {limit_s:g} s')
def does_not_use(context, name, limit_s):
    directory = context.direct.entry._state.directory
    assert context.direct.wait(lambda: not directory.is_usable(name), limit_s)


class SilentTopic:
    """Answers reads without a wait; long polls are never answered."""

    def __init__(self):
        self.reads = []

    async def newest(self):
        return FeedPage(5, (FeedRecord("a", b"1", 4),), 5)

    async def read(self, offset, wait_s):
        self.reads.append((offset, wait_s))
        if wait_s:
            await asyncio.sleep(LIMIT_S)
        return FeedPage(6, (FeedRecord("a", b"2", 5),), 6)


class Listener:
    """Keeps the records."""

    def __init__(self):
        self.records = []

    def on_record(self, record):
        self.records.append(record)

    def on_snapshot_keys(self, keys, end):
        pass

    def on_store_recovered(self):
        pass


@given("feed with a long poll that is never answered")
def silent_feed(context):
    context.topic = SilentTopic()
    context.shared = SharedReads(BOUND_S, BOUND_S)
    context.listener = Listener()
    context.feed = KeyedFeed(
        "configuration",
        context.topic,
        context.listener,
        SystemClock(),
        pause_s=0.0,
        wait_s=0.5,
        shared=context.shared,
        covered_wait_s=LIMIT_S,
    )


def follow_until_read(context, reports):
    """Follow the topic until the record at offset 5 was passed on."""
    clock = SystemClock()

    async def act():
        context.shared.reported(4, 0.0, clock.monotonic_s())
        task = asyncio.create_task(context.feed.run())
        async with asyncio.timeout(LIMIT_S / 2):
            while not context.topic.reads:
                await asyncio.sleep(0.01)
            context.started_s = clock.monotonic_s()
            while all(record.offset < 5 for record in context.listener.records):
                reports(clock.monotonic_s())
                await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(act())


@when("feed hears from an agent of a record that it has not read")
def hears(context):
    follow_until_read(context, lambda now_s: context.shared.reported(5, 0.0, now_s))


@when("feed hears nothing from agents any more")
def hears_nothing(context):
    follow_until_read(context, lambda now_s: None)


@then("feed reads the record without a wait")
@then("feed reads without a wait within the bound")
def reads_without_wait(context):
    assert context.topic.reads[:2] == [(5, LIMIT_S), (5, 0.0)], context.topic.reads


@given("feed of 60 keys that has read up to offset 60")
def feed_of_keys(context):
    newest = tuple(FeedRecord(f"k{n}", b"1", n) for n in range(60))
    context.topic = ScriptedTopic(FeedPage(60, newest, 60))
    context.shared = SharedReads(BOUND_S, BOUND_S)
    context.feed = KeyedFeed(
        "targets",
        context.topic,
        Listener(),
        SystemClock(),
        pause_s=1.0,
        wait_s=0.0,
        shared=context.shared,
    )
    asyncio.run(context.feed.read_once())


@when("feed hears of news at offset {offset:d}")
def hears_of_news(context, offset):
    context.shared.reported(offset, 0.0, SystemClock().monotonic_s())
    asyncio.run(context.feed.read_once())


@then("feed reads the newest records")
def reads_newest(context):
    assert [kind for kind, _ in context.topic.reads] == ["newest", "newest"]


@then(
    "store topic fails to read from offset {offset:d} if it gets the records "
    "{first:d} to {last:d}"
)
def late_copy(context, offset, first, last):
    class Client:
        address = SocketAddress("127.0.0.1", 1)

        async def call(self, method, path, *, timeout_s, **more):
            content = bytes([1]) + b"kv"
            record = struct.pack(">I", len(content)) + content
            body = struct.pack(">QQ", last + 1, 0) + record * (last + 1 - first)
            return HttpResponse(200, {}, body)

    topic = StoreTopic("keyed.op", Client())
    assert len(asyncio.run(topic.read(first, 0.0)).records) == last + 1 - first
    try:
        asyncio.run(topic.read(offset, 0.0))
    except FeedError:
        return
    raise AssertionError("took the records of an earlier read")
