"""Steps for attempts of one request that are under way at the same time."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.decisions.attempt_race import AttemptRace


@given("attempt race with attempt {number:d}")
def race_with_attempt(context, number):
    context.race = AttemptRace()
    context.race.begun(number)
    context.superseded = frozenset()


@when('attempt race gets "{events}"')
def gets_events(context, events):
    race = context.race
    acts = {"begun": race.begun, "stalled": race.stalled, "ended": race.ended}
    for event in events.split(", "):
        number, what = event.split()
        if what == "continued":
            context.superseded |= race.progressed(int(number))
        else:
            acts[what](int(number))


@then("attempt race needs another attempt")
def needs_another(context):
    assert context.race.needs_another


@then("attempt race needs no other attempt")
def needs_no_other(context):
    assert not context.race.needs_another


@then("attempt race superseded nothing")
def superseded_nothing(context):
    assert not context.superseded, context.superseded


@then("attempt race superseded {numbers}")
def superseded(context, numbers):
    expected = {int(number) for number in numbers.split(" and ")}
    assert context.superseded == expected, context.superseded
