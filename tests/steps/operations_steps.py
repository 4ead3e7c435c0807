"""Steps for the operators' requests on claims and the quarantine."""

from __future__ import annotations

import json

from behave import given, then, when

from lentiltally.admin import AdminApplication
from lentiltally.clock import ManualClock
from lentiltally.decisions.claims import ClaimRecord, ClaimTable, OutcomeRecord
from lentiltally.decisions.quarantine import CrashRecord, Quarantine
from tests.fakes.admin_api import (
    NOW,
    SECRETS,
    FixedStatus,
    make_api,
    make_tokens,
)
from tests.fakes.config_log import FakeLog


class FakeOperations:
    """Applies each record to the real claim and quarantine tables at once."""

    def __init__(self):
        self.claims, self.quarantine, self.offset = ClaimTable(), Quarantine(), 0

    def apply(self, table, record):
        table.apply(record, self.offset, self.offset)
        self.offset += 1

    def claim(self, team, key):
        return self.claims.status_for_any_body(team, key)

    def settle(self, record):
        self.apply(self.claims, record)

    def quarantined(self):
        return self.quarantine.quarantined()

    def lift(self, record):
        self.apply(self.quarantine, record)


def _start(context):
    clock = ManualClock(NOW)
    context.api = make_api(FakeLog(), clock)
    context.operations = FakeOperations()
    context.api.application = AdminApplication(
        context.api.follower,
        None,
        context.api.audit,
        make_tokens(clock.now()),
        status_source=FixedStatus(),
        clock=clock,
        history=None,
        operations=context.operations,
    )


def _post(context, path, document, actor):
    return context.api.send(
        "POST",
        path,
        [("Content-Type", "application/json")],
        json.dumps(document).encode(),
        SECRETS[actor],
    )


@given("operations with a claim that is {state}")
def operations_claim(context, state):
    _start(context)
    apply = context.operations.apply
    claims = context.operations.claims
    apply(claims, ClaimRecord("a", "k", b"d", "c-1", "x", "agent", "run"))
    if state != "open":
        executed = "yes" if state == "finished" else "unknown"
        apply(claims, OutcomeRecord("a", "k", "c-1", executed, 200, "text/plain", b"x"))


@when('operations receive finding "{executed}" on claim {claim} from {actor}')
def operations_settle(context, executed, claim, actor):
    document = {"team": "a", "key": "k", "claim_id": claim, "executed": executed}
    context.reply = _post(context, "/claims:settle", document, actor)


@then("operations answer {status:d} and the claim state is {after}")
def operations_answer(context, status, after):
    assert context.reply[0] == status, context.reply
    state = type(context.operations.claim("a", "k")).__name__.lower()
    assert state == after, state
    # Each request queues one audit record, whether it is accepted or refused.
    assert context.api.audit.pending == 1


@given("operations with a quarantined request")
def operations_quarantined(context):
    _start(context)
    apply = context.operations.apply
    for run in ("run-1", "run-2"):
        apply(context.operations.quarantine, CrashRecord("x", run, ("f",)))
    assert context.operations.quarantined()


@when("operations lift the quarantine twice")
def operations_lift(context):
    context.replies = [
        _post(context, "/quarantine:lift", {"fingerprint": "f"}, "ann")[0]
        for _ in range(2)
    ]


@then("operations answer 200 and then 404, and nothing is quarantined")
def operations_lifted(context):
    assert context.replies == [200, 404], context.replies
    assert not context.operations.quarantined()
