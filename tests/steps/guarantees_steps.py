"""Steps for the guarantees measured over random schedules."""

from __future__ import annotations

from behave import then, when

from bench import guarantees

SEED = 1


@when("guarantees are measured over {schedules:d} schedules of seed {seed:d}")
def measure_guarantees(context, schedules, seed):
    context.measurement = guarantees.run(seed, schedules)


@then("guarantees show no violation")
def assert_no_violation(context):
    assert context.measurement.holds, context.measurement


@then("guarantees with mutation {name} violate {field} in schedule {index:d}")
def assert_mutation_violates(context, name, field, index):
    unmutated = guarantees.run_in_process(SEED, 1, first=index)
    assert unmutated.holds, unmutated
    mutated = guarantees.run_with_mutation(name, SEED, 1, first=index)
    assert mutated.fields[field] > 0, mutated
