"""Steps for the evidence about requests that crash targets."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

from tests.fakes.direct import configuration, route
from tests.steps.direct_crashes_steps import engines
from tests.steps.direct_steps import start

# The keys of each account; a request of the account may have any of them.
KEYS = {"north": ["n1", "n2", "n3"], "south": ["s1"]}
SOUND_PAUSE_S = 0.03


@given("crash evidence of a system with accounts and {count:d} plain targets")
def system_with_accounts(context, count):
    start(context)
    system = context.direct
    routes = [
        route("safe", "safe", "plain"),
        route("once", "unsafe", "plain", attempts=1),
        route("open", "safe", "plain", public=True),
    ]
    document = configuration(1, routes)
    document["tenants"] = [{"name": n, "apiKeys": keys} for n, keys in KEYS.items()]
    system.configure(document)
    for number in range(count):
        system.add_target(f"p{number}")
    system.start_entry()
    assert system.wait_ready()


@given('crash evidence targets crash on requests of "{account}"')
def crash_on_account(context, account):
    for engine in engines(context):
        engine.poisoned_accounts = frozenset({account})


def request(context, account, path, key_number=0):
    """Return the answer to a request of an account, or of none."""
    context.numbers = getattr(context, "numbers", 0) + 1
    keys = KEYS.get(account, [])
    key = keys[key_number % len(keys)] if keys else ""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    return context.direct.request(path, f"r{context.numbers}", headers=headers)


@when('crash evidence gets sound requests of "{account}" to "{path}" all the time')
def sound_requests(context, account, path):
    async def send():
        while True:
            asyncio.ensure_future(request(context, account, path))
            await asyncio.sleep(SOUND_PAUSE_S)

    future = asyncio.run_coroutine_threadsafe(send(), context.direct.loop)
    context.add_cleanup(future.cancel)
    time.sleep(0.3)


@when(
    'crash evidence gets {count:d} requests of "{account}" to "{path}" {keys}, with '
    "crashed targets back"
)
def deadly_requests(context, count, account, path, keys):
    for number in range(count):
        key_number = number if keys == "with different keys" else 0
        context.answer = context.direct.run(request(context, account, path, key_number))
        time.sleep(0.2)
        targets_back(context)


def targets_back(context):
    """Start the crashed targets anew, and wait until the entry knows them."""
    system = context.direct
    for name, engine in system.engines.items():
        if engine.is_stopped:
            system.run(engine.recover())
            system.announce(name)
    directory = system.entry._state.directory
    assert system.wait(
        lambda: all(
            (record := directory.get(name)) is not None
            and record.started_ms == engine.born
            for name, engine in system.engines.items()
        )
    )


@then("crash evidence has at most {count:d} crashes")
def crashes(context, count):
    assert sum(engine.crashes for engine in engines(context)) <= count


@then(
    'crash evidence has "{sound}" served at "{path}", and "{account}" refused as '
    '"{reason}"'
)
def served_and_refused(context, sound, path, account, reason):
    assert f"problem:{reason}".encode() in context.answer.body, context.answer.body
    answer = context.direct.run(request(context, sound, path))
    assert answer.status == 200, (answer.status, answer.body)
