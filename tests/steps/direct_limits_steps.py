"""Steps for service retry budgets, the target directory, routes and crash suspects."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from lentiltally.decisions.crash_suspects import CrashSuspects
from lentiltally.decisions.crash_traits import (
    RequestTraits,
    request_fingerprint,
    suspect_relays,
)
from lentiltally.decisions.known_agents import KnownAgents
from lentiltally.decisions.route_table import RouteTable
from lentiltally.decisions.service_retry_budget import ServiceRetryBudget
from lentiltally.decisions.target_directory import TargetDirectory
from lentiltally.direct.model import (
    DesiredState,
    Route,
    RouteKind,
    TargetRecord,
    TargetStage,
    WeightedService,
)

NOW_S = 20.0
STAGES = {"ready": TargetStage.READY, "leaving": TargetStage.DRAINING}


def target(stage, start, sequence):
    return TargetRecord("t", "s", "10.0.0.1:80", "z", 1, STAGES[stage], start, sequence)


ONE_SERVICE = (WeightedService("s", 1.0),)


def route(name, prefix, services=ONE_SERVICE):
    return Route(
        name, "h", prefix, RouteKind.IDEMPOTENT, 1.0, 1.0, 0, services, 1, False, 0.0
    )


@then(
    "service retry budgets of 5 entries allow at most 0.2 of 400 requests and 50"
    " in 10 s"
)
def budgets(context):
    entries = [ServiceRetryBudget(0.2, 50.0, 10.0) for _ in range(5)]
    spent = 0
    for number in range(400):
        entry, now_s = entries[number % 5], NOW_S + number * 0.01
        entry.request_received(now_s)
        while entry.spend(5, now_s):
            spent += 1
    assert 50 <= spent <= 0.2 * 400 + 50, spent


@given("service retry budget that is used up")
def used_up_budget(context):
    context.budget = ServiceRetryBudget(0.2, 50.0, 10.0)
    while context.budget.spend(1, NOW_S):
        pass


@then("service retry budget allows a retry after 10 s")
def budget_available_again(context):
    assert not context.budget.spend(1, NOW_S + 9.9)
    assert context.budget.spend(1, NOW_S + 10.1)


@given("target directory with a ready target of start 5 and sequence 5")
def directory(context):
    context.directory = TargetDirectory()
    context.directory.updated(target("ready", 5, 5))


@given("target directory that reads {order} at one address, started at 5 and 8")
def one_address(context, order):
    starts = {"old": 5, "new": 8}
    context.directory = TargetDirectory()
    for name in order.split(","):
        record = replace(target("ready", starts[name], 1), target_id=name)
        context.directory.updated(record)


@then('target directory uses only "{name}"')
def uses_only(context, name):
    assert [r.target_id for r in context.directory.usable("s")] == [name]


@then('target directory finds "{name}" at the host for start {start:d}')
def finds(context, name, start):
    ip = target("ready", 1, 1).address.rpartition(":")[0]
    assert context.directory.find_at_host(ip, start) == name


@when('target directory removes "{name}"')
def removes(context, name):
    context.directory.removed(name, NOW_S)


@when("target directory reads {stage} of start {start:d} and sequence {sequence:d}")
def reads(context, stage, start, sequence):
    context.directory.updated(target(stage, start, sequence))


@when("target directory gets a list without the target after a store outage")
def missing_after_outage(context):
    context.directory.store_returned(NOW_S)
    context.directory.listed(set(), NOW_S)


@when("target directory gets a list without the target")
def missing(context):
    context.directory.listed(set(), NOW_S)


@then("target directory has {count:d} usable targets 2 s later")
def usable_later(context, count):
    context.directory.tick(NOW_S + 2.01)
    usable(context, count)


@then("target directory has {count:d} usable targets")
def usable(context, count):
    assert len(context.directory.usable("s")) == count


@then("route table finds these routes")
def finds_routes(context):
    routes = (route("a", "/a/"), route("ab", "/a/b/"))
    table = RouteTable(DesiredState(1, routes, {}))
    for row in context.table:
        found = table.match(row["host"], row["path"])
        assert (found.name if found else "none") == row["route"], row


@then("route table sends 850 to 950 of 1000 requests to the service of weight 90")
def divides(context):
    split = (WeightedService("x", 90.0), WeightedService("y", 10.0))
    names = [RouteTable.service(route("a", "/a/", split), f"r{n}") for n in range(1000)]
    assert 850 <= names.count("x") <= 950, names.count("x")


def example_fingerprint(body=b"body", adapter="m/a"):
    return request_fingerprint("h", b"/x", adapter, body)


def record_crashes(suspects, fingerprint, *starts, now_s=NOW_S):
    for start in starts:
        suspects.record_crash(RequestTraits(fingerprint), start, now_s)


@then(
    "crash suspects refuse a request after it crashed 2 targets, also under another id"
)
def refuses(context):
    context.suspects = CrashSuspects()
    for start in ("t1@1", "t1@1", "t2@1"):
        assert not context.suspects.contents.is_refused(example_fingerprint())
        record_crashes(context.suspects, example_fingerprint(), start)
    assert context.suspects.contents.is_refused(example_fingerprint())


@then("crash suspects refuse the same body also for another adapter")
def refuses_body(context):
    assert context.suspects.contents.is_refused(example_fingerprint(adapter="m/b"))


@then("crash suspects do not refuse another body, or none for another adapter")
def refuses_only_it(context):
    assert not context.suspects.contents.is_refused(example_fingerprint(b"other"))
    record_crashes(context.suspects, example_fingerprint(b""), "t1@1", "t2@1")
    assert context.suspects.contents.is_refused(example_fingerprint(b""))
    other = example_fingerprint(b"", adapter="m/b")
    assert not context.suspects.contents.is_refused(other)


@then("crash suspects do not refuse the same request of another account")
def refuses_only_caller(context):
    fingerprints = {
        request_fingerprint("h", b"/x", "m/a", b"body", account)
        for account in ("", "north", "south")
    }
    assert len(fingerprints) == 3
    # An entry of an earlier version names requests without an account as before.
    assert request_fingerprint("h", b"/x", "m/a", b"body", "") == example_fingerprint()
    for other in fingerprints - {example_fingerprint()}:
        assert not context.suspects.contents.is_refused(other)


@then("crash suspects clear a request that finished")
def clears_finished(context):
    context.suspects.contents.finished(example_fingerprint(), NOW_S)
    assert not context.suspects.contents.is_refused(example_fingerprint())


@given("crash suspects of an entry on which a request finished {age_s:g} s ago")
def equal_finished(context, age_s):
    context.suspects = CrashSuspects()
    context.suspects.contents.finished(example_fingerprint(), NOW_S - age_s)


@when("crash suspects record that 2 targets terminated while running equal requests")
def two_crashes(context):
    record_crashes(context.suspects, example_fingerprint(), "t1@1", "t2@1")


@then("crash suspects {verb} another equal request")
def refuses_equal_request(context, verb):
    is_refused = context.suspects.contents.is_refused(example_fingerprint())
    assert is_refused == (verb == "refuse")


@then(
    "crash suspects of {count:d} requests go through {relays:d} of {agents:d} agents "
    "each and over {total:d} in total"
)
def relayed(context, count, relays, agents, total):
    names = [f"10.0.0.{n}" for n in range(agents)]
    chosen = [suspect_relays(names, fingerprint) for fingerprint in range(count)]
    again = [suspect_relays(reversed(names), n) for n in range(count)]
    assert chosen == again
    assert all(len(set(agents_of_one)) == relays for agents_of_one in chosen)
    assert len({name for names in chosen for name in names}) > total


@then("crash suspects go through 3 of 4 answering agents, of {agents:d} in all")
def relayed_by_answering(context, agents):
    names = [f"10.0.0.{n}" for n in range(agents)]
    for fingerprint in range(20):
        relays = suspect_relays(names, fingerprint, set(names[10:14]))
        assert len(relays) == 3 and set(relays) < set(names[10:14])


@then(
    "crash suspects go through 2 answering agents and another one, of {agents:d} in all"
)
def relayed_by_others_too(context, agents):
    names = [f"10.0.0.{n}" for n in range(agents)]
    for fingerprint in range(20):
        relays = suspect_relays(names, fingerprint, set(names[10:12]))
        assert len(set(relays)) == 3 and set(relays) > set(names[10:12])


@then(
    "known agents keep a host {kept_s:g} s after its engine was listed, and not "
    "{dropped_s:g} s after"
)
def keeps_hosts(context, kept_s, dropped_s):
    agents = KnownAgents()
    agents.seen(["10.0.0.1"], 0.0)
    agents.seen([], kept_s)
    assert agents.hosts() == {"10.0.0.1"}
    agents.seen([], dropped_s)
    assert agents.hosts() == set()
