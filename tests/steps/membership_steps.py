"""Steps for membership."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then

from lentiltally.decisions.membership import HOST_LIST_MAX_AGE_S, Membership
from lentiltally.wire.messages import TargetCounts, TargetState


def _state(incarnation, sequence, status):
    return TargetState(
        agent="agent",
        agent_address="addr",
        agent_incarnation=incarnation,
        sequence=sequence,
        target="x",
        kind="engine",
        base_model="m",
        failure_domain="d1",
        status=status,
        reason="",
        engine_incarnation="",
        counts=TargetCounts(),
        batch_places=1,
        adapter_slots=1,
        resident=(),
    )


def _list(membership, status, now_s):
    host = SimpleNamespace(host="host", address="addr", status=status)
    if status == "fails":
        membership.host_list_failed(now_s)
    else:
        membership.host_list_received([] if status == "absent" else [host], now_s)


@given("membership after {history}")
def membership_after(context, history):
    events = [event.split() for event in history.split(", ")]
    has_max_age = events[0][1] == "max-age"
    membership = Membership(HOST_LIST_MAX_AGE_S if has_max_age else None)
    for at, word, *rest in events:
        now_s = float(at)
        if ":" in word:
            incarnation, _, sequence = word.partition(":")
            membership.apply_state(_state(incarnation, int(sequence), rest[0]), now_s)
        elif word == "list":
            _list(membership, rest[0], now_s)
        elif word == "unreachable":
            membership.unreachable("agent", now_s)
        elif word == "message":
            membership.record_contact("agent", now_s)
        elif word == "dispatched":
            membership.dispatched("agent", now_s)
        elif word == "completed":
            membership.completed("agent")
    context.membership = membership


@then("membership at {now_s:g} gives {reason}")
def membership_gives(context, now_s, reason):
    eligibility = context.membership.eligible("x", now_s)
    assert eligibility.reason.name == reason, eligibility
    assert eligibility.ok == (reason == "OK")


@then("membership at {now_s:g} has unreachable domains {names}")
def membership_domains(context, now_s, names):
    assert context.membership.unreachable_domains(now_s) == set(names.split())
