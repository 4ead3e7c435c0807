"""Steps for attempts that end, or fail with an error, beside others."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from lentiltally.direct.attempt_preparation import AttemptPreparation
from lentiltally.direct.open_attempts import OpenAttempts
from lentiltally.platform import http_headers
from tests.fakes.direct import DirectSystem


@given("direct path open attempts with one attempt and {search} search")
def open_attempts(context, search):
    """Run an attempt that never ends; a search needs one step to stop."""
    system = context.direct = DirectSystem()
    context.add_cleanup(system.close)
    context.searches = []

    async def begin_another():
        context.searches.append(asyncio.current_task())
        try:
            await asyncio.sleep(3600)
        finally:
            await asyncio.sleep(0)

    async def send(turn):
        context.turn = turn
        await asyncio.sleep(3600)

    async def act():
        context.open_attempts = OpenAttempts(begin_another, lambda _: None)
        context.open_attempts.begin(1, None, send)
        await asyncio.sleep(0)
        if search == "a":
            context.turn.stalled()
            await asyncio.sleep(0)

    system.run(act())


@when("direct path open attempts are closed while the attempt stalls")
def closed_while_stalling(context):
    async def act():
        asyncio.get_running_loop().call_soon(context.turn.stalled)
        await context.open_attempts.close()
        await asyncio.sleep(0.01)

    context.direct.run(act())


@then("direct path open attempts search no more")
def search_no_more(context):
    assert all(search.done() for search in context.searches), context.searches


@given("direct path fails to search another target")
def search_fails(context):
    async def fail(*_):
        raise ValueError("error in the search")

    replacement = AttemptPreparation.replacement
    context.add_cleanup(setattr, AttemptPreparation, "replacement", replacement)
    AttemptPreparation.replacement = fail


@given('direct path fails to read the answers of engine "{name}"')
def reading_fails(context, name):
    decode = http_headers.decode_answer_head

    def fail(status, headers):
        head = decode(status, headers)
        if head.signature == f"proof-{name}":
            raise ValueError("error in an attempt")
        return head

    context.add_cleanup(setattr, http_headers, "decode_answer_head", decode)
    http_headers.decode_answer_head = fail
