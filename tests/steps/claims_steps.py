"""Steps for the table of claims."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions import claims
from lentiltally.decisions.claims import ClaimTable

HOUR_MS = 3600 * 1000
KINDS = ["claim", "outcome", "unknown", "abandon", "settle-yes", "settle-no"]


def _record(kind, claim_id, key="k", body=b"d"):
    start = ("t", key, claim_id)
    return {
        "claim": claims.ClaimRecord("t", key, body, claim_id, "x", "agent", "run"),
        "outcome": claims.OutcomeRecord(*start, "yes", 200, "text/plain", b"answer"),
        "unknown": claims.OutcomeRecord(*start, "unknown"),
        "abandon": claims.AbandonRecord(*start),
        "settle-yes": claims.SettleRecord(*start, "yes", "operator"),
        "settle-no": claims.SettleRecord(*start, "no", "operator"),
    }[kind]


def _text(status):
    claim_id = getattr(status, "claim_id", "")
    return f"{type(status).__name__} {claim_id}".strip()


@given("claims after {history}")
def claims_after(context, history):
    context.claim_table = ClaimTable()
    for offset, event in enumerate(history.split(", ")):
        hour, kind, *claim_id = event.split()
        if kind == "nothing":
            continue
        is_tick = kind == "tick"
        record = _record("claim", "z", "other") if is_tick else _record(kind, *claim_id)
        context.claim_table.apply(record, offset, int(hour) * HOUR_MS)


@then("claims have status {status} for body {body}")
def claims_have_status(context, status, body):
    assert _text(context.claim_table.status("t", "k", body.encode())) == status


def _replayed_status(log):
    """Return the status of a key from all its records, without buckets or packing."""
    seen, abandoned, states = [], set(), {}
    for kind, claim_id in log:
        if kind == "claim":
            if claim_id not in abandoned and claim_id not in seen:
                seen.append(claim_id)
                states[claim_id] = "Open"
            continue
        state = states.get(claim_id)
        if kind == "abandon":
            abandoned.add(claim_id)
            if state in {"Open", "Unknown"}:
                seen.remove(claim_id)
                del states[claim_id]
        elif kind == "outcome" and state is not None:
            states[claim_id] = "Finished"
        elif kind == "unknown" and state == "Open":
            states[claim_id] = "Unknown"
        elif kind == "settle-yes" and state in {"Open", "Unknown"}:
            states[claim_id] = "SettledExecuted"
        elif kind == "settle-no" and state in {"Open", "Unknown"}:
            abandoned.add(claim_id)
            seen.remove(claim_id)
            del states[claim_id]
    return f"{states[seen[0]]} {seen[0]}" if seen else "Free"


@then("claims agree with a reference replay of random logs")
def claims_replay(context):
    keys, ids = st.sampled_from(["k", "l"]), st.sampled_from("abc")
    logs = st.lists(st.tuples(st.sampled_from(KINDS), ids, keys), max_size=30)

    @for_all(logs)
    def check(log):
        table = ClaimTable()
        for offset, (kind, claim_id, key) in enumerate(log):
            table.apply(_record(kind, claim_id + key, key), offset, offset)
            table.apply(_record(kind, claim_id + key, key), offset, offset)
            past = [(k, c + y) for k, c, y in log[: offset + 1] if y == key]
            assert _text(table.status("t", key, b"d")) == _replayed_status(past)

    check()


@then("claims agree with a table built from the last key lifetime of the log")
def claims_truncated(context):
    kinds = st.sampled_from(["claim", "outcome", "abandon"])
    events = st.tuples(kinds, st.integers(0, 3), st.integers(0, 6))

    @for_all(st.lists(events, max_size=30))
    def check(log):
        complete, records, time_ms, count = ClaimTable(), [], 0, 0
        for kind, number, hours in log:
            time_ms += hours * HOUR_MS
            count += kind == "claim"
            claim_id = f"c-{max(0, count - (0 if kind == 'claim' else number))}"
            records.append((_record(kind, claim_id), time_ms))
        for offset, (record, at_ms) in enumerate(records):
            complete.apply(record, offset, at_ms)
        truncated = ClaimTable()
        for offset, (record, at_ms) in enumerate(records):
            if at_ms >= time_ms - claims.KEY_LIFETIME_MS:
                truncated.apply(record, offset, at_ms)
        assert _text(complete.status("t", "k", b"d")) == _text(
            truncated.status("t", "k", b"d")
        )

    check()
