"""Handlers that change the configuration."""

from __future__ import annotations

import hashlib
import re
from http import HTTPStatus
from typing import Any

import msgspec

from lentiltally.admin.audit import AuditRecord, Outcome
from lentiltally.admin.bodies import decode_table, encode_document
from lentiltally.admin.context import Call
from lentiltally.admin.messages import ProblemError, Response
from lentiltally.admin.preconditions import entry_document, etag, expected_revision
from lentiltally.config import (
    ChangeItem,
    ChangeRecord,
    ConfigTree,
    Entry,
    new_change_id,
)
from lentiltally.config.changes import MAX_ITEMS, MUST_NOT_EXIST
from lentiltally.config.checks import cross_check
from lentiltally.config.publisher import (
    Accepted,
    Conflicted,
    PublishResult,
    Refused,
    Unavailable,
)

_MAX_NOTE_CHARACTERS = 500
_MAX_REVISION = 2**53
_CLIENT_CHANGE_ID = re.compile(r"[!-~]{8,128}")


def put_value(call: Call, path: str) -> Response:
    """Set the value of one path."""
    call.require("write", path)
    path = call.parse_path(path)
    expected = expected_revision(call.request, call.dependencies.tree().get(path))
    item = ChangeItem(path, expected, decode_table(call.request))
    return _apply_change(call, (item,), _parse_note(call.request.query.get("note", "")))


def delete_value(call: Call, path: str) -> Response:
    """Delete one path."""
    call.require("write", path)
    path = call.parse_path(path)
    expected = expected_revision(call.request, call.dependencies.tree().get(path))
    if expected == MUST_NOT_EXIST:
        detail = "If-None-Match: * can't be met by a deletion"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
    item = ChangeItem(path, expected, None)
    return _apply_change(call, (item,), _parse_note(call.request.query.get("note", "")))


def post_batch(call: Call) -> Response:
    """Change several paths together."""
    body = decode_table(call.request)
    changes = body.get("changes")
    if not isinstance(changes, list) or not 1 <= len(changes) <= MAX_ITEMS:
        raise _unprocessable(f"changes must be a list of 1 to {MAX_ITEMS} tables")
    _forbid_unknown_keys(body, {"changes", "note"})
    items = tuple(_batch_item(call, change) for change in changes)
    return _apply_change(call, items, _parse_note(body.get("note", "")))


def post_rollback(call: Call) -> Response:
    """Set a path to the value that it had at an earlier revision."""
    body = decode_table(call.request)
    _forbid_unknown_keys(body, {"path", "to_revision", "expected_revision", "note"})
    path = _writable_path(call, body.get("path"))
    to_revision = _parse_revision(body.get("to_revision"), "to_revision")
    expected = _parse_revision(body.get("expected_revision"), "expected_revision")
    note = _parse_note(body.get("note", "")) or f"rollback to revision {to_revision}"
    value = None
    if to_revision != MUST_NOT_EXIST:
        value = _value_at(call, path, to_revision)
    return _apply_change(call, (ChangeItem(path, expected, value),), note)


def _value_at(call: Call, path: str, revision: int) -> dict[str, Any] | None:
    for entry in call.dependencies.history.entries(path):
        if entry.revision == revision:
            return entry.value
    detail = f"revision {revision} of {path} is not in the retained history"
    raise ProblemError(HTTPStatus.NOT_FOUND, detail)


def _batch_item(call: Call, change: object) -> ChangeItem:
    if not isinstance(change, dict):
        raise _unprocessable("each change must be a table")
    _forbid_unknown_keys(change, {"path", "value", "delete", "expected_revision"})
    path = _writable_path(call, change.get("path"))
    deletes = change.get("delete", False)
    value = change.get("value")
    if not isinstance(deletes, bool) or deletes == ("value" in change):
        raise _unprocessable(f"{path}: give value, or delete as true")
    if not deletes and not isinstance(value, dict):
        raise _unprocessable(f"{path}: value must be a table")
    expected = change.get("expected_revision")
    if expected == "any":
        return ChangeItem(path, None, value)
    return ChangeItem(path, _parse_revision(expected, "expected_revision"), value)


def _writable_path(call: Call, text: object) -> str:
    """Return a path that the token may write; raises ProblemError."""
    if not isinstance(text, str):
        raise _unprocessable("path must be a text")
    call.require("write", text)
    return call.parse_path(text)


def _apply_change(call: Call, items: tuple[ChangeItem, ...], note: str) -> Response:
    """Check a change, then publish it, or only show its effect if it is a dry run."""
    record = ChangeRecord(
        _change_id(call),
        call.token.actor,
        call.request.source_address,
        call.dependencies.clock.now(),
        items,
        note,
    )
    problems = ConfigTree.check(record)
    if problems:
        shown = [msgspec.to_builtins(problem) for problem in problems[:50]]
        reason = "; ".join(map(str, problems[:5]))
        for item in items:
            call.record_audit("refused", item.path, reason=reason, after=item.value)
        problem = _unprocessable("the change is not valid", problems=shown)
        problem.is_audited = True
        raise problem
    if call.request.flag("dry_run"):
        return _dry_run(call, record)
    result = call.dependencies.publisher.publish(record)
    _audit_result(call, record, result)
    try:
        return _result_response(call, record, result)
    except ProblemError as problem:
        problem.is_audited = True
        raise


def _change_id(call: Call) -> str:
    """Return the id of a change, by which copies of it in the log are recognised.

    It is random, or with a Change-Id header a digest that is equal if the same request
    is repeated. The digest covers the whole request, so that another change with the
    same Change-Id is not taken for a copy.
    """
    request = call.request
    client_id = request.headers.get("change-id")
    if client_id is None:
        return new_change_id()
    if not _CLIENT_CHANGE_ID.fullmatch(client_id):
        detail = "Change-Id must be 8 to 128 visible characters"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
    parts = [call.token.actor, client_id, request.method, request.path]
    parts += [request.headers.get("if-match", ""), request.query.get("note", "")]
    parts += [request.headers.get("if-none-match", ""), request.body.hex()]
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:32]


def _dry_run(call: Call, record: ChangeRecord) -> Response:
    tree = call.dependencies.tree()
    mismatches = tree.mismatches(record.items)
    if mismatches:
        current = {mismatch.path: mismatch.current for mismatch in mismatches}
        raise _precondition_failed(record, current)
    changed_tree = tree.apply(
        msgspec.structs.replace(record, change_id=new_change_id()), tree.offset
    ).tree
    document = {
        "dry_run": True,
        "changes": [
            {
                "path": item.path,
                "before": entry_document(tree.get(item.path)),
                "after": item.value,
            }
            for item in record.items
        ],
        "warnings": _warnings(changed_tree, record),
    }
    return encode_document(document)


def _warnings(tree: ConfigTree, record: ChangeRecord) -> list[str]:
    # Each check decodes all targets, so a large change gets one check of all paths.
    if len(record.items) > 20:
        return [str(problem) for problem in cross_check(tree)[:50]]
    return [
        str(problem)
        for item in record.items
        for problem in cross_check(tree, item.path)
    ]


def _result_response(
    call: Call, record: ChangeRecord, result: PublishResult
) -> Response:
    if isinstance(result, Accepted):
        document = {
            "change_id": record.change_id,
            "offset": result.offset,
            "revisions": result.revisions,
            "warnings": _warnings(call.dependencies.tree(), record),
        }
        tag = etag(result.offset + 1)
        return encode_document(document, HTTPStatus.OK, ETag=tag)
    if isinstance(result, Conflicted):
        raise _precondition_failed(record, result.current)
    if isinstance(result, Refused):
        raise _unprocessable("the change is not valid")
    if isinstance(result, Unavailable):
        raise ProblemError(
            HTTPStatus.SERVICE_UNAVAILABLE,
            "the log can't take changes now",
            headers={"Retry-After": str(max(1, round(result.retry_after_s)))},
            executed="no",
            step="publish",
            peer="log",
        )
    raise ProblemError(
        HTTPStatus.GATEWAY_TIMEOUT,
        "it is not known whether the change takes effect; the same request with the"
        " same Change-Id is safe and tells",
        executed="unknown",
        step="publish",
        peer="log",
        change_id=record.change_id,
    )


def _audit_result(call: Call, record: ChangeRecord, result: PublishResult) -> None:
    """Append one audit record for each path of a published change."""
    tree = call.dependencies.tree()
    before: tuple[Entry | None, ...] | None = None
    outcome: Outcome = "unknown"
    offset = None
    if isinstance(result, Accepted):
        outcome, offset, before = "accepted", result.offset, result.before
    elif isinstance(result, Conflicted):
        outcome, offset = "conflict", result.offset
        before = tuple(result.current[item.path] for item in record.items)
    elif isinstance(result, Unavailable):
        outcome = "unavailable"
    audit_records = []
    for index, item in enumerate(record.items):
        replaced = before[index] if before else None
        revision = None
        if isinstance(result, Accepted):
            revision = result.revisions[item.path]
        audit_record = AuditRecord(
            at=record.at,
            actor=record.author,
            source_address=record.source_address,
            action=call.request.method,
            path=item.path,
            outcome=outcome,
            config_offset=tree.offset if offset is None else offset,
            before=None if replaced is None else msgspec.to_builtins(replaced.value),
            after=item.value,
            revision=revision,
            offset=offset,
            change_id=record.change_id,
            reason=record.note,
        )
        audit_records.append(audit_record)
    call.dependencies.audit.record(*audit_records)
    call.dependencies.audit.flush()


def _precondition_failed(
    record: ChangeRecord, current: dict[str, Entry | None]
) -> ProblemError:
    """Return a problem that shows the current and the sent value of each conflict."""
    conflicts = [
        {
            "path": item.path,
            "expected_revision": item.expected_revision,
            "current": entry_document(current[item.path]),
            "yours": item.value,
        }
        for item in record.items
        if item.path in current
    ]
    return ProblemError(
        HTTPStatus.PRECONDITION_FAILED,
        "the configuration has changed since it was read",
        executed="no",
        conflicts=conflicts,
    )


def _unprocessable(detail: str, problems: object = ()) -> ProblemError:
    return ProblemError(
        HTTPStatus.UNPROCESSABLE_ENTITY, detail, executed="no", problems=problems
    )


def _forbid_unknown_keys(table: dict[str, Any], allowed: set[str]) -> None:
    for key in table:
        if key not in allowed:
            raise _unprocessable(f"unknown key {key[:40]}")


def _parse_revision(value: object, name: str) -> int:
    if type(value) is not int or not 0 <= value <= _MAX_REVISION:
        raise _unprocessable(f"{name} must be a revision, or 0 for a missing path")
    return value


def _parse_note(text: object) -> str:
    if not isinstance(text, str) or len(text) > _MAX_NOTE_CHARACTERS:
        raise _unprocessable(f"note must be at most {_MAX_NOTE_CHARACTERS} characters")
    return text
