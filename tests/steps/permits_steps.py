"""Steps for permits of targets that name a limit."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when

from lentiltally.decisions.engine_orders import AdapterRequest, AdapterRequestState
from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.decisions.permit_bucket import PermitBucket
from lentiltally.decisions.target_limits import TargetLimits, limit_owners
from tests.steps.engine_slots_steps import SPEC, report

STEP_S = 0.05


@then(
    "permit bucket of {rate:g} a second grants {granted:d} of {count:d} requests in "
    "{for_s:g} s"
)
def grants(context, rate, granted, count, for_s):
    assert granted_by(PermitBucket(rate, 0.0), 0.0, count, for_s) == granted


@then(
    "permit bucket of {rate:g} a second that was idle for {idle_s:g} s grants "
    "{granted:d} of {count:d} requests in {for_s:g} s"
)
def grants_after_idle(context, rate, idle_s, granted, count, for_s):
    assert granted_by(PermitBucket(rate, 0.0), idle_s, count, for_s) == granted


def granted_by(bucket, from_s, count, for_s):
    """Ask for permits at even intervals; return how many were granted."""
    times_s = [from_s + for_s * (number + 1) / count for number in range(count)]
    return sum(bucket.reserve(now_s + 1e-6, 0.0) is not None for now_s in times_s)


@then(
    "permit bucket of {rate:g} a second grants waits of {first:g}, {second:g} and "
    "{third:g} s, and none up to {most_s:g} s after"
)
def grants_waits(context, rate, first, second, third, most_s):
    bucket = PermitBucket(rate, 0.0)
    waits_s = [bucket.reserve(0.0, most_s) for _ in range(4)]
    assert waits_s == [first, second, third, None], waits_s


@then(
    "target limits answer a request for up to {most_s:g} s, again {later_s:g} s later, "
    "with waits of {first:g} and {second:g} s"
)
def repeats(context, most_s, later_s, first, second):
    context.limits = TargetLimits()
    context.now_s = later_s
    answers = [
        context.limits.request("t@1", "r1", 2.0, most_s, at) for at in (0.0, later_s)
    ]
    assert all(answer.is_granted for answer in answers)
    assert [round(answer.wait_s, 6) for answer in answers] == [first, second]


@then("target limits grant the next request {wait_s:g} s after that")
def grants_next(context, wait_s):
    decision = context.limits.request("t@1", "r2", 2.0, 1.0, context.now_s)
    # The first permit is due 0.2 s from now.
    assert decision.is_granted
    assert round(decision.wait_s - 0.2, 6) == wait_s


@then(
    "target limits of {targets:d} targets have {owners:d} owners each of {agents:d} "
    "agents, the same in any order"
)
def same_owners(context, targets, owners, agents):
    names = [f"10.0.0.{n}" for n in range(agents)]
    chosen = [limit_owners(names, f"t{n}@1") for n in range(targets)]
    assert chosen == [limit_owners(reversed(names), f"t{n}@1") for n in range(targets)]
    assert all(len(set(names)) == owners for names in chosen)
    assert len({first for first, *_ in chosen}) > owners


@given("engine slots of an engine with a limit of {rate:g} a second")
def engine_with_limit(context, rate):
    context.slots = EngineSlots()
    context.slots.set_spec(SPEC)
    context.slots.update_report(replace(report(["a"]), rate_limit_per_s=rate))
    context.slots.decide_requests(0.0)


@when(
    "engine slots get {count:d} requests that wait up to {wait_s:g} s with an "
    "objective of {objective_s:g} s"
)
def get_requests(context, count, wait_s, objective_s):
    for number in range(count):
        context.slots.request(
            AdapterRequest(f"r{number}", "m", "a", 0, 0.0, wait_s, 60.0, 0, objective_s)
        )
    context.results = context.slots.decide_requests(0.0)


@then('engine slots decline {count:d} of them at once, with the reason "{reason}"')
def declined(context, count, reason):
    results = context.results
    assert len(results) == count, results
    for result in results:
        assert result.state is AdapterRequestState.DECLINED
        assert result.reason == reason and result.wait_s > 0.0


@then("engine slots grant {count:d} of them within {for_s:g} s")
def granted_later(context, count, for_s):
    granted = []
    for step in range(int(for_s / STEP_S) + 1):
        granted += context.slots.decide_requests(step * STEP_S)
    states = [result.state for result in granted]
    assert states == [AdapterRequestState.GRANTED] * count, granted


@when(
    "engine slots lose their engine and get a request with an objective of "
    "{objective_s:g} s"
)
def lose_engine(context, objective_s):
    context.slots.mark_unresponsive()
    get_requests(context, 1, 9.0, objective_s)


@then("engine slots decline it because the engine is lost")
def engine_is_lost(context):
    (result,) = context.results
    assert result.state is AdapterRequestState.NO_ENGINE, result
