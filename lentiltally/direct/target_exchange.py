"""One send of a request to one target, up to what is known of its outcome."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import Protocol

import h11

from lentiltally.clock import Clock
from lentiltally.decisions.answer_patience import Patience
from lentiltally.decisions.event_stream import StreamBroken
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.http_connection import HttpConnection, PeerError
from lentiltally.direct.request import AnswerHead, CallerRequest, TargetAttempt
from lentiltally.direct.wire import Wire

__all__ = ["ExchangeListener", "ExchangeOutcome", "ExchangeResult", "TargetExchange"]

# Answers to other requests that may arrive before the right one.
MAX_STRAY_ANSWERS = 4
MAX_WHOLE_BYTES = 16 * 1024 * 1024


class ExchangeListener(Protocol):
    """What is told of an answer while it is still coming."""

    def head_received(self, head: AnswerHead) -> None:
        """Take the head of the request's own answer."""
        ...

    def answer_began(self, after_s: float) -> None:
        """Note that the target has begun to answer, so its prompt is read."""
        ...


class ExchangeOutcome(enum.Enum):
    """What is known after a send.

    ``DELIVERED``: the caller has the whole answer. ``ANSWERED``: the target answered
    with a failure, kept in the result. ``NOT_RUN``: the target says that it has not run
    the request. ``UNKNOWN``: it may have run. ``BROKEN``: it ran and its answer broke.
    ``SLOW``: it may be running, but nothing came within the patience.
    """

    DELIVERED = "delivered"
    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """The outcome of a send, with the head and body of a failure to pass on."""

    outcome: ExchangeOutcome
    detail: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    was_reset: bool = False


class TargetExchange:
    """Sends a request on a connection and reads its answer."""

    def __init__(
        self,
        wire: Wire,
        clock: Clock,
        connection: HttpConnection,
        request: CallerRequest,
        patience: Patience,
        *,
        listener: ExchangeListener,
    ) -> None:
        """Prepare a send; the connection is used by nothing else."""
        self._wire = wire
        self._clock = clock
        self._connection = connection
        self._request = request
        self._patience = patience
        self._listener = listener
        self._has_begun = False
        self.head: AnswerHead | None = None
        self.sent_at_s = 0.0

    async def run(
        self, send: TargetAttempt, answer: CallerAnswer, *, is_stream: bool
    ) -> ExchangeResult:
        """Send and read; never raises for anything that the target does."""
        request = self._request
        self.sent_at_s = self._clock.monotonic_s()
        try:
            self._connection.send(
                request.method,
                request.path,
                self._wire.encode_headers(request, send),
                request.body,
            )
            async with self._limit(self._patience.first_s):
                head = await self._own_head()
        except PeerError as error:
            return self._failed(ExchangeOutcome.UNKNOWN, str(error), was_reset=True)
        except TimeoutError:
            return self._failed(ExchangeOutcome.SLOW, "no answer in time")
        self.head = head
        self._listener.head_received(head)
        try:
            return await self._read_answer(head, answer, is_stream)
        except (PeerError, StreamBroken) as error:
            return self._failed(ExchangeOutcome.BROKEN, str(error), was_reset=True)
        except TimeoutError:
            return self._failed(ExchangeOutcome.SLOW, "the answer stopped")

    async def _own_head(self) -> AnswerHead:
        """Return the head of this request's answer, passing over others' answers."""
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._connection.next_event()
            if not isinstance(event, h11.Response):
                raise self._protocol_error("answer without a head")
            head = self._wire.decode_answer_head(
                event.status_code, event.headers.raw_items()
            )
            if head.request_id == self._request.request_id:
                return head
            if head.request_id is None and head.did_not_run:
                return head
            await self._read_body(None)
            self._connection.skip_answer()
        raise self._protocol_error("answers to other requests only")

    async def _read_answer(
        self, head: AnswerHead, answer: CallerAnswer, is_stream: bool
    ) -> ExchangeResult:
        is_success = 200 <= head.status < 300
        if is_stream and is_success and _is_genuine(head):
            return await self._relay(head, answer)
        if not head.did_not_run:
            self._began()
        body = await self._read_body(MAX_WHOLE_BYTES)
        if head.did_not_run:
            return ExchangeResult(
                ExchangeOutcome.NOT_RUN, f"answered {head.status}", head
            )
        if not _is_genuine(head):
            return self._failed(ExchangeOutcome.BROKEN, "answer without a proof")
        if not is_success:
            return ExchangeResult(
                ExchangeOutcome.ANSWERED, f"answered {head.status}", head, body
            )
        answer.whole(head, body)
        return ExchangeResult(ExchangeOutcome.DELIVERED, "", head)

    async def _relay(self, head: AnswerHead, answer: CallerAnswer) -> ExchangeResult:
        answer.head_received(head)
        limit_s = self._patience.first_s
        while True:
            async with self._limit(limit_s):
                event = await self._connection.next_event()
            if not isinstance(event, h11.Data):
                break
            self._began()
            if await answer.data_received(bytes(event.data)):
                limit_s = self._patience.gap_s
        if answer.stream.has_partial_event:
            return self._failed(ExchangeOutcome.BROKEN, "ended within an event")
        answer.end_stream()
        return ExchangeResult(ExchangeOutcome.DELIVERED, "", head)

    async def _read_body(self, limit_bytes: int | None) -> bytes:
        body = bytearray()
        while isinstance(event := await self._connection.next_event(), h11.Data):
            if limit_bytes is not None:
                body += event.data
                if len(body) > limit_bytes:
                    raise self._protocol_error("answer too large")
        return bytes(body)

    def _began(self) -> None:
        if not self._has_begun:
            self._has_begun = True
            self._listener.answer_began(self._clock.monotonic_s() - self.sent_at_s)

    def _failed(
        self, outcome: ExchangeOutcome, detail: str, *, was_reset: bool = False
    ) -> ExchangeResult:
        self._connection.close()
        return ExchangeResult(outcome, detail, self.head, was_reset=was_reset)

    def _protocol_error(self, detail: str) -> PeerError:
        return PeerError(detail, step="answer", peer=str(self._connection.address))

    @staticmethod
    def _limit(seconds: float | None) -> asyncio.Timeout:
        return asyncio.timeout(seconds)


def _is_genuine(head: AnswerHead) -> bool:
    return head.signature is not None and not head.is_encoded
