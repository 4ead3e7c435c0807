"""Sends one request to targets and tells the choice what each send showed."""

from __future__ import annotations

from lentiltally.decisions.answer_patience import Patience
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.forwarding import Forwarding
from lentiltally.direct.http_connection import HttpConnection
from lentiltally.direct.model import Route, RouteKind, TargetRecord
from lentiltally.direct.request import CallerRequest, TargetSend
from lentiltally.direct.target_exchange import (
    ExchangeOutcome,
    ExchangeResult,
    TargetExchange,
)

__all__ = ["TargetSender"]

_CLEAN = frozenset(
    {ExchangeOutcome.DELIVERED, ExchangeOutcome.ANSWERED, ExchangeOutcome.NOT_RUN}
)


class TargetSender:
    """Opens or reuses connections for one request and reads its answers."""

    def __init__(
        self,
        forwarding: Forwarding,
        request: CallerRequest,
        route: Route,
        answer: CallerAnswer,
    ) -> None:
        """Send a request of a route; what targets answer goes into ``answer``."""
        self._forwarding = forwarding
        self._clock = forwarding.clock
        self._choice = forwarding.state.choice
        self._request = request
        self._route = route
        self._answer = answer

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
        send: TargetSend,
        patience: Patience,
    ) -> ExchangeResult:
        """Send to a target and read its answer."""
        exchange = TargetExchange(
            self._forwarding.wire, self._clock, connection, self._request, patience
        )
        self._choice.sent(record.target_id, self._request.prompt_tokens)
        is_stream = self._route.kind is RouteKind.STREAM
        result: ExchangeResult | None = None
        try:
            result = await exchange.run(send, self._answer, is_stream=is_stream)
            return result
        finally:
            self._observe(record, exchange, result)
            self._settle(record, connection, exchange, result)

    def _observe(
        self,
        record: TargetRecord,
        exchange: TargetExchange,
        result: ExchangeResult | None,
    ) -> None:
        """Tell the choice what the send showed of the target."""
        now_s = self._clock.monotonic_s()
        target_id, tokens = record.target_id, self._request.prompt_tokens
        outcome = result.outcome if result else None
        if exchange.first_byte_s is None or outcome is ExchangeOutcome.NOT_RUN:
            self._choice.not_first_byte(target_id, tokens)
        else:
            self._choice.first_byte(target_id, tokens, exchange.first_byte_s)
        if exchange.head is not None and exchange.head.load is not None:
            self._choice.load_received(target_id, exchange.head.load, now_s)
        is_failure = outcome not in (
            None,
            ExchangeOutcome.DELIVERED,
            ExchangeOutcome.NOT_RUN,
        )
        self._choice.ended(target_id, is_failure=is_failure, now_s=now_s)

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
