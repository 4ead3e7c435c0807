"""Refusals and their RFC 9457 problem documents."""

from __future__ import annotations

import math
from typing import Literal

import msgspec

from lentiltally.errors import LentiltallyError

Executed = Literal["no", "unknown"]
CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:lentiltally:problem:"

TITLES = {
    400: "Bad request",
    401: "Not authorised",
    403: "Forbidden",
    404: "Not found",
    405: "Method not allowed",
    408: "Request not received in time",
    409: "Conflict",
    411: "Length required",
    412: "Precondition failed",
    413: "Body too large",
    415: "Unsupported media type",
    422: "Request not accepted",
    429: "Over the limit",
    500: "Internal error",
    501: "Not supported",
    502: "Target failed",
    503: "Not available",
    504: "Deadline passed",
}


class Refusal(LentiltallyError):  # noqa: N818 - an answer, not a defect
    """A request that is answered with a problem document.

    ``executed`` is ``no`` only if the request has not run on any target and never
    will. ``retry_after_s`` is set if a retry may succeed; it is the delay before it.
    ``headers`` are added to the answer.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        *,
        step: str,
        executed: Executed = "no",
        peer: str = "",
        retry_after_s: float | None = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Take the content of the problem document.

        ``reason`` is a short name that stays the same across versions, and the last
        part of the document's type; ``detail`` is for people.
        """
        super().__init__(detail, step=step, peer=peer)
        self.status = status
        self.reason = reason
        self.executed = executed
        self.retry_after_s = retry_after_s
        self.headers = headers


def internal_error(executed: Executed) -> Refusal:
    """Return the refusal of a request whose handling failed because of a defect."""
    return Refusal(
        500,
        "internal-error",
        "the request could not be handled",
        step="serve",
        executed=executed,
    )


def stopping_refusal(step: str) -> Refusal:
    """Return the refusal of a request that has not run because the process stops."""
    # The caller's next connection goes to another process: it may retry at once.
    return Refusal(503, "stopping", "the entry stops", step=step, retry_after_s=0.0)


class ProblemDocument(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a refusal, as RFC 9457 describes it."""

    type: str
    title: str
    status: int
    detail: str
    executed: Executed
    step: str
    peer: str = ""
    instance: str = ""


def problem_body(refusal: Refusal, instance: str = "") -> bytes:
    """Return the encoded problem document; ``instance`` identifies the request."""
    return msgspec.json.encode(
        ProblemDocument(
            type=TYPE_PREFIX + refusal.reason,
            title=TITLES.get(refusal.status, "Refused"),
            status=refusal.status,
            detail=refusal.message,
            executed=refusal.executed,
            step=refusal.step,
            peer=refusal.peer,
            instance=instance,
        )
    )


def problem_headers(refusal: Refusal, request_id: str) -> list[tuple[bytes, bytes]]:
    """Return the headers of a refusal on the direct path."""
    headers = [(b"Content-Type", CONTENT_TYPE.encode())]
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode("latin-1")))
    if refusal.retry_after_s is not None:
        # Rounded up: a caller that comes back too early would be refused again.
        hundredths = math.ceil(100 * refusal.retry_after_s)
        headers.append((b"Retry-After", b"%.2f" % (hundredths / 100)))
    headers += [(name.encode(), value.encode()) for name, value in refusal.headers]
    return headers
