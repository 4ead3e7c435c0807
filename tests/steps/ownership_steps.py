"""Steps for the ownership of one target."""

from __future__ import annotations

from behave import given, then

from lentiltally.decisions.ownership import LeaseRecord, Ownership


@given("ownership after {history}")
def ownership_after(context, history):
    ownership, requested_at_s = Ownership("x", "agent", "me", 0.0), 0.0
    for event in history.split(", "):
        at, word, *rest = event.split()
        now_s = float(at)
        if word == "lease":
            incarnation, offset, *minimum = rest
            record = LeaseRecord("x", "agent", incarnation, int((minimum or [0])[0]))
            ownership.apply(record, int(offset))
        elif word == "read":
            ownership.stream_read(now_s, now_s)
        elif word == "start-read":
            requested_at_s = now_s
            ownership.may_order(now_s)
        elif word == "finish-read":
            ownership.stream_read(requested_at_s, now_s)
        elif word == "down":
            ownership.log_unavailable(now_s)
        elif word == "engine":
            ownership.engine_reported(int(rest[0]), now_s, now_s)
    context.ownership = ownership


@then("ownership at {now_s:g} has token {token} and {verdict}")
def ownership_has(context, now_s, token, verdict):
    may_order = context.ownership.may_order(now_s)
    assert may_order == (verdict == "orders")
    expected = None if token == "none" else int(token)
    assert context.ownership.token == expected, context.ownership.token


@then("ownership needs {record}")
def ownership_needs(context, record):
    assert context.ownership.needs_lease_record == (record != "nothing")
    if record != "nothing":
        minimum = context.ownership.record().min_token
        assert record == f"min token {minimum}", minimum
