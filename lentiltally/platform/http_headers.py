"""Conversion between the platform's HTTP headers and the direct path's types."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable

from lentiltally.decisions.crash_traits import canonical_part_id
from lentiltally.direct.request import (
    AdapterRef,
    AnswerHead,
    CallerRequest,
    LoadReport,
    TargetAttempt,
)
from lentiltally.problems import Refusal

__all__ = ["READINESS_PATH", "decode_answer_head", "decode_request", "encode_headers"]

READINESS_PATH = b"/-/readiness"
MS_PER_S = 1000.0
# Larger numbers are none that a caller or a target means, and a message between
# processes can't contain those of more than 64 bits.
MAX_NUMBER = 1e12

# No target means a longer pause, and a log line quotes no longer text of one.
MAX_PAUSE_S = 3_600.0
MAX_QUOTED = 64

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-milliseconds"
_LAST_EVENT_ID = b"last-event-id"
_MODEL = b"x-model"
_TOKEN_COUNTS = b"x-token-counts"
_PROMPT_PARTS = b"x-prompt-prefix"
_RATE_LIMIT = b"server-limit"
_AUTHORIZATION = b"authorization"
_ACCOUNT = b"x-tenant"
# Visible ASCII characters only; the name of the scheme is case-insensitive.
_BEARER_KEY = re.compile(rb"(?i:bearer) +([\x21-\x7e]+)")

# Hop-by-hop headers concern one connection only (RFC 9110, section 7.6.1).
# ``Content-Length`` and ``Expect`` are removed as well: a new length is set for each
# connection, and no ``Expect`` is sent on.
_HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that only this system may send to a target; those of callers are dropped.
_RESERVED_HEADERS = frozenset(
    {
        _DEADLINE,
        b"x-expected-instance",
        b"x-expected-version",
        b"x-request-priority",
        b"x-hold",
        b"x-pin-milliseconds",
        b"x-kv-backup",
        b"kv-from",
        b"kv-fetch",
    }
)
# Headers of a target's answer that are meant for this system, not for callers.
_INTERNAL_HEADERS = frozenset(
    {
        b"x-server-load",
        b"x-not-executed",
        b"x-instance-id",
        b"server-leaving",
        _RATE_LIMIT,
    }
)

RawHeaders = Iterable[tuple[bytes, bytes]]


def decode_request(
    method: bytes, path: bytes, headers: RawHeaders, body: bytes, arrived_s: float
) -> CallerRequest:
    """Decode a caller's request.

    ``arrived_s`` is the time of its arrival, in seconds of the monotonic clock. Raises
    Refusal with status 400 if the request id is missing or a number is invalid.
    """
    pairs = tuple(headers)
    fields = {name.lower(): value for name, value in pairs}
    request_id = fields.get(_REQUEST_ID, b"").decode("latin-1")
    if not request_id:
        raise _bad_request("the request has no id")
    dropped = _HOP_BY_HOP | _RESERVED_HEADERS | _connection_options(pairs)
    timeout_ms = _number(fields.get(_DEADLINE), "deadline")
    last_event_id = _number(fields.get(_LAST_EVENT_ID), "last event id")
    prompt_tokens, output_tokens = _token_counts(pairs)
    return CallerRequest(
        request_id=request_id,
        method=method,
        path=path,
        host=_host(fields.get(b"host", b"")),
        headers=tuple(pair for pair in pairs if pair[0].lower() not in dropped),
        body=body,
        arrived_s=arrived_s,
        timeout_s=None if timeout_ms is None else timeout_ms / MS_PER_S,
        adapter=_adapter(fields.get(_MODEL, b"")),
        prompt_tokens=prompt_tokens,
        last_event_id=None if last_event_id is None else int(last_event_id),
        shared_parts=_shared_parts(pairs),
        output_tokens=output_tokens,
        key=_key(pairs),
    )


def encode_headers(
    request: CallerRequest, attempt: TargetAttempt
) -> list[tuple[bytes, bytes]]:
    """Return the headers of one attempt of a request at a target.

    A resumed stream continues after the event that ``attempt`` names; the caller's
    own ``Last-Event-Id`` is left out then.
    """
    replaced: set[bytes] = set()
    if attempt.resume_after is not None:
        replaced.add(_LAST_EVENT_ID)
    if attempt.hides_key:
        replaced |= {_AUTHORIZATION, _ACCOUNT}
    headers = [pair for pair in request.headers if pair[0].lower() not in replaced]
    left_ms = max(1, int(attempt.left_s * MS_PER_S))
    headers.append((b"X-Deadline-Milliseconds", b"%d" % left_ms))
    headers.append((b"X-Expected-Instance", attempt.target_id.encode()))
    if attempt.resume_after is not None:
        headers.append((b"Last-Event-Id", b"%d" % attempt.resume_after))
    if attempt.hides_key and attempt.account:
        headers.append((b"X-Tenant", attempt.account.encode()))
    if attempt.priority is not None:
        headers.append((b"X-Request-Priority", b"%d" % attempt.priority))
    if attempt.adapter_version is not None:
        headers.append((b"X-Expected-Version", b"%d" % attempt.adapter_version))
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        headers.append((b"Content-Length", b"%d" % len(request.body)))
    return headers


def decode_answer_head(status: int, headers: RawHeaders) -> AnswerHead:
    """Decode status and headers of a target's answer.

    The target states that it has not run the request by ``X-Not-Executed``, or by
    status 421 if another target was meant.
    """
    pairs = tuple(headers)
    fields = {name.lower(): value for name, value in pairs}
    dropped = _HOP_BY_HOP | _INTERNAL_HEADERS | _connection_options(pairs)
    request_id = fields.get(_REQUEST_ID)
    signature = fields.get(b"x-response-signature")
    is_misdirected = status == 421
    pause_s, unread_pause = _pause(pairs) if status == 503 else (None, "")
    rate_limit_per_s, unread_limit = decode_rate_limit(pairs)
    return AnswerHead(
        status=status,
        request_id=None if request_id is None else request_id.decode("latin-1"),
        signature=None if signature is None else signature.decode("latin-1"),
        did_not_run=b"x-not-executed" in fields or is_misdirected,
        is_misdirected=is_misdirected,
        media_type=fields.get(b"content-type", b"").split(b";")[0].strip().lower(),
        is_encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
        is_closing=b"close" in fields.get(b"connection", b"").lower(),
        keep_alive_s=_keep_alive_s(fields.get(b"keep-alive", b"")),
        load=_load(fields.get(b"x-server-load", b"")),
        headers=tuple(pair for pair in pairs if pair[0].lower() not in dropped),
        is_leaving=fields.get(b"server-leaving", b"").strip() == b"1",
        pause_s=pause_s,
        unread_pause=unread_pause,
        rate_limit_per_s=rate_limit_per_s,
        unread_limit=unread_limit,
    )


def decode_rate_limit(headers: RawHeaders) -> tuple[float | None, str]:
    """Return the requests a second that a target takes from all hosts together.

    Returns None if it names no limit, and its text too if that is not valid.
    """
    return _single_number(headers, _RATE_LIMIT, MAX_NUMBER)


def _bad_request(detail: str) -> Refusal:
    return Refusal(400, "bad-request", detail, step="parse")


def _connection_options(pairs: tuple[tuple[bytes, bytes], ...]) -> frozenset[bytes]:
    """Return the names of the headers that ``Connection`` declares hop-by-hop."""
    return frozenset(
        token.strip().lower()
        for name, value in pairs
        if name.lower() == b"connection"
        for token in value.split(b",")
    )


def _host(value: bytes) -> str:
    """Return the host name without the port, in lower case."""
    return value.decode("latin-1").rsplit(":", 1)[0].strip().lower()


def _adapter(value: bytes) -> AdapterRef | None:
    """Parse ``MODEL`` or ``MODEL/ADAPTER``."""
    if not value:
        return None
    model, _, adapter = value.decode("latin-1").partition("/")
    return AdapterRef(model, adapter)


def _shared_parts(pairs: RawHeaders) -> tuple[str, ...]:
    """Return the ids of all parts of a prompt but the last, which no others share.

    A part is written as ``ID:TOKENS``. The target gets all parts as they are, so an id
    that is no hexadecimal number identifies a part as well. Several headers are one
    list (RFC 9110, section 5.3). The size of a request's head bounds the list.
    """
    values = [value for name, value in pairs if name.lower() == _PROMPT_PARTS]
    parts = [part for value in values for part in value.split(b",") if part.strip()]
    ids = (_part_id(part) for part in parts[:-1])
    return tuple(dict.fromkeys(ids))


def _part_id(part: bytes) -> str:
    """Return the id of a part that is written as ``ID:TOKENS``."""
    part_id = part.rpartition(b":")[0] or part
    return canonical_part_id(part_id.decode("latin-1"))


def _number(value: bytes | None, name: str) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        raise _bad_request(f"the {name} is not a number") from None
    if not 0 <= number < MAX_NUMBER:
        raise _bad_request(f"the {name} is out of range")
    return number


def _key(pairs: RawHeaders) -> bytes | None:
    """Return the key of a client account, None unless there is exactly one valid one.

    With several headers, another reader of the request could go by another one.
    """
    values = [value for name, value in pairs if name.lower() == _AUTHORIZATION]
    match = _BEARER_KEY.fullmatch(values[0]) if len(values) == 1 else None
    return None if match is None else match[1]


def _token_counts(pairs: RawHeaders) -> tuple[int, int | None]:
    """Return the tokens of the prompt and of the longest answer.

    The prompt counts 0 tokens if its number is invalid. The second value is None unless
    there is one header with exactly these two numbers.
    """
    values = [value for name, value in pairs if name.lower() == _TOKEN_COUNTS]
    counts = [_count(part) for part in values[-1].split(b",")] if values else [None]
    prompt_tokens = counts[0]
    if len(values) != 1 or len(counts) != 2 or prompt_tokens is None:
        return prompt_tokens or 0, None
    return prompt_tokens, counts[1]


def _count(value: bytes) -> int | None:
    """Return a number of tokens, None if the value is none."""
    digits = value.strip()
    if not digits.isdigit() or not float(digits) < MAX_NUMBER:
        return None
    return int(digits)


def _keep_alive_s(value: bytes) -> float | None:
    """Return the idle timeout of a ``Keep-Alive`` header, None if it has none."""
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return float(number)
    return None


def _pause(pairs: tuple[tuple[bytes, bytes], ...]) -> tuple[float | None, str]:
    """Parse ``Retry-After`` in seconds; return its text too if it is not valid."""
    return _single_number(pairs, b"retry-after", MAX_PAUSE_S)


def _single_number(
    headers: RawHeaders, header: bytes, most: float
) -> tuple[float | None, str]:
    """Parse a header that holds a number from 0 to ``most``, at most once.

    Returns None without the header, and also the text if that is no such number.
    """
    values = [value for name, value in headers if name.lower() == header]
    if not values:
        return None, ""
    try:
        (number,) = map(float, values)
    except ValueError:
        number = math.nan
    if 0 <= number <= most:
        return number, ""
    return None, b", ".join(values)[:MAX_QUOTED].decode("latin-1")


def _load(value: bytes) -> LoadReport | None:
    """Parse ``RUNNING,WAITING,LIMIT[,SLOWNESS]``; None if it is malformed.

    The limit is the number of requests that the target runs at once, the slowness the
    service time at present in percent of the usual one.
    """
    parts = value.split(b",")
    try:
        numbers = [float(part) for part in parts]
    except ValueError:
        return None
    # NaN is not in the range either.
    if len(numbers) < 3 or not all(0 <= number < MAX_NUMBER for number in numbers):
        return None
    slowness = numbers[3] / 100.0 if len(numbers) > 3 else 1.0
    return LoadReport(
        int(numbers[0]), int(numbers[1]), max(1, int(numbers[2])), max(0.1, slowness)
    )
