"""Steps for targets that fall silent for a moment."""

from __future__ import annotations

import asyncio
from collections import deque

from behave import given, then, when

from lentiltally.direct.messages import adapter_key_hash
from lentiltally.direct.open_attempts import OpenAttempts
from standins.platform_engine import EngineRun
from tests.fakes.direct import HOST
from tests.steps.direct_streams_steps import headers


@given('direct path has "{adapter}" loaded on "{name}" only')
def loaded_on_one(context, adapter, name):
    load(context.direct, name, adapter)


@given('direct path engine "{name}" handles the next request as "{step}"')
def script_engine(context, name, step):
    context.direct.engines[name].script.append(step)


@given('direct path engine "{name}" has left')
def engine_left(context, name):
    system = context.direct
    system.withdraw(name)
    engines = system.entry._state.directory
    assert system.wait(lambda: not engines.is_usable(name))


@given('direct path engine "{name}" has left, and "{other}" is back under another id')
def engine_back_under_id(context, name, other):
    """List a later start at the address of the other engine; its agent is the same."""
    engine_left(context, name)
    system = context.direct
    engine = system.engines[other]

    async def announce():
        await asyncio.sleep(0.5)
        system.store.put_json(
            "keyed.servers",
            "anew",
            {
                "service": engine.service,
                "address": f"{engine.ip}:{engine.port}",
                "zone": "z1",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": 1,
                "born": engine.born + 1,
            },
        )

    asyncio.run_coroutine_threadsafe(announce(), system.loop)


@given('direct path engine "{name}" has no slot free')
def engine_full(context, name):
    """Occupy all slots of the engine with streams that don't end."""
    system = context.direct
    engine = system.engines[name]
    for number in range(engine.slots):
        adapter = f"busy{number}"
        load(system, name, adapter)
        engine.script.append("stall")
        asyncio.run_coroutine_threadsafe(
            system.request("/stream-once/x", adapter, headers=headers(adapter)),
            system.loop,
        )
    assert system.wait(lambda: len(engine.runs) == engine.slots)


@given('direct path engine "{name}" loads for {load_s:g} s')
def engine_loads(context, name, load_s):
    context.direct.engines[name].load_s = load_s


@given("direct path has one plain target left, which answers after {after_s:g} s")
def one_slow_target(context, after_s):
    system = context.direct
    kept, gone = system.engines
    system.engines[kept].answer_after_s = after_s
    system.withdraw(gone)
    targets = system.entry._state.directory
    assert system.wait(lambda: not targets.is_usable(gone))


@then('direct path ran request "{request_id}" {times:d} time')
@then('direct path ran request "{request_id}" {times:d} times')
def ran_times(context, request_id, times):
    engines = context.direct.engines.values()
    runs = [run for e in engines for run in e.runs if run.request_id == request_id]
    assert len(runs) == times, runs


def load(system, name, adapter):
    system.call(lambda: system.engines[name].adapters.update({adapter: 1}))
    choice = system.entry._state.choice
    key_hash = adapter_key_hash(f"m/{adapter}")
    assert system.wait(
        lambda: (state := choice.view(name).state) and key_hash in state.loaded
    )


@given('direct path engine "{name}" ends {after_s:g} s later')
def engine_ends(context, name, after_s):
    system = context.direct

    async def act():
        await asyncio.sleep(after_s)
        system.engines[name].crash()

    asyncio.run_coroutine_threadsafe(act(), system.loop)


@given('direct path engine "{name}" answers after {after_s:g} s')
def engine_answers_after(context, name, after_s):
    context.direct.engines[name].answer_after_s = after_s


@given('direct path engines handle the next request as "{step}"')
def script_engines(context, step):
    for engine in context.direct.engines.values():
        engine.script.append(step)


@given("direct path targets answer after {after_s:g} s")
def targets_answer_after(context, after_s):
    for engine in context.direct.engines.values():
        engine.answer_after_s = after_s


class _StepOfSecond(deque):
    """The script of two targets: the second of them to get a request takes its step.

    The second answers at once.
    """

    def __init__(self, step, engines):
        super().__init__([step])
        self._engines = engines
        self._is_first = True

    def __bool__(self):
        is_second = not self._is_first and len(self) > 0
        self._is_first = False
        return is_second

    def popleft(self):
        for engine in self._engines:
            engine.answer_after_s = 0.0
        return super().popleft()


@given(
    "direct path first target of the next request answers after {after_s:g} s, "
    'the other one as "{step}"'
)
def first_target_pauses(context, after_s, step):
    targets_answer_after(context, after_s)
    engines = list(context.direct.engines.values())
    script = _StepOfSecond(step, engines)
    for engine in engines:
        engine.script = script


@then('direct path request "{request_id}" is cancelled at engine "{name}"')
def cancelled_at(context, request_id, name):
    engine = context.direct.engines[name]
    assert context.direct.wait(lambda: request_id in engine.abandoned_requests)


@then('direct path agent of "{name}" has released the request "{request_id}"')
def released(context, name, request_id):
    slots = context.direct.agents[name]._slots
    assert context.direct.wait(lambda: not slots.has_request(request_id))


@given(
    'direct path engine "{name}" pauses for {pause_s:g} s and takes {event_s:g} s per '
    "event"
)
def engine_pauses(context, name, pause_s, event_s):
    engine = context.direct.engines[name]
    engine.pause_s = pause_s
    engine.event_s = event_s


@when(
    'direct path gets a stream for adapter "{adapter}" and looks at the agent of '
    '"{name}" {after_s:g} s later'
)
def looks_at_agent(context, adapter, name, after_s):
    system = context.direct
    slots = system.agents[name]._slots

    async def act():
        stream = system.request("/stream/x", headers=headers(adapter))
        answer = asyncio.ensure_future(stream)
        await asyncio.sleep(after_s)
        context.pinned_keys = slots.pinned_keys
        return await answer

    context.answer = system.run(act())


@then("direct path agent had pinned the adapter of the request")
def had_pinned(context):
    assert context.pinned_keys, context.pinned_keys


@given("direct path notices the end of an attempt {late_s:g} s late")
def notices_late(context, late_s):
    next_result = OpenAttempts.next_result

    async def late(attempts):
        result = await next_result(attempts)
        await asyncio.sleep(late_s)
        return result

    context.add_cleanup(setattr, OpenAttempts, "next_result", next_result)
    OpenAttempts.next_result = late


@when(
    'direct path gets two requests to "{path}" with a deadline of {deadline_s:g} s on '
    "one connection"
)
def two_requests(context, path, deadline_s):
    system = context.direct
    deadline_ms = int(1000 * deadline_s)

    async def act():
        address = system.entry_address
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        heads = []
        for number in (1, 2):
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r{number}\r\n"
                f"X-Deadline-Milliseconds: {deadline_ms}\r\n\r\n".encode()
            )
            heads.append(await reader.readuntil(b"\r\n\r\n"))
            await reader.readexactly(len(b"body of r1"))
            # The first request is over once its deadline has passed.
            await asyncio.sleep(2 * deadline_s)
        writer.transport.abort()
        return heads

    context.heads = system.run(act())


@then("direct path answered both requests on the connection")
def answered_both(context):
    assert all(head.startswith(b"HTTP/1.1 200 ") for head in context.heads)


@given("direct path has a third engine")
def third_engine(context):
    system = context.direct
    system.add_target("e3", service="llm", model="m", slots=2)
    system.start_agent("e3")
    assert system.wait_ready()


@given(
    'direct path engine "{name}" pauses for {pause_s:g} s in the next stream, goes on '
    "with one event and leaves the next one out"
)
def engine_breaks_after_pause(context, name, pause_s):
    """Send the last two events in one piece, so that both are read at once."""
    engine = context.direct.engines[name]
    original = engine.exchange
    unused = [True]

    def chunk(number):
        event = f"id: {number}\ndata: r1\n\n".encode()
        return b"%x\r\n%s\r\n" % (len(event), event)

    async def exchange(request, writer):
        if "x-model" not in request.headers or not unused:
            return await original(request, writer)
        unused.clear()
        request_id = request.headers["x-request-id"]
        engine.runs.append(
            EngineRun(request_id, request.path, request.headers, request.body)
        )
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: r1\r\nX-Response-Signature: proof\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + chunk(1) + chunk(2)
        )
        await asyncio.sleep(pause_s)
        writer.write(chunk(3) + chunk(5))
        await writer.drain()
        return await asyncio.sleep(3600, result=False)

    engine.exchange = exchange


@then('direct path counts no failure of engine "{name}"')
def no_failure(context, name):
    view = context.direct.entry._state.choice.view(name)
    assert view.failure_rate == 0.0, view.failure_rate


@given(
    'direct path engine "{name}" is unresponsive until {after_s:g} s after the next '
    "request"
)
def engine_unresponsive(context, name, after_s):
    """Let the engine report nothing; its agent knows that when this returns."""
    system = context.direct
    engine = system.engines[name]
    agent = system.agents[name]
    engine.is_frozen = True
    assert system.wait(lambda: agent._is_engine_unresponsive)

    async def thaw():
        other = next(e for e in system.engines.values() if e is not engine)
        while not other.runs:
            await asyncio.sleep(0.01)
        await asyncio.sleep(after_s)
        engine.is_frozen = False

    asyncio.run_coroutine_threadsafe(thaw(), system.loop)


@when(
    'direct path caller of a stream for adapter "{adapter}" leaves after {after_s:g} s'
)
def caller_leaves(context, adapter, after_s):
    context.direct.send(
        "/stream/x", headers=headers(adapter), disconnect_after_s=after_s
    )
    # Long enough for another attempt that the entry should not begin.
    context.direct.run(asyncio.sleep(0.6))


@then("direct path counts no request in flight")
def none_in_flight(context):
    choice = context.direct.entry._state.choice
    in_flight = {name: choice.view(name).in_flight for name in context.direct.engines}
    assert not any(in_flight.values()), in_flight
