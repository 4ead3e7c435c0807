"""Steps for what targets say of themselves in their answers."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when

from tests.steps.direct_streams_steps import headers


@given('direct path targets say in the next answer that they leave, "{name}" only')
def says_it_leaves(context, name):
    context.direct.engines[name].script.append("leaving")


@when('direct path gets {count:d} requests to "{path}" one after another')
def gets_one_after_another(context, count, path):
    send = context.direct.send
    context.answers = [send(path, request_id=f"n{number}") for number in range(count)]


@when(
    'direct path gets a stream and {after_s:g} s later another for adapter "{adapter}"'
)
def gets_two_streams(context, after_s, adapter):
    system = context.direct

    async def act():
        first = asyncio.ensure_future(
            system.request("/stream/x", "first", headers=headers(adapter))
        )
        await asyncio.sleep(after_s)
        second = await system.request("/stream/x", "second", headers=headers(adapter))
        return await first, second

    context.answers = system.run(act())


@then("direct path ran them on different engines")
def on_different_engines(context):
    assert all(answer.is_complete for answer in context.answers)
    runs = [[r.request_id for r in e.runs] for e in context.direct.engines.values()]
    assert sorted(runs) == [["first"], ["second"]], runs


@then("direct path answered all of them with 200")
def answered_all(context):
    assert {answer.status for answer in context.answers} == {200}


@then('direct path target "{name}" ran at most {count:d} of them')
def ran_at_most(context, name, count):
    assert len(context.direct.engines[name].runs) <= count


@then(
    "direct path refused all of them as not executed, to come back after {pause_s:g} s "
    "or more"
)
def refused_with_pause(context, pause_s):
    for answer in context.answers:
        assert answer.status == 503, answer.body
        assert json.loads(answer.body)["executed"] == "no"
        # The pause began with the first of the requests.
        assert answer.retry_after_s > pause_s - 0.5, answer.headers


@then("direct path targets got {count:d} requests in all")
def got_in_all(context, count):
    engines = context.direct.engines.values()
    assert sum(len(engine.refused) for engine in engines) == count
