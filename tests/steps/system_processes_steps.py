"""Steps of the system tests: processes that end, pause and race."""

from __future__ import annotations

import signal
import socket
import time

from behave import then, when

from lentiltally.decisions.ownership import LEASE_S
from tests.fakes.system import text_of
from tests.steps.system_answers_steps import LONG

PAUSE_S = LEASE_S + 1.0


@when("the system's agent of the booking is killed")
def agent_killed(context):
    context.system.kill(context.system.agent_of(context.engine))


@when("the system's agent of the booking starts again")
def agent_starts(context):
    context.later.result()
    context.system.restore()


@then("system answers {count:d} requests at each entry")
def answers_at_each(context, count):
    system = context.system
    for entry in system.deployment.entry_urls:
        for number in range(count):
            prompt = f"{context.prompt} {entry} {number}"
            reply = system.send(system.body(prompt), entry)
            assert reply.status == 200, reply


def _agent(context):
    system = context.system
    return system.processes.process(system.agent_of(context.engine))


@when("the system's agent of the booking is paused longer than its lease")
def agent_paused(context):
    _agent(context).send_signal(signal.SIGSTOP)
    context.add_cleanup(_agent(context).send_signal, signal.SIGCONT)
    time.sleep(PAUSE_S)


@then("no other process takes the address of the system's agent")
def address_is_taken(context):
    system = context.system
    name = system.agent_of(context.engine)
    path = system.deployment.folder / f"{name}.toml"
    other = system.processes.start(
        "other", ["lentiltally", "agent", "--settings", path]
    )
    assert other.wait(20) != 0, system.processes.output("other")
    host, _, port = system.deployment.agent_addresses[name][6:].rpartition(":")
    with socket.socket() as taker:
        try:
            taker.bind((host, int(port)))
        except OSError:
            return
    raise AssertionError("the address was free")


@when("the system's agent of the booking goes on")
def agent_goes_on(context):
    _agent(context).send_signal(signal.SIGCONT)
    context.replies = [context.later.result()]


@then("system gave the booking's answer each time")
def gave_answer(context):
    expected = text_of(context.prompt, "bookings", context.tokens)
    for reply in context.replies:
        assert reply.status == 200, reply
        assert reply.json()["choices"][0]["text"] == expected, reply


@when("the system's {name} is killed")
def process_killed(context, name):
    context.system.kill(name)
    context.later.result()


@when("system gets the booking again at {entry}")
def again_at(context, entry):
    context.replies = [context.system.send(context.body, entry, context.key)]


@when("system gets a booking at both entries at once")
def booking_at_both(context):
    system = context.system
    context.key, context.tokens = context.prompt, 10
    context.body = system.body(context.prompt, "bookings", 10)
    pending = [
        system.later(context.body, entry=entry, key=context.key)
        for entry in ("entry-1", "entry-2") * 3
    ]
    context.replies = [one.result() for one in pending]


@when("system gets another booking with its key")
def other_booking(context):
    context.body = context.system.body("another body", "bookings")
    context.reply = context.system.send(context.body, "entry-2", context.key)


@then("the system's engines ran it {count:d} times")
def ran_times(context, count):
    runs = context.system.executions(context.body)
    assert len(runs) == count, runs


@when("the system's entry-1 is told to stop")
def entry_stops(context):
    context.stopped = context.system.pool.submit(
        context.system.processes.stop, "entry-1"
    )
    context.add_cleanup(context.stopped.result)


@when("the system's agent of the stream is told to stop")
def agent_stops(context):
    system = context.system
    context.engine = system.wait_running(context.body)
    process = system.processes.process(system.agent_of(context.engine))
    process.send_signal(signal.SIGTERM)
    # Two seconds from its own notice, a leaving target gets no new work.
    time.sleep(2.0)
    context.known = {run["request_id"] for run in _runs_at(context)}
    prompts = [f"{context.prompt} after {number}" for number in range(8)]
    context.pending += [
        (prompt, "drafts", system.later(system.body(prompt))) for prompt in prompts
    ]
    context.add_cleanup(process.wait)


def _runs_at(context):
    runs = context.system.executions()
    return [run for run in runs if run["engine"] == context.engine]


@then("the system's leaving target got no new work")
def no_new_work(context):
    new = [run for run in _runs_at(context) if run["request_id"] not in context.known]
    assert not new, new


@when('the system\'s engines crash on "{text}"')
def crash_on(context, text):
    context.incarnations = _incarnations(context)
    context.system.engines(crash_on=text)


def _incarnations(context):
    targets = context.system.targets("entry-1")
    return {target["target"]: target["engine_incarnation"] for target in targets}


@when("system has {count:d} innocent requests under way")
def innocents(context, count):
    system = context.system
    prompts = [f"{context.prompt} {number}" for number in range(count)]
    context.innocents = [
        (prompt, system.later(system.body(prompt, tokens=LONG))) for prompt in prompts
    ]
    context.pending = []
    system.wait(lambda: system.running(system.body(prompts[-1], tokens=LONG)))


@when('system gets a "{text}" request {count:d} times over both entries')
def poison(context, text, count):
    system = context.system
    context.body = system.body(text)
    entries = ("entry-1", "entry-2")
    context.replies = []
    for number in range(count):
        context.replies.append(system.send(context.body, entries[number % 2]))


@then("the system's engines crashed at most {count:d} times")
def crashed(context, count):
    runs = context.system.executions(context.body)
    assert 1 <= len(runs) <= count, runs


@then("system refused the last as quarantined")
def quarantined(context):
    reply = context.replies[-1]
    assert reply.status == 422, context.replies
    assert reply.json()["type"].endswith("quarantined"), reply
    for prompt, pending in context.innocents:
        innocent = pending.result()
        assert innocent.status == 200, innocent
        text = innocent.json()["choices"][0]["text"]
        assert text == text_of(prompt, "drafts", LONG), innocent
