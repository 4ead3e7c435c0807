"""Steps for the closes of callers' connections."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from standins.raw_http import reset
from tests.fakes.caller_connections import (
    HEAD,
    read_all,
)
from tests.steps.direct_caller_connections_steps import (
    HANDLERS,
    LONG_REQUEST,
    SENT_BYTES,
    _fail_within,
    answered,
    log_lines,
    with_server,
)


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
