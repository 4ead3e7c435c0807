"""Steps for how often the feeds of the store are read."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import struct

import msgspec
from behave import given, then, when
from steps.direct_choice_steps import record, state

from lentiltally.clock import SystemClock
from lentiltally.direct.entry_process import (
    CONFIGURATION_PAUSE_S,
    CONFIGURATION_WAIT_SHARE,
)
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.feed_types import FeedPage, FeedRecord, FeedTruncatedError
from lentiltally.direct.http_client import HttpResponse
from lentiltally.direct.http_connection import PeerError
from lentiltally.direct.keyed_feed import RETRY_BACKOFF_S, KeyedFeed
from lentiltally.direct.settings import HostSettings, SocketAddress
from lentiltally.platform.store_client import LONG_POLL_GRACE_S, StoreTopic

# Enough for a slow machine, and far below the regular pause of 60 s.
LIMIT_S = 10.0


class CountingTopic:
    """A topic without records that counts its reads."""

    def __init__(self):
        self.reads = 0
        self.was_read = asyncio.Event()

    async def newest(self):
        return await self.read(0, 0.0)

    async def read(self, offset, wait_s):
        self.reads += 1
        self.was_read.set()
        return FeedPage(0, ())


class Listener:
    """Ignores all records."""

    def on_record(self, record):
        pass

    def on_snapshot_keys(self, keys, end):
        pass

    def on_store_recovered(self):
        pass


@given("feed pace of a list that is read every 60 s")
def paced_list(context):
    context.reports = 0


@when("feed pace gets a report that the list is stale")
def one_report(context):
    context.reports = 1


@when("feed pace gets 100 reports within 0.1 s that the list is stale")
def many_reports(context):
    context.reports = 100


def reads_after_reports(reports):
    async def read():
        topic = CountingTopic()
        feed = KeyedFeed(
            "targets", topic, Listener(), SystemClock(), pause_s=60.0, wait_s=0.0
        )
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(LIMIT_S):
            await topic.was_read.wait()
            topic.was_read.clear()
            for _ in range(reports):
                feed.request_read()
                await asyncio.sleep(0.1 / reports)
            await topic.was_read.wait()
        # Further reads would happen within this time.
        await asyncio.sleep(0.5)
        task.cancel()
        return topic.reads

    return asyncio.run(read())


@then("feed pace reads the list a second time")
def reads_again(context):
    assert reads_after_reports(context.reports) == 2


@then("feed pace has read the list 2 times")
def has_read(context):
    assert reads_after_reports(context.reports) == 2


@given("feed pace of an entry that knows an engine started at 5")
def entry_knows(context):
    settings = HostSettings(
        "front-1", "z1", "127.0.0.1", SocketAddress("127.0.0.1", 1), 1, 2
    )
    context.entry_state = EntryState(settings, SystemClock())
    context.asked = []
    context.entry_state.on_target_list_stale = lambda: context.asked.append(True)
    context.target = dataclasses.replace(record("e1"), started_ms=5)
    context.entry_state.directory.updated(context.target)


@when("feed pace gets the state of an engine started at {start:d}")
def gets_engine_state(context, start):
    ip = context.target.address.rpartition(":")[0]
    engine_state = msgspec.structs.replace(state(), started_ms=start)
    context.entry_state.engine_state_received(ip, engine_state)


@then("feed pace of the entry {asks} for the list")
def asks(context, asks):
    assert bool(context.asked) == (asks == "asks"), context.asked


class OnePageClient:
    """Answers the read of the newest records with one page, later reads with none."""

    address = SocketAddress("127.0.0.1", 1)

    def __init__(self, end):
        self.end = end
        self.paths = []

    async def call(self, method, path, *, timeout_s, **more):
        self.paths.append(path.decode())
        if b"log-newest" in path:
            item = {"key": "a", "value": "", "offset": 4}
            page = {"items": [item], "more": False, "end": self.end}
            return HttpResponse(200, {}, json.dumps(page).encode())
        return HttpResponse(200, {}, bytes(16))


@given('feed pace of a store whose page has "a" at offset 4 and the end {end:d}')
def one_page(context, end):
    context.client = OnePageClient(end)


@when("feed pace reads the newest records and then continues")
def reads_on(context):
    topic = StoreTopic("keyed.op", context.client)
    feed = KeyedFeed(
        "configuration", topic, Listener(), SystemClock(), pause_s=0.0, wait_s=0.0
    )

    async def read():
        await feed.read_once()
        await feed.read_once()

    asyncio.run(read())


@then("feed pace continued from offset {offset:d}")
def read_from(context, offset):
    assert f"from={offset}" in context.client.paths[1].split("&"), context.client.paths


class ScriptedTopic:
    """Returns the newest record of "b", then records that include older ones."""

    async def newest(self):
        return FeedPage(8, (FeedRecord("b", b"new", 7),), 5)

    async def read(self, offset, wait_s):
        records = (
            FeedRecord("b", None, 5),
            FeedRecord("c", b"other", 6),
            FeedRecord("b", b"new", 7),
        )
        return FeedPage(8, records, 8)


@given('feed pace of a topic with "b" at offset 7 that continues from offset 5')
def scripted(context):
    context.topic = ScriptedTopic()


@when('feed pace continues and gets the removal of "b" at 5, "c" at 6 and "b" at 7')
def reads_scripted(context):
    class RecordingListener(Listener):
        def on_record(self, record):
            context.passed_on.append(record.key)

    context.passed_on = []
    feed = KeyedFeed(
        "targets",
        context.topic,
        RecordingListener(),
        SystemClock(),
        pause_s=0.0,
        wait_s=0.0,
    )

    async def read():
        await feed.read_once()
        await feed.read_once()

    asyncio.run(read())


@then('feed pace passed on "{one}", then "{two}"')
def passed_on(context, one, two):
    assert context.passed_on == [one, two], context.passed_on


class TruncatedTopic:
    """Has deleted records up to an offset after its newest record."""

    def __init__(self):
        self.offsets = []

    async def newest(self):
        return FeedPage(9, (FeedRecord("a", b"x", 4),), 5)

    async def read(self, offset, wait_s):
        self.offsets.append(offset)
        if offset < 9:
            error = FeedTruncatedError("deleted", step="read")
            error.first_offset = 9
            raise error
        return FeedPage(9, (), offset)


@given("feed pace of a topic that has deleted the records before offset 9")
def truncated(context):
    context.topic = TruncatedTopic()


@when("feed pace follows the topic for a while")
def follows(context):
    feed = KeyedFeed(
        "targets", context.topic, Listener(), SystemClock(), pause_s=0.01, wait_s=0.0
    )

    async def read():
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(LIMIT_S):
            while len(context.topic.offsets) < 4:
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(read())


@then("feed pace read from offset 5 once and then from offset 9")
def read_after_deleted(context):
    first, *others = context.topic.offsets
    assert first == 5 and set(others) == {9}, context.topic.offsets


@given("feed pace of a configuration that must be in force within {bound:g} s")
def configuration_bound(context, bound):
    context.bound_s = bound
    context.wait_s = CONFIGURATION_WAIT_SHARE * bound


@then("feed pace gets a record within the bound although one answer is lost")
def gets_record_in_time(context):
    # Worst case: the record is appended just after a long poll began, and the answer to
    # that poll is lost.
    lost_s = context.wait_s + LONG_POLL_GRACE_S
    assert lost_s + RETRY_BACKOFF_S < context.bound_s, lost_s


@then("feed pace reads at most {most:g} times within the bound")
def reads_at_most(context, most):
    reads = context.bound_s / (context.wait_s + CONFIGURATION_PAUSE_S)
    assert reads <= most, reads


class SlowClient:
    """A store with one new record for each read and slow answers."""

    address = SocketAddress("127.0.0.1", 1)

    def __init__(self, answer_s):
        self.answer_s = answer_s
        self.records = 0

    async def call(self, method, path, *, timeout_s, **more):
        waited_s = 0.5 if b"waitMs" in path else 0.0
        if waited_s + self.answer_s > timeout_s:
            raise PeerError("no answer", step="call", peer="store")
        if b"log-newest" in path:
            return HttpResponse(200, {}, b'{"items": [], "more": false, "end": 0}')
        self.records += 1
        content = bytes([1]) + b"kv"
        head = struct.pack(">QQ", self.records, 0)
        return HttpResponse(200, {}, head + struct.pack(">I", len(content)) + content)


@given("feed pace of a store that needs {answer_s:g} s for each answer")
def slow_store(context, answer_s):
    context.client = SlowClient(answer_s)


@when("feed pace follows the configuration for {count:d} records")
def follows_slow(context, count):
    context.passed_on = []
    done = asyncio.Event()

    class RecordingListener(Listener):
        def on_record(self, record):
            context.passed_on.append(record.offset)
            if len(context.passed_on) == count:
                done.set()

    feed = KeyedFeed(
        "configuration",
        StoreTopic("keyed.op", context.client),
        RecordingListener(),
        SystemClock(),
        pause_s=0.0,
        wait_s=0.5,
    )

    async def read():
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(LIMIT_S):
            await done.wait()
        task.cancel()

    asyncio.run(read())


@then("feed pace passed on all {count:d} records")
def passed_on_all(context, count):
    assert context.passed_on == list(range(count)), context.passed_on
