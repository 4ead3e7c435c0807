"""Conditional requests (RFC 9110, section 13), with revisions as entity tags."""

from __future__ import annotations

import re
from http import HTTPStatus
from typing import Any

import msgspec

from lentiltally.admin.messages import ProblemError, Request
from lentiltally.config import Entry
from lentiltally.config.changes import MUST_NOT_EXIST

_ETAG = re.compile(r'(W/)?"([!#-~]*)"')
_MAX_HEADER_CHARACTERS = 1000
_MAX_REVISION_DIGITS = 15


def etag(revision: int) -> str:
    """Return the entity tag of a revision."""
    return f'"{revision}"'


def expected_revision(request: Request, current: Entry | None) -> int:
    """Return the revision that a write expects the path to have.

    A single revision in If-Match is returned without comparing it with ``current``,
    because the log decides whether it is the current one. Raises ProblemError: 428
    without a condition, 412 if it can't be met, and 400 if it is malformed.
    """
    match = request.headers.get("if-match")
    none_match = request.headers.get("if-none-match")
    if match is not None and none_match is not None:
        detail = "give If-Match or If-None-Match, not both"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
    if none_match is not None:
        if none_match.strip() != "*":
            detail = "If-None-Match must be * on a write"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
        return MUST_NOT_EXIST
    if match is None:
        detail = "give If-Match with the ETag that was read, or If-None-Match: *"
        raise ProblemError(HTTPStatus.PRECONDITION_REQUIRED, detail)
    return _matched_revision(match, current)


def is_not_modified(request: Request, current: Entry) -> bool:
    """Return whether If-None-Match of a read matches the current revision."""
    header = request.headers.get("if-none-match")
    if header is None:
        return False
    if header.strip() == "*":
        return True
    # If-None-Match uses the weak comparison (RFC 9110, section 13.1.2).
    return str(current.revision) in {text for _, text in _parse_etags(header)}


def entry_document(entry: Entry | None) -> dict[str, Any] | None:
    """Return a configuration entry as it is encoded in responses."""
    if entry is None:
        return None
    return {"revision": entry.revision, "value": msgspec.to_builtins(entry.value)}


def _matched_revision(header: str, current: Entry | None) -> int:
    """Return the revision that an If-Match header expects; raises ProblemError."""
    if header.strip() == "*":
        if current is None:
            raise ProblemError(
                HTTPStatus.PRECONDITION_FAILED,
                "the path does not exist",
                current=None,
            )
        return current.revision
    revisions = [
        int(text)
        for weak, text in _parse_etags(header)
        if not weak
        and text.isascii()
        and text.isdigit()
        and len(text) <= _MAX_REVISION_DIGITS
        and text != "0"
    ]
    if len(revisions) == 1:
        return revisions[0]
    if current is not None and current.revision in revisions:
        return current.revision
    raise ProblemError(
        HTTPStatus.PRECONDITION_FAILED,
        "If-Match names no current revision",
        current=entry_document(current),
    )


def _parse_etags(header: str) -> list[tuple[bool, str]]:
    """Return for each entity tag whether it is weak, and its text."""
    if len(header) > _MAX_HEADER_CHARACTERS:
        raise ProblemError(HTTPStatus.BAD_REQUEST, "the condition is too long")
    matches = [_ETAG.fullmatch(part.strip()) for part in header.split(",")]
    etags = [(bool(match[1]), match[2]) for match in matches if match]
    if len(etags) < len(matches):
        raise ProblemError(HTTPStatus.BAD_REQUEST, "an entity tag is malformed")
    return etags
