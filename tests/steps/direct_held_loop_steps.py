"""Steps for planned work while a target keeps an entry program busy."""

from __future__ import annotations

import asyncio
import signal

from behave import given, then, when

from tests.fakes.direct import HOST, configuration
from tests.fakes.entry_program import EntryProgram

GRACE_S = 8
PAUSE_S = 0.05


@given(
    "direct path has two plain targets more and an entry program with {grace_s:d} s to "
    "stop"
)
def entry_program(context, grace_s):
    system = context.direct
    for name in ("p1", "p2"):
        system.add_target(name)
    context.program = EntryProgram(system, grace_s)
    context.add_cleanup(context.program.close)
    assert context.program.wait_ready()


@given('direct path engines answer the next {times:d} requests with "{step}"')
def engines_answer(context, times, step):
    for engine in context.direct.engines.values():
        if engine.service == "llm":
            engine.script.extend([step] * times)


def stream_request(number):
    """Return a stream that the entry's agents load the adapter for."""
    lines = [
        f"POST /stream-once/{number} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: endless-{number}",
        "X-Model: m/a1",
        "Content-Length: 0",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def do_work(context, work):
    if work == "a change":
        context.direct.store.put_json("keyed.op", "config", configuration(50))
    else:
        number = signal.SIGHUP if work == "a reload" else signal.SIGTERM
        context.program.signal(number)


@when(
    "direct path entry program gets {work} among {count:d} requests and {endless:d} of "
    "these"
)
def work_among_requests(context, work, count, endless):
    system, address = context.direct, context.program.callers

    async def act():
        others = [
            asyncio.ensure_future(system.raw(stream_request(n), address=address))
            for n in range(endless)
        ]
        await asyncio.sleep(0.5)
        tasks = []
        for number in range(count):
            if number == count // 2:
                do_work(context, work)
            request = system.request(f"/safe/{number}", f"s{number}", address=address)
            tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(PAUSE_S)
        answers = await asyncio.gather(*tasks)
        await asyncio.gather(*others, return_exceptions=True)
        return answers

    context.answers = system.run(act())
    if work != "a stop":
        context.program.signal(signal.SIGTERM)


@then("direct path entry program answered all {count:d} requests with 200")
def answered_all(context, count):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * count, statuses


@then("direct path entry program ended by itself")
def ended(context):
    assert context.program.wait_ended(GRACE_S) == 0
