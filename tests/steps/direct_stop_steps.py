"""Steps for planned stops of an entry under load."""

from __future__ import annotations

import asyncio
import json

import h11
from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.direct import entry_process
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.model import CallerLimits
from tests.fakes.direct import HOST, configuration, route
from tests.steps.direct_streams_steps import headers

# The body of a late request follows its head by this time.
BODY_DELAY_S = 0.2
CALLERS = 24
REQUESTS_PER_CONNECTION = 4


class Callers:
    """Callers that send requests until the entry says that it stops.

    Then they go to another entry, which is not part of the test.
    ``answered`` counts complete answers. ``cut`` lists requests whose connection ended
    without one, although it was new or the target has run them; a kept connection may
    end while the next request is on its way, which the entry then has not read.
    """

    def __init__(self, system, prefix):
        self.system = system
        self.prefix = prefix
        self.answered = 0
        self.cut = []
        self.number = 0
        self.address = system.entry_address

    async def run(self):
        await asyncio.gather(*(self._call() for _ in range(CALLERS)))

    async def _call(self):
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    self.address.ip, self.address.port
                )
            except OSError:
                return
            try:
                if await self._use(reader, writer):
                    return
            finally:
                writer.transport.abort()

    async def _use(self, reader, writer):
        """Send requests on one connection; return whether the entry stops."""
        for place in range(REQUESTS_PER_CONNECTION):
            self.number += 1
            request_id = f"{self.prefix}-{self.number}"
            http = h11.Connection(h11.CLIENT)
            headers = [("Host", HOST), ("X-Request-Id", request_id)]
            data = http.send(
                h11.Request(method="GET", target="/once/x", headers=headers)
            )
            http.send(h11.EndOfMessage())
            try:
                writer.write(data)
                status, is_closing = await self._read(http, reader)
                self.answered += 1
            except (OSError, h11.RemoteProtocolError) as error:
                if place == 0 or self._has_run(request_id):
                    self.cut.append((request_id, place, repr(error)))
                return False
            if status == 503 or is_closing:
                return status == 503
        return False

    @staticmethod
    async def _read(http, reader):
        """Read one answer; return its status and whether the connection is closing."""
        status, is_closing = 0, False
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65_536))
            elif isinstance(event, h11.Response):
                status = event.status_code
                is_closing = b"close" in dict(event.headers).get(b"connection", b"")
            elif isinstance(event, h11.EndOfMessage):
                return status, is_closing
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed without an answer")

    def _has_run(self, request_id):
        return any(
            run.request_id == request_id
            for engine in self.system.engines.values()
            for run in engine.runs
        )


@when(
    "direct path is stopped {times:d} times under a load of at least {least:d} "
    "requests each"
)
def stopped_under_load(context, times, least):
    system = context.direct
    context.answered = 0
    context.cut = []
    for number in range(times):
        if number:
            system.start_entry()
            assert system.wait_ready()
        callers = Callers(system, f"stop{number}")
        stop_signal, task = system._started[-1]

        async def act(callers=callers, stop_signal=stop_signal, task=task):
            load = asyncio.create_task(callers.run())
            while callers.answered < least:
                await asyncio.sleep(0.01)
            stop_signal.request()
            await task
            await load

        system.run(act())
        context.answered += callers.answered
        context.cut += callers.cut


@then("direct path cut none of at least {least:d} requests")
def cut_none(context, least):
    assert context.answered + len(context.cut) >= least, context.answered
    assert not context.cut, (len(context.cut), context.cut[:5])


@given("direct path keeps new connections for {quiet_s:g} s during a stop")
def keeps_new_connections(context, quiet_s):
    before = entry_process.QUIET_BEFORE_CLOSE_S
    entry_process.QUIET_BEFORE_CLOSE_S = quiet_s
    context.add_cleanup(setattr, entry_process, "QUIET_BEFORE_CLOSE_S", before)


@when(
    "direct path is asked to stop and gets connections {first_s:g} s and "
    "{second_s:g} s later"
)
def late_connections(context, first_s, second_s):
    system = context.direct
    request = (
        f"GET /safe/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n\r\n".encode()
    )

    async def act():
        address = system.entry_address
        system._started[0][0].request()
        await asyncio.sleep(first_s)
        first = await asyncio.open_connection(address.ip, address.port)
        await asyncio.sleep(second_s - first_s)
        second = await asyncio.open_connection(address.ip, address.port)
        answers = []
        for reader, writer in (first, second):
            writer.write(request)
            answers.append(await asyncio.wait_for(reader.read(65_536), 5.0))
            writer.transport.abort()
        return answers

    context.received = system.run(act())


@then("direct path refused the request on each of them as not executed")
def refused_each(context):
    for data in context.received:
        assert data.startswith(b"HTTP/1.1 503"), context.received
        assert b'"executed":"no"' in data, data


@when(
    'direct path gets a stream for adapter "{adapter}" {after_s:g} s after it was '
    "asked to stop"
)
def stream_during_stop(context, adapter, after_s):
    stop_beside_request(context, after_s, "/stream/x", headers=headers(adapter))


@when(
    'direct path gets a request to "{path}" {before_s:g} s before it is asked to stop'
)
def request_before_stop(context, path, before_s):
    stop_beside_request(context, -before_s, path, body=b"b")


def stop_beside_request(context, after_s, path, **request):
    """Stop the entry and send a request that is still open when the stop ends.

    Keeps the answer that the caller has when the process ends, None without one.
    """
    system = context.direct
    routes = [
        route("stream", "streaming", "llm", timeoutMs=9000, resumable=True),
        route("once", "unsafe", "plain", attempts=1, timeoutMs=9000),
    ]
    apply_configuration(system, routes)

    async def act():
        loop = asyncio.get_running_loop()
        stop_signal, process = system._started[0]
        loop.call_later(max(0.0, -after_s), stop_signal.request)
        await asyncio.sleep(max(0.0, after_s))
        call = asyncio.ensure_future(system.request(path, read_s=8.0, **request))
        await process
        # A real process ends here and cuts what is still open.
        await asyncio.sleep(0.05)
        return call.result() if call.done() else None

    context.answer = system.run(act())


@then(
    'direct path had answered {status:d} "{reason}" with executed "{executed}" when it '
    "ended"
)
def answered_before_end(context, status, reason, executed):
    answer = context.answer
    assert answer is not None, "no answer when the process ended"
    problem = json.loads(answer.body)
    assert answer.status == status, problem
    assert problem["type"].endswith(f":{reason}"), problem
    assert problem["executed"] == executed, problem


@when(
    "direct path is asked to stop during a request of {run_s:g} s, and a kept "
    "connection sends another {after_s:g} s later"
)
def late_request_on_kept_connection(context, run_s, after_s):
    stop_beside_late_request(context, run_s, after_s, b"GET /safe/x", b"")


@when(
    'direct path is asked to stop during a request of {run_s:g} s, and "{path}" is '
    "complete {after_s:g} s later"
)
def late_body(context, run_s, path, after_s):
    stop_beside_late_request(context, run_s, after_s, f"POST {path}".encode(), b"b")


def stop_beside_late_request(context, run_s, after_s, request_line, body):
    """Stop beside a long request, and complete another one on a kept connection."""
    system = context.direct
    address = system.entry_address
    routes = [
        route("safe", "safe", "plain"),
        route("once", "unsafe", "plain", attempts=1, timeoutMs=9000),
    ]
    apply_configuration(system, routes)

    def head(request_line, request_id, size=0):
        fields = f"Host: {HOST}\r\nX-Request-Id: {request_id}\r\nContent-Length: {size}"
        return request_line + f" HTTP/1.1\r\n{fields}\r\n\r\n".encode()

    async def act():
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(head(b"GET /safe/x", "kept"))
        await reader.readuntil(b"body of kept")
        for engine in system.engines.values():
            engine.answer_after_s = run_s
        long = asyncio.ensure_future(system.request("/once/x", "long", body=b"b"))
        await asyncio.sleep(0.1)
        system._started[0][0].request()
        await asyncio.sleep(after_s - BODY_DELAY_S)
        writer.write(head(request_line, "late", len(body)))
        await asyncio.sleep(BODY_DELAY_S)
        writer.write(body)
        late = await asyncio.wait_for(reader.read(65_536), 5.0)
        writer.transport.abort()
        return await long, late

    context.answer, context.received = system.run(act())


@then("direct path answered the long request and refused the late one as not executed")
def answered_long_refused_late(context):
    assert context.received.startswith(b"HTTP/1.1 503"), context.received
    assert b'"executed":"no"' in context.received, context.received
    assert context.answer.status == 200, context.answer.body


def apply_configuration(system, routes):
    system.configure(configuration(4, routes))
    assert system.wait(lambda: system.entry._state.table.state.version == 4)


class _LastHandler:
    """Refuses every request at once, as a forwarder does that has stopped accepting."""

    limits = CallerLimits()
    is_stopping = True

    def __init__(self):
        self.connections = set()

    async def handle(self, request, connection):
        connection.send_answer(503, [], b"stopping")

    def opened(self, connection):
        self.connections.add(connection)

    def closed(self, connection):
        self.connections.discard(connection)


@when("direct path reads a request on a kept connection while its drain ends")
def reads_while_drain_ends(context):
    """Read it behind the drain's wake-up, where the event loop puts socket events."""
    request = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

    async def act():
        loop = asyncio.get_running_loop()
        handler = _LastHandler()
        server = await loop.create_server(
            lambda: CallerConnection(handler, SystemClock()), "127.0.0.1", 0
        )
        address = server.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        while not handler.connections:
            await asyncio.sleep(0.01)
        drain = asyncio.create_task(_end_of_drain(server, handler.connections))
        await asyncio.sleep(0)
        (connection,) = handler.connections
        loop.call_soon(connection.data_received, request)
        await drain
        try:
            return await asyncio.wait_for(reader.read(100), 0.5)
        except TimeoutError:
            return b""
        finally:
            writer.transport.abort()

    context.last_answer = asyncio.run(act())


@then("direct path answered the request that was read last")
def answered_last(context):
    assert context.last_answer.startswith(b"HTTP/1.1 503"), context.last_answer


async def _end_of_drain(server, connections):
    """Do what ``EntryProcess._drain`` does after its last pause."""
    await asyncio.sleep(0)
    server.close()
    for connection in list(connections):
        connection.end_request()


@then("direct path targets ran only the long request and the one before the stop")
def ran_only(context):
    runs = [r.request_id for e in context.direct.engines.values() for r in e.runs]
    assert sorted(runs) == ["kept", "long"], runs
