"""Steps for the adapter slots of one engine."""

from __future__ import annotations

import dataclasses

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.engine_orders import (
    AdapterRequest,
    AdapterRequestState,
    EngineOrderKind,
    EngineReport,
    LoadedAdapter,
    LoadedModel,
)
from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.direct.model import AdapterNotice, EngineSpec, ModelSpec

SPEC = EngineSpec(8, 100_000, 2, 100.0, (ModelSpec("m", 10.0, 1.0, 1.0),))
NOW_S = 100.0


def report(loaded=(), started_ms=1, sequence=0, loading=(), models=("m",)):
    adapters = tuple(LoadedAdapter(name, 1) for name in loaded)
    return EngineReport(
        started_ms=started_ms,
        instance=None,
        sequence=sequence,
        is_busy=False,
        running=0,
        waiting=0,
        cache_used_tokens=0,
        cache_total_tokens=0,
        models=tuple(LoadedModel(model, adapters) for model in models),
        loading=tuple(f"m/{name}" for name in loading),
    )


def request(adapter, rank=1, at_s=NOW_S, request_id=None):
    return AdapterRequest(
        request_id or f"r-{adapter}", "m", adapter, rank, at_s, at_s + 1.0, at_s + 9.0
    )


def new_slots(loaded):
    slots = EngineSlots()
    slots.set_spec(SPEC)
    slots.update_report(report(loaded))
    return slots


@given('engine slots with 2 slots and "{one}" and "{two}" loaded')
def slots_loaded(context, one, two):
    context.slots = new_slots([one, two])


@given("engine slots with 2 slots and nothing loaded")
def slots_empty(context):
    context.slots = new_slots([])


@given("engine slots of an engine without a loaded model")
def no_model(context):
    context.slots = EngineSlots()
    context.slots.set_spec(SPEC)
    context.slots.update_report(report(models=()))


@given('engine slots granted "{one}" and "{two}"')
def granted(context, one, two):
    for adapter in (one, two):
        context.slots.request(request(adapter))
    states = [result.state for result in context.slots.decide_requests(NOW_S)]
    assert states == [AdapterRequestState.GRANTED] * 2, states


@given('engine slots have served "{hot}" 9 times and "{rare}" once')
def served(context, hot, rare):
    for number, adapter in enumerate([hot] * 9 + [rare]):
        context.slots.request(request(adapter, request_id=f"s{number}"))
        context.slots.decide_requests(NOW_S)
        context.slots.release(f"s{number}")


@when('engine slots get a request for "{adapter}"')
def requested(context, adapter):
    context.slots.request(request(adapter))
    context.decided = context.slots.decide_requests(NOW_S)


@when(
    'engine slots get requests for "{low}" with rank 2 and then for "{high}" with '
    "rank 0"
)
def requested_ranks(context, low, high):
    context.slots.request(request(low, rank=2, at_s=NOW_S - 1))
    context.slots.request(request(high, rank=0))


@when("engine slots get requests for 5 other adapters")
def requested_many(context):
    for number in range(5):
        context.slots.request(request(f"x{number}"))
    context.decided = context.slots.decide_requests(NOW_S)


@when('engine slots see the end of "{adapter}"')
def request_ended(context, adapter):
    context.slots.release(f"r-{adapter}")


@when(
    'engine slots get an announcement of version 2 of "{adapter}" and a request for it'
)
def version_announced(context, adapter):
    assert context.slots.update_newest_version(AdapterNotice("m", adapter, 2))
    requested(context, adapter)


@when("engine slots get a report of a restarted engine with nothing loaded")
def engine_restarted(context):
    assert context.slots.update_report(report(started_ms=2))


@then("engine slots order nothing")
def orders_nothing(context):
    assert context.slots.next_order(NOW_S) is None


@then('engine slots order the {kind} of "{adapter}"')
def orders(context, kind, adapter):
    order = context.slots.next_order(NOW_S)
    assert order is not None
    assert (order.kind.value, order.adapter) == (kind, adapter), order


@then("engine slots order the load of the model")
def orders_model(context):
    order = context.slots.next_order(NOW_S)
    assert order is not None
    assert (order.kind, order.model, order.adapter) == (EngineOrderKind.LOAD, "m", "")


@then('engine slots decline {count:d} with "{reason}"')
def declines(context, count, reason):
    declined = [r for r in context.decided if r.state is AdapterRequestState.DECLINED]
    assert [result.reason for result in declined] == [reason] * count, declined


@then("engine slots grant nothing")
def grants_nothing(context):
    assert context.decided == []


@then("engine slots have {count:d} free slots")
def free_slots(context, count):
    assert context.slots.free_slots == count


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("request"), st.integers(0, 6)),
        st.tuples(st.just("release"), st.integers(0, 6)),
        st.tuples(st.just("loaded"), st.integers(0, 6)),
    ),
    max_size=60,
)


@then("engine slots stay within their limit for any requests, releases and reports")
def within_limit(context):
    @for_all(EVENTS)
    def check(events):
        loaded, loading, sequence = [], [], 0
        slots = new_slots(loaded)
        for number, (event, which) in enumerate(events):
            name, now_s = f"a{which}", NOW_S + number * 0.01
            if event == "request":
                slots.request(request(name, at_s=now_s))
            elif event == "release":
                slots.release(f"r-{name}")
            elif loading:
                loaded.append(loading.pop(0))
            slots.update_report(report(loaded, sequence=sequence, loading=loading))
            slots.decide_requests(now_s)
            order = slots.next_order(now_s)
            if order is None:
                continue
            assert order.expected_sequence == sequence
            sequence += 1
            if order.kind is EngineOrderKind.UNLOAD:
                assert f"m/{order.adapter}" not in slots.pinned_keys
                loaded.remove(order.adapter)
            else:
                loading.append(order.adapter)
            assert len({*loaded, *loading}) <= SPEC.adapter_slots

    check()


@when('engine slots get the same request for "{adapter}" every 0.3 s for 1.2 s')
def repeated(context, adapter):
    context.decided = []
    for number in range(5):
        now_s = NOW_S + 0.3 * number
        if not context.decided:
            context.slots.request(request(adapter, at_s=now_s))
        context.decided += context.slots.decide_requests(now_s)


@then('engine slots have declined it once with "{reason}"')
def declined_once(context, reason):
    assert [result.reason for result in context.decided] == [reason]


@given("engine slots admitted a prompt of {tokens:d} tokens")
def admitted(context, tokens):
    large = dataclasses.replace(request("a", request_id="large"), prompt_tokens=tokens)
    context.slots.request(large)
    (result,) = context.slots.decide_requests(NOW_S)
    assert result.state is AdapterRequestState.GRANTED, result


@when('engine slots get a late request "{old}" and then one in time "{new}" for "a"')
def late_and_new(context, old, new):
    for request_id, left_s in ((old, -0.5), (new, 0.9)):
        waiting = request("a", request_id=request_id)
        context.slots.request(
            dataclasses.replace(
                waiting, prompt_tokens=2000, objective_deadline_s=NOW_S + left_s
            )
        )
    assert context.slots.decide_requests(NOW_S) == []


@when("engine slots see that the prefill has finished")
def prefill_finished(context):
    context.slots.prefill_finished("large", NOW_S + 0.2)
    context.decided = context.slots.decide_requests(NOW_S + 0.2)


@when("engine slots reach the wait deadline of both")
def wait_deadline_passes(context):
    context.decided = context.slots.decide_requests(NOW_S + 1.0)


@then('engine slots grant "{first}" before "{second}"')
def grant_order(context, first, second):
    granted = [r.request.request_id for r in context.decided]
    assert granted == [first, second], granted
    assert all(r.state is AdapterRequestState.GRANTED for r in context.decided)


@given('engine slots of an engine with 4 slots that is loading "{one}" and "{two}"')
def loading_two(context, one, two):
    context.slots = EngineSlots()
    context.slots.set_spec(dataclasses.replace(SPEC, adapter_slots=4))
    context.slots.update_report(report(loading=(one, two)))


@when('engine slots see that "{loaded}" is loaded and "{loading}" is not')
def one_loaded(context, loaded, loading):
    context.slots.update_report(report([loaded], loading=(loading,)))
