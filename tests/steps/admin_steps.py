"""Steps for the administration API."""

from __future__ import annotations

import json
import random
import threading
from urllib.parse import quote

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from openapi_spec_validator import validate as validate_openapi

from lentiltally.admin import AuditFilter
from lentiltally.admin.routes import ROUTES
from lentiltally.clock import SystemClock
from lentiltally.config import (
    ConfigFollower,
    FollowerThread,
)
from tests.fakes.admin_api import SECRETS, Api, make_api
from tests.fakes.config_log import FakeLog


@given("admin API of a process with an empty configuration")
def admin_api(context):
    context.log = FakeLog()
    context.api = make_api(context.log)


@given("admin token {token} has set {path} to {value}")
def admin_has_set(context, token, path, value):
    entry = context.api.follower.tree.get(path)
    condition = ("If-Match", "*") if entry else ("If-None-Match", "*")
    answer = context.api.send(
        "PUT", f"/config{path}", [condition], value.encode(), SECRETS[token]
    )
    assert answer[0] == 200, answer


@when("admin token {token} sends {method} {url} with {headers} and {body}")
def admin_sends(context, token, method, url, headers, body):
    pairs = [] if headers == "none" else [h.split(": ") for h in headers.split("; ")]
    data = b"" if body == "nothing" else body.encode()
    secret = SECRETS.get(token, "no such token")
    context.answer = context.api.send(method, url, pairs, data, secret)


@then("admin answers {status:d}")
def admin_answers(context, status):
    assert context.answer[0] == status, context.answer
    if status >= 400:
        assert context.answer[1]["Content-Type"] == "application/problem+json"


@then("admin answers {status:d} with executed {executed}")
def admin_answers_executed(context, status, executed):
    admin_answers(context, status)
    assert json.loads(context.answer[2])["executed"] == executed, context.answer


@then(
    "admin shows current revision {revision:d} with share {share:f}"
    " and the sent share {sent:f}"
)
def admin_shows_conflict(context, revision, share, sent):
    (conflict,) = json.loads(context.answer[2])["conflicts"]
    assert conflict["current"]["revision"] == revision, conflict
    assert conflict["current"]["value"]["share"] == share, conflict
    assert conflict["yours"]["share"] == sent, conflict


@then("admin answer contains {text}")
def admin_contains(context, text):
    assert text in context.answer[2].decode(), context.answer


def listed_entries(api):
    answer = api.send("GET", "/config?list=1", secret=SECRETS["ann"])
    return json.loads(answer[2])["entries"]


@then("admin lists {paths}")
def admin_lists(context, paths):
    found = " ".join(entry["path"] for entry in listed_entries(context.api))
    assert (found or "nothing") == paths, found


def history(api, path):
    url = f"/config{path}?history=1"
    return json.loads(api.send("GET", url, secret=SECRETS["ann"])[2])["entries"]


@then("admin history of {path} has shares {shares} at revisions {revisions}")
def admin_history(context, path, shares, revisions):
    entries = history(context.api, path)
    found = [entry["value"].get("share", 1.0) for entry in entries]
    assert found == [float(text) for text in shares.split(", ")], entries
    found = [entry["revision"] for entry in entries]
    assert found == [int(text) for text in revisions.split(", ")], entries


def audit_entries(api, query=""):
    answer = api.send("GET", f"/audit?limit=10000{query}", secret=SECRETS["ann"])
    assert answer[0] == 200, answer
    return json.loads(answer[2])["entries"]


@then("admin audit has one record of {path} with outcome {outcome}")
def admin_audit_one(context, path, outcome):
    (entry,) = audit_entries(context.api)
    assert entry["path"] == path, entry
    assert entry["outcome"] == outcome and entry["source_address"] == "192.0.2.1"


@then("admin audit of {actor} from {address} is")
def admin_audit_is(context, actor, address):
    def share(value):
        return str(value["share"]) if isinstance(value, dict) else "-"

    def shown(value):
        return "-" if value is None else str(value)

    entries = audit_entries(context.api, f"&actor={actor}&since=2026-01-01T00:00:00Z")
    assert len(entries) == len(context.table.rows), entries
    for entry, row in zip(entries, context.table, strict=True):
        assert entry["source_address"] == address
        found = [entry["outcome"], share(entry["before"]), share(entry["after"])]
        found += [shown(entry["revision"]), shown(entry["offset"])]
        assert found == list(row.cells), entry
    assert audit_entries(context.api, "&until=2026-01-01T00:00:00Z") == []


@then("admin streams hold no token")
def admin_no_token(context):
    for records in context.log.streams.values():
        assert not any(b"secret-" in bytes(record.value) for record in records)


@given("admin log is down")
def admin_log_down(context):
    context.log.is_down = True


@given("admin log is up and loses {losses}")
def admin_log_up(context, losses):
    context.log.is_down = False
    context.log.append_faults = ["dropped"] * 1000 if losses == "all answers" else []


@when("admin receives {count:d} requests with a wrong token")
def admin_receives(context, count):
    for _ in range(count):
        assert context.api.send("GET", "/status", secret="wrong")[0] == 401


@then("admin has {count:d} audit records waiting")
def admin_waiting(context, count):
    assert context.api.audit.pending == count


@when("admin log is up and audit is flushed")
def admin_flushed(context):
    context.log.is_down = False
    assert context.api.audit.flush()


@then("admin audit has {count:d} records, one of which counts {dropped:d} dropped")
def admin_audit_dropped(context, count, dropped):
    entries = audit_entries(context.api)
    assert len(entries) == count, len(entries)
    assert any(e["reason"].startswith(f"{dropped} records") for e in entries)


@then("admin OpenAPI document is valid and lists exactly the routes")
def admin_openapi(context):
    status, _, body = context.api.send("GET", "/openapi.json")
    document = json.loads(body)
    assert status == 200
    validate_openapi(document)
    described = {
        (method.upper(), path.removesuffix("/{path}"))
        for path, methods in document["paths"].items()
        for method in methods
    }
    routes = {(route.method, route.path) for route in ROUTES}
    assert described == routes | {("GET", "/openapi.json")}, described ^ routes


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda value: (
        st.lists(value, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ["path", "value", "changes", "share", "expected_revision", "versions"]
            )
            | st.text(max_size=4),
            value,
            max_size=4,
        )
    ),
    max_leaves=8,
)
URLS = st.sampled_from(
    ["/config:batch", "/config:rollback", "/config", "/audit", "/status", "/x"]
) | st.builds(
    "/config{}".format,
    st.sampled_from(["/teams/a/limits", "/targets/x", "/teams/a/adapters/b"])
    | st.text(max_size=20),
)
QUERIES = st.builds(
    "{}={}&{}={}".format,
    st.sampled_from(["list", "history", "dry_run", "limit", "after", "since", "x"]),
    st.sampled_from(["1", "", "-1", "9" * 30, "2026-01-01", "%ff", "\u0663"]),
    st.sampled_from(["list", "until", "actor", "path", "note"]),
    st.text(max_size=5).map(quote),
)
HEADERS = st.lists(
    st.tuples(
        st.sampled_from(
            ["If-Match", "If-None-Match", "Content-Type", "Accept", "Change-Id"]
        ),
        st.sampled_from(["*", '"1"', 'W/"0"', "application/toml", "abcdefgh"])
        | st.text(st.characters(min_codepoint=32, max_codepoint=255), max_size=10),
    ),
    max_size=3,
)
TOML = st.sampled_from(
    [b"share = nan", b"share = 1979-05-27", b"a = " + b"[" * 5000, b"share = inf"]
)
BODIES = (
    JSON.map(lambda value: json.dumps(value).encode())
    | TOML
    | st.binary(max_size=30)
    | st.sampled_from([b"[" * 100_000, b'{"share":1e999}', b'{"share":' + b"9" * 500])
)


@then("admin answers random requests with problem documents and no status above 499")
def admin_random(context):
    @settings(max_examples=1500)
    @for_all(
        st.sampled_from(["GET", "PUT", "DELETE", "POST", "HEAD", "X"]),
        URLS,
        QUERIES | st.just(""),
        HEADERS,
        BODIES,
    )
    def check(method, url, query, headers, body):
        answer = context.api.send(
            method,
            f"{url.replace('?', '')}?{query}",
            headers,
            body,
            SECRETS["ann"],
        )
        assert answer[0] < 500, answer
        if answer[0] >= 400 and method != "HEAD":
            problem = json.loads(answer[2])
            assert problem["status"] == answer[0]
            assert "Traceback" not in problem["detail"]

    check()
    for entry in listed_entries(context.api):
        assert context.api.follower.tree.get(entry["path"]) is not None


@given("admin API of two processes whose log loses answers")
def admin_two_processes(context):
    rng = random.Random(7)
    context.log = FakeLog()
    context.log.append_faults = rng.choices(
        ["no", "written", "dropped"], [80, 10, 10], k=3000
    )
    context.threads, context.apis = [], []
    for _ in range(2):
        thread = FollowerThread(
            ConfigFollower(context.log, SystemClock()), long_poll_ms=200
        )
        thread.start()
        assert thread.wait_past(-1, 30)
        context.threads.append(thread)
        context.apis.append(Api(context.log, SystemClock(), thread, 30.0))


@when("admin operators make {count:d} concurrent changes on {paths:d} paths")
def admin_concurrent_changes(context, count, paths):
    answers = [[], []]

    def make_changes(index):
        rng = random.Random(index)
        api = context.apis[index]
        for number in range(count // 2):
            path = f"/teams/team{rng.randrange(paths)}/limits"
            entry = api.follower.tree.get(path)
            condition = ("If-None-Match", "*")
            if entry is not None:
                condition = ("If-Match", f'"{entry.revision}"')
            # Each change sets a different value, so that the value identifies it.
            body = json.dumps({"max_concurrent": 1 + number * 2 + index}).encode()
            answer = api.send(
                "PUT", f"/config{path}", [condition], body, SECRETS["ann"]
            )
            answers[index].append((path, 1 + number * 2 + index, answer))

    workers = [
        threading.Thread(target=make_changes, args=(i,), daemon=True) for i in range(2)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    context.answers = answers[0] + answers[1]


@then("admin answers match the log, the history and the audit trail in order")
def admin_changes_match(context):
    try:
        end = context.log.bounds("config").next_offset - 1
        assert all(thread.wait_past(end, 30) for thread in context.threads)
        accepted = {}
        for path, number, (status, headers, body) in context.answers:
            assert status in {200, 412}, (status, body)
            if status == 200:
                accepted.setdefault(path, {})[int(headers["ETag"][1:-1])] = number
        # The history has the revisions that were returned to the operators, in order.
        for path, expected in accepted.items():
            for api in context.apis:
                found = [
                    (entry["revision"], entry["value"]["max_concurrent"])
                    for entry in history(api, path)
                ]
                assert found == sorted(expected.items()), path
            newest = max(expected)
            current = context.threads[0].tree.get(path)
            assert (current.revision, current.value.max_concurrent) == (
                newest,
                expected[newest],
            )
        while not all(api.audit.flush() for api in context.apis):
            pass
        records = context.apis[0].audit.query(AuditFilter(path="/teams"))
        outcomes = [record.outcome for record in records]
        assert outcomes.count("accepted") == sum(map(len, accepted.values()))
        assert len(records) == len(context.answers) == 500, len(records)
        value = dict.fromkeys(accepted)
        for record in records:
            if record.outcome == "accepted":
                assert record.before == value[record.path], record
                assert (
                    accepted[record.path][record.revision]
                    == (record.after["max_concurrent"])
                )
                full = context.threads[0].tree.get(record.path).value
                defaults = {"share": full.share, "deadline_s": full.deadline_s}
                defaults["criticality"] = full.criticality
                value[record.path] = {**defaults, **record.after}
    finally:
        for thread in context.threads:
            thread.stop()
