"""Steps for the engine states that an agent publishes to entries."""

from __future__ import annotations

import dataclasses

from behave import given, then, when
from steps.engine_slots_steps import new_slots, report

from lentiltally.decisions.state_pacing import MIN_INTERVAL_S
from lentiltally.direct.settings import SocketAddress
from lentiltally.direct.state_publisher import StatePublisher

START_S = 100.0
STEP_S = 0.02
ENTRIES = [SocketAddress("10.0.0.1", port) for port in (1, 2, 3)]


class SentMessages:
    """Records messages with their addresses."""

    def __init__(self):
        self.messages = []

    def send(self, address, message):
        self.messages.append((address, message))

    def send_all(self, addresses, message):
        for address in addresses:
            self.send(address, message)

    def to(self, entry):
        return [state for address, state in self.messages if address == entry]


@given('state publisher of an engine with "a" loaded and 2 subscribed entries')
def publisher(context):
    context.sent = SentMessages()
    context.slots = new_slots(["a"])
    context.publisher = StatePublisher(context.slots, context.sent)
    context.now_s = START_S
    for entry in ENTRIES[:2]:
        context.publisher.subscribe(entry, MIN_INTERVAL_S, START_S)


@when("state publisher is called every 0.02 s for {seconds:g} s while {change}")
def called(context, seconds, change):
    for step in range(round(seconds / STEP_S)):
        context.now_s = START_S + step * STEP_S
        if change == "the load changes":
            running = dataclasses.replace(report(["a"]), running=step)
            context.slots.update_report(running)
        elif change.startswith("the loaded adapter") and step:
            context.slots.update_report(report(["ab"[step // 10 % 2]]))
        context.publisher.publish(None, context.now_s)


@when("state publisher gets the subscription of a third entry")
def third_entry(context):
    assert context.publisher.subscribe(ENTRIES[2], MIN_INTERVAL_S, context.now_s)
    context.publisher.publish(None, context.now_s)


@when("state publisher gets a third subscription after 4 s and is called after 6 s")
def third_entry_later(context):
    context.publisher.subscribe(ENTRIES[2], MIN_INTERVAL_S, START_S + 4.0)
    context.publisher.publish(None, START_S + 4.0)
    context.before = len(context.sent.messages)
    context.publisher.publish(None, START_S + 6.0)


@then(
    "state publisher sent each entry {least:d} to {most:d} states, "
    "{lists:d} with the list"
)
def sent_each(context, least, most, lists):
    for entry in ENTRIES[:2]:
        states = context.sent.to(entry)
        assert least <= len(states) <= most, len(states)
        assert sum(state.cached is not None for state in states) == lists


@then("state publisher sent the third entry 1 state, with the list")
def sent_third(context):
    (state,) = context.sent.to(ENTRIES[2])
    assert state.cached is not None


@then("state publisher's last state went to the third entry only and counts 1 entry")
def sent_only_third(context):
    ((entry, state),) = context.sent.messages[context.before :]
    assert entry == ENTRIES[2] and state.entries == 1, (entry, state)


@given("state publisher's entries ask for an interval of {interval_s:g} s")
def entries_ask(context, interval_s):
    for entry in ENTRIES[:2]:
        context.publisher.subscribe(entry, interval_s, START_S)
