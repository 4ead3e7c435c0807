"""A caller's request from its head to its answer.

The filters run in this order: decode, route, suspects, then choose, hold the adapter,
send and read, repeated as long as what is known of the last send allows it.
"""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.decisions.crash_suspects import fingerprint
from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.adapter_requests import AdapterGrant, AdapterRequests
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.caller_connection import (
    CallerConnection,
    CallerGone,
    RawRequest,
)
from lentiltally.direct.entry_metrics import EntryMetrics
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.http_connection import ConnectError, HttpConnection
from lentiltally.direct.model import Route, RouteKind, Service, TargetRecord
from lentiltally.direct.request import CallerRequest, TargetSend
from lentiltally.direct.settings import SocketAddress
from lentiltally.direct.target_exchange import (
    ExchangeOutcome,
    ExchangeResult,
    Patience,
    TargetExchange,
)
from lentiltally.direct.target_pool import TargetPool
from lentiltally.direct.wire import Wire
from lentiltally.problems import Executed, Refusal

__all__ = ["Forwarder", "ForwarderSettings"]

_log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ForwarderSettings:
    """Times and counts of one request.

    ``deadline_margin_s`` is kept for the answer to reach the caller. ``max_refusals``
    is how many targets may refuse a request before it is given back, ``max_declines``
    how many agents may decline to hold its adapter, which is cheaper. ``hold_share`` is
    the part of the time left for which one agent may keep a request waiting.
    ``first_share`` of the time left is waited for a first byte before another target is
    tried, at least ``first_objectives`` times the route's objective.
    ``stall_s`` is the pause after which a stream goes on elsewhere: callers leave after
    two seconds. ``version_share`` of the time in which a new version must be in use is
    allowed before targets are told to check it.
    """

    deadline_margin_s: float = 0.03
    max_refusals: int = 4
    max_declines: int = 10
    hold_share: float = 0.3
    max_hold_s: float = 1.5
    first_share: float = 0.4
    first_objectives: float = 1.2
    stall_s: float = 1.3
    version_share: float = 0.5
    connect_share: float = 0.3
    max_connect_s: float = 0.5
    refused_avoid_s: float = 0.1
    unreachable_avoid_s: float = 1.0
    min_retry_after_s: float = 0.2
    max_retry_after_s: float = 1.0


class Forwarder:
    """Handles requests; one object for each entry."""

    def __init__(
        self,
        state: EntryState,
        wire: Wire,
        adapters: AdapterRequests,
        *,
        metrics: EntryMetrics,
        clock: Clock,
        rng: random.Random,
        settings: ForwarderSettings | None = None,
    ) -> None:
        """Forward by the entry's beliefs."""
        self.state = state
        self.wire = wire
        self.adapters = adapters
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self.settings = settings or ForwarderSettings()
        self.pool = TargetPool(clock)

    async def handle(self, raw: RawRequest, connection: CallerConnection) -> None:
        """Answer one request."""
        request_id = ""
        try:
            request = self.wire.decode_request(
                raw.method, raw.path, raw.headers, raw.body, raw.arrived_s
            )
            request_id = request.request_id
            route, service = self._route(request)
            self.state.budget(service.name).requested(self.clock.monotonic_s())
            handling = _Handling(self, request, route, service, connection)
            await handling.run()
        except Refusal as refusal:
            self.refuse(refusal, connection, request_id)

    def refuse(
        self, refusal: Refusal, connection: CallerConnection, request_id: str
    ) -> None:
        """Answer with a refusal."""
        self.metrics.refused(refusal.status, refusal.reason)
        _log.info(
            "request refused",
            extra={
                "request": request_id,
                "status": refusal.status,
                "reason": refusal.reason,
                "executed": refusal.executed,
                "detail": refusal.message,
                "step": refusal.step,
                "peer": refusal.peer,
                "retry_after_s": refusal.retry_after_s,
            },
        )
        connection.refuse(refusal, request_id)

    def retry_after_s(self) -> float:
        """Return a pause that spreads the returns of refused callers."""
        settings = self.settings
        return self.rng.uniform(settings.min_retry_after_s, settings.max_retry_after_s)

    def _route(self, request: CallerRequest) -> tuple[Route, Service]:
        table = self.state.table
        if table is None:
            raise Refusal(
                503,
                "no-configuration",
                "this entry knows no configuration yet",
                step="route",
                retry_after_s=self.retry_after_s(),
            )
        route = table.match(request.host, request.route_path)
        if route is None:
            raise Refusal(404, "no-route", "no route matches", step="route")
        service = table.state.services.get(table.service(route, request.request_id))
        if service is None:
            raise Refusal(
                503,
                "no-service",
                "the route's service is not configured",
                step="route",
                retry_after_s=self.retry_after_s(),
            )
        return route, service


class _Handling:
    """One request on its way through choose, hold, send and read."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: CallerRequest,
        route: Route,
        service: Service,
        connection: CallerConnection,
    ) -> None:
        self._forwarder = forwarder
        self._state = forwarder.state
        self._settings = forwarder.settings
        self._clock = forwarder.clock
        self._request = request
        self._route = route
        self._service = service
        self._connection = connection
        self._answer = CallerAnswer(connection, forwarder.clock, request.last_event)
        patience_s = request.patience_s or route.timeout_s
        self._deadline_s = request.arrived_s + min(patience_s, route.timeout_s)
        self._print = fingerprint(request.host, request.path, request.body)
        self._excluded: set[str] = set()
        self._arrivals = 0
        self._runs = 0
        self._is_sent = False
        self._refusals = 0
        self._declines = 0
        self._failure: ExchangeResult | None = None
        self._detail = ""
        self._peer = ""

    @property
    def _left_s(self) -> float:
        return self._deadline_s - self._clock.monotonic_s()

    @property
    def _is_stream(self) -> bool:
        return self._route.kind is RouteKind.STREAM

    async def run(self) -> None:
        """Answer the request, whatever happens."""
        self._check_suspect()
        task = asyncio.current_task()
        if task is not None and (self._is_stream or self._route.is_idempotent):
            # Work that must not be repeated goes on: its caller may ask for it later.
            self._connection.on_gone = lambda: _cancel(task)
        limit_s = max(0.0, self._left_s - self._settings.deadline_margin_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._send_until_answered()
        except TimeoutError:
            self._detail = self._detail or "the deadline passed"
            self._give_up(504)
        except asyncio.CancelledError:
            self._log_end("caller gone")
            raise
        except CallerGone:
            self._log_end("caller gone")
            raise
        self._log_end("answered" if self._answer.is_complete else "refused")

    def _check_suspect(self) -> None:
        if self._state.suspects.is_refused(self._print, self._clock.monotonic_s()):
            raise Refusal(
                503,
                "crash-suspect",
                "targets ended while they ran this request",
                step="suspects",
                retry_after_s=self._forwarder.retry_after_s(),
            )

    async def _send_until_answered(self) -> None:
        while True:
            candidate = self._choose()
            if candidate is None or not self._may_send():
                self._give_up(502)
                return
            record = candidate.record
            try:
                grant = await self._hold_adapter(candidate)
                if grant is not None and not grant.is_granted:
                    self._declined(record, grant)
                    continue
                result = await self._send(candidate, grant)
            finally:
                # Also after a cancellation, because a grant may be on its way.
                self._release_adapter(record)
            if result is None:
                continue
            if self._is_over(record, result):
                return

    def _choose(self) -> Candidate | None:
        """Return the best target that was not tried yet."""
        now_s = self._clock.monotonic_s()
        records = self._state.directory.usable(self._service.name)
        choice = self._state.choice
        if self._service.engine is None:
            candidates = choice.plain(records, self._excluded, now_s)
        else:
            adapter = self._request.adapter
            candidates = choice.engines(
                records,
                adapter.key if adapter else "",
                self._request.prompt_tokens,
                self._excluded,
                now_s,
                needs_adapter=adapter is not None and bool(adapter.adapter),
            )
        return candidates[0] if candidates else None

    def _may_send(self) -> bool:
        """Return whether another arrival at a target fits all limits."""
        if self._refusals >= self._settings.max_refusals:
            return False
        if self._declines >= self._settings.max_declines:
            return False
        if self._arrivals == 0:
            return True
        budget = self._state.budget(self._service.name)
        return budget.left(self._state.entries, self._clock.monotonic_s()) >= 1.0

    async def _hold_adapter(self, candidate: Candidate) -> AdapterGrant | None:
        """Ask the agent to hold the adapter; None where no agent is concerned."""
        adapter = self._request.adapter
        if self._service.engine is None or adapter is None:
            return None
        if candidate.residency == "held before":
            # The agent is gone; the engine itself refuses if it dropped the adapter.
            return None
        settings = self._settings
        hold_s = min(settings.max_hold_s, settings.hold_share * self._left_s)
        grant = await self._forwarder.adapters.require(
            self._agent(candidate.record),
            self._request.request_id,
            adapter,
            rank=self._route.rank,
            patience_s=hold_s,
            left_s=self._left_s,
        )
        if grant.is_silent and not adapter.adapter:
            # A base model needs no order, so the agent is not missed.
            return None
        newest = self._state.newest_version(adapter.key)
        is_older = newest is not None and grant.version < newest[0]
        if grant.is_granted and is_older and self._is_version_due(adapter.key):
            return AdapterGrant(False, reason="older version")
        return grant

    def _is_version_due(self, key: str) -> bool:
        """Return whether the newest version is known for so long that it must run."""
        newest = self._state.newest_version(key)
        bound_s = self._state.bounds.adapter_version_s
        return newest is not None and newest[1] > self._settings.version_share * bound_s

    def _release_adapter(self, record: TargetRecord) -> None:
        if self._service.engine is not None and self._request.adapter is not None:
            self._forwarder.adapters.release(
                self._agent(record), self._request.request_id
            )

    def _agent(self, record: TargetRecord) -> SocketAddress:
        ip = record.address.rpartition(":")[0]
        return SocketAddress(ip, self._state.peer_port)

    def _declined(self, record: TargetRecord, grant: AdapterGrant) -> None:
        """Try another target after an agent did not grant the adapter."""
        self._excluded.add(record.target_id)
        self._detail = f"adapter not held: {grant.reason}"
        self._peer = record.target_id
        self._declines += 1
        if grant.is_silent or grant.is_engine_lost:
            until_s = self._clock.monotonic_s() + self._settings.unreachable_avoid_s
            self._state.choice.avoid(record.target_id, until_s)
        self._log_step("adapter declined", record, reason=grant.reason)

    async def _send(
        self, candidate: Candidate, grant: AdapterGrant | None
    ) -> ExchangeResult | None:
        """Send to a target; None if no connection could be opened."""
        record = candidate.record
        connection = await self._connect(record)
        if connection is None:
            return None
        if self._arrivals > 0 and not self._spend_resend():
            self._forwarder.pool.give_back(record.target_id, connection)
            self._refusals = self._settings.max_refusals
            return None
        self._arrivals += 1
        self._is_sent = True
        tokens = self._request.prompt_tokens
        choice = self._state.choice
        exchange = TargetExchange(
            self._forwarder.wire,
            self._clock,
            connection,
            self._request,
            self._patience(),
        )
        choice.sent(record.target_id, tokens)
        self._log_placed(candidate)
        result: ExchangeResult | None = None
        try:
            result = await exchange.run(
                self._target_send(record, grant),
                self._answer,
                is_stream=self._is_stream,
            )
            return result
        finally:
            self._observe(record, exchange, result)
            if result is None or not self._is_clean(result):
                connection.close()
            else:
                self._keep(record, connection, exchange)

    def _spend_resend(self) -> bool:
        budget = self._state.budget(self._service.name)
        return budget.spend(self._state.entries, self._clock.monotonic_s())

    async def _connect(self, record: TargetRecord) -> HttpConnection | None:
        settings = self._settings
        must_be_fresh = not self._route.is_idempotent
        timeout_s = min(settings.max_connect_s, settings.connect_share * self._left_s)
        try:
            return await self._forwarder.pool.take(
                record, must_be_fresh=must_be_fresh, timeout_s=timeout_s
            )
        except ConnectError as error:
            self._excluded.add(record.target_id)
            self._detail, self._peer = str(error), record.target_id
            now_s = self._clock.monotonic_s()
            until_s = now_s + settings.unreachable_avoid_s
            self._state.choice.avoid(record.target_id, until_s)
            self._log_step("target unreachable", record, reason=str(error))
            return None

    def _target_send(
        self, record: TargetRecord, grant: AdapterGrant | None
    ) -> TargetSend:
        resume_after = None
        if self._answer.is_started:
            resume_after = self._answer.stream.last_event
        is_engine = self._service.engine is not None
        return TargetSend(
            target_id=record.target_id,
            left_s=max(0.001, self._left_s - self._settings.deadline_margin_s),
            urgency=min(9, 1 + 2 * self._route.rank) if is_engine else None,
            adapter_version=self._expected_version(grant),
            resume_after=resume_after,
        )

    def _expected_version(self, grant: AdapterGrant | None) -> int | None:
        """Return the version that the target must check, where no agent did."""
        adapter = self._request.adapter
        if grant is not None or adapter is None or not adapter.adapter:
            return None
        newest = self._state.newest_version(adapter.key)
        if newest is None:
            return None
        return newest[0] if self._is_version_due(adapter.key) else None

    def _patience(self) -> Patience:
        """Return how long to wait where another target may take over."""
        can_move = (
            self._route.is_idempotent and self._runs + 1 < self._route.max_targets
        )
        if not can_move:
            return Patience()
        settings = self._settings
        first_s = max(
            settings.first_objectives * self._route.objective_s,
            settings.first_share * self._left_s,
        )
        return Patience(first_s, settings.stall_s)

    def _observe(
        self,
        record: TargetRecord,
        exchange: TargetExchange,
        result: ExchangeResult | None,
    ) -> None:
        """Tell the choice what the send showed of the target."""
        choice = self._state.choice
        now_s = self._clock.monotonic_s()
        target_id, tokens = record.target_id, self._request.prompt_tokens
        outcome = result.outcome if result else None
        if exchange.first_byte_s is None or outcome is ExchangeOutcome.NOT_RUN:
            choice.not_first_byte(target_id, tokens)
        else:
            choice.first_byte(target_id, tokens, exchange.first_byte_s)
        if exchange.head is not None and exchange.head.load is not None:
            choice.load_received(target_id, exchange.head.load, now_s)
        is_failure = outcome not in (
            None,
            ExchangeOutcome.DELIVERED,
            ExchangeOutcome.NOT_RUN,
        )
        choice.ended(target_id, is_failure=is_failure, now_s=now_s)

    @staticmethod
    def _is_clean(result: ExchangeResult) -> bool:
        return result.outcome in (
            ExchangeOutcome.DELIVERED,
            ExchangeOutcome.ANSWERED,
            ExchangeOutcome.NOT_RUN,
        )

    def _keep(
        self, record: TargetRecord, connection: HttpConnection, exchange: TargetExchange
    ) -> None:
        head = exchange.head
        if head is None or head.is_closing:
            connection.close()
            return
        connection.keep_alive_s = head.keep_alive_s or connection.keep_alive_s
        self._forwarder.pool.give_back(record.target_id, connection)

    def _is_over(self, record: TargetRecord, result: ExchangeResult) -> bool:
        """Act on the result of a send; return whether the request is answered."""
        outcome = result.outcome
        self._excluded.add(record.target_id)
        if outcome is ExchangeOutcome.DELIVERED:
            self._state.suspects.finished(self._print)
            return True
        self._detail, self._peer = result.detail, record.target_id
        self._log_step(
            "send failed", record, reason=result.detail, outcome=outcome.value
        )
        self._is_sent = False
        if outcome is ExchangeOutcome.NOT_RUN:
            self._refusals += 1
            now_s = self._clock.monotonic_s()
            until_s = now_s + self._settings.refused_avoid_s
            self._state.choice.avoid(record.target_id, until_s)
            return False
        self._runs += 1
        if result.was_reset:
            self._state.was_reset(record.target_id, self._print)
        if outcome is ExchangeOutcome.ANSWERED:
            self._failure = result
        is_repeatable = self._route.is_idempotent
        if not is_repeatable or self._runs >= self._route.max_targets:
            self._give_up(502)
            return True
        return False

    def _give_up(self, status: int) -> None:
        """Give the request its final answer without another send."""
        if self._answer.is_started:
            self._log_step("stream broken off", None, reason=self._detail)
            self._answer.break_off()
        elif self._failure is not None and self._failure.head is not None:
            self._answer.whole(self._failure.head, self._failure.body)
        elif self._may_have_run:
            raise self._refusal(status, "target-failed", "unknown")
        else:
            raise self._refusal(503, "no-target", "no")

    @property
    def _may_have_run(self) -> bool:
        return self._runs > 0 or self._is_sent

    def _refusal(self, status: int, reason: str, executed: Executed) -> Refusal:
        return Refusal(
            status,
            reason,
            self._detail or "no target can run the request now",
            step="send",
            peer=self._peer,
            executed=executed,
            retry_after_s=(
                self._forwarder.retry_after_s() if executed == "no" else None
            ),
        )

    def _log_placed(self, candidate: Candidate) -> None:
        _log.info(
            "request sent",
            extra={
                "request": self._request.request_id,
                "route": self._route.name,
                "target": candidate.record.target_id,
                "adapter": self._request.adapter.key if self._request.adapter else "",
                "residency": candidate.residency,
                "cost_s": round(candidate.cost_s, 3),
                "state_age_s": candidate.state_age_s
                and round(candidate.state_age_s, 2),
                "left_s": round(self._left_s, 3),
                "arrival": self._arrivals,
            },
        )

    def _log_step(
        self, message: str, record: TargetRecord | None, **fields: object
    ) -> None:
        _log.info(
            message,
            extra={
                "request": self._request.request_id,
                "target": record.target_id if record else self._peer,
                **fields,
            },
        )

    def _log_end(self, outcome: str) -> None:
        took_s = self._clock.monotonic_s() - self._request.arrived_s
        self._forwarder.metrics.ended(self._route.kind.value, outcome, took_s)
        _log.info(
            "request ended",
            extra={
                "request": self._request.request_id,
                "outcome": outcome,
                "took_s": round(took_s, 3),
                "sends": self._arrivals,
                "runs": self._runs,
                "first_s": _rounded(self._answer.first_at_s, self._request.arrived_s),
                "longest_gap_s": round(self._answer.longest_gap_s, 3),
                "events": self._answer.stream.delivered,
            },
        )


def _rounded(at_s: float | None, since_s: float) -> float | None:
    return None if at_s is None else round(at_s - since_s, 3)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
