"""Steps for the reads of the store that hosts share."""

from __future__ import annotations

import random

from behave import given, then, when

from lentiltally.decisions.shared_reads import SharedReads, turn_interval_s
from lentiltally.decisions.state_pacing import StatePace, state_interval_s

STEP_S = 0.05
JITTER = 0.25


class Agent:
    """Reads in turn and reports with each state of its engine."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.next_read_s = rng.uniform(0.0, self.turn_s())
        self.read_at_s = 0.0
        self.changed_at = -1
        self.offset_s = rng.random()

    def turn_s(self):
        interval_s = turn_interval_s(self.world.agents, self.world.bound_s)
        return interval_s * self.rng.uniform(1.0 - JITTER, 1.0 + JITTER)

    def step(self, now_s):
        if now_s >= self.next_read_s and now_s < self.world.agents_stop_s:
            self.next_read_s = now_s + self.turn_s()
            self.read_at_s = now_s
            self.changed_at = self.world.newest_change
            self.world.calls += 1


class Entry:
    """Reads when it lacks news or no agent has read lately."""

    def __init__(self, world):
        self.world = world
        self.shared = SharedReads(world.bound_s, world.bound_s / 2)
        self.read_at_s = 0.0
        self.next_offset = 0

    def step(self, now_s):
        if now_s >= self.shared.next_read_s(self.read_at_s, self.next_offset):
            self.world.calls += 1
            self.read_at_s = now_s
            self.next_offset = self.world.newest_change + 1
            self.shared.caught_up(now_s)


class World:
    """A store with one topic; every change is appended at the next offset."""

    def __init__(self, entries, agents, bound_s):
        self.agents = agents
        self.bound_s = bound_s
        self.agents_stop_s = float("inf")
        self.calls = 0
        self.newest_change = -1
        self.entries = [Entry(self) for _ in range(entries)]
        rng = random.Random(1)
        self.readers = [Agent(self, rng) for _ in range(agents)]
        self.changed_at_s = []
        self.worst_delay_s = 0.0

    def run(self, seconds, change_interval_s):
        # States reach an entry at this interval at least.
        state_s = StatePace(state_interval_s(self.agents)).repeat_interval_s
        steps = round(seconds / STEP_S)
        for step in range(steps):
            now_s = step * STEP_S
            if step % round(change_interval_s / STEP_S) == 0:
                self.newest_change += 1
                self.changed_at_s.append(now_s)
            for agent in self.readers:
                agent.step(now_s)
                if now_s < self.agents_stop_s:
                    self._report(agent, now_s, state_s)
            for entry in self.entries:
                known = entry.next_offset
                entry.step(now_s)
                for offset in range(known, entry.next_offset):
                    delay_s = now_s - self.changed_at_s[offset]
                    self.worst_delay_s = max(self.worst_delay_s, delay_s)

    def _report(self, agent, now_s, state_s):
        since_s = (now_s + agent.offset_s * state_s) % state_s
        if since_s < STEP_S:
            for entry in self.entries:
                age_s = now_s - agent.read_at_s
                entry.shared.reported(agent.changed_at, age_s, now_s)


@given(
    "shared reads of {entries:d} entries and {agents:d} agents with a bound of "
    "{bound_s:g} s"
)
def world(context, entries, agents, bound_s):
    context.world = World(entries, agents, bound_s)


@given("shared reads get no reports because {reason}")
def no_reports(context, reason):
    stop_s = 0.0 if reason == "there are no agents" else 30.0
    context.world.agents_stop_s = stop_s


@when("shared reads run for {seconds:d} s with a change every {interval_s:d} s")
def run(context, seconds, interval_s):
    context.seconds = seconds
    context.world.run(seconds, interval_s)


@then("shared reads took at most {calls:g} calls a second")
def few_calls(context, calls):
    rate = context.world.calls / context.seconds
    assert rate <= calls, rate


@then("shared reads made every change known within the bound")
def in_time(context):
    world = context.world
    assert world.worst_delay_s <= world.bound_s, world.worst_delay_s
    unknown = [e for e in world.entries if e.next_offset + 1 < len(world.changed_at_s)]
    assert not unknown


@given("shared reads of an entry")
def one_entry(context):
    context.shared = SharedReads(2.0, 1.0)


@when("shared reads get news at offset {offset:d} and the entry has read up to {end:d}")
def false_news(context, offset, end):
    context.shared.reported(offset, 0.0, 10.0)
    assert context.shared.has_news(end)
    context.shared.caught_up(10.0)
    context.next_offset = end


@then("shared reads have no news for the entry")
def no_news(context):
    assert not context.shared.has_news(context.next_offset)


@when(
    'shared reads have the reads "{reads}" and agent "{agent}" says at {at_s:g} s that '
    "the store returned"
)
def agent_says_returned(context, reads, agent, at_s):
    """Report reads as agents do: again and again, with a growing age."""
    for name, read_at_s in (read.split() for read in reads.split(", ")):
        for later_s in (0.0, 0.3, 0.6):
            now_s = float(read_at_s) + later_s
            context.shared.reported(7, later_s, now_s, name)
    context.was_outage = context.shared.was_outage(at_s, agent)


@then("shared reads take that for an outage: {expected}")
def takes_for_outage(context, expected):
    assert context.was_outage == (expected == "yes")


@when("shared reads get news at offset {offset:d} during a read that ends at {end:d}")
def news_during_read(context, offset, end):
    context.shared.reported(offset, 0.0, 10.0)
    context.shared.caught_up(9.9)
    context.next_offset = end


@then("shared reads have news for the entry")
def has_news(context):
    assert context.shared.has_news(context.next_offset)
