"""Steps for the stand-ins without their HTTP layer."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import msgspec
from behave import given, then, when

from lentiltally.clock import ManualClock
from standins import (
    EngineSettings,
    Host,
    LogSettings,
    WeightStoreSettings,
)
from standins.engine_core import EngineCore
from standins.engine_state import ExecutionRequest
from standins.host_list import HostListCore
from standins.log_core import LogCore, RateExceededError, TruncatedError
from standins.weight_store import WeightStoreCore

START = datetime(2026, 1, 1, tzinfo=UTC)


def split_names(text):
    return [] if text == "nothing" else text.split()


@when("standin clock advances by {seconds:g} s")
def clock_advances(context, seconds):
    context.clock.advance(timedelta(seconds=seconds))


def create_core(context, core, settings, *more):
    context.clock = ManualClock(START)
    context.core = core(settings, *more, context.clock)


# Engine core


@given("standin engine core with {slots:d} batch slots")
def core_with_slots(context, slots):
    create_core(context, EngineCore, EngineSettings(batch_places=slots))


@given("standin engine core that {enforces} fencing tokens")
def core_fencing(context, enforces):
    settings = EngineSettings(enforces_fencing=enforces == "enforces")
    create_core(context, EngineCore, settings)


@when("standin engine core receives the requests")
def core_receives_requests(context):
    for row in context.table:
        tokens, priority = int(row["tokens"]), float(row["priority"])
        model = row.get("model", "base")
        request = ExecutionRequest(
            row["id"], model, "", tokens, tokens, priority, False, False, b""
        )
        assert context.core.submit(request)


@when("standin engine core cancels {name}")
def core_cancels(context, name):
    context.core.cancel(name)


@when("standin engine core unloads {name}")
def core_unloads(context, name):
    assert context.core.unload(name) == 200


@when("standin engine core receives orders with the tokens {tokens}")
def core_orders(context, tokens):
    context.orders = [
        (
            token,
            context.core.record_order(
                "role", "", None if token == "none" else int(token)
            ),
        )
        for token in tokens.split()
    ]


@when("standin engine core is ordered to load {names}")
def core_loads(context, names):
    core = context.core
    context.statuses = []
    for name in names.split():
        context.statuses.append(core.begin_load(name))
        if context.statuses[-1] == 200:
            core.end_load(name, name, core.incarnation, loaded=True)


@when("standin engine core caches {count:d} prefixes")
def core_caches(context, count):
    for number in range(count):
        context.core.cache.record_use("base", f"prompt {number}")


@then("standin engine core runs in successive steps {steps}")
def core_runs(context, steps):
    for expected in steps.split(", "):
        entries = context.core.journal.executions
        running = [e.request_id for e in entries if e.outcome == "running"]
        assert running == split_names(expected), (running, expected)
        context.core.step()


@then("standin engine core's executions ended as {outcomes}")
def core_ended(context, outcomes):
    found = []
    for entry in context.core.journal.executions:
        early = " before its start" if entry.started_s is None else ""
        found.append(f"{entry.request_id} {entry.outcome}{early}")
    assert ", ".join(found) == outcomes, found


@then("standin engine core has one violation, {kind} of {name} by {users}")
def core_violation(context, kind, name, users):
    [violation] = context.core.journal.violations
    found = (violation.violation, violation.name, violation.request_ids)
    assert found == (kind, name, users.split()), found


@then("standin engine core marks as outdated {outdated} and refuses {refused}")
def core_outdated(context, outdated, refused):
    found = [token for token, order in context.orders if order.outdated]
    assert found == split_names(outdated), found
    found = [token for token, order in context.orders if order.status == 412]
    assert found == split_names(refused), found


@then(
    "standin engine core reports {queued:d} queued, {running:d} running and token "
    "{token:d}"
)
def core_load(context, queued, running, token):
    report = context.core.load_report()
    found = (report.queued, report.running, report.fencing_token)
    assert found == (queued, running, token), report


@then("standin engine core answers the orders with {statuses}")
def core_answers(context, statuses):
    assert context.statuses == [int(s) for s in statuses.split()], context.statuses


@then("standin engine core publishes the cache events {ids}")
def core_events(context, ids):
    found = [str(event.id) for event in context.core.cache.events_after(0)]
    assert found == split_names(ids), found


# Log, host list, weight store


@given("standin log core with max_records {records:d} and max_age_s {age:g}")
def log_retains(context, records, age):
    create_core(context, LogCore, LogSettings(max_records=records, max_age_s=age))


@given("standin log core with {rate:d} appends per s")
def log_rate(context, rate):
    settings = LogSettings(appends_per_s=rate, append_burst=rate)
    create_core(context, LogCore, settings)


@when("standin log core receives appends after waits in seconds of {waits}")
def log_appends(context, waits):
    context.results = []
    for wait in waits.split():
        clock_advances(context, float(wait))
        try:
            context.core.append("s", [msgspec.Raw(b"1")])
            context.results.append("accepted")
        except RateExceededError:
            context.results.append("refused")


@then("standin log core retains the offsets {first:d} to {next_offset:d}")
def log_bounds(context, first, next_offset):
    assert context.core.bounds("s") == (first, next_offset), context.core.bounds("s")
    records, _, _ = context.core.read("s", first, 100, 0.0)
    assert [r.offset for r in records] == list(range(first, next_offset))
    try:
        context.core.read("s", first - 1, 100, 0.0)
    except TruncatedError as error:
        assert error.first_offset == first
    else:
        raise AssertionError("a read below the first retained offset was answered")


@then("standin log core's appends were {results}")
def log_results(context, results):
    assert context.results == results.split(), context.results


def hosts_of(names):
    return [Host(name, "127.0.0.1", "agent", "r", "f") for name in names.split()]


@given("standin hosts core with a lag of {lag:d} s and the hosts {names}")
def hosts_core(context, lag, names):
    create_core(context, HostListCore, hosts_of(names), lag)


@when("standin hosts core is set to {names}")
def hosts_set(context, names):
    context.core.put(hosts_of(names))


@then("standin hosts core shows {names}")
def hosts_shown(context, names):
    assert [h.host for h in context.core.visible()] == names.split()


@given("standin weights core with at most {starts:g} starts per s")
def weights_core(context, starts):
    create_core(context, WeightStoreCore, WeightStoreSettings(starts_per_s=starts))


@when("standin weights core starts {count:d} loads")
def weights_loads(context, count):
    context.loads = [context.core.begin() for _ in range(count)]


@then("standin weights core gives loads {first:d} and {last:d} the durations {times}")
def weights_times(context, first, last, times):
    found = [context.loads[number - 1][0] for number in (first, last)]
    assert found == [float(time) for time in times.split(" and ")], found
