"""Steps for the ends of callers' connections."""

from __future__ import annotations

import asyncio
import dataclasses
import json
from types import SimpleNamespace

from behave import given, then, when

from lentiltally.platform import http_headers
from tests.fakes.caller_connections import HEAD, LogLines, ScriptedServer, read_all

DECODERS = {
    "the request": "decode_request",
    "the target's answer": "decode_answer_head",
}


def log_lines(context):
    context.log_lines = LogLines()
    context.log_lines.start()
    context.add_cleanup(context.log_lines.stop)


@given("direct path handling fails while {what} is decoded")
def handling_fails(context, what):
    def fail(*args):
        raise RuntimeError("defect")

    log_lines(context)
    forwarder = context.direct.entry._forwarder
    codec = SimpleNamespace(
        decode_request=http_headers.decode_request,
        encode_headers=http_headers.encode_headers,
        decode_answer_head=http_headers.decode_answer_head,
    )
    setattr(codec, DECODERS[what], fail)
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
