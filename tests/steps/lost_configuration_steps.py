"""Steps for configurations that a restored store has lost."""

from __future__ import annotations

import time
from dataclasses import replace

from behave import given, then, when

from lentiltally.direct.settings import SocketAddress
from tests.fakes.direct import OTHER_ENTRY_IP
from tests.steps.store_eras_steps import (
    AGENTS,
    FIRST,
    KEY,
    SECOND,
    THIRD,
    begin,
    document,
    other_entry_back,
    put_notice,
    statuses,
    wait_for,
)
from tools._ports import free_port

REVOCATION_S = 1.5
OTHER_KEY = {"Authorization": "Bearer k2"}


@given("store eras of a system with accounts and agents")
def with_accounts_and_agents(context):
    begin(context, ["k1", "k2"])
    system = context.direct
    system.bounds = replace(system.bounds, revocation_s=REVOCATION_S)
    for name in AGENTS:
        system.add_target(name, service="llm", model="m", slots=2)
    system.start_entry()
    for name in AGENTS:
        system.start_agent(name)
    assert system.wait_ready()
    system.start_other_entry()


@given("store eras have a copy, and a key was taken away after it at the first entry")
def key_taken_away_at_first(context):
    system = context.direct
    system.call(system.store.take_copy)
    system.configure(document(SECOND, ["k2"]))
    context.revoked_s = time.monotonic()
    assert system.wait(lambda: system.entry._state.config_version == SECOND)
    # The entry that runs on tells the agents.
    time.sleep(2.2)


@given("store eras have a copy, and a route was taken away after it")
def route_taken_away(context):
    system = context.direct
    system.configure(document(SECOND))
    wait_for(context, "/two/x", 200, 5.0)
    system.call(system.store.take_copy)
    context.without_route = {**document(FIRST), "version": THIRD}
    system.configure(context.without_route)
    wait_for(context, "/two/x", 404, 5.0)


@given("store eras have two routes at all entries")
def two_routes(context):
    context.direct.configure(document(SECOND))
    wait_for(context, "/two/x", 200, 5.0)


@given("store eras have a copy, and a route was taken away after it at the first entry")
def route_taken_away_at_first(context):
    system = context.direct
    system.call(system.store.take_copy)
    context.without_route = {**document(FIRST), "version": THIRD}
    system.configure(context.without_route)
    assert system.wait(lambda: system.entry._state.config_version == THIRD)
    # The entry that runs on tells the agents.
    time.sleep(2.2)


@then("store eras have no request run on the route after 1 s for {for_s:d} s")
def route_runs_nothing_later(context, for_s):
    time.sleep(1.0)
    runs_nothing(context, "/two/x", {}, for_s)


@given(
    "store eras have a copy with version 1 of an adapter, and version 2 came after it"
)
def adapter_versions(context):
    system = context.direct
    system.call(lambda: put_notice(context, "a1", 1))
    time.sleep(0.5)
    system.call(system.store.take_copy)
    system.call(lambda: put_notice(context, "a1", 2))
    assert system.wait(
        lambda: all(
            a._slots.newest_versions.get("m/a1") == 2 for a in system.agents.values()
        )
    )


def start_anew(context, agents, *, both_entries):
    """End agents and entries, and start those again that are not only to end."""
    system = context.direct
    for name in agents:
        system.kill(system.agents[name])
    system.kill(system.other_entry)
    if both_entries:
        system.kill(system.entry)
        system.start_entry()
    for name in agents:
        system.start_agent(name)
    start_other(system)


def start_other(system):
    """Start the other entry; it need not get ready."""
    ip = OTHER_ENTRY_IP
    settings = system.settings(
        "entry-2",
        ip,
        callers=SocketAddress(ip, free_port(ip)),
        readiness=SocketAddress(ip, free_port(ip)),
    )
    system.other_entry = system._start_entry(settings)


@when("store eras have the other entry started anew")
def other_anew(context):
    start_anew(context, (), both_entries=False)


@when("store eras have both entries started anew")
def both_anew(context):
    start_anew(context, (), both_entries=True)


@when("store eras have all agents and the other entry started anew")
def agents_and_other_anew(context):
    start_anew(context, AGENTS, both_entries=False)


@when("store eras have all agents but one and both entries started anew")
def agents_but_one_anew(context):
    start_anew(context, AGENTS[1:], both_entries=True)


@when("store eras have all agents and both entries started anew")
def all_anew(context):
    start_anew(context, AGENTS, both_entries=True)


@when("store eras have the other entry started anew beside agents that ended")
def beside_ended_agents(context):
    # The copy names the engines, and one agent of three is left.
    for name in AGENTS[1:]:
        context.direct.kill(context.direct.agents[name])
    start_anew(context, (), both_entries=False)


@when("store eras have one agent and the other entry started anew, and no other engine")
def one_agent_anew(context):
    system = context.direct
    for name in AGENTS[1:]:
        system.call(system.engines[name].stop)
    start_anew(context, AGENTS[:1], both_entries=False)


@then("store eras have the agent order version 2 only")
def orders_version(context):
    system = context.direct
    address = system.other_entry._settings.callers
    headers = {"X-Model": "m/a1", "X-Token-Counts": "10,5"}
    engine = system.engines["e1"]
    for number in range(20):
        system.run(
            system.request("/llm/x", f"v{number}", headers=headers, address=address)
        )
        if engine.orders:
            break
        time.sleep(0.2)
    versions = [order.get("version") for order in engine.orders]
    assert versions and set(versions) == {2}, versions


@when("store eras have all written again")
def written_again(context):
    context.direct.configure(document(SECOND, ["k2"]))


@when("store eras have all written again without the route")
def written_again_without_route(context):
    context.direct.configure(context.without_route)


@then("store eras have no request run with the key for {for_s:d} s")
def key_runs_nothing(context, for_s):
    runs_nothing(context, "/one/x", KEY, for_s)


@then("store eras have no request run on the route for {for_s:d} s")
def route_runs_nothing(context, for_s):
    runs_nothing(context, "/two/x", {}, for_s)


@then(
    "store eras have no request run with the key for {for_s:d} s, later than the bound"
)
def key_runs_nothing_late(context, for_s):
    time.sleep(max(0.0, context.revoked_s + REVOCATION_S - time.monotonic()))
    runs_nothing(context, "/one/x", KEY, for_s)


def runs_nothing(context, path, headers, for_s):
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        assert 200 not in statuses(context, path, headers)
        time.sleep(0.02)


@then("store eras have all entries serve the other key within {within_s:d} s")
def serve_other_key(context, within_s):
    wait_for(context, "/one/x", 200, within_s, OTHER_KEY)


@then("store eras have all entries serve the first route within {within_s:d} s")
def serve_first_route(context, within_s):
    wait_for(context, "/one/x", 200, within_s)


@given("store eras have agents out of reach of the other entry")
def cut_off_from_agents(context):
    peers = context.direct.other_entry._peers
    context.datagrams = peers.send_all, peers.datagram_received
    peers.send_all = lambda addresses, message: None
    peers.datagram_received = lambda data, addr: None


@when("store eras have all in touch with the other entry again")
def in_touch_again(context):
    peers = context.direct.other_entry._peers
    peers.send_all, peers.datagram_received = context.datagrams
    other_entry_back(context, "cut off from the store")
