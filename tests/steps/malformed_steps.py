"""Steps for malformed records, pages, reports and datagrams."""

from __future__ import annotations

import asyncio
import json
import random
import struct

import msgspec
from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.direct.feed_types import FeedError, FeedPage, FeedRecord
from lentiltally.direct.http_client import HttpResponse
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.messages import (
    AcquireAdapter,
    EngineState,
    KnownVersions,
    PartsSurvived,
    StateSubscription,
    StoreReport,
    decode_message,
    encode_message,
)
from lentiltally.direct.settings import SocketAddress
from lentiltally.errors import LentiltallyError
from lentiltally.platform.engine_control import decode_report
from lentiltally.platform.roles import decode_configuration
from lentiltally.platform.store_client import StoreTopic
from lentiltally.platform.target_list import decode_target_record
from tests.fakes.direct import configuration

LIMIT_S = 10.0
SEED = 1
VALUES = (
    b"null",
    b"1e999",
    b"-1",
    b'"x"',
    b"{}",
    b"[]",
    b"\xff",
    b"NaN",
    b"1" * 400,
    b'"\\ud800"',
    b"18446744073709551616",
    b"[" * 2000,
)


def mutate(rng, data):
    """Return data with bytes changed, removed, replaced by other values or cut off."""
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(mutated) + 1)
        kind = rng.randrange(4)
        if kind == 0 and at < len(mutated):
            mutated[at] = rng.randrange(256)
        elif kind == 1:
            del mutated[at : at + rng.randint(1, 9)]
        elif kind == 2:
            mutated[at : at + rng.randint(0, 6)] = rng.choice(VALUES)
        else:
            del mutated[at + rng.randint(0, len(mutated)) :]
    return bytes(mutated)


class PageClient:
    """Answers every call of the store with the same body."""

    address = SocketAddress("127.0.0.1", 1)

    def __init__(self, body):
        self.body = body

    async def call(self, method, path, *, timeout_s, **more):
        return HttpResponse(200, {}, self.body)


def read_newest(body):
    return asyncio.run(StoreTopic("keyed.op", PageClient(body)).newest())


def read_log(body):
    return asyncio.run(StoreTopic("keyed.op", PageClient(body)).read(0, 0.0))


def example(kind):
    """Return the decoder, valid messages, and the errors that it may raise."""
    target = {
        "service": "plain",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "slots": 8,
        "state": "ready",
        "sequence": 1,
        "born": 1,
    }
    report = {
        "models": [{"name": "m", "version": 1, "adapters": ["a@1"]}],
        "busy": False,
        "sequence": 0,
        "coming": ["m/a@1"],
        "born": 1,
    }
    record = struct.pack(">I", 3) + bytes([1]) + b"kv"
    # Without "more", since a page that says so is followed by another one for ever.
    page = {"items": [{"key": "a", "value": "eA==", "offset": 4}], "end": 5}
    messages = [
        StateSubscription("e", 100, 3),
        AcquireAdapter("r", "m", "a", 1, 2, 3, 4, 5, 6),
        KnownVersions(7, 1300, (("m/a", 2),)),
        PartsSurvived((1, 2)),
        EngineState(
            1, 2, 3, 4, 5, 6, (1,), (2,), (3,), 1, 1, 1, 1, StoreReport(1, 2, 3, 4)
        ),
    ]
    state = configuration(3)
    notice = {"model": "m", "adapter": "a", "version": 2}
    examples = {
        "target": (lambda data: decode_target_record("i", data), [target]),
        "state": (lambda data: decode_configuration("config", data), [state]),
        "notice": (lambda data: decode_configuration("version/m.a", data), [notice]),
        "report": (lambda data: decode_report(data, None), [report]),
        "page": (read_newest, [{**page, "more": False}]),
    }
    if kind == "datagram":
        encoded = [encode_message(message) for message in messages]
        return decode_message, encoded, msgspec.MsgspecError
    if kind == "log":
        return read_log, [struct.pack(">QQ", 2, 0) + 2 * record], LentiltallyError
    decode, documents = examples[kind]
    return decode, [json.dumps(d).encode() for d in documents], LentiltallyError


@then(
    'malformed messages of the kind "{kind}" never raise anything else, in '
    "{count:d} mutations"
)
def never_raise(context, kind, count):
    rng = random.Random(SEED)
    decode, valid, expected = example(kind)
    for message in valid:
        decode(message)
    for _ in range(count):
        data = mutate(rng, rng.choice(valid))
        if kind == "page" and b'"more": true' in data:
            continue
        try:
            decode(data)
        except expected:
            continue
        except Exception as error:
            raise AssertionError(f"{data[:200]!r} raised {error!r}") from error


class FailingListener:
    """Fails at one key and keeps the other records."""

    def __init__(self, failing=""):
        self.failing = failing
        self.keys = []

    def on_record(self, record):
        if record.key == self.failing:
            raise ValueError("can't process this record")
        self.keys.append(record.key)

    def on_snapshot_keys(self, keys, end):
        pass

    def on_store_recovered(self):
        pass


class Topic:
    """Raises an error at the first reads, and then returns records once."""

    def __init__(self, keys=(), failures=0):
        self.keys = keys
        self.failures = failures
        self.reads = 0

    async def newest(self):
        self.reads += 1
        if self.reads <= self.failures:
            raise ValueError("unexpected")
        records = [FeedRecord(key, b"x", n) for n, key in enumerate(self.keys)]
        return FeedPage(len(records), tuple(records), len(records))

    async def read(self, offset, wait_s):
        self.reads += 1
        return FeedPage(offset, (), offset)


def follow(context, reads):
    feed = KeyedFeed(
        "targets",
        context.topic,
        context.listener,
        SystemClock(),
        pause_s=0.01,
        wait_s=0.0,
    )

    async def act():
        task = asyncio.create_task(feed.run())
        async with asyncio.timeout(LIMIT_S):
            while context.topic.reads < reads:
                assert not task.done(), "the feed has stopped"
                await asyncio.sleep(0.01)
        task.cancel()

    asyncio.run(act())


@given('malformed feed of a listener that fails at the record "{key}"')
def failing_listener(context, key):
    context.listener = FailingListener(key)


@when('malformed feed reads "{one}", "{two}" and "{three}"')
def reads_three(context, one, two, three):
    context.topic = Topic((one, two, three))
    follow(context, 3)


@then('malformed feed passed on "{one}" and "{two}" and goes on')
def passed_on(context, one, two):
    assert context.listener.keys == [one, two], context.listener.keys


@given("malformed feed of a store whose first page raises an unexpected error")
def failing_store(context):
    context.topic = Topic(("a",), failures=1)
    context.listener = FailingListener()


@when("malformed feed follows the topic")
def follows(context):
    follow(context, 3)


@then("malformed feed reads the topic again")
def reads_again(context):
    assert context.listener.keys == ["a"], context.listener.keys


ODD_ITEMS = {
    "a value that isn't base64": b'{"key":"m","value":"abc","offset":5}',
    "a value that isn't ASCII": b'{"key":"m","value":"\xc3\xa9===","offset":5}',
    "no value": b'{"key":"m","offset":5}',
    "a number as value": b'{"key":"m","value":1,"offset":5}',
    "a lone surrogate as key": b'{"key":"m\\udc80","value":"eA==","offset":5}',
    "a key not in UTF-8": b'{"key":"m\x80","value":"eA==","offset":5}',
    "no key": b'{"value":"eA==","offset":5}',
    "an offset of 25 digits": b'{"key":"m","value":"eA==","offset":%s}' % (b"9" * 25),
    "an offset of -1": b'{"key":"m","value":"eA==","offset":-1}',
    "a list instead of it": b"[1]",
}


class PagesClient(PageClient):
    """Answers each call of the store with the next body, and keeps the paths."""

    def __init__(self, *bodies):
        super().__init__(b"")
        self.bodies = list(bodies)
        self.paths = []

    async def call(self, method, path, *, timeout_s, **more):
        self.paths.append(path)
        body = self.bodies.pop(0) if len(self.bodies) > 1 else self.bodies[0]
        return HttpResponse(200, {}, body)


def newest_page(items, more):
    flag = b"true" if more else b"false"
    return b'{"items":[%s],"more":%s,"end":9}' % (b",".join(items), flag)


def read_pages(context):
    context.page = context.failure = None
    try:
        topic = StoreTopic("keyed.op", context.client)
        context.page = asyncio.run(asyncio.wait_for(topic.newest(), LIMIT_S))
    except Exception as error:
        context.failure = error


@when('malformed newest page has an item with {odd} between "a" and "z"')
def odd_item(context, odd):
    first, last = (
        b'{"key":"%s","value":"eA==","offset":%d}' % pair
        for pair in ((b"a", 4), (b"z", 6))
    )
    context.client = PagesClient(
        newest_page([first, ODD_ITEMS[odd], last], more=True),
        newest_page([], more=False),
    )
    read_pages(context)


@when("malformed newest pages have no readable key and say that more follow")
def no_readable_key(context):
    item = ODD_ITEMS["a lone surrogate as key"]
    context.client = PagesClient(newest_page([item], more=True))
    read_pages(context)


@then('malformed newest page gives the values of "a" and "z"')
def gives_values(context):
    assert context.failure is None, repr(context.failure)
    values = {record.key: record.value for record in context.page.records}
    assert (values["a"], values["z"]) == (b"x", b"x"), values


@then('malformed newest page gives the record "{key}"')
def gives_record(context, key):
    others = [r.key for r in context.page.records if r.key not in ("a", "z")]
    expected = [] if key == "nothing" else [key.replace("\\ufffd", "\ufffd")]
    assert others == expected, others


@then('malformed newest page goes on after "{key}"')
def goes_on_after(context, key):
    assert len(context.client.paths) == 2, context.client.paths
    assert context.client.paths[1].endswith(b"after=" + key.encode())


@then("malformed newest page raises FeedError")
def raises_feed_error(context):
    assert isinstance(context.failure, FeedError), repr(context.failure)
