"""Steps for the choice of a target on the direct path."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
from behave import given, then, when

from lentiltally.decisions.target_choice import TargetChoice
from lentiltally.direct.messages import EngineState, adapter_key_hash, encode_message
from lentiltally.direct.model import TargetRecord, TargetStage

NOW_S = 50.0
KEY = "m/a"


def record(name, concurrency_limit=64):
    address = f"10.0.0.{sum(name.encode()) % 250}:80"
    return TargetRecord(
        name, "s", address, "z1", concurrency_limit, TargetStage.READY, 1, 1
    )


def state(number=1, loaded=(), running=0, free_slots=2, prefill_tokens=0):
    return EngineState(
        started_ms=1,
        number=number,
        running=running,
        waiting=0,
        cache_used=0,
        cache_total=0,
        loaded=tuple(adapter_key_hash(key) for key in ("m", *loaded)),
        loading=(),
        cached=(),
        free_slots=free_slots,
        waiting_keys=0,
        entries=1,
        prefill_tokens=prefill_tokens,
    )


@given("target choice of 3 engines")
def engines(context):
    context.choice = TargetChoice("z1")
    context.records = [record(name) for name in ("e1", "e2", "e3")]
    for target in context.records:
        context.choice.state_received(target.target_id, state(), NOW_S)


@given("target choice of 3 plain targets")
def plain_targets(context):
    context.choice = TargetChoice("z1")
    context.records = [record(name, concurrency_limit=6) for name in ("p1", "p2", "p3")]


@given('target choice engine "{name}" has the adapter loaded and runs {n:d} requests')
def has_requests(context, name, n):
    report = state(2, loaded=[KEY], running=n)
    context.choice.state_received(name, report, NOW_S)


@given('target choice engine "{name}" has the adapter loaded and {n:d} prompts pending')
def has_prompts(context, name, n):
    has_prompts_of(context, name, n, 1800)


@given(
    'target choice engine "{name}" has the adapter loaded and {n:d} prompts of '
    "{tokens:d} tokens pending"
)
def has_prompts_of(context, name, n, tokens):
    report = state(2, loaded=[KEY], prefill_tokens=n * tokens)
    context.choice.state_received(name, report, NOW_S)


@given('target choice engine "{name}" has no free slot')
def no_slot(context, name):
    context.choice.state_received(name, state(2, free_slots=0), NOW_S)


@when('target choice has sent {count:d} streams of {tokens:d} tokens to "{name}"')
def sent_streams(context, count, tokens, name):
    for _ in range(count):
        context.choice.sent(name, tokens)


@when('target choice sees the first bytes of {count:d} streams at "{name}"')
def streams_began(context, count, name):
    for _ in range(count):
        context.choice.first_byte(name, 2000, 0.2)


@when('target choice sees 8 failures at "{name}"')
def fails(context, name):
    for _ in range(8):
        context.choice.sent(name, 0)
        context.choice.ended(name, is_failure=True, now_s=NOW_S)


@when("target choice sees 8 failures at each target")
def all_fail(context):
    for target in context.records:
        fails(context, target.target_id)


@when("target choice gets 30 requests at once")
def burst(context):
    context.given = Counter()
    for _ in range(30):
        (best, *_) = context.choice.rank_service_targets(context.records, (), NOW_S)
        context.choice.sent(best.record.target_id, 0)
        context.given[best.record.target_id] += 1


@when(
    'target choice gets report 5 of "{name}" without the adapter, then report 4 with it'
)
def overtaken(context, name):
    context.choice.state_received(name, state(5), NOW_S)
    context.choice.state_received(name, state(4, loaded=[KEY]), NOW_S)


def best_engine(choice, records, key=KEY):
    (best, *_) = choice.rank_engines(records, key, 1800, (), NOW_S, needs_adapter=True)
    return best


@then("target choice takes {target} for the adapter")
def takes(context, target):
    taken = best_engine(context.choice, context.records).record.target_id
    assert (taken != "e1") if target == "another" else (taken == target), taken


@then("target choice of 5 entries puts 200 cold adapters on 1.5 engines each at most")
def same_engine(context):
    rng = random.Random(1)
    records = [record(f"engine-{number}-{number * 7}") for number in range(9)]
    engines_used = 0
    for adapter in range(200):
        chosen = set()
        for _ in range(5):
            choice = TargetChoice("z1")
            for target in records:
                report = state(running=rng.randint(0, 6))
                choice.state_received(target.target_id, report, NOW_S)
            chosen.add(best_engine(choice, records, f"m/a{adapter}").record.target_id)
        engines_used += len(chosen)
    assert engines_used <= 1.5 * 200, engines_used


@then('target choice takes another than "{name}"')
def takes_another(context, name):
    (best, *_) = context.choice.rank_service_targets(context.records, (), NOW_S)
    assert best.record.target_id != name


@then('target choice may take "{name}" again after 20 s without a failure')
def readmitted(context, name):
    costs = {
        c.record.target_id: c.cost_s
        for c in context.choice.rank_service_targets(context.records, (), NOW_S + 20.0)
    }
    assert costs[name] <= min(costs.values()) + 0.001, costs


@then("target choice still ranks 3 targets")
def ranks_all(context):
    ranked = context.choice.rank_service_targets(context.records, (), NOW_S)
    assert len(ranked) == 3
    assert max(c.cost_s for c in ranked) - min(c.cost_s for c in ranked) < 0.01


@then("target choice gave every target 8 to 12 of them")
def spread(context):
    assert len(context.given) == 3
    assert all(8 <= count <= 12 for count in context.given.values()), context.given


@then('target choice does not see the adapter at "{name}"')
def not_loaded(context, name):
    ranked = context.choice.rank_engines(
        context.records, KEY, 1800, (), NOW_S, needs_adapter=True
    )
    by_name = {c.record.target_id: c.residency for c in ranked}
    assert by_name[name] == "cold", by_name


@then(
    "state reports of 28 agents with 30 cached adapters, 10 a second, take a seventh "
    "of it"
)
def reports_are_small(context):
    hashes = [adapter_key_hash(f"m/adapter-{number}") for number in range(30)]
    message = msgspec.structs.replace(state(number=99_999), cached=tuple(hashes))
    # An IPv4 and a UDP header go with each datagram.
    bits_per_s = 28 * 10 * 8 * (len(encode_message(message)) + 28)
    assert bits_per_s <= 5_000_000 / 7, bits_per_s


@then("hashes of 10000 adapters are all different but for 3 at most")
def hashes_differ(context):
    hashes = {adapter_key_hash(f"model-a/a{number}") for number in range(10_000)}
    assert len(hashes) >= 9_997


@given('target choice got a complete list of "{name}" with the adapter as {listed}')
def complete_list(context, name, listed):
    in_slots = [KEY] if listed == "held" else []
    in_host_memory = (
        (adapter_key_hash(KEY),) if listed == "recent" else (adapter_key_hash("m/b"),)
    )
    report = msgspec.structs.replace(state(2, loaded=in_slots), cached=in_host_memory)
    context.choice.state_received(name, report, NOW_S)


@when('target choice gets a report of "{name}" without a list, {change}')
def report_without_list(context, name, change):
    in_slots = [KEY] if change == "with the adapter" else []
    report = msgspec.structs.replace(
        state(3, loaded=in_slots),
        cached=None,
        started_ms=2 if change == "after a restart" else 1,
    )
    context.choice.state_received(name, report, NOW_S)


@then('target choice sees the adapter at "{name}" as {residency}')
def sees_as(context, name, residency):
    ranked = context.choice.rank_engines(
        context.records, KEY, 1800, (), NOW_S, needs_adapter=True
    )
    by_name = {c.record.target_id: c.residency for c in ranked}
    assert by_name[name] == residency, by_name


def first_choice(context, now_s):
    """Return the first engine for a request; the states of all engines are fresh."""
    for target in context.records:
        context.choice.view(target.target_id).state_received_s = now_s
    ranked = context.choice.rank_engines(
        context.records, KEY, 100, (), now_s, needs_adapter=False
    )
    return ranked[0].record.target_id


def is_tried(context, name, now_s):
    """Return whether a target is chosen although another one has more requests."""
    for target in context.records:
        context.choice.view(target.target_id).in_flight = 1
    context.choice.view(name).in_flight = 0
    return first_choice(context, now_s) == name


@when('target choice sees only answers of "{name}" without end for {duration_s:g} s')
def only_endless(context, name, duration_s):
    context.tried_at_s = []
    for step in range(int(duration_s * 10)):
        now_s = NOW_S + step / 10
        if is_tried(context, name, now_s):
            context.tried_at_s.append(now_s)
            context.choice.answer_had_no_end(name, now_s)


@then('target choice has tried "{name}" {count:d} times and other targets otherwise')
def tried_times(context, name, count):
    pauses = [round(s - NOW_S, 1) for s in context.tried_at_s]
    assert pauses == [0, 1, 3, 7, 15, 23, 31, 39] and len(pauses) == count, pauses


@when('target choice sees {count:d} answers of "{name}" without end at once')
def endless_at_once(context, count, name):
    for _ in range(count):
        context.choice.answer_had_no_end(name, NOW_S)
    assert not is_tried(context, name, NOW_S + 0.9)


@then('target choice uses "{name}" again after {pause_s:g} s')
def used_again(context, name, pause_s):
    assert is_tried(context, name, NOW_S + pause_s)


@when(
    'target choice sees answers of "{name}" without end {count:d} times and then a '
    "complete one"
)
def endless_then_complete(context, name, count):
    for number in range(count):
        context.choice.answer_had_no_end(name, NOW_S + 10 * number)
    context.choice.answer_completed(name)
    context.now_s = NOW_S + 100


@then(
    'target choice uses "{name}" again {pause_s:g} s after the next answer without end'
)
def used_after_next(context, name, pause_s):
    context.choice.answer_had_no_end(name, context.now_s)
    assert not is_tried(context, name, context.now_s + pause_s - 0.1)
    assert is_tried(context, name, context.now_s + pause_s)
