"""Steps for streams and adapters on the direct path."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from lentiltally.direct.messages import adapter_key_hash
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


@given('direct path engines have "{adapter}" loaded')
def engines_loaded(context, adapter):
    def load():
        for engine in llm_engines(context):
            engine.adapters[adapter] = 1

    system = context.direct
    system.call(load)
    assert system.wait(
        lambda: all(
            adapter_key_hash(f"m/{adapter}") in loaded
            for loaded in loaded_hashes(system)
        )
    )


@given("direct path engines take {event_s:f} s per event")
def engines_slow(context, event_s):
    for engine in llm_engines(context):
        engine.event_s = event_s


@given("direct path engines answer the next order late")
def orders_late(context):
    for engine in llm_engines(context):
        engine.order_script.append("late")


@given("direct path agents are down")
def agents_down(context):
    system = context.direct

    def stop():
        for stop_signal, _ in system._started[1:]:
            stop_signal.request()

    system.call(stop)
    assert system.wait(lambda: all(task.done() for _, task in system._started[1:]))
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


@when('direct path gets the announcement of version {version:d} of "{adapter}"')
def version_announced(context, version, adapter):
    system = context.direct
    notice = {"model": "m", "adapter": adapter, "version": version}

    def announce_version():
        for engine in llm_engines(context):
            engine.versions[adapter] = version
        system.store.put_json("keyed.op", f"version/m.{adapter}", notice)

    system.call(announce_version)
    known = system.entry._state.newest_version
    assert system.wait(lambda: known(f"m/{adapter}") is not None)
    agents = system.agents.values()
    assert system.wait(lambda: all(_knows(agent, adapter, version) for agent in agents))


def _knows(agent, adapter, version):
    return agent._slots._newest_versions.get(f"m/{adapter}") == version


@when("direct path agents forget the announced versions")
def agents_forget_versions(context):
    system = context.direct

    def forget():
        for agent in system.agents.values():
            agent._slots._newest_versions.clear()

    system.call(forget)


@when("direct path engines restart")
def engines_restart(context):
    def restart():
        for engine in llm_engines(context):
            engine.restart()

    system = context.direct
    system.call(restart)
    key_hash = adapter_key_hash("m/a1")
    assert system.wait(
        lambda: all(key_hash not in loaded for loaded in loaded_hashes(system))
    )


@then("direct path delivered the events {first:d} to {last:d} completely")
def delivered(context, first, last):
    answer = context.answer
    assert answer.status == 200, (answer.status, answer.body)
    assert answer.is_complete
    assert answer.event_ids() == list(range(first, last + 1)), answer.event_ids()


@then("direct path delivered the events {first:d} to {last:d} and aborted")
def delivered_and_aborted(context, first, last):
    assert context.answer.event_ids() == list(range(first, last + 1))
    assert not context.answer.is_complete


@then("direct path delivered every stream completely or refused it as not executed")
def delivered_or_refused(context):
    ran = {run.request_id for engine in llm_engines(context) for run in engine.runs}
    served = 0
    for number, answer in enumerate(context.answers):
        assert answer.is_complete, (answer.status, answer.body)
        if answer.status == 503:
            assert json.loads(answer.body)["executed"] == "no"
            assert f"s{number}" not in ran
        else:
            assert answer.event_ids() == [1, 2, 3, 4, 5], answer.event_ids()
            served += 1
    # There are four slots in total: the requests that get them first must be served.
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


@then("direct path engines never exceeded their slots")
def within_slots(context):
    assert not any(engine.has_crashed for engine in llm_engines(context))


@then("direct path unloaded no adapter in use")
def unloaded_none_in_use(context):
    # The stand-in refuses a stream whose adapter was unloaded.
    assert not [name for engine in llm_engines(context) for name in engine.refused]


@then("direct path ran the request on version {version:d}")
def ran_version(context, version):
    ran = [e for e in llm_engines(context) if e.runs]
    assert [engine.adapters["a1"] for engine in ran] == [version]


def headers(adapter):
    return {"X-Model": f"m/{adapter}", "X-Token-Counts": "100,20"}


def loaded_hashes(system):
    state = system.entry._state
    views = [state.choice.view(name) for name in system.engines]
    return [view.state.loaded if view.state else () for view in views]


@given("direct path entry has received no engine states")
def no_engine_states(context):
    system = context.direct

    def drop_states():
        system.entry._subscriber.renew = lambda: None
        for name in system.engines:
            system.entry._state.choice.forget(name)
        system.entry._state.choice.state_received = lambda *state: None

    system.call(drop_states)


@then("direct path engines rejected no request")
def rejected_no_request(context):
    assert not [name for engine in llm_engines(context) for name in engine.refused]


@when(
    'direct path gets a stream from "{path}" by a caller that disconnects '
    "after {after_s:f} s"
)
def gets_and_disconnects(context, path, after_s):
    context.direct.send(path, headers=headers("a1"), disconnect_after_s=after_s)


@then("direct path stream is cancelled at its engine within {within_s:f} s")
def cancelled_at_engine(context, within_s):
    engines = llm_engines(context)
    is_cancelled = context.direct.wait(
        lambda: any(e.abandoned_requests for e in engines), within_s
    )
    assert is_cancelled


@when("direct path engines restart under another id")
def engines_restart_under_id(context):
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


@then("direct path orders named the engine's current run")
def orders_named_run(context):
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
    'direct path gets a stream for adapter "{adapter}" whose engine drains during the '
    "load"
)
def drains_during_load(context, adapter):
    system = context.direct
    call = asyncio.run_coroutine_threadsafe(
        system.request("/stream/x", "s1", headers=headers(adapter)), system.loop
    )
    assert system.wait(lambda: any(e.loading for e in llm_engines(context)))
    (context.draining,) = [e for e in llm_engines(context) if e.loading]
    system.announce(context.draining.name, state="draining")
    context.answer = call.result(20)


@then("direct path draining engine ran no request")
def draining_ran_no_request(context):
    assert context.draining.runs == [], context.draining.runs


@when("direct path is asked to stop during a stream and gets a pipelined request")
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
        writer.write(request_bytes("pipelined"))
        async with asyncio.timeout(10.0):
            received += await reader.read()
        writer.transport.abort()
        return received

    context.received = system.run(act())


@then("direct path refused the pipelined request as not executed and closed")
def refused_pipelined(context):
    first, _, pipelined = context.received.partition(b"HTTP/1.1 503")
    assert first.startswith(b"HTTP/1.1 200") and b"id: 5\n" in first, first
    assert b'"executed":"no"' in pipelined, context.received
    assert b"problem:stopping" in pipelined, pipelined
    assert b"Connection: close" in pipelined, pipelined
