"""Steps for the parse and resolve filters of the pipeline."""

from __future__ import annotations

import json
from datetime import UTC, datetime

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.config import ChangeItem, ChangeRecord, ConfigTree, new_change_id
from lentiltally.exchange import Answer, CallerRequest, Exchange
from lentiltally.pipeline import ParseFilter, ResolveFilter
from lentiltally.problems import Refusal

MAX_KEY_BYTES = 32
VALUES = {
    "/teams/t/adapters/a": {
        "base_model": "m",
        "versions": {"1": {"source": "a/1"}},
    },
    "/teams/t/services/s": {
        "targets": ["s1"],
        "non_idempotent": [{"method": "POST", "path_prefix": "/b"}],
    },
}


def _exchange(method, path, body, headers=None):
    return Exchange(CallerRequest(method, path, "", headers or {}, body, 0.0), "r")


def _pass_on(exchange):
    return Answer(200, (), exchange)


def _run(context, exchange, *filters):
    def handler(current, rest):
        if not rest:
            return _pass_on(current)
        return rest[0](current, lambda passed_on: handler(passed_on, rest[1:]))

    try:
        context.result = handler(exchange, filters).body
        context.refusal = None
    except Refusal as refusal:
        context.refusal = refusal


@when("parse receives {method} {path} with body {body}")
def parse_request(context, method, path, body):
    exchange = _exchange(method, path, body.encode())
    _run(context, exchange, ParseFilter(MAX_KEY_BYTES))


@when("parse receives an idempotency key of {length:d} {kind} characters")
def parse_key(context, length, kind):
    key = ("\x01" if kind == "control" else "k") * length
    exchange = _exchange("GET", "/v1/models", b"", {"idempotency-key": key})
    _run(context, exchange, ParseFilter(MAX_KEY_BYTES))


@then("parse refuses with {status:d} {reason} and reports that it was not executed")
def parse_refuses(context, status, reason):
    refusal = context.refusal
    assert refusal is not None, "the request was accepted"
    actual = (refusal.status, refusal.reason, refusal.executed)
    assert actual == (status, reason, "no"), actual


@when("parse receives arbitrary bodies")
def parse_arbitrary(context):
    documents = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ["model", "prompt", "messages", "stream", "max_tokens"]
                ),
                inner,
                max_size=5,
            )
        ),
    )
    bodies = documents.map(lambda value: json.dumps(value).encode()) | st.binary()

    @for_all(bodies)
    def check(body):
        _run(
            context,
            _exchange("POST", "/v1/completions", body),
            ParseFilter(MAX_KEY_BYTES),
        )
        assert context.refusal is None or context.refusal.status == 400

    check()


@then("parse has answered or refused each of them")
def parse_answered(context):
    assert context.refusal is not None or context.result is not None


@given("resolve has team t with adapter a at version 1 and service s")
def resolve_tree(context):
    items = tuple(ChangeItem(path, 0, value) for path, value in VALUES.items())
    record = ChangeRecord(
        new_change_id(), "o", "127.0.0.1", datetime(2026, 1, 1, tzinfo=UTC), items
    )
    context.tree = ConfigTree.empty().apply(record, 0).tree


@given("resolve has team t whose limits are {limits}")
def resolve_limits(context, limits):
    resolve_tree(context)
    if limits != "not configured":
        items = (ChangeItem("/teams/t/limits", 0, json.loads(limits)),)
        record = ChangeRecord(
            new_change_id(), "o", "127.0.0.1", datetime(2026, 1, 2, tzinfo=UTC), items
        )
        context.tree = context.tree.apply(record, 1).tree


@when("resolve looks up {kind:w} {name} at an entry with a default deadline of 7 s")
def resolve_with_default(context, kind, name):
    if kind == "model":
        body = json.dumps({"model": name, "prompt": "x"}).encode()
        exchange = _exchange("POST", "/v1/completions", body)
    else:
        exchange = _exchange("GET", f"/services/{name}/x", b"")
    _resolve(context, exchange, default_deadline_s=7.0)


@then("resolve sets a deadline of {deadline_s:g} s")
def resolve_deadline(context, deadline_s):
    assert context.refusal is None, context.refusal
    assert context.result.work.deadline_s == deadline_s, context.result.work


def _resolve(context, exchange, default_deadline_s=60.0):
    resolve = ResolveFilter(lambda: context.tree, default_deadline_s)
    _run(context, exchange, ParseFilter(MAX_KEY_BYTES), resolve)


@when("resolve looks up model {model}")
def resolve_model(context, model):
    body = json.dumps({"model": model, "prompt": "x"}).encode()
    _resolve(context, _exchange("POST", "/v1/completions", body))


@when("resolve looks up service {method} {path}")
def resolve_service(context, method, path):
    _resolve(context, _exchange(method, path, b"x"))


@then("resolve answers {result}")
def resolve_answers(context, result):
    if context.refusal is not None:
        actual = f"{context.refusal.status} {context.refusal.reason}"
    else:
        work = context.result.work
        idempotency = "idempotent" if work.is_idempotent else "not-idempotent"
        words = [work.team, work.adapter, work.version, idempotency]
        actual = " ".join([*words, *(["key"] if work.is_keyed else [])])
    assert actual.split() == result.split(), actual


@when("resolve receives a body with priority {priority:d}")
def resolve_priority(context, priority):
    document = {"model": "t/a@1", "prompt": "x", "priority": priority}
    body = json.dumps(document).encode()
    _resolve(context, _exchange("POST", "/v1/completions", body))


@then("resolve passes the body on without a priority")
def resolve_no_priority(context):
    assert json.loads(context.result.body) == {"model": "t/a@1", "prompt": "x"}
