"""Sends one request to targets and tells the choice what each send showed."""

from __future__ import annotations

from lentiltally.clock import Clock
from lentiltally.decisions.answer_patience import Patience
from lentiltally.decisions.target_choice import TargetChoice
from lentiltally.direct.adapter_hold import AdapterHold
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.forwarding import Forwarding
from lentiltally.direct.http_connection import HttpConnection
from lentiltally.direct.model import Route, RouteKind, TargetRecord
from lentiltally.direct.request import AnswerHead, CallerRequest, TargetAttempt
from lentiltally.direct.target_exchange import (
    ExchangeOutcome,
    ExchangeResult,
    TargetExchange,
)

__all__ = ["TargetSender"]

_NO_FAILURE = frozenset({ExchangeOutcome.DELIVERED, ExchangeOutcome.NOT_RUN})
_CLEAN = frozenset(
    {ExchangeOutcome.DELIVERED, ExchangeOutcome.ANSWERED, ExchangeOutcome.NOT_RUN}
)


class _AnswerObserver:
    """Tells the choice and the agent what one send shows of the target."""

    def __init__(
        self,
        choice: TargetChoice,
        clock: Clock,
        hold: AdapterHold,
        request: CallerRequest,
        record: TargetRecord,
    ) -> None:
        """Observe one send of a request to a target."""
        self._choice = choice
        self._clock = clock
        self._hold = hold
        self._record = record
        self._tokens = request.prompt_tokens
        self._has_begun = False

    def head_received(self, head: AnswerHead) -> None:
        """Take the load that the head tells."""
        if head.load is not None:
            now_s = self._clock.monotonic_s()
            self._choice.load_received(self._record.target_id, head.load, now_s)

    def answer_began(self, after_s: float) -> None:
        """Count the prompt as read."""
        self._has_begun = True
        self._choice.first_byte(self._record.target_id, self._tokens, after_s)
        self._hold.prompt_read(self._record)

    def ended(self, result: ExchangeResult | None) -> None:
        """Count the end of the send; None if it was cancelled."""
        target_id = self._record.target_id
        if not self._has_begun:
            self._choice.not_first_byte(target_id, self._tokens)
        is_failure = result is not None and result.outcome not in _NO_FAILURE
        now_s = self._clock.monotonic_s()
        self._choice.ended(target_id, is_failure=is_failure, now_s=now_s)


class TargetSender:
    """Opens or reuses connections for one request and reads its answers."""

    def __init__(
        self,
        forwarding: Forwarding,
        request: CallerRequest,
        route: Route,
        answer: CallerAnswer,
        hold: AdapterHold,
    ) -> None:
        """Send a request of a route; what targets answer goes into ``answer``."""
        self._forwarding = forwarding
        self._clock = forwarding.clock
        self._choice = forwarding.state.choice
        self._request = request
        self._route = route
        self._answer = answer
        self._hold = hold

    async def connect(self, record: TargetRecord, left_s: float) -> HttpConnection:
        """Return a connection to a target; raises ConnectError."""
        settings = self._forwarding.settings
        return await self._forwarding.pool.take(
            record,
            must_be_fresh=not self._route.is_idempotent,
            timeout_s=min(settings.max_connect_s, settings.connect_share * left_s),
        )

    async def send(
        self,
        record: TargetRecord,
        connection: HttpConnection,
        send: TargetAttempt,
        patience: Patience,
    ) -> ExchangeResult:
        """Send to a target and read its answer."""
        observer = _AnswerObserver(
            self._choice, self._clock, self._hold, self._request, record
        )
        exchange = TargetExchange(
            self._forwarding.wire,
            self._clock,
            connection,
            self._request,
            patience,
            listener=observer,
        )
        self._choice.sent(record.target_id, self._request.prompt_tokens)
        is_stream = self._route.kind is RouteKind.STREAM
        result: ExchangeResult | None = None
        try:
            result = await exchange.run(send, self._answer, is_stream=is_stream)
            return result
        finally:
            observer.ended(result)
            self._settle(record, connection, exchange, result)

    def _settle(
        self,
        record: TargetRecord,
        connection: HttpConnection,
        exchange: TargetExchange,
        result: ExchangeResult | None,
    ) -> None:
        """Keep the connection if the answer is complete and the target keeps it."""
        head = exchange.head
        is_clean = result is not None and result.outcome in _CLEAN
        if not is_clean or head is None or head.is_closing:
            connection.close()
            return
        connection.keep_alive_s = head.keep_alive_s or connection.keep_alive_s
        self._forwarding.pool.give_back(record.target_id, connection)
