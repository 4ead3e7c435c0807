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
from lentiltally.platform import http_headers
from standins.raw_http import reset
from tests.fakes.caller_connections import (
    HEAD,
    LogLines,
    ScriptedServer,
    StoppedClock,
    read_all,
)

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
    forwarder._failures = FailureLog(forwarder_log, StoppedClock())
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


def long_answer(size):
    async def answer(connection):
        connection.send_answer(200, [], b"a" * size)

    return answer


@when(
    "direct path caller pauses for {pause_s:d} s before it reads an answer of "
    "{size:d} bytes"
)
def pauses(context, pause_s, size):
    async def act(server):
        server.answers["x"] = long_answer(size)
        reader, writer, _ = await server.connect()
        writer.transport.pause_reading()
        writer.write(HEAD % b"x")
        await asyncio.sleep(pause_s)
        writer.transport.resume_reading()
        received = await read_to(reader, size)
        writer.transport.abort()
        return received

    context.size, context.received = size, with_server(act)


async def read_to(reader, size):
    """Read the answer until ``size`` bytes of its body have come, or it ends."""
    data = await reader.readuntil(b"\r\n\r\n")
    try:
        async with asyncio.timeout(5.0):
            return data + await reader.readexactly(size)
    except asyncio.IncompleteReadError as error:
        return data + error.partial
    except (ConnectionResetError, TimeoutError) as error:
        return data + repr(error).encode()


@then("direct path caller got all of the answer")
def got_all(context):
    body = context.received.partition(b"\r\n\r\n")[2]
    assert body == b"a" * context.size, (len(body), body[-100:])


@when("direct path caller pipelines a request that fails behind one for {size:d} bytes")
def pipelines_failing(context, size):
    async def act(server):
        server.answers |= {"1": long_answer(size), "2": _fail_within}
        reader, writer, _ = await server.connect()
        writer.transport.pause_reading()
        writer.write(HEAD % b"1" + HEAD % b"2")
        await asyncio.sleep(0.2)
        writer.transport.resume_reading()
        received = await read_to(reader, size)
        writer.transport.abort()
        return received, server.handled

    context.size = size
    context.received, handled = with_server(act)
    assert handled == ["1", "2"], handled


async def _fail_within_stream(connection):
    connection.start_answer(200, [(b"Transfer-Encoding", b"chunked")])
    connection.send_data(b"part")
    raise RuntimeError("defect")


HANDLERS["fails within a stream"] = _fail_within_stream


@when("direct path caller sends a request of version 1.0 and reads to the end")
def sends_old_version(context):
    async def act(server):
        server.answers["x"] = context.handler
        reader, writer, _ = await server.connect()
        writer.write(b"GET /x HTTP/1.0\r\n\r\n")
        received = await read_all(reader)
        writer.transport.abort()
        return received

    context.received, context.ended = with_server(act)


@then("direct path caller's connection was reset")
def was_reset(context):
    assert context.ended == "reset", (context.received, context.ended)


BEFORE_BYTES = {
    "a head that is refused": (
        b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 20000000\r\n\r\n"
    ),
    "the last request in a stop": HEAD % b"x",
}


@when("direct path caller sends {size:d} bytes behind {what}")
def sends_behind(context, size, what):
    async def act(server):
        server.is_stopping = True
        server.answers["x"] = long_answer(1_000_000)
        reader, writer, _ = await server.connect()
        writer.transport.pause_reading()
        writer.write(BEFORE_BYTES[what] + b"b" * size)
        await asyncio.sleep(0.3)
        writer.transport.resume_reading()
        received = await read_all(reader)
        writer.transport.abort()
        return received

    context.received, context.ended = with_server(act)


@then("direct path caller got the status {status:d} and all of the answer")
def got_status_and_all(context, status):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), (context.received[:99], len(body))
    length = head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]
    assert len(body) == int(length), (len(body), length, context.ended)


@when("direct path caller {does} after a last answer of {size:d} bytes")
def stays_after_last(context, does, size):
    async def act(server):
        server.is_stopping = True
        server.answers["x"] = long_answer(size)
        reader, writer, connection = await server.connect()
        if does == "reads nothing":
            writer.transport.pause_reading()
        writer.write(HEAD % b"x")
        await asyncio.sleep(0.2)
        waited_s = 0.0
        while connection not in server.ended and waited_s < 100.0:
            server.clock.now_s += 0.5
            waited_s += 0.5
            server.check_timeouts()
            await asyncio.sleep(0.005)
        writer.transport.abort()
        return waited_s

    context.waited_s = with_server(act)


@then("direct path connection ended only after {limit_s:g} s")
def ended_after(context, limit_s):
    # The next check after the limit ends it.
    assert limit_s < context.waited_s <= limit_s + 1.0, context.waited_s


@when("direct path caller sends half a body until the stop ends")
def half_body_at_stop(context):
    async def act(server):
        reader, writer, connection = await server.connect()
        writer.write(LONG_REQUEST[:4000])
        await asyncio.sleep(0.05)
        connection.end_request()
        received = await read_all(reader)
        writer.transport.abort()
        return received

    context.received, context.ended = with_server(act)


ENDLESS = HEAD % b"wait"
OLD_VERSION = b"GET /cut HTTP/1.0\r\n\r\n"
# What a caller sends, and how it ends its connection after that.
ENDS = {
    "closes within a head": (LONG_REQUEST[:1500], "close"),
    "resets within a body": (LONG_REQUEST[:4000], "reset"),
    "closes within the handling": (ENDLESS, "close"),
    "gets a cut answer": (HEAD % b"cut", "read"),
    "gets a cut answer of version 1.0": (OLD_VERSION, "read"),
    "leaves its last answer unread": (HEAD % b"long", "stay"),
    "pipelines behind its last answer": (HEAD % b"x" + HEAD % b"y", "read"),
    "closes after its answer": (HEAD % b"x", "close"),
    "gets its last answer": (HEAD % b"x", "read"),
    "is refused for its head": (b"GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n", "read"),
}


@when("direct path caller's connection ends as it {end}")
def connection_ends(context, end):
    data, how = ENDS[end]

    async def wait(connection):
        await asyncio.sleep(1.0)

    async def act(server):
        server.answers |= {
            "wait": wait,
            "cut": _fail_within_stream,
            "long": long_answer(4_000_000),
        }
        server.is_stopping = "last answer" in end
        reader, writer, connection = await server.connect()
        if how == "stay":
            writer.transport.pause_reading()
        writer.write(data)
        await asyncio.sleep(0.1)
        if how == "reset":
            reset(writer)
        elif how == "close":
            writer.close()
        elif how == "read":
            await read_all(reader)
            writer.transport.abort()
        for _ in range(100):
            if connection in server.ended:
                break
            server.clock.now_s += 0.5 if how == "stay" else 0.0
            server.check_timeouts()
            await asyncio.sleep(0.01)
        assert connection in server.ended

    with_server(act)


@then(
    'direct path logged one early end in the phase "{phase}" with the reason "{reason}"'
)
def logged_early_end(context, phase, reason):
    (record,) = context.log_lines.of("caller connection ended early")
    assert record.phase == phase, record.phase
    assert reason in record.reason, record.reason
    assert record.peer.startswith("127.0.0.1:"), record.peer


@then("direct path logged no early end")
def logged_no_early_end(context):
    assert not context.log_lines.of("caller connection ended early")


@when('direct path caller of "{path}" closes after {after_s:g} s')
def caller_closes(context, path, after_s):
    log_lines(context)
    context.direct.send(path, body=b"b", disconnect_after_s=after_s)
    lines = context.log_lines
    context.direct.wait(lambda: lines.of("caller connection ended early"), 2.0)


@then('direct path logged one early end of the request "{request_id}"')
def logged_early_end_of(context, request_id):
    (record,) = context.log_lines.of("caller connection ended early")
    assert (record.request, record.phase) == (request_id, "answering"), record


@given("direct path takes {delay_s:g} s to refuse a request when a stop ends")
def refuses_late(context, delay_s):
    entry = context.direct.entry
    original = entry.handle

    async def handle(request, connection):
        task = asyncio.ensure_future(original(request, connection))
        try:
            await asyncio.shield(task)
        except asyncio.CancelledError:
            await asyncio.sleep(delay_s)
            task.cancel()
            await task

    entry.handle = handle


@when(
    "direct path caller {phase} and goes on while the entry stands still for "
    "{pause_s:g} s"
)
def entry_stands_still(context, phase, pause_s):
    sent = SENT_BYTES[phase]

    async def act(server):
        reader, writer, _ = await server.connect()
        writer.write(HEAD % b"1")
        first = await answered(reader, b"1")
        writer.write(LONG_REQUEST[:sent])
        await asyncio.sleep(0.05)
        # What is written now is in the kernel, but the event loop has not seen it yet.
        writer.write(LONG_REQUEST[sent:])
        server.clock.now_s += pause_s
        server.check_timeouts()
        second = await answered(reader, b"2")
        writer.transport.abort()
        return first, second

    context.received = with_server(act)


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


@when("direct path caller closes its side with {size:d} bytes of a stream unread")
def closes_side(context, size):
    async def act(server):
        noticed = asyncio.Event()

        async def stream(connection):
            connection.on_disconnect = noticed.set
            connection.start_answer(200, [(b"Transfer-Encoding", b"chunked")])
            connection.send_data(b"a" * size)
            await connection.drain()

        server.answers["x"] = stream
        reader, writer, _ = await server.connect()
        writer.transport.pause_reading()
        writer.write(HEAD % b"x")
        await asyncio.sleep(0.1)
        writer.write_eof()
        try:
            async with asyncio.timeout(1.0):
                await noticed.wait()
        except TimeoutError:
            pass
        writer.transport.abort()
        return noticed.is_set()

    context.was_noticed = with_server(act)


@then("direct path connection told its handler at once")
def told_handler(context):
    assert context.was_noticed
