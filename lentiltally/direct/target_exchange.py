"""One attempt to get a request answered by one target, and its outcome."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import logging
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

import h11

from lentiltally.clock import Clock
from lentiltally.decisions.answer_progress import AnswerProgress
from lentiltally.decisions.event_stream import StreamBroken
from lentiltally.decisions.message_size import (
    MessageLimits,
    MessageSize,
    MessageTooLargeError,
)
from lentiltally.decisions.target_timeouts import TargetTimeouts
from lentiltally.direct.caller_answer import AnswerPart
from lentiltally.direct.caller_connection import CallerDisconnectedError
from lentiltally.direct.http_connection import Event, HttpConnection, PeerError
from lentiltally.direct.platform_interfaces import HeaderCodec
from lentiltally.direct.request import AnswerHead, CallerRequest, TargetAttempt

__all__ = [
    "ExchangeListener",
    "ExchangeOutcome",
    "ExchangeResult",
    "ExchangeTurn",
    "SupersededError",
    "TargetExchange",
]

_log = logging.getLogger(__name__)

# Answers to other requests that may arrive on the connection before the right one, and
# the body that each of them may have.
MAX_UNRELATED_ANSWERS = 4
UNRELATED_LIMITS = MessageLimits(max_bytes=256 * 1024, small_pieces=256)
ANSWER_LIMITS = MessageLimits(max_bytes=16 * 1024 * 1024)
# The body of an error is only of use if no other target may answer.
ERROR_LIMITS = MessageLimits(max_bytes=64 * 1024, small_pieces=512)
ERROR_BODY_TIMEOUT_S = 0.25
# A body that nobody gets is only read to use the connection again.
UNUSED_LIMITS = MessageLimits(max_bytes=16 * 1024, small_pieces=64)
UNUSED_BODY_TIMEOUT_S = 0.05
# So many events take about as much work as one piece of the parser.
EVENTS_PER_PIECE = 16
# An answer, or an event, that is cut off after more than this may have no end.
LARGE_ANSWER_BYTES = 64 * 1024
LARGE_EVENT_BYTES = 4 * 1024


class SupersededError(Exception):
    """Another target has continued the answer."""


class ExchangeListener(Protocol):
    """Is notified of an answer while it is being received."""

    def head_received(self, head: AnswerHead) -> None:
        """Process the head of the answer."""
        ...

    def answer_began(self, after_s: float) -> None:
        """Note that the answer began, so the prefill is finished.

        ``after_s`` is the time since the request was sent.
        """
        ...


class ExchangeTurn(Protocol):
    """Tells whether an attempt may go on, and learns when it stalls."""

    @property
    def is_superseded(self) -> bool:
        """Return whether another target has continued the answer."""
        ...

    def check(self) -> None:
        """Raise SupersededError if the attempt has been given up."""
        ...

    def stalled(self) -> None:
        """Note that the target has made no progress for too long."""
        ...


class ExchangeOutcome(enum.Enum):
    """What is known after an attempt.

    ``DELIVERED``: the caller has the complete answer. ``ANSWERED``: the target answered
    with an error, which the result keeps. ``NOT_RUN``: the target says that it has not
    executed the request. ``UNKNOWN``: the target may have executed it. ``BROKEN``: the
    target executed it, but the answer is incomplete or invalid. ``SLOW``: the target
    may still be executing it, but it stalled and another one continued the answer.
    """

    DELIVERED = "delivered"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The outcome of an attempt, with head and body of an error answer.

    ``was_reset`` is set if the connection was lost or the answer was malformed, which
    may be a sign of a crash. ``is_too_large`` is set if the answer exceeded its limits,
    so that it may have no end.
    """

    outcome: ExchangeOutcome
    detail: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    was_reset: bool = False
    is_too_large: bool = False


class TargetExchange:
    """Sends a request on a connection and reads its answer."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        clock: Clock,
        connection: HttpConnection,
        request: CallerRequest,
        timeouts: TargetTimeouts,
        *,
        listener: ExchangeListener,
        turn: ExchangeTurn,
    ) -> None:
        """Prepare an attempt on a connection that nothing else uses."""
        self._header_codec = header_codec
        self._clock = clock
        self._connection = connection
        self._request = request
        self._timeouts = timeouts
        self._listener = listener
        self._turn = turn
        self._has_begun = False
        self._body_bytes = 0
        self._partial_event_bytes = 0
        self.head: AnswerHead | None = None
        self.sent_at_s = 0.0

    @property
    def has_large_answer(self) -> bool:
        """Return whether more was received than most answers or events have."""
        return (
            self._body_bytes > LARGE_ANSWER_BYTES
            or self._partial_event_bytes > LARGE_EVENT_BYTES
        )

    async def run(
        self, attempt: TargetAttempt, answer: AnswerPart, *, is_stream: bool
    ) -> ExchangeResult:
        """Send the request and read its answer; a failure is returned, not raised.

        Also an error of the entry itself: another attempt may answer the request, and
        without one the caller gets a failure, not a closed connection.
        """
        try:
            self._turn.check()
            return await self._exchange(attempt, answer, is_stream)
        except SupersededError:
            return self._superseded()
        except asyncio.CancelledError:
            if not self._turn.is_superseded:
                raise
            return self._superseded()
        except CallerDisconnectedError:
            raise
        except Exception:
            _log.exception(
                "attempt failed with an error",
                extra={"request": self._request.request_id},
            )
            return self._failed(ExchangeOutcome.UNKNOWN, "error of the entry")

    async def _exchange(
        self, attempt: TargetAttempt, answer: AnswerPart, is_stream: bool
    ) -> ExchangeResult:
        request = self._request
        self.sent_at_s = self._clock.monotonic_s()
        try:
            self._connection.send(
                request.method,
                request.path,
                self._header_codec.encode_headers(request, attempt),
                request.body,
            )
            with self._stall_notice(self._timeouts.first_byte_s):
                head = await self._own_head()
        except PeerError as error:
            return self._failed(ExchangeOutcome.UNKNOWN, str(error), was_reset=True)
        except MessageTooLargeError as error:
            return self._too_large(ExchangeOutcome.UNKNOWN, error)
        self.head = head
        self._listener.head_received(head)
        try:
            return await self._read_answer(head, answer, is_stream)
        except (PeerError, StreamBroken) as error:
            return self._failed(ExchangeOutcome.BROKEN, str(error), was_reset=True)
        except MessageTooLargeError as error:
            return self._too_large(ExchangeOutcome.BROKEN, error)

    async def _own_head(self) -> AnswerHead:
        """Return the head of this request's answer; skip answers to other requests.

        A rejection without an id only counts on a connection that has carried no other
        request: on a kept one, a faulty target may have repeated an earlier rejection.
        """
        for _ in range(MAX_UNRELATED_ANSWERS):
            event = await self._connection.next_event()
            if not isinstance(event, h11.Response):
                raise self._protocol_error("answer without a head")
            head = self._header_codec.decode_answer_head(
                event.status_code, event.headers.raw_items()
            )
            if head.request_id == self._request.request_id:
                return head
            if head.request_id is None and head.did_not_run:
                if self._connection.requests == 1:
                    return head
                raise self._protocol_error("rejection without an id")
            await self._discard_body(UNRELATED_LIMITS)
            self._connection.skip_answer()
        raise self._protocol_error("answers to other requests only")

    async def _read_answer(
        self, head: AnswerHead, answer: AnswerPart, is_stream: bool
    ) -> ExchangeResult:
        """Read the rest of an answer and send it to the caller.

        Invalid answers, errors and rejections are returned without being sent.
        """
        is_success = 200 <= head.status < 300
        if is_stream and is_success and _is_signed_and_unencoded(head):
            if not answer.can_continue_with(head):
                return self._failed(ExchangeOutcome.BROKEN, "no continuation")
            return await self._relay(head, answer)
        if head.did_not_run:
            await self._discard_unused_body()
            return ExchangeResult(
                ExchangeOutcome.NOT_RUN, f"answered {head.status}", head
            )
        self._record_begin()
        if not _is_signed_and_unencoded(head):
            return self._failed(ExchangeOutcome.BROKEN, "answer without a proof")
        if not is_success:
            return await self._read_error(head)
        body = await self._read_body(ANSWER_LIMITS)
        answer.send_whole(head, body)
        return ExchangeResult(ExchangeOutcome.DELIVERED, "", head)

    async def _relay(self, head: AnswerHead, answer: AnswerPart) -> ExchangeResult:
        """Forward the events of a stream to the caller as they arrive."""
        progress = AnswerProgress(self._timeouts, self._clock.monotonic_s())
        while isinstance(event := await self._next_event(progress), h11.Data):
            self._record_begin()
            self._body_bytes += len(event.data)
            if await answer.data_received(head, bytes(event.data)):
                progress.event_completed(self._clock.monotonic_s())
            self._partial_event_bytes = answer.partial_bytes
            self._connection.keep(answer.partial_bytes)
            self._connection.count_pieces(answer.checked_events // EVENTS_PER_PIECE)
            if self._body_bytes > ANSWER_LIMITS.max_bytes:
                raise MessageTooLargeError(f"more than {ANSWER_LIMITS.max_bytes} bytes")
        if answer.has_partial_event:
            return self._failed(ExchangeOutcome.BROKEN, "ended within an event")
        answer.end_stream(head)
        return ExchangeResult(ExchangeOutcome.DELIVERED, "", head)

    async def _read_error(self, head: AnswerHead) -> ExchangeResult:
        """Read the body of an error; raises MessageTooLargeError.

        If another target may answer, the body is not waited for any longer than a
        sound target needs to send it.
        """
        may_retry = self._timeouts.first_byte_s is not None
        try:
            async with asyncio.timeout(ERROR_BODY_TIMEOUT_S if may_retry else None):
                body = await self._read_body(ERROR_LIMITS)
        except TimeoutError as error:
            raise MessageTooLargeError("an error that does not end") from error
        return ExchangeResult(
            ExchangeOutcome.ANSWERED, f"answered {head.status}", head, body
        )

    async def _read_body(self, limits: MessageLimits) -> bytes:
        """Read the body to its end; raises MessageTooLargeError."""
        body = bytearray()
        size = MessageSize(limits)
        progress = AnswerProgress(self._timeouts, self._clock.monotonic_s())
        while isinstance(event := await self._next_event(progress), h11.Data):
            size.add(len(event.data))
            body += event.data
            self._body_bytes = size.bytes
            self._connection.keep(size.bytes)
            progress.body_received(len(event.data), self._clock.monotonic_s())
        return bytes(body)

    async def _discard_body(self, limits: MessageLimits) -> None:
        """Read a body that nobody gets; raises MessageTooLargeError."""
        size = MessageSize(limits)
        while isinstance(event := await self._connection.next_event(), h11.Data):
            size.add(len(event.data))

    async def _discard_unused_body(self) -> None:
        """Read the body of a rejection if it ends soon, else close the connection."""
        try:
            async with asyncio.timeout(UNUSED_BODY_TIMEOUT_S):
                await self._discard_body(UNUSED_LIMITS)
        except (PeerError, MessageTooLargeError, TimeoutError):
            self._connection.close()

    async def _next_event(self, progress: AnswerProgress) -> Event:
        """Return the next event, and tell if the answer stalls before it comes."""
        stalled_at_s = progress.stalled_at_s
        now_s = self._clock.monotonic_s()
        with self._stall_notice(None if stalled_at_s is None else stalled_at_s - now_s):
            return await self._connection.next_event()

    @contextlib.contextmanager
    def _stall_notice(self, after_s: float | None) -> Iterator[None]:
        """Tell that the target has stalled if the body takes longer than a time.

        The target is not given up for that.
        """
        if after_s is None:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max(0.0, after_s), self._turn.stalled)
        try:
            yield
        finally:
            timer.cancel()

    def _record_begin(self) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._listener.answer_began(self._clock.monotonic_s() - self.sent_at_s)

    def _superseded(self) -> ExchangeResult:
        return self._failed(ExchangeOutcome.SLOW, "another target answered first")

    def _failed(
        self, outcome: ExchangeOutcome, detail: str, *, was_reset: bool = False
    ) -> ExchangeResult:
        self._connection.close()
        return ExchangeResult(outcome, detail, self.head, was_reset=was_reset)

    def _too_large(
        self, outcome: ExchangeOutcome, error: MessageTooLargeError
    ) -> ExchangeResult:
        self._connection.close()
        detail = f"answer too large: {error}"
        return ExchangeResult(outcome, detail, self.head, is_too_large=True)

    def _protocol_error(self, detail: str) -> PeerError:
        return PeerError(detail, step="answer", peer=str(self._connection.address))


def _is_signed_and_unencoded(head: AnswerHead) -> bool:
    return head.signature is not None and not head.is_encoded
