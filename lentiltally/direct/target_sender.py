"""Sends one request to targets and records the outcome of each attempt."""

from __future__ import annotations

from lentiltally.clock import Clock
from lentiltally.decisions.target_timeouts import TargetTimeouts
from lentiltally.direct.adapter_pin import AdapterPin
from lentiltally.direct.caller_answer import AnswerPart, CallerAnswer
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.http_connection import HttpConnection
from lentiltally.direct.model import Route, RouteKind, TargetRecord
from lentiltally.direct.open_attempts import AttemptTurn
from lentiltally.direct.request import AnswerHead, CallerRequest, TargetAttempt
from lentiltally.direct.target_exchange import (
    ExchangeOutcome,
    ExchangeResult,
    TargetExchange,
)

__all__ = ["TargetSender"]

# An attempt may be cancelled this much before the time that it was given.
TIMER_TOLERANCE_S = 0.01

_NOT_FAILURES = frozenset({ExchangeOutcome.DELIVERED, ExchangeOutcome.NOT_RUN})
_COMPLETE_ANSWERS = frozenset(
    {ExchangeOutcome.DELIVERED, ExchangeOutcome.ANSWERED, ExchangeOutcome.NOT_RUN}
)


class _AnswerObserver:
    """Reports to the target choice and the agent how one attempt proceeds."""

    def __init__(
        self,
        state: EntryState,
        clock: Clock,
        pin: AdapterPin,
        request: CallerRequest,
        record: TargetRecord,
    ) -> None:
        """Observe one attempt at a target."""
        self._state = state
        self._choice = state.choice
        self._clock = clock
        self._pin = pin
        self._record = record
        self._tokens = request.prompt_tokens
        self._has_begun = False

    def head_received(self, head: AnswerHead) -> None:
        """Record the load that the head reports, and what the target says of itself."""
        self._state.answer_received(self._record, head)
        if head.load is not None:
            now_s = self._clock.monotonic_s()
            self._choice.load_received(self._record.target_id, head.load, now_s)

    def answer_began(self, after_s: float) -> None:
        """Record the time to the first byte and report the finished prefill."""
        self._has_begun = True
        self._choice.first_byte(self._record.target_id, self._tokens, after_s)
        self._pin.prefill_finished(self._record)

    def ended(
        self,
        result: ExchangeResult | None,
        *,
        has_stalled: bool,
        has_large_answer: bool,
        is_late: bool,
    ) -> None:
        """Record the end of the attempt; ``result`` is None if it was cancelled.

        A target that did not stall has not failed because another one was faster. One
        whose answer has begun and did not end before the deadline, ``is_late``, has.
        """
        target_id = self._record.target_id
        now_s = self._clock.monotonic_s()
        is_cut_off = False
        if result is None:
            is_cut_off = is_late
            is_failure = is_late and self._has_begun
        elif result.outcome is ExchangeOutcome.SLOW:
            is_cut_off = is_failure = has_stalled
        else:
            is_failure = result.outcome not in _NOT_FAILURES
        is_too_large = result is not None and result.is_too_large
        if is_too_large or (is_cut_off and has_large_answer):
            self._choice.answer_had_no_end(target_id, now_s)
        elif result is not None and result.outcome is ExchangeOutcome.DELIVERED:
            self._choice.answer_completed(target_id)
        if not self._has_begun:
            self._choice.ended_without_answer(target_id, self._tokens)
        self._choice.ended(target_id, is_failure=is_failure, now_s=now_s)


class TargetSender:
    """Makes the attempts of one request on pooled connections."""

    def __init__(
        self,
        context: ForwardingContext,
        request: CallerRequest,
        route: Route,
        answer: CallerAnswer,
        pin: AdapterPin,
    ) -> None:
        """Prepare to send a request of a route; answers are written to ``answer``."""
        self._context = context
        self._clock = context.clock
        self._state = context.state
        self._choice = context.state.choice
        self._request = request
        self._route = route
        self._answer = answer
        self._pin = pin

    async def connect(self, record: TargetRecord, left_s: float) -> HttpConnection:
        """Return a connection to a target; raises ConnectError."""
        settings = self._context.settings
        return await self._context.pool.take(
            record,
            must_be_fresh=not self._route.is_idempotent,
            timeout_s=min(
                settings.max_connect_timeout_s, settings.connect_timeout_share * left_s
            ),
        )

    async def send(
        self,
        record: TargetRecord,
        connection: HttpConnection,
        attempt: TargetAttempt,
        timeouts: TargetTimeouts,
        turn: AttemptTurn,
    ) -> ExchangeResult:
        """Send to a target and read its answer.

        If the target is silent for longer than ``timeouts``, ``turn`` learns of it; the
        target is given up once another one continues the answer.
        """
        observer = _AnswerObserver(
            self._state, self._clock, self._pin, self._request, record
        )
        exchange = TargetExchange(
            self._context.header_codec,
            self._clock,
            connection,
            self._request,
            timeouts,
            listener=observer,
            turn=turn,
        )
        self._choice.sent(record.target_id, self._request.prompt_tokens)
        self._state.notices.sent(record, self._clock.monotonic_s())
        is_stream = self._route.kind is RouteKind.STREAM
        result: ExchangeResult | None = None
        try:
            part = AnswerPart(
                self._answer,
                turn.continue_answer,
                is_resumable=self._route.is_resumable,
            )
            result = await exchange.run(attempt, part, is_stream=is_stream)
            return result
        finally:
            took_s = self._clock.monotonic_s() - exchange.sent_at_s
            observer.ended(
                result,
                has_stalled=turn.has_stalled,
                has_large_answer=exchange.has_large_answer,
                is_late=took_s >= attempt.left_s - TIMER_TOLERANCE_S,
            )
            self._return_connection(record, connection, exchange, result)

    def _return_connection(
        self,
        record: TargetRecord,
        connection: HttpConnection,
        exchange: TargetExchange,
        result: ExchangeResult | None,
    ) -> None:
        """Return the connection to the pool if it can be reused, else close it."""
        head = exchange.head
        is_complete = result is not None and result.outcome in _COMPLETE_ANSWERS
        if not is_complete or head is None or head.is_closing:
            connection.close()
            return
        connection.keep_alive_s = head.keep_alive_s or connection.keep_alive_s
        self._context.pool.give_back(record.target_id, connection)
