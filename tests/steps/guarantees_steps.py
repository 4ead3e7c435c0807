"""Steps for the measurement of the guarantees."""

from __future__ import annotations

from behave import then, when

from bench import guarantees

SEED = 1


@when("guarantees are measured over {schedules:d} schedules of seed {seed:d}")
def guarantees_measured(context, schedules, seed):
    context.measurement = guarantees.run(seed, schedules)


@then("guarantees show no violation")
def guarantees_hold(context):
    assert context.measurement.holds, context.measurement


@then("guarantees with mutation {name} break {field} in schedule {index:d}")
def guarantees_mutated(context, name, field, index):
    sound = guarantees.run_in_process(SEED, 1, first=index)
    assert sound.holds, sound
    mutated = guarantees.run_with_mutation(name, SEED, 1, first=index)
    assert mutated.fields[field] > 0, mutated
