"""Client of the platform's append-only log."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NoReturn, TypeVar
from urllib.parse import quote

import msgspec
import urllib3

from lentiltally.clock import Clock
from lentiltally.errors import LentiltallyError
from lentiltally.platform._http import may_have_arrived, new_pool, retry_after_s

_Answer = TypeVar("_Answer")


class LogError(LentiltallyError):
    """The log did not do what it was asked to do."""


class LogUnavailable(LogError):  # noqa: N818 (a name used by all consumers)
    """Nothing was written or read, and the same call can succeed later.

    ``retry_after_s`` is set if the log named a time (rate limit).
    """

    def __init__(
        self, message: str, *, step: str, peer: str, retry_after_s: float | None = None
    ) -> None:
        """Keep the time after which the call can be repeated."""
        super().__init__(message, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class LogAnswerLost(LogError):  # noqa: N818 (a name used by all consumers)
    """An append may or may not have taken effect; the stream tells which."""


class LogRefused(LogError):  # noqa: N818 (named like its siblings)
    """The log rejected the call as invalid; nothing was written."""


class LogTruncated(LogError):  # noqa: N818 (a name used by all consumers)
    """The offset is below the first retained one, which ``first_offset`` names."""

    def __init__(self, first_offset: int, *, step: str, peer: str) -> None:
        """Keep the first retained offset."""
        message = f"records before offset {first_offset} are no longer retained"
        super().__init__(message, step=step, peer=peer)
        self.first_offset = first_offset


class LogRecord(msgspec.Struct, frozen=True):
    """One record; ``time_ms`` is the log's wall time, ``value`` undecoded JSON."""

    offset: int
    time_ms: int
    value: msgspec.Raw


class LogPage(msgspec.Struct, frozen=True):
    """Consecutive records, and the bounds of the stream when they were read.

    ``next_offset`` is the offset that the next append gets, so a reader has caught
    up when it is past the last record before it.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    first_offset: int


class LogBounds(msgspec.Struct, frozen=True):
    """The first retained offset and the offset that the next append gets."""

    first_offset: int
    next_offset: int


class AppendResult(msgspec.Struct, frozen=True):
    """The offsets of an append: its first one and the one after its last."""

    first_offset: int
    next_offset: int


class _Truncation(msgspec.Struct):
    first_offset: int


class LogClient:
    """Reads and appends; makes each call once and is safe to use from threads.

    ``timeout_s`` limits connecting, and each wait for an answer beyond the time that
    the log is asked to wait. Retries are the caller's, because only the caller knows
    whether a second append does harm.
    """

    def __init__(self, base_url: str, timeout_s: float, clock: Clock) -> None:
        """Open no connection yet."""
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._clock = clock
        self._pool = new_pool()
        #: Monotonic time of the last answer of the log, or None before the first.
        self.answered_at_s: float | None = None

    def append(self, stream: str, values: Sequence[object]) -> AppendResult:
        """Write the values together, in order; ``bytes`` count as encoded JSON.

        Raises LogUnavailable or LogRefused if nothing was written, and LogAnswerLost
        if that is not known.
        """
        body = msgspec.json.encode(
            [msgspec.Raw(one) if isinstance(one, bytes) else one for one in values]
        )
        try:
            answer = self._pool.request(
                "POST",
                self._url(stream) + "/records",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=self._timeout(0.0),
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            if may_have_arrived(error):
                self._fail_lost(f"no answer to the append: {error}", error)
            self._fail_unavailable(f"no connection: {error}", "append", error)
        self.answered_at_s = self._clock.monotonic_s()
        if answer.status >= 500:
            # A failing log, or something between, may have written the records.
            self._fail_lost(f"the append was answered {answer.status}", None)
        self._check_status(answer, "append")
        try:
            return msgspec.json.decode(answer.data, type=AppendResult)
        except msgspec.MsgspecError as error:
            self._fail_lost(f"malformed answer to the append: {error}", error)

    def read(
        self, stream: str, offset: int, limit: int = 1000, wait_ms: int = 0
    ) -> LogPage:
        """Return up to ``limit`` records from ``offset`` on.

        Waits up to ``wait_ms`` at the log for the first record. Raises LogTruncated,
        LogUnavailable or LogRefused.
        """
        query = f"/records?offset={offset}&limit={limit}&wait_ms={wait_ms}"
        answer = self._get(stream, query, "read", wait_ms / 1000)
        return self._decode(answer, LogPage, "read")

    def bounds(self, stream: str) -> LogBounds:
        """Return the bounds of a stream; raises LogUnavailable or LogRefused."""
        answer = self._get(stream, "", "bounds", 0.0)
        return self._decode(answer, LogBounds, "bounds")

    def _get(
        self, stream: str, query: str, step: str, wait_s: float
    ) -> urllib3.BaseHTTPResponse:
        try:
            answer = self._pool.request(
                "GET",
                self._url(stream) + query,
                timeout=self._timeout(wait_s),
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            self._fail_unavailable(f"no answer: {error}", step, error)
        self.answered_at_s = self._clock.monotonic_s()
        if answer.status == 410:
            first = self._decode(answer, _Truncation, step).first_offset
            raise LogTruncated(first, step=step, peer=self._base_url)
        if answer.status >= 500:
            self._fail_unavailable(f"answered {answer.status}", step, None)
        self._check_status(answer, step)
        return answer

    def _check_status(self, answer: urllib3.BaseHTTPResponse, step: str) -> None:
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

    def _decode(
        self, answer: urllib3.BaseHTTPResponse, kind: type[_Answer], step: str
    ) -> _Answer:
        try:
            return msgspec.json.decode(answer.data, type=kind)
        except msgspec.MsgspecError as error:
            self._fail_unavailable(f"malformed answer: {error}", step, error)

    def _url(self, stream: str) -> str:
        return f"{self._base_url}/streams/{quote(stream, safe='')}"

    def _timeout(self, wait_s: float) -> urllib3.Timeout:
        return urllib3.Timeout(connect=self._timeout_s, read=self._timeout_s + wait_s)

    def _fail_unavailable(
        self, message: str, step: str, cause: Exception | None
    ) -> NoReturn:
        raise LogUnavailable(message, step=step, peer=self._base_url) from cause

    def _fail_lost(self, message: str, cause: Exception | None) -> NoReturn:
        raise LogAnswerLost(message, step="append", peer=self._base_url) from cause
