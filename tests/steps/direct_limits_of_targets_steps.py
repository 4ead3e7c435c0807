"""Steps for limits that targets name."""

from __future__ import annotations

import asyncio
import json
import time

from behave import given, then, when

WINDOW_S = 4.0
STREAM_HEADERS = {"X-Model": "m/a1", "X-Token-Counts": "300,5"}


@given("direct path targets name a limit of {limit_per_s:g} requests a second")
def name_limit(context, limit_per_s):
    for engine in context.direct.engines.values():
        engine.limit_per_s = limit_per_s


@given("direct path agents have ended")
def agents_ended(context):
    for agent in context.direct.agents.values():
        context.direct.kill(agent)


@when("direct path targets name no limit any more")
def name_no_limit(context):
    for engine in context.direct.engines.values():
        engine.limit_per_s = None


@when(
    'direct path gets requests to "{path}" for {for_s:g} s at both entries, '
    "{rate_per_s:g} a second"
)
def gets_requests(context, path, for_s, rate_per_s):
    send_in_turn(context, path, for_s, rate_per_s)


def send_in_turn(context, path, for_s, rate_per_s, headers=None):
    """Send requests in turn at the entries, and note when each of them was sent."""
    system = context.direct
    addresses = [system.entry_address]
    if system.other_entry is not None:
        addresses.append(system.other_entry._settings.callers)

    async def act():
        sent = []
        for number in range(int(for_s * rate_per_s)):
            address = addresses[number % len(addresses)]
            sent.append(
                (
                    f"n{number}",
                    time.monotonic(),
                    send(system, path, number, address, headers),
                )
            )
            await asyncio.sleep(1 / rate_per_s)
        return [(name, at_s, await answer) for name, at_s, answer in sent]

    context.sent = system.run(act())
    context.ended_at_s = time.monotonic()


def send(system, path, number, address, headers=None):
    headers = headers or (STREAM_HEADERS if "stream" in path else {})
    request = system.request(path, f"n{number}", headers=headers, address=address)
    return asyncio.ensure_future(request)


@then(
    "direct path targets that served them got at most {most:d} and at least {least:d} "
    "in the last 4 s"
)
def got_few(context, most, least):
    late = {n for n, at_s, _ in context.sent if at_s > context.ended_at_s - WINDOW_S}
    counts = {
        name: sum(run.request_id in late for run in engine.runs)
        for name, engine in context.direct.engines.items()
        if engine.runs
    }
    assert len(counts) == 2, counts
    assert all(least <= count <= most for count in counts.values()), counts


@then("direct path refused the others as not executed, to come back later")
def refused_others(context):
    refused = [answer for _, _, answer in context.sent if answer.status != 200]
    assert refused
    for answer in refused:
        assert answer.status == 503, answer.body
        assert json.loads(answer.body)["executed"] == "no"
        assert answer.retry_after_s > 0.0


@then('direct path answers {count:d} requests to "{path}" within {within_s:g} s')
def answers_again(context, count, path, within_s):
    """Wait until a request is served, then send many at once."""
    system = context.direct

    async def act():
        until_s = time.monotonic() + within_s
        numbers = iter(range(1000, 2000))
        while True:
            answer = await send(system, path, next(numbers), system.entry_address)
            if answer.status == 200:
                break
            assert time.monotonic() < until_s, answer.body
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.3)
        many = [
            send(system, path, next(numbers), system.entry_address)
            for _ in range(count)
        ]
        return [answer.status for answer in await asyncio.gather(*many)]

    statuses = system.run(act())
    assert statuses == [200] * count, statuses


@given('direct path has learnt the limit of "{name}"')
def learnt_limit(context, name):
    assert context.direct.send("/safe/x", request_id="first").status == 200
    assert context.direct.engines[name].runs


@given('direct path target "{name}" handles the next {count:d} requests as "{step}"')
def handles_as(context, name, count, step):
    context.direct.engines[name].script.extend([step] * count)


@when('direct path gets a request to "{path}" that waits for a permit')
def waits_for_permit(context, path):
    context.answer = context.direct.send(path, request_id="limited")


@then('direct path target "{name}" ran it once')
def ran_once(context, name):
    runs = [run.request_id for run in context.direct.engines[name].runs]
    assert runs.count("limited") == 1, runs
