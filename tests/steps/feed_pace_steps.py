"""Steps for the pace at which the list of targets is read."""

from __future__ import annotations

import asyncio
import dataclasses

import msgspec
from behave import given, then, when
from steps.direct_choice_steps import record, state

from lentiltally.clock import SystemClock
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.keyed_feed import FeedPage, KeyedFeed
from lentiltally.direct.settings import HostSettings, SocketAddress

# Far above what any machine needs, far below the regular pause.
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
    """Takes nothing from the feed."""

    def feed_record(self, record):
        pass

    def feed_listed(self, keys):
        pass

    def feed_returned(self):
        pass


@given("feed pace of a list that is read every 60 s")
def paced_list(context):
    context.signs = 0


@when("feed pace is told that the list seems old")
def told_once(context):
    context.signs = 1


@when("feed pace is told 100 times within 0.1 s that the list seems old")
def told_often(context):
    context.signs = 100


def reads_after_signs(signs):
    async def play():
        topic = CountingTopic()
        feed = KeyedFeed(
            "targets", topic, Listener(), SystemClock(), pause_s=60.0, wait_s=0.0
        )
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(LIMIT_S):
            await topic.was_read.wait()
            topic.was_read.clear()
            for _ in range(signs):
                feed.read_soon()
                await asyncio.sleep(0.1 / signs)
            await topic.was_read.wait()
        # Time in which further reads would show.
        await asyncio.sleep(0.5)
        task.cancel()
        return topic.reads

    return asyncio.run(play())


@then("feed pace reads the list a second time")
def reads_again(context):
    assert reads_after_signs(context.signs) == 2


@then("feed pace has read the list 2 times")
def has_read(context):
    assert reads_after_signs(context.signs) == 2


@given("feed pace of an entry that knows an engine started at 5")
def entry_knows(context):
    settings = HostSettings(
        "front-1", "z1", "127.0.0.1", SocketAddress("127.0.0.1", 1), 1, 2
    )
    context.entry_state = EntryState(settings, SystemClock())
    context.asked = []
    context.entry_state.on_list_outdated = lambda: context.asked.append(True)
    context.target = dataclasses.replace(record("e1"), started_ms=5)
    context.entry_state.directory.updated(context.target)


@when("feed pace hears from the agent of an engine started at {start:d}")
def hears(context, start):
    ip = context.target.address.rpartition(":")[0]
    told = msgspec.structs.replace(state(), started_ms=start)
    context.entry_state.engine_state(ip, told)


@then("feed pace of the entry {asks} for the list")
def asks(context, asks):
    assert bool(context.asked) == (asks == "asks"), context.asked
