"""Steps for a store that comes back from an older copy."""

from __future__ import annotations

import asyncio
import logging
import time

from behave import given, then, when

from tests.fakes.direct import configuration, route
from tests.steps.direct_steps import start
from tests.steps.wiring_steps import stop_reading

FIRST, SECOND, THIRD = 3, 4, 5
NAMES = ("one", "two", "three")
AGENTS = ("e1", "e2", "e3")
KEY = {"Authorization": "Bearer k1"}
FIRST_ERA = 7


def document(version, keys=None):
    """Return version 3, 4 or 5, with one, two or three routes."""
    routes = [route(name, "safe", "plain") for name in NAMES[: version - FIRST + 1]]
    routes.append(route("llm", "streaming", "llm", resumable=True))
    found = configuration(version, routes)
    if keys is not None:
        found["tenants"] = [{"name": "desk", "apiKeys": keys}]
    return found


def begin(context, keys=None):
    start(context)
    system = context.direct
    system.configure(document(FIRST, keys))
    system.store.begin_eras(FIRST_ERA)
    for name in ("p1", "p2"):
        system.add_target(name)


@given("store eras of a system with agents")
def with_agents(context):
    begin(context)
    system = context.direct
    for name in AGENTS:
        system.add_target(name, service="llm", model="m", slots=2)
    system.start_entry()
    for name in AGENTS:
        system.start_agent(name)
    assert system.wait_ready()
    system.start_other_entry()


@given("store eras of a system without agents")
def without_agents(context):
    begin(context)
    context.direct.start_entry()
    assert context.direct.wait_ready()
    context.direct.start_other_entry()


@given("store eras of a system with accounts")
def with_accounts(context):
    begin(context, ["k1", "k2"])
    context.direct.start_entry()
    assert context.direct.wait_ready()
    context.direct.start_other_entry()


def entries(context):
    return [context.direct.entry, context.direct.other_entry]


def statuses(context, path, headers=None):
    system = context.direct
    numbers = context.numbers = getattr(context, "numbers", 0) + 1
    return [
        system.run(
            system.request(
                path,
                f"n{numbers}-{index}",
                headers=headers or {},
                address=entry._settings.callers,
            )
        ).status
        for index, entry in enumerate(entries(context))
    ]


def wait_for(context, path, status, within_s, headers=None):
    until_s = time.monotonic() + within_s
    while True:
        found = statuses(context, path, headers)
        if set(found) == {status}:
            return
        assert time.monotonic() < until_s, found
        time.sleep(0.02)


def put_notice(context, adapter, version=2):
    notice = {"model": "m", "adapter": adapter, "version": version}
    context.direct.store.put_json("keyed.op", f"version/m.{adapter}", notice)


@given("store eras have a copy, and two routes that were written after it")
def copy_then_routes(context):
    system = context.direct
    system.call(system.store.take_copy)
    system.configure(document(SECOND))
    for adapter in ("a1", "a2"):
        system.call(lambda adapter=adapter: put_notice(context, adapter))
    wait_for(context, "/two/x", 200, 5.0)


@given("store eras have the other entry {state}")
def other_entry_state(context, state):
    system = context.direct
    if state == "stopped":
        system.kill(system.other_entry)
        return
    for feed in feeds(system.other_entry):
        stop_reading(context, feed, 0.0)
        # A long poll that is under way would bring one more record.
        system.call(feed.request_end_read)
    time.sleep(0.5)


@when("store eras have the other entry {state} no more")
def other_entry_back(context, state):
    system = context.direct
    if state == "stopped":
        system.start_other_entry()
    else:
        for feed in feeds(system.other_entry):
            del feed.read_once
            feed.unblock()
    context.back_s = time.monotonic()


def feeds(entry):
    return [entry._configuration, entry._targets]


def away(context, for_s, write_again):
    system = context.direct

    async def act():
        system.store.mode = "busy"
        await asyncio.sleep(for_s)
        system.store.restore()
        write_again()
        system.store.mode = "up"

    system.run(act())
    context.back_s = time.monotonic()


@when("store eras restore the store after {for_s:d} s away")
def restore(context, for_s):
    away(context, for_s, lambda: None)
    time.sleep(0.3)


@when(
    "store eras restore the store after {for_s:d} s away, and all is written again "
    "{form}"
)
def restore_and_write(context, for_s, form):
    def put(version):
        context.direct.store.put_json("keyed.op", "config", document(version))

    def write_again():
        if form == "in another order":
            put_notice(context, "a2")
            put(SECOND)
        put(THIRD)
        if form == "in another order":
            put_notice(context, "a1")
        if form == "with as many records":
            for adapter in ("a1", "a2"):
                put_notice(context, adapter)

    away(context, for_s, write_again)


@then("store eras have the third route at all entries within {within_s:d} s")
def third_route(context, within_s):
    wait_for(context, "/three/x", 200, within_s - (time.monotonic() - context.back_s))


@then("store eras have the second route at all entries")
def second_route(context):
    assert statuses(context, "/two/x") == [200, 200]


@given("store eras have a copy, and a key was taken away after it")
def key_taken_away(context):
    system = context.direct
    system.call(system.store.take_copy)
    system.configure(document(SECOND, ["k2"]))
    wait_for(context, "/one/x", 401, 5.0, KEY)


@then("store eras have entries refuse the key for {for_s:d} s")
def refuse_key(context, for_s):
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        assert statuses(context, "/one/x", KEY) == [401, 401]


@given("store eras have a copy, and a target left and another one came after it")
def targets_change(context):
    system = context.direct
    system.call(system.store.take_copy)
    system.withdraw("p1")
    system.withdraw("p2")
    system.add_target("p3")

    def is_known():
        seen = [
            {r.target_id for r in e._state.directory.all()} for e in entries(context)
        ]
        return seen == [{"p3"}, {"p3"}]

    assert system.wait(is_known)


@when(
    "store eras restore the store after {for_s:d} s away, and the new target writes "
    "again"
)
def restore_targets(context, for_s):
    away(context, for_s, lambda: None)
    # Targets write every 1.2 s.
    time.sleep(0.6)
    context.direct.announce("p3")


@then("store eras have only the new target serve for {for_s:d} s")
def only_new_serves(context, for_s):
    engines = context.direct.engines
    before = {name: len(engine.runs) for name, engine in engines.items()}
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        assert statuses(context, "/one/x") == [200, 200]
    served = {n for n, engine in engines.items() if len(engine.runs) > before[n]}
    assert served == {"p3"}, served


@when("store eras restore the store without a time away")
def restore_at_once(context):
    context.direct.call(context.direct.store.restore)


def knows_new(context):
    return [e._state.directory.get("p3") is not None for e in entries(context)]


@then(
    "store eras keep the new target for {kept_s:d} s, and drop it within {within_s:d} s"
)
def keep_then_drop(context, kept_s, within_s):
    until_s = time.monotonic() + kept_s
    while time.monotonic() < until_s:
        assert knows_new(context) == [True, True]
        time.sleep(0.01)
    assert context.direct.wait(lambda: not any(knows_new(context)), within_s)


@given("store eras have answers with the era {era}")
def odd_era(context, era):
    handler = logging.Handler()
    context.log_records = []
    handler.emit = context.log_records.append
    logger = logging.getLogger("lentiltally.platform.store_client")
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    context.direct.store.era_header = None if era == "none" else era


@when("store eras have a new route")
def new_route(context):
    context.direct.configure(document(SECOND))


@then("store eras have the new route at all entries within {within_s:d} s")
def new_route_known(context, within_s):
    wait_for(context, "/two/x", 200, within_s)


@then("store eras are logged as not read once for each topic")
def logged_once(context):
    # The list of targets is read every second without agents.
    time.sleep(1.5)
    topics = [
        record.topic
        for record in context.log_records
        if record.getMessage() == "era of the store not read"
    ]
    assert sorted(topics) == sorted(2 * ["keyed.op", "keyed.servers"]), topics
