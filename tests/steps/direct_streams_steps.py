"""Steps for streams and adapters on the direct path."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from lentiltally.direct.messages import adapter_mark
from tests.fakes.direct import HOST, DirectSystem, configuration, route

SLOTS = 2


@given("direct path with a store, a configuration and two engines of 2 adapter slots")
def engine_system(context):
    system = context.direct = DirectSystem()
    context.add_cleanup(system.close)
    system.start_store()
    system.configure(configuration(3, adapter_slots=SLOTS))
    for name in ("e1", "e2"):
        system.add_target(name, service="llm", model="m", slots=SLOTS)
    system.start_entry()
    for name in ("e1", "e2"):
        system.start_agent(name)
    assert system.wait_ready()


def llm_engines(context):
    return list(context.direct.engines.values())


@given('direct path engines hold "{adapter}"')
def engines_hold(context, adapter):
    def load():
        for engine in llm_engines(context):
            engine.adapters[adapter] = 1

    system = context.direct
    system.call(load)
    assert system.wait(
        lambda: all(adapter_mark(f"m/{adapter}") in held for held in held_marks(system))
    )


@given("direct path engines take {event_s:f} s an event")
def engines_slow(context, event_s):
    for engine in llm_engines(context):
        engine.event_s = event_s


@given("direct path engines answer the next order late")
def orders_late(context):
    for engine in llm_engines(context):
        engine.order_script.append("late")


@given("direct path agents are gone")
def agents_gone(context):
    system = context.direct

    def stop():
        for stop_signal, task in system._started[1:]:
            stop_signal.request()
            task.cancel()

    system.call(stop)
    system.run(asyncio.sleep(1.7))


@when('direct path gets a stream from "{path}" for adapter "{adapter}"')
def gets_stream(context, path, adapter):
    context.answer = context.direct.send(path, headers=headers(adapter))


@when(
    'direct path gets a stream from "{path}" for adapter "{adapter}" after event {n:d}'
)
def gets_rest(context, path, adapter, n):
    fields = {**headers(adapter), "Last-Event-Id": str(n)}
    context.answer = context.direct.send(path, headers=fields)


@when("direct path gets streams for {count:d} adapters at once")
def gets_streams(context, count):
    system = context.direct

    async def act():
        requests = [
            system.request("/stream/x", f"s{n}", headers=headers(f"a{n}"))
            for n in range(count)
        ]
        return await asyncio.gather(*requests)

    context.answers = system.run(act())


@when('direct path learns of version {version:d} of "{adapter}"')
def learns_version(context, version, adapter):
    system = context.direct
    notice = {"model": "m", "adapter": adapter, "version": version}

    def name_version():
        for engine in llm_engines(context):
            engine.versions[adapter] = version
        system.store.put_json("keyed.op", f"version/m.{adapter}", notice)

    system.call(name_version)
    known = system.entry._state.newest_version
    assert system.wait(lambda: known(f"m/{adapter}") is not None)
    agents = system.agents.values()
    assert system.wait(lambda: all(_knows(agent, adapter, version) for agent in agents))


def _knows(agent, adapter, version):
    return agent._slots._newest.get(f"m/{adapter}") == version


@when("direct path agents lose what they read of versions")
def agents_lose_versions(context):
    system = context.direct

    def lose():
        for agent in system.agents.values():
            agent._slots._newest.clear()

    system.call(lose)


@when("direct path engines start anew")
def engines_restart(context):
    def restart():
        for engine in llm_engines(context):
            engine.restart()

    system = context.direct
    system.call(restart)
    mark = adapter_mark("m/a1")
    assert system.wait(lambda: all(mark not in held for held in held_marks(system)))


@then("direct path delivered the events {first:d} to {last:d} whole")
def delivered(context, first, last):
    answer = context.answer
    assert answer.status == 200, (answer.status, answer.body)
    assert answer.is_whole
    assert answer.event_ids() == list(range(first, last + 1)), answer.event_ids()


@then("direct path delivered the events {first:d} to {last:d} and broke off")
def delivered_part(context, first, last):
    assert context.answer.event_ids() == list(range(first, last + 1))
    assert not context.answer.is_whole


@then("direct path delivered every stream whole or refused it as not executed")
def delivered_or_refused(context):
    ran = {run.request_id for engine in llm_engines(context) for run in engine.runs}
    served = 0
    for number, answer in enumerate(context.answers):
        assert answer.is_whole, (answer.status, answer.body)
        if answer.status == 503:
            assert json.loads(answer.body)["executed"] == "no"
            assert f"s{number}" not in ran
        else:
            assert answer.event_ids() == [1, 2, 3, 4, 5], answer.event_ids()
            served += 1
    # Four slots in all: the requests that hold them at first must be served.
    assert served >= 2 * SLOTS, served


@then('direct path loaded "{adapter}" on {count:d} engine')
def loaded_on(context, adapter, count):
    loads = [
        o for e in llm_engines(context) for o in e.orders if o["adapter"] == adapter
    ]
    assert len(loads) == count, loads


@then("direct path resumed after event {number:d}")
def resumed(context, number):
    runs = [run for engine in llm_engines(context) for run in engine.runs]
    after = [run.headers.get("last-event-id") for run in runs]
    assert sorted(after, key=str) == [str(number), None], after


@then("direct path engines were never over their slots")
def within_slots(context):
    assert not any(engine.has_crashed for engine in llm_engines(context))


@then("direct path unloaded nothing that was in use")
def unloaded_idle_only(context):
    # A stream whose adapter is unloaded is refused by the stand-in, and none was.
    assert not [name for engine in llm_engines(context) for name in engine.refused]


@then("direct path ran it on version {version:d}")
def ran_version(context, version):
    ran = [e for e in llm_engines(context) if e.runs]
    assert [engine.adapters["a1"] for engine in ran] == [version]


def headers(adapter):
    return {"X-Model": f"m/{adapter}", "X-Token-Counts": "100,20"}


def held_marks(system):
    state = system.entry._state
    views = [state.choice.view(name) for name in system.engines]
    return [view.state.held if view.state else () for view in views]


@given("direct path entry has not heard of the agents")
def not_heard(context):
    system = context.direct

    def forget():
        system.entry._say_hello = lambda: None
        for name in system.engines:
            system.entry._state.choice.forget(name)
        system.entry._state.choice.state_received = lambda *state: None

    system.call(forget)


@then("direct path engines refused nothing")
def refused_nothing(context):
    assert not [name for engine in llm_engines(context) for name in engine.refused]


@when(
    'direct path gets a stream from "{path}" by a caller who leaves after {after_s:f} s'
)
def gets_and_leaves(context, path, after_s):
    context.direct.send(path, headers=headers("a1"), leave_after_s=after_s)


@then("direct path stream is dropped at its engine within {within_s:f} s")
def dropped(context, within_s):
    engines = llm_engines(context)
    left = context.direct.wait(lambda: any(e.left for e in engines), within_s)
    assert left


@when("direct path engines start anew under another id")
def engines_restart_anew(context):
    system = context.direct

    def restart():
        for name, engine in list(system.engines.items()):
            engine.order_instances.clear()
            system.store.put("keyed.servers", engine.name, None)
            engine.name = f"{name}-anew"
            engine.restart()
            system.engines[engine.name] = system.engines.pop(name)

    system.call(restart)
    for name in list(system.engines):
        system.announce(name)
    assert system.wait_ready()


@then("direct path orders named the engine's start")
def orders_named_start(context):
    orders = [
        order for engine in llm_engines(context) for order in engine.order_instances
    ]
    assert orders
    assert all(expected == name for expected, name in orders), orders


@given("direct path engines take {load_s:f} s to load an adapter")
def loads_slow(context, load_s):
    for engine in llm_engines(context):
        engine.load_s = load_s


@when(
    'direct path gets a stream for adapter "{adapter}" whose engine leaves during the '
    "load"
)
def leaves_during_load(context, adapter):
    system = context.direct
    call = asyncio.run_coroutine_threadsafe(
        system.request("/stream/x", "s1", headers=headers(adapter)), system.loop
    )
    assert system.wait(lambda: any(e.loading for e in llm_engines(context)))
    (context.left,) = [e for e in llm_engines(context) if e.loading]
    system.announce(context.left.name, state="draining")
    context.answer = call.result(20)


@then("direct path engine that left ran nothing")
def left_ran_nothing(context):
    assert context.left.runs == [], context.left.runs


@when("direct path is told to stop during a stream and gets another request behind it")
def stops_during_stream(context):
    system = context.direct
    routes = [route("stream", "streaming", "llm", timeoutMs=9000)]
    changed = configuration(4, routes, adapter_slots=SLOTS)
    system.call(lambda: system.store.put_json("keyed.op", "config", changed))
    assert system.wait(lambda: system.entry._state.table.state.version == 4)

    def request_bytes(request_id):
        fields = {"Host": HOST, "X-Request-Id": request_id, **headers("a1")}
        lines = ["GET /stream/x HTTP/1.1", *(f"{n}: {v}" for n, v in fields.items())]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def act():
        reader, writer = await asyncio.open_connection(
            system.entry_address.ip, system.entry_address.port
        )
        writer.write(request_bytes("first"))
        received = await reader.readuntil(b"id: 1\n")
        stop_signal, _ = system._started[0]
        stop_signal.request()
        writer.write(request_bytes("behind"))
        async with asyncio.timeout(10.0):
            received += await reader.read()
        writer.transport.abort()
        return received

    context.received = system.run(act())


@then("direct path refused the request behind it as not executed and closed")
def refused_behind(context):
    first, _, behind = context.received.partition(b"HTTP/1.1 503")
    assert first.startswith(b"HTTP/1.1 200") and b"id: 5\n" in first, first
    assert b'"executed":"no"' in behind, context.received
    assert b"problem:stopping" in behind, behind
    assert b"Connection: close" in behind, behind
