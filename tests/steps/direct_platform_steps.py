"""Steps for the direct path: the platform's store, stop signals and metrics."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import urllib3
from behave import given, then, when

from tests.fakes.direct import HOST, configuration, route


@when('direct path reads version 5 without the route "safe", then version 4 with it')
def reads_versions(context):
    system = context.direct
    routes = [route("once", "unsafe", "plain", attempts=1)]
    system.configure(configuration(5, routes))
    system.configure(configuration(4))
    assert system.wait(lambda: system.entry._state.table.state.version == 5)
    system.run(asyncio.sleep(0.1))


@given(
    "direct path has reloaded settings with {stop_s:g} s to stop, and requests may "
    "take {timeout_s:d} s"
)
def reloaded(context, stop_s, timeout_s):
    system = context.direct
    system.bounds = replace(system.bounds, stop_s=stop_s)
    system.call(system.entry.reload)
    routes = [
        route(name, kind, "plain", attempts=1, timeoutMs=timeout_s * 1000)
        for name, kind in (("safe", "safe"), ("once", "unsafe"))
    ]
    system.configure(configuration(10, routes))
    assert system.wait(lambda: system.entry._state.table.state.version == 10)


@when('direct path store deletes its old records after version 6 without "safe"')
def deletes_records(context):
    system = context.direct
    routes = [route("once", "unsafe", "plain", attempts=1)]

    def change():
        system.store.put_json("keyed.op", "config", configuration(6, routes))
        system.store.put_json("keyed.op", "other", {})
        system.store.compact_topic("keyed.op")

    system.call(change)
    assert system.wait(lambda: system.entry._state.table.state.version == 6)


@when('direct path store loses its first answer with version 5 without "safe"')
def loses_answer(context):
    system = context.direct
    routes = [route("once", "unsafe", "plain", attempts=1)]

    def change():
        system.store.long_polls_to_lose = 1
        system.store.put_json("keyed.op", "config", configuration(5, routes))

    assert system.wait(lambda: system.store.open_long_polls > 0), "no read waits"
    system.call(change)


@then('direct path answers "{path}" with 404 within its bound of 2 s')
def answers_404_in_time(context, path):
    system = context.direct
    bound_s = system.entry._state.bounds.configuration_s
    assert bound_s == 2.0, bound_s
    system.wait(lambda: system.entry._state.table.state.version == 5, 2.0)
    answer = system.send(path)
    assert answer.status == 404, (answer.status, system.store.long_polls_to_lose)
    assert system.store.long_polls_to_lose == 0, "the answer was not lost"


@when('direct path target "{name}" announces that it drains')
def announces_drain(context, name):
    context.direct.announce(name, state="draining")


@when('direct path target "{name}" is removed from the list')
def is_removed(context, name):
    context.direct.withdraw(name)


@when('direct path target "{name}" gets an undecodable record')
def gets_undecodable_record(context, name):
    context.direct.announce(name, state=7)


@when('direct path reads a stale record of "{name}"')
def stale_record(context, name):
    system = context.direct
    directory = system.entry._state.directory
    assert system.wait(
        lambda: not directory.usable("plain") or len(directory.usable("plain")) < 2
    )
    system.announce(name, sequence=1)
    system.announce(name, sequence=10_000)


@when("direct path is asked to stop while a request runs for {run_s:f} s")
def asked_to_stop(context, run_s):
    system = context.direct
    for engine in system.engines.values():
        engine.answer_after_s = run_s

    async def act():
        request = asyncio.ensure_future(system.request("/once/x", body=b"b"))
        await asyncio.sleep(0.1)
        stop_signal, process = system._started[0]
        stop_signal.request()
        answer = await request
        return answer, process.done()

    context.answer, context.has_exited = system.run(act())


@then("direct path entry had not exited before the answer")
def had_not_exited(context):
    # When a real process exits, it cuts off requests that are still running.
    assert not context.has_exited


@then("direct path readiness is {status:d}")
def readiness(context, status):
    url = f"http://{context.direct.readiness}/-/readiness"
    assert urllib3.request("GET", url, retries=False).status == status


@then("direct path metrics of the entry count 1 answered request")
def metrics(context):
    line = 'lentiltally_request_seconds_count{kind="idempotent",outcome="answered"} 1.0'
    assert_metric(context.direct.metrics, line)


@then("direct path metrics of one agent count 1 load and 1 adapter granted")
def agent_metrics(context):
    pages = [page_of(address) for address in context.direct.agent_metrics]
    for line in (
        'lentiltally_orders_total{order="load",status="202"} 1.0',
        'lentiltally_adapter_wait_seconds_count{outcome="granted"} 1.0',
    ):
        assert sum(line in page.splitlines() for page in pages) == 1, pages


@when("direct path drops {count:d} log lines")
def drops_lines(context, count):
    context.direct.entry.track_dropped_lines(lambda: float(count))


@then("direct path metrics of the entry count {count:d} dropped log lines")
def dropped_lines(context, count):
    assert_metric(context.direct.metrics, f"lentiltally_log_lines_dropped {count:.1f}")


def assert_metric(address, line):
    page = page_of(address)
    assert line in page.splitlines(), page


def page_of(address):
    answer = urllib3.request("GET", f"http://{address}/metrics", retries=False)
    return answer.data.decode()


@when("direct path gets a request of {run_s:g} s with {count:d} bytes behind it")
def request_with_bytes_behind(context, run_s, count):
    system = context.direct
    for engine in system.engines.values():
        engine.answer_after_s = run_s
    fields = f"Host: {HOST}\r\nX-Request-Id"
    first = f"GET /once/x HTTP/1.1\r\n{fields}: r1\r\n\r\n"
    second = f"POST /once/x HTTP/1.1\r\n{fields}: r2\r\nContent-Length: {count}\r\n\r\n"
    data = (first + second).encode() + b"x" * count
    context.answer = system.run(system.raw(data))
