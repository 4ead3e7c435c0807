"""Handlers for claims and the quarantine."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import msgspec

from lentiltally.admin.bodies import decode_table, encode_document
from lentiltally.admin.context import Call, Operations
from lentiltally.admin.messages import ProblemError, Response
from lentiltally.decisions.claims import (
    ClaimStatus,
    Free,
    SettleRecord,
    Unknown,
)
from lentiltally.decisions.quarantine import LiftRecord

QUARANTINE_PATH = "/platform/quarantine"


def get_claim(call: Call) -> Response:
    """Return what became of a key of non-idempotent work."""
    team, key = _text(call.request.query, "team"), _text(call.request.query, "key")
    call.require("read", f"/teams/{team}")
    status = _operations(call).claim(team, key)
    return encode_document(_claim_document(status))


def post_settle(call: Call) -> Response:
    """Record an operator's finding on a key whose outcome is unknown."""
    body = decode_table(call.request)
    team, key = _text(body, "team"), _text(body, "key")
    claim_id, executed = _text(body, "claim_id"), _text(body, "executed")
    path = f"/teams/{team}"
    call.require("write", path)
    if executed not in {"yes", "no"}:
        raise _unprocessable("executed must be yes or no")
    status = _operations(call).claim(team, key)
    if not isinstance(status, Unknown):
        # The work of an open claim may still run; a retry by its caller resolves it.
        raise _conflict("the outcome of the key is not unknown")
    if status.claim_id != claim_id:
        raise _conflict(f"the key is held by claim {status.claim_id}")
    record = SettleRecord(team, key, claim_id, executed, call.token.actor)
    _operations(call).settle(record)
    call.record_audit("accepted", path, reason=f"settled {claim_id}", after=executed)
    return encode_document({"claim_id": claim_id, "executed": executed})


def get_quarantine(call: Call) -> Response:
    """Return the requests that are stopped because they crash targets."""
    call.require("read", QUARANTINE_PATH)
    requests = [
        {
            "fingerprint": request.fingerprint,
            "target": request.target,
            "time_ms": request.time_ms,
        }
        for request in _operations(call).quarantined()
    ]
    return encode_document({"quarantined": requests})


def post_lift(call: Call) -> Response:
    """Let a quarantined request run again."""
    body = decode_table(call.request)
    fingerprint = _text(body, "fingerprint")
    call.require("write", QUARANTINE_PATH)
    quarantined = {request.fingerprint for request in _operations(call).quarantined()}
    if fingerprint not in quarantined:
        raise ProblemError(HTTPStatus.NOT_FOUND, "the fingerprint is not quarantined")
    _operations(call).lift(LiftRecord(fingerprint, call.token.actor))
    call.record_audit("accepted", QUARANTINE_PATH, reason=f"lifted {fingerprint}")
    return encode_document({"lifted": fingerprint})


def _operations(call: Call) -> Operations:
    operations = call.dependencies.operations
    if operations is None:
        raise ProblemError(HTTPStatus.NOT_FOUND, "this process follows no claims")
    return operations


def _claim_document(status: ClaimStatus) -> dict[str, Any]:
    document = {"state": type(status).__name__.lower()}
    if isinstance(status, Free):
        return document
    for name in ("claim_id", "target", "agent", "agent_incarnation"):
        value = getattr(status, name, None)
        if value is not None:
            document[name] = value
    return document


def _text(values: Any, name: str) -> str:
    """Return a member of a body or query as a text; raises ProblemError."""
    value = values.get(name)
    try:
        text = msgspec.convert(value, str)
    except msgspec.ValidationError:
        text = ""
    if not text or len(text) > 512 or not text.isprintable():
        raise _unprocessable(f"{name} must be a text of 1 to 512 characters")
    return text


def _unprocessable(detail: str) -> ProblemError:
    return ProblemError(HTTPStatus.UNPROCESSABLE_ENTITY, detail, executed="no")


def _conflict(detail: str) -> ProblemError:
    return ProblemError(HTTPStatus.CONFLICT, detail, executed="no")
