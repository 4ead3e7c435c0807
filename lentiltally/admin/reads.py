"""Handlers that read the configuration, the audit trail and the status."""

from __future__ import annotations

from datetime import datetime
from http import HTTPStatus
from typing import Annotated

import msgspec
from msgspec import Meta

from lentiltally.admin.audit import AuditFilter
from lentiltally.admin.bodies import encode_document, encode_value
from lentiltally.admin.context import Call
from lentiltally.admin.messages import ProblemError, Response
from lentiltally.admin.preconditions import etag, is_not_modified

DEFAULT_LIMIT = 1000
MAX_LIMIT = 10_000

_Timestamp = Annotated[datetime, Meta(tz=True)]


def get_value(call: Call, path: str) -> Response:
    """Return a value, the list of paths below a prefix, or a path's history."""
    call.require("read", path)
    if call.request.flag("list"):
        return _list(call, path)
    path = call.parse_path(path)
    if call.request.flag("history"):
        entries = call.dependencies.history.entries(path)
        return encode_document({"path": path, "entries": entries})
    entry = call.dependencies.tree().get(path)
    if entry is None:
        raise ProblemError(HTTPStatus.NOT_FOUND, f"{path} does not exist")
    headers = {"ETag": etag(entry.revision)}
    if is_not_modified(call.request, entry):
        return Response(HTTPStatus.NOT_MODIFIED, headers=headers)
    return encode_value(call.request, entry.value, headers)


def _list(call: Call, prefix: str) -> Response:
    limit = call.request.number("limit", DEFAULT_LIMIT, MAX_LIMIT)
    after = call.request.query.get("after", "")
    tree = call.dependencies.tree()
    found = [item for item in tree.list(prefix) if item.path > after]
    page = [
        {
            "path": item.path,
            "revision": item.entry.revision,
            "value": msgspec.to_builtins(item.entry.value),
        }
        for item in found[:limit]
    ]
    next_after = page[-1]["path"] if len(found) > limit else None
    document = {"offset": tree.offset, "entries": page, "next_after": next_after}
    return encode_document(document)


def get_audit(call: Call) -> Response:
    """Return the audit records that the token may read, oldest first."""
    audit_filter = AuditFilter(
        path=call.request.query.get("path", "/"),
        actor=call.request.query.get("actor", ""),
        since=_timestamp(call, "since"),
        until=_timestamp(call, "until"),
    )
    limit = call.request.number("limit", DEFAULT_LIMIT, MAX_LIMIT)
    found = [
        record
        for record in call.dependencies.audit.query(audit_filter)
        if call.token.allows("read", record.path)
    ]
    document = {"entries": found[-limit:], "omitted": max(0, len(found) - limit)}
    return encode_document(document)


def get_status(call: Call) -> Response:
    """Return the status of the process and of what it sees."""
    return encode_document(call.dependencies.status_source.status())


def _timestamp(call: Call, name: str) -> datetime | None:
    text = call.request.query.get(name)
    if text is None:
        return None
    try:
        return msgspec.convert(text, _Timestamp)
    except msgspec.ValidationError:
        detail = f"{name} must be a time with offset, as 2026-01-31T12:00:00Z"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None
