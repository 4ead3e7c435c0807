"""Client of the platform's append-only log."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import NoReturn, TypeVar
from urllib.parse import quote

import msgspec
import urllib3

from lentiltally.clock import Clock
from lentiltally.errors import LentiltallyError
from lentiltally.platform._http import (
    HttpAnswer,
    call,
    may_have_arrived,
    new_pool,
    retry_after_s,
)
from lentiltally.platform._json import decode_json

_Decoded = TypeVar("_Decoded")

# A page of the log has at most 1,000 records.
MAX_PAGE_BYTES = 32 * 1024 * 1024
MAX_PAGE_S = 30.0


class LogError(LentiltallyError):
    """A call to the log failed."""


class LogUnavailable(LogError):  # noqa: N818 (a name used by all consumers)
    """Nothing was written or read; the same call can succeed later.

    ``retry_after_s`` is set if the log limited the rate and said when to retry.
    """

    def __init__(
        self, message: str, *, step: str, peer: str, retry_after_s: float | None = None
    ) -> None:
        """Store the time after which the call can be repeated."""
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class LogAnswerLost(LogError):  # noqa: N818 (a name used by all consumers)
    """It is unknown whether an append took effect; reading the stream shows it."""


class LogRefused(LogError):  # noqa: N818 (named like its siblings)
    """The log rejected the call as invalid; nothing was written or read."""


class LogTruncated(LogError):  # noqa: N818 (a name used by all consumers)
    """The requested offset is below ``first_offset``, the first retained one."""

    def __init__(self, first_offset: int, *, step: str, peer: str) -> None:
        """Store the first retained offset."""
        message = f"records before offset {first_offset} are no longer retained"
        super().__init__(message, step=step, peer=peer)
        self.first_offset = first_offset


class LogRecord(msgspec.Struct, frozen=True):
    """One record of a stream.

    ``time_ms`` is the log's wall-clock time of the append in Unix milliseconds,
    ``value`` the encoded JSON.
    """

    offset: int
    time_ms: int
    value: msgspec.Raw


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records, and the bounds of the stream when they were read.

    ``next_offset`` is the offset that the next append gets: a reader has caught up once
    it has applied the record before it.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    first_offset: int


class LogBounds(msgspec.Struct, frozen=True):
    """The first retained offset and the offset that the next append gets."""

    first_offset: int
    next_offset: int


class AppendResult(msgspec.Struct, frozen=True):
    """Offsets of the appended records: the first one, and the one after the last."""

    first_offset: int
    next_offset: int


class _Truncation(msgspec.Struct):
    first_offset: int


class LogClient:
    """Reads and appends records; safe to use from several threads.

    No call is retried. That is left to the caller, because only the caller knows
    whether appending twice does harm.

    ``timeout_s`` bounds connecting, and the wait for an answer; for a long poll it is
    added to the time for which the log waits for a record.
    """

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        """Prepare the client; it connects on the first call."""
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._clock = clock
        self._pool = new_pool()
        #: Monotonic time of the log's latest answer, None before the first one.
        self.answered_at_s: float | None = None

    def append(self, stream: str, values: Sequence[object]) -> AppendResult:
        """Append the values together, in order.

        Values of type ``bytes`` are taken as encoded JSON, all others are encoded.
        Raises LogUnavailable or LogRefused if nothing was written, and LogAnswerLost
        if it is unknown whether the values were written.
        """
        body = msgspec.json.encode(
            [msgspec.Raw(v) if isinstance(v, bytes) else v for v in values]
        )
        try:
            answer = call(
                self._pool,
                "POST",
                self._url(stream) + "/records",
                max_bytes=MAX_PAGE_BYTES,
                max_s=MAX_PAGE_S,
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=self._timeout(0.0),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            if may_have_arrived(error):
                self._raise_answer_lost(f"no answer to the append: {error}", error)
            self._raise_unavailable(f"no connection: {error}", "append", error)
        self.answered_at_s = self._clock.monotonic_s()
        if answer.status >= 500:
            # A failing log or proxy may answer this although the records were written.
            self._raise_answer_lost(f"the append was answered {answer.status}", None)
        self._check_status(answer, "append")
        try:
            return decode_json(answer.data, AppendResult)
        except msgspec.MsgspecError as error:
            self._raise_answer_lost(f"malformed answer to the append: {error}", error)

    def read(
        self, stream: str, offset: int, limit: int = 1000, wait_ms: int = 0
    ) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on.

        If there is none, the log waits up to ``wait_ms`` for the first one (long poll).
        A record that can't be read, for instance because it is nested too deeply, has
        the value null. Raises LogTruncated, LogUnavailable or LogRefused.
        """
        query = f"/records?offset={offset}&limit={limit}&wait_ms={wait_ms}"
        answer = self._get(stream, query, "read", wait_ms / 1000)
        try:
            return msgspec.json.decode(answer.data, type=LogPage)
        except RecursionError:
            return self._read_fewer(stream, offset, limit)
        except msgspec.MsgspecError as error:
            if _is_page(answer.data):
                return self._read_fewer(stream, offset, limit)
            self._raise_unavailable(f"malformed answer: {error}", "read", error)

    def _read_fewer(self, stream: str, offset: int, limit: int) -> LogPage:
        """Read a smaller page, without an unreadable record or with nothing else."""
        if limit > 1:
            return self.read(stream, offset, limit // 2)
        bounds = self.bounds(stream)
        unreadable = LogRecord(offset, 0, msgspec.Raw(b"null"))
        return LogPage((unreadable,), bounds.next_offset, bounds.first_offset)

    def bounds(self, stream: str) -> LogBounds:
        """Return the bounds of a stream; raises LogUnavailable or LogRefused."""
        answer = self._get(stream, "", "bounds", 0.0)
        return self._decode(answer, LogBounds, "bounds")

    def _get(self, stream: str, query: str, step: str, wait_s: float) -> HttpAnswer:
        try:
            answer = call(
                self._pool,
                "GET",
                self._url(stream) + query,
                max_bytes=MAX_PAGE_BYTES,
                max_s=MAX_PAGE_S,
                timeout=self._timeout(wait_s),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._raise_unavailable(f"no answer: {error}", step, error)
        self.answered_at_s = self._clock.monotonic_s()
        if answer.status == 410:
            first = self._decode(answer, _Truncation, step).first_offset
            raise LogTruncated(first, step=step, peer=self._base_url)
        if answer.status >= 500:
            self._raise_unavailable(f"answered {answer.status}", step, None)
        self._check_status(answer, step)
        return answer

    def _check_status(self, answer: HttpAnswer, step: str) -> None:
        if answer.status == 200:
            return
        if answer.status == 429:
            raise LogUnavailable(
                "rate limit of the log",
                step=step,
                peer=self._base_url,
                retry_after_s=retry_after_s(answer),
            )
        raise LogRefused(
            f"the log answered {answer.status}", step=step, peer=self._base_url
        )

    def _decode(self, answer: HttpAnswer, kind: type[_Decoded], step: str) -> _Decoded:
        try:
            return decode_json(answer.data, kind)
        except msgspec.MsgspecError as error:
            self._raise_unavailable(f"malformed answer: {error}", step, error)

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/streams/{quote(stream, safe='')}"

    def _timeout(self, wait_s: float) -> urllib3.Timeout:
        return urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s)

    def _raise_unavailable(
        self, message: str, step: str, cause: Exception | None
    ) -> NoReturn:
        raise LogUnavailable(message, step=step, peer=self._base_url) from cause

    def _raise_answer_lost(self, message: str, cause: Exception | None) -> NoReturn:
        raise LogAnswerLost(message, step="append", peer=self._base_url) from cause


def _is_page(data: bytes) -> bool:
    """Return whether a document is a page, although msgspec can't decode a record.

    Python's parser accepts lone surrogates, and bytes that are not UTF-8 as such.
    """
    try:
        document = json.loads(data.decode("utf-8", "surrogateescape"))
    except (ValueError, RecursionError):
        return False
    return isinstance(document, dict) and {"records", "next_offset"} <= document.keys()
