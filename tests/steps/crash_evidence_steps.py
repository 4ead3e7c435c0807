"""Steps for the evidence about requests that crash targets."""

from __future__ import annotations

import asyncio
import hashlib
import time

from behave import given, then, when

from lentiltally.decisions.crash_traits import part_fingerprint
from lentiltally.direct.messages import PartsCleared
from lentiltally.direct.settings import SocketAddress
from tests.fakes.direct import configuration, route
from tests.steps.direct_crashes_steps import engines, engines_back
from tests.steps.direct_steps import start

# The keys of each account; a request of the account may have any of them.
KEYS = {"north": ["n1", "n2", "n3"], "south": ["s1"]}
SOUND_PAUSE_S = 0.03
CRASH_AFTER_S = 0.02
# After the first event, and before the crash is noticed.
LEAVE_AFTER_S = 0.03
LONG_ID = hashlib.sha256(b"a part").hexdigest()


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


def part_text(text):
    return text.replace("a SHA-256", LONG_ID).replace("?", "not an id")


@given('crash evidence engines crash on the prompt part "{part}"')
def crash_on_part(context, part):
    for engine in engines(context):
        engine.poisoned_part = part_text(part)


@given(
    'crash evidence engines crash on the prompt part "{part}" after {events:d} events'
)
def crash_after_events(context, part, events):
    crash_on_part(context, part)
    for engine in engines(context):
        engine.poisoned_events = events
        engine.crash_after_s = CRASH_AFTER_S


@given("crash evidence engines survive the rest of an answer")
def survive_rest(context):
    for engine in engines(context):
        engine.poisoned_rest = False


def stream(context, others, deadly="", is_behind=True, **more):
    """Send a stream with other parts, the deadly one and one of its own."""
    context.numbers = getattr(context, "numbers", 0) + 1
    common = [f"{number + 0x5C1E0700:08x}:80" for number in range(others)]
    parts = [*common, deadly] if is_behind else [deadly, *common]
    own = f"{context.numbers + 0x10000000:08x}:100"
    headers = {
        "X-Model": "m/a1",
        "X-Token-Counts": "300,5",
        "X-Prompt-Prefix": ",".join([*filter(None, parts), own]),
    }
    return context.direct.send(
        f"/stream/{context.numbers}",
        request_id=f"r{context.numbers}",
        headers={**headers, **more.pop("headers", {})},
        **more,
    )


@when("crash evidence gets a sound stream with {others:d} other parts")
def sound_stream(context, others):
    answer = stream(context, others)
    assert answer.status == 200 and answer.is_complete, (answer.status, answer.body)


@when(
    'crash evidence gets {count:d} streams with "{written}" {where} {others:d} other '
    "parts, with crashed engines back"
)
def deadly_streams(context, count, written, where, others):
    for _ in range(count):
        written = part_text(written)
        context.answer = stream(context, others, written, where == "behind")
        engines_back(context)


@when(
    'crash evidence gets {count:d} streams with "{written}" behind {others:d} other '
    "parts, callers who {act}"
)
def streams_of_callers(context, count, written, others, act):
    for _ in range(count):
        if act == "leave":
            context.answer = stream(
                context, others, written, disconnect_after_s=LEAVE_AFTER_S
            )
            time.sleep(LEAVE_AFTER_S + 2 * CRASH_AFTER_S)
        else:
            context.answer = stream(context, others, written)
        if act == "resume" and not context.answer.is_complete:
            resume(context, others, written)
        time.sleep(0.3)
        engines_back(context)
    if act == "leave":
        context.answer = stream(context, others, written)


def resume(context, others, written):
    """Ask for the rest of a stream, as its caller does once it was broken off."""
    ids = context.answer.event_ids()
    if ids:
        engines_back(context)
        headers = {"Last-Event-Id": str(ids[-1])}
        stream(context, others, written, headers=headers)


@when(
    "crash evidence has 1 parts refused during the first event of a stream with "
    '"{written}"'
)
def refused_during_stream(context, written):
    suspects = context.direct.entry._state.suspects
    refusal = part_fingerprint(written.partition(":")[0]), 60.0, 60.0

    async def refuse():
        while not any(engine.runs for engine in engines(context)):
            await asyncio.sleep(0.001)
        suspects.parts_refused_elsewhere([refusal])

    refusing = asyncio.run_coroutine_threadsafe(refuse(), context.direct.loop)
    context.answer = stream(context, 2, written)
    refusing.result(1.0)


@when("crash evidence gets an earlier entry's message that clears them")
def earlier_message(context):
    message = PartsCleared((part_fingerprint("p0"),))
    entry = context.direct.entry
    sender = SocketAddress(engines(context)[0].ip, context.direct.peer_port)
    context.direct.call(lambda: entry._message_received(message, sender))


@then("crash evidence has {count:d} parts refused still")
def refused_still(context, count):
    suspects = context.direct.entry._state.suspects.decisions
    assert suspects.refused_parts == count


@then("crash evidence refused the last stream for its part")
def part_refused(context):
    body = context.answer.body
    assert b"problem:crash-suspect-part" in body, (context.answer.status, body)


@then(
    "crash evidence has a stream with {others:d} other parts served within "
    "{within_s:d} s"
)
def stream_served(context, others, within_s):
    until_s = time.monotonic() + within_s
    while True:
        answer = stream(context, others)
        if answer.status == 200 and answer.is_complete:
            return
        assert time.monotonic() < until_s, (answer.status, answer.body)
        time.sleep(0.05)


@when("crash evidence has {count:d} parts refused")
def parts_refused(context, count):
    suspects = context.direct.entry._state.suspects
    refusals = [(part_fingerprint(f"p{number}"), 60.0, 60.0) for number in range(count)]
    context.direct.call(lambda: suspects.parts_refused_elsewhere(refusals))


@then("crash evidence has the other entry refuse {count:d} parts within {within_s:d} s")
def other_refuses(context, count, within_s):
    suspects = context.direct.other_entry._state.suspects.decisions
    assert context.direct.wait(lambda: suspects.refused_parts == count, within_s), (
        suspects.refused_parts
    )


def same_stream(context):
    """Send a stream without prompt parts, the same each time."""
    headers = {"X-Model": "m/a1", "X-Token-Counts": "300,5"}
    return context.direct.send("/stream/same", headers=headers)


@when(
    "crash evidence has both engines end {after_s:g} s after a whole answer, "
    "{count:d} times"
)
def end_after_answers(context, after_s, count):
    for _ in range(count):
        answer = same_stream(context)
        assert answer.status == 200 and answer.is_complete, answer.body
        time.sleep(after_s)
        for engine in engines(context):
            context.direct.call(engine.crash)
        time.sleep(0.3)
        engines_back(context)


@then("crash evidence has the same stream served at once")
def same_stream_served(context):
    answer = same_stream(context)
    assert answer.status == 200 and answer.is_complete, answer.body
