"""Steps for the number of entries that agents report."""

from __future__ import annotations

import asyncio
import time

from behave import given, then, when

from lentiltally.decisions.entry_count import EntryCount


@then("entry count is {count:d} before the first report")
def before_reports(context, count):
    context.count = EntryCount()
    assert context.count.current(0.0) == count


@then("entry count after reports of {a:d}, {b:d}, {c:d} and {d:d} is {count:d}")
def after_reports(context, a, b, c, d, count):
    for at_s, entries in enumerate((a, b, c, d)):
        context.count.reported(entries, float(at_s))
    assert context.count.current(4.0) == count


@then("entry count is {count:d} when 5 s have passed since the report of 3")
def after_retention(context, count):
    assert context.count.current(5.0) == 3
    assert context.count.current(5.1) == count


@then("entry count stays {count:d} without further reports")
def stays(context, count):
    assert context.count.current(100.0) == count


def counts(context):
    system = context.direct
    return [e._state.entry_count for e in (system.entry, system.other_entry)]


@given("direct path entries count {count:d} entries")
def know_count(context, count):
    assert context.direct.wait(lambda: counts(context) == [count, count])


@when('direct path starts the agent of "{name}" again')
def start_again(context, name):
    system = context.direct
    system.kill(system.agents[name])
    system.start_agent(name)


@then("direct path entries count {count:d} entries for {for_s:g} s")
def count_for(context, count, for_s):
    async def watch():
        seen, until_s = set(), time.monotonic() + for_s
        while time.monotonic() < until_s:
            seen.update(counts(context))
            await asyncio.sleep(0.002)
        return seen

    assert context.direct.run(watch()) == {count}
