"""Steps for rights that agents hold for all entries, with real processes."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from behave import given, then, when

from lentiltally.decisions.allotment_holders import allotment_holders
from lentiltally.decisions.target_crashes import start_name
from lentiltally.decisions.target_limits import limit_owners
from tests.fakes.direct import DirectSystem, configuration
from tests.steps.direct_limits_of_targets_steps import send_in_turn

ACCOUNT, KEY = "desk", "key-of-the-desk"
WINDOW_S = 4.0
# An entry keeps a limit from half a second after the first answer that names it.
LEARNT_S = 0.5
# Pause between two moments in which an agent stands still.
PAUSE_S = 1.3
# On a busy machine the agents' agreement takes some tenths of a second.
AGREEMENT_TRIES = 30
# With this bound on draining, agents that have started ask others for 61 s.
SLOW_LIST_S = 60.0


@given("shared rights of {engines:d} engines and a plain target")
def system_of_engines(context, engines):
    start_system(context, engines, configuration(3))


@given(
    "shared rights of {engines:d} engines and a plain target, with an account of "
    "{rate:d} requests a second"
)
def system_with_account(context, engines, rate, **bounds):
    account = {
        "name": ACCOUNT,
        "apiKeys": [KEY],
        "unit": "requests",
        "ratePerS": rate,
        "burst": rate / 4,
    }
    document = {**configuration(3), "tenants": [account]}
    start_system(context, engines, document, **bounds)


@given(
    "shared rights of {engines:d} engines and a plain target, with an account of "
    "{rate:d} requests a second and slow lists"
)
def system_with_slow_lists(context, engines, rate):
    system_with_account(context, engines, rate, leaving_s=SLOW_LIST_S)
    system = context.direct
    roles = [agent._rights._held._role for agent in system.agents.values()]
    assert system.wait(lambda: all(role.position >= 0 for role in roles))


@given(
    "shared rights of {engines:d} engines and a plain target, with an account that is "
    "revoked within {within_s:d} s"
)
def system_with_revocation(context, engines, within_s):
    system_with_account(context, engines, 60, revocation_s=float(within_s))


def start_system(context, engines, document, **bounds):
    system = context.direct = DirectSystem()
    context.add_cleanup(system.close)
    # At 60 requests a second and a burst of 15 this allows 286 in 4 s.
    system.bounds = replace(
        system.bounds,
        limit_window_s=WINDOW_S,
        limit_tolerance=0.1,
        limit_slack=6.0,
        **bounds,
    )
    system.start_store()
    system.configure(document)
    names = [f"e{number}" for number in range(engines)]
    for name in names:
        system.add_target(name, service="llm", model="m", slots=2)
    system.add_target("p0")
    system.start_entry()
    for name in names:
        system.start_agent(name)
    assert system.wait_ready()


def limit_right(target):
    return start_name(target.name, target.born)


def lose(system, host):
    """End the engine at a host for good; its agent runs on."""
    (name,) = (name for name in system.agents if system.engines[name].ip == host)
    system.call(system.engines[name].stop)
    system.withdraw(name)
    del system.engines[name]
    entry = system.other_entry or system.entry
    assert system.wait(lambda: entry._state.directory.get(name) is None)


def hosts_of_agents(system):
    return [system.engines[name].ip for name in system.agents]


@given("shared rights lose the engine beside the first holder of the target's limit")
def lose_limit_holder(context):
    system = context.direct
    right = limit_right(system.engines["p0"])
    lose(system, limit_owners(hosts_of_agents(system), right)[0])


@given(
    "shared rights lose the engine beside the first holder of the account's allotment"
)
def lose_allotment_holder(context):
    system = context.direct
    lose(system, allotment_holders(hosts_of_agents(system), ACCOUNT)[0])


@given(
    "shared rights have the limit's first holder stand still for {for_s:g} s, "
    "{times:d} times"
)
def stands_still(context, for_s, times):
    system = context.direct
    right = limit_right(system.engines["p0"])
    host = limit_owners(hosts_of_agents(system), right)[0]
    (peers,) = (a._peers for a in system.agents.values() if a._settings.ip == host)

    async def stand_still():
        handler = peers._handler
        for _ in range(times):
            await asyncio.sleep(PAUSE_S)
            waiting = []
            peers._handler = lambda *message: waiting.append(message)  # noqa: B023
            await asyncio.sleep(for_s)
            peers._handler = handler
            for message in waiting:
                handler(*message)

    asyncio.run_coroutine_threadsafe(stand_still(), system.loop)


@given("shared rights have the first entry read the list no more")
def reads_no_more(context):
    context.direct.entry._targets.read_once = read_nothing


@given(
    "shared rights have the first holder of the account's allotment read the list no "
    "more"
)
def holder_reads_no_more(context):
    system = context.direct
    host = allotment_holders(hosts_of_agents(system), ACCOUNT)[0]
    (agent,) = (a for a in system.agents.values() if a._settings.ip == host)
    agent._reader.targets.read_once = read_nothing


async def read_nothing():
    await asyncio.Event().wait()


@when("shared rights get a request of the account")
def one_request_of_account(context):
    """Send a request, again for some time while no holder is agreed on."""
    headers = {"Authorization": f"Bearer {KEY}"}
    for number in range(AGREEMENT_TRIES):
        context.answer = context.direct.send(
            "/safe/x", request_id=f"n{number}", headers=headers
        )
        if b"allotment-unavailable" not in context.answer.body:
            return
        context.direct.run(asyncio.sleep(0.1))


@then("shared rights answer 200, and the holders have the agreement of all")
def answers_with_agreement(context):
    assert context.answer.status == 200, context.answer.body
    roles = [agent._rights._held._role for agent in context.direct.agents.values()]
    tenures = [t for role in roles for t in role._tenures.values()]
    granting = [t for t in tenures if t.granting_since_s is not None]
    assert granting and all(t.asked for t in granting), tenures
    assert context.direct.wait(lambda: not any(t.unanswered for t in granting)), tenures


@when(
    "shared rights get requests of the account for {for_s:g} s at both entries, "
    "{rate_per_s:g} a second"
)
def requests_of_account(context, for_s, rate_per_s):
    headers = {"Authorization": f"Bearer {KEY}"}
    send_in_turn(context, "/safe/x", for_s, rate_per_s, headers)


@then("shared rights let the account run {least:d} to {most:d} requests in any 4 s")
def account_ran(context, least, most):
    target_got(context, least, most)


@then("shared rights let the target get {least:d} to {most:d} requests in any 4 s")
def target_got(context, least, most):
    sent_s = {name: at_s for name, at_s, _ in context.sent}
    learnt_s = min(sent_s.values()) + LEARNT_S
    times_s = sorted(
        at_s
        for run in context.direct.engines["p0"].runs
        if (at_s := sent_s.get(run.request_id, 0.0)) >= learnt_s
    )
    counts = [
        sum(begin_s <= at_s < begin_s + WINDOW_S for at_s in times_s)
        for begin_s in times_s
        if begin_s + WINDOW_S <= context.ended_at_s
    ]
    assert counts and least <= max(counts) <= most, counts
