"""Steps for the ends of callers' connections."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from types import SimpleNamespace

from behave import given, then, when

from lentiltally.direct.failure_log import FailureLog
from lentiltally.direct.forwarder import _log as forwarder_log
from lentiltally.direct.pages import PageServer
from lentiltally.direct.settings import SocketAddress
from tests.fakes.caller_connections import (
    HEAD,
    LogLines,
    ScriptedServer,
    StoppedClock,
    read_all,
)


def log_lines(context):
    context.log_lines = LogLines()
    context.log_lines.start()
    context.add_cleanup(context.log_lines.stop)


@given("direct path handling fails while {what}")
def handling_fails(context, what):
    def fail(*args):
        raise RuntimeError("defect")

    log_lines(context)
    entry = context.direct.entry
    forwarder = entry._forwarder
    forwarder._failures = FailureLog(forwarder_log, StoppedClock())
    if what == "a target is chosen":
        entry._state.choice.rank_service_targets = fail
        return
    assert what == "the request is decoded", what
    codec = SimpleNamespace(decode_request=fail)
    forwarder._context = dataclasses.replace(forwarder._context, header_codec=codec)


@then('direct path answers {status:d} "{reason}" with executed "{executed}"')
def answers_problem(context, status, reason, executed):
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    check_problem(context.answer.body, reason, executed)


def check_problem(body, reason, executed):
    problem = json.loads(body)
    assert problem["type"].endswith(f":{reason}"), problem
    assert problem["executed"] == executed, problem


@then("direct path logged the failure with the request's id")
def logged_failure(context):
    (record,) = context.log_lines.of("request handler failed")
    # A request that can't be decoded has no id yet.
    assert record.request in ("r1", ""), record.request
    assert record.exc_info is not None
    (refused,) = context.log_lines.of("request refused")
    assert refused.reason == "internal-error", refused.reason


async def _raise(connection):
    raise RuntimeError("defect")


async def _return(connection):
    pass


async def _cancel(connection):
    connection.end_request()
    await asyncio.sleep(5.0)


async def _fail_within(connection):
    connection.start_answer(200, [(b"Content-Length", b"10")])
    connection.send_data(b"part")
    raise RuntimeError("defect")


HANDLERS = {
    "raises an exception": _raise,
    "returns without answer": _return,
    "is cancelled": _cancel,
    "fails within the answer": _fail_within,
}


@given("direct path connections whose handler {behaviour}")
def handler_behaviour(context, behaviour):
    context.handler = HANDLERS[behaviour]
    log_lines(context)


def with_server(act):
    """Run a coroutine function of a server on a new event loop."""

    async def run():
        server = ScriptedServer()
        await server.start()
        try:
            return await act(server)
        finally:
            server.stop()
            # Lets the connections end before the loop does.
            await asyncio.sleep(0.01)

    return asyncio.run(run())


@when("direct path caller sends a request and reads to the end")
def sends_and_reads(context):
    async def act(server):
        server.answers["x"] = context.handler
        reader, writer, _ = await server.connect()
        writer.write(HEAD % b"x")
        received = await read_all(reader)
        writer.transport.abort()
        return received

    context.received, context.ended = with_server(act)


@then('direct path caller got {status:d} "{reason}" with executed "{executed}"')
def caller_got_problem(context, status, reason, executed):
    assert context.ended == "closed", context.ended
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), context.received
    check_problem(body, reason, executed)


@then("direct path caller got an incomplete answer")
def caller_got_part(context):
    assert context.ended in ("closed", "reset"), context.ended
    assert context.received.count(b"HTTP/1.1") <= 1, context.received
    assert len(context.received.partition(b"\r\n\r\n")[2]) < 10, context.received


BODY = b"b" * 3000
LONG_REQUEST = (
    b"POST /2 HTTP/1.1\r\nHost: a\r\nX-Pad: " + b"p" * 3000 + b"\r\n"
    b"Content-Length: 3000\r\n\r\n" + BODY
)
# How much of the long request has been sent when the limit changes.
SENT_BYTES = {"is idle": 0, "sends a head": 1500, "sends a body": 4000}


@given("direct path connections")
def connections(context):
    log_lines(context)


async def answered(reader, path):
    """Read on until the answer to a path is complete; return what came."""
    async with asyncio.timeout(5.0):
        try:
            return await reader.readuntil(b"answer to " + path)
        except asyncio.IncompleteReadError as error:
            return error.partial


@when(
    'direct path caller {phase} while "{limit}" changes from {before:g} to {after:g}, '
    "and goes on 2 s later"
)
def limit_changes(context, phase, limit, before, after):
    sent = SENT_BYTES[phase]

    async def act(server):
        server.limits = dataclasses.replace(server.limits, **{limit: before})
        reader, writer, connection = await server.connect()
        writer.write(HEAD % b"1")
        first = await answered(reader, b"1")
        writer.write(LONG_REQUEST[:sent])
        # A task of the server has read it once there is nothing left to do.
        await asyncio.sleep(0.05)
        assert connection.is_idle == (sent == 0)
        server.limits = dataclasses.replace(server.limits, **{limit: after})
        server.check_timeouts()
        server.clock.now_s += 2.0
        server.check_timeouts()
        server.check_timeouts()
        # A head in two parts is parsed only when it is complete.
        for part in (LONG_REQUEST[sent:2500], LONG_REQUEST[max(sent, 2500) :]):
            writer.write(part)
            await asyncio.sleep(0.05)
        second = await answered(reader, b"2")
        writer.transport.abort()
        return first, second

    context.received = with_server(act)


@then("direct path caller got answers to both of its requests")
def got_both(context):
    for number, received in enumerate(context.received, 1):
        assert received.startswith(b"HTTP/1.1 200"), context.received
        assert received.endswith(b"answer to %d" % number), context.received


@when(
    'direct path caller gets an answer after "{limit}" fell from {before:g} to '
    "{after:g}, and waits for 2 s"
)
def answer_after_change(context, limit, before, after):
    async def act(server):
        server.limits = dataclasses.replace(server.limits, **{limit: before})
        reader, writer, _ = await server.connect()
        server.limits = dataclasses.replace(server.limits, **{limit: after})
        writer.write(HEAD % b"1")
        first = await answered(reader, b"1")
        server.clock.now_s += 2.0
        server.check_timeouts()
        server.check_timeouts()
        rest = await read_all(reader)
        writer.transport.abort()
        return first, rest

    context.received, context.ended = with_server(act)


@then("direct path caller's connection was closed between two requests")
def closed_between(context):
    assert context.received.endswith(b"answer to 1"), context.received
    assert context.ended == (b"", "closed"), context.ended


@when("direct path caller sends {count:d} bytes of a head that does not end")
def endless_head(context, count):
    async def act(server):
        reader, writer, _ = await server.connect()
        writer.write(b"GET / HTTP/1.1\r\nX-Pad: " + b"p" * count)
        received = await read_all(reader)
        writer.transport.abort()
        return received

    context.received, context.ended = with_server(act)


@then("direct path caller got the status {status:d}")
def caller_got_status(context, status):
    assert context.received.startswith(b"HTTP/1.1 %d " % status), context.received


KINDS = {
    "Connection: close": b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
    "Expect: 100-continue": (
        b"POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        b"Content-Length: 1\r\n\r\n"
    ),
    "Upgrade": (
        b"GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
    ),
    "version 1.0": b"GET /x HTTP/1.0\r\n\r\n",
    "method HEAD": b"HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n",
    "method CONNECT": b"CONNECT /x HTTP/1.1\r\nHost: a\r\n\r\n",
}


@when("direct path caller sends a request with {kind}")
def sends_kind(context, kind):
    async def act(server):
        reader, writer, _ = await server.connect()
        writer.write(KINDS[kind])
        if kind.startswith("Expect"):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            writer.write(b"b")
        end = b"\r\n\r\n" if kind == "method HEAD" else b"answer to x"
        try:
            async with asyncio.timeout(5.0):
                received = await reader.readuntil(end)
        except asyncio.IncompleteReadError as error:
            received = error.partial
        writer.transport.abort()
        return received

    context.received, context.ended = with_server(act), "closed"


PAGE_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


@given(
    "direct path pages with {count:d} connections whose peers stay after the last "
    "answer"
)
def page_connections(context, count):
    context.count = count


@when("direct path pages get two more connections {pause_s:g} s later")
def more_page_connections(context, pause_s):
    async def act():
        clock = StoppedClock()
        pages = PageServer({b"/": lambda: (200, b"page")}, clock)
        server = await pages.listen(SocketAddress("127.0.0.1", 0))
        address = server.sockets[0].getsockname()
        streams = []
        for number in range(context.count + 2):
            clock.now_s += pause_s if number == context.count else 0.0
            reader, writer = await asyncio.open_connection(*address)
            streams.append(writer)
            writer.write(PAGE_REQUEST)
            assert b"page" in await reader.readuntil(b"page")
        await asyncio.sleep(0.02)
        context.left = len(pages._connections)
        for writer in streams:
            writer.transport.abort()
        server.close()
        await asyncio.sleep(0.02)

    asyncio.run(act())


@then("direct path pages have only those two connections")
def pages_have(context):
    assert context.left == 2, context.left


PROOF = b"X-Request-Id: REQUEST\r\nX-Response-Signature: proof\r\n"
WITH_BODY = PROOF + b"Content-Length: 4\r\n"
RAW_ANSWERS = {
    "204 without a body": b"204 No\r\n" + PROOF + b"\r\n",
    "204 with a body": b"204 No\r\n" + WITH_BODY + b"\r\nbody",
    "304 with a length": b"304 No\r\n" + WITH_BODY + b"\r\n",
    "status 099": b"099 Odd\r\n" + WITH_BODY + b"\r\nbody",
    "status 999": b"999 Odd\r\n" + WITH_BODY + b"\r\nbody",
    "status 101": b"101 Odd\r\n" + PROOF + b"Upgrade: odd\r\n\r\n",
    "a header of odd bytes": b"200 OK\r\n"
    + WITH_BODY
    + b"X-Odd: \xc3\xa9\x7f\r\n\r\nbody",
    "a folded header": b"200 OK\r\n" + WITH_BODY + b"X-Odd: a\r\n b\r\n\r\nbody",
    "an empty header name": b"200 OK\r\n" + WITH_BODY + b": a\r\n\r\nbody",
    "other transfer coding": (
        b"200 OK\r\n" + PROOF + b"Transfer-Encoding: gzip\r\n\r\nbody"
    ),
    "two connection options": (
        b"200 OK\r\n" + WITH_BODY + b"Connection: close, x-odd\r\nX-Odd: a\r\n\r\nbody"
    ),
}


@given('direct path targets answer raw "{odd}"')
def answer_raw(context, odd):
    for engine in context.direct.engines.values():
        engine.raw_answer = b"HTTP/1.1 " + RAW_ANSWERS[odd]
        engine.script.extend(["raw"] * 4)


@then('direct path caller has a complete answer with one of "{statuses}"')
def has_complete(context, statuses):
    answer = context.answer
    assert answer.is_complete, (answer.status, answer.body)
    assert str(answer.status) in statuses.split(", "), (answer.status, answer.body)


@then("direct path logged one failure within a second for {count:d} refused requests")
def logged_one(context, count):
    failures = context.log_lines.of("request handler failed")
    assert len(failures) == 1, len(failures)
    assert len(context.log_lines.of("request refused")) == count
