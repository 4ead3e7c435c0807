"""One request on its way through choose, hold, send and read."""

from __future__ import annotations

import asyncio

from lentiltally.decisions.answer_patience import Patience
from lentiltally.decisions.crash_suspects import fingerprint
from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.adapter_hold import AdapterHold
from lentiltally.direct.adapter_requests import AdapterGrant
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.caller_connection import CallerConnection, CallerGone
from lentiltally.direct.forwarding import Forwarding
from lentiltally.direct.handling_log import HandlingLog
from lentiltally.direct.http_connection import ConnectError, HttpConnection
from lentiltally.direct.model import Route, RouteKind, Service, TargetRecord
from lentiltally.direct.request import CallerRequest, TargetAttempt
from lentiltally.direct.target_exchange import (
    ExchangeOutcome,
    ExchangeResult,
)
from lentiltally.direct.target_sender import TargetSender
from lentiltally.problems import Executed, Refusal

__all__ = ["RequestHandling"]

# Targets take urgencies from 0 to 9; every rank of a route gets one of its own, and the
# steps between leave room.
MAX_PRIORITY = 9
PRIORITY_STEP_PER_RANK = 2


class RequestHandling:
    """Finds the answer to one request, over as many targets as its route allows."""

    def __init__(
        self,
        forwarding: Forwarding,
        request: CallerRequest,
        route: Route,
        service: Service,
        connection: CallerConnection,
    ) -> None:
        """Handle a request of a route on its caller's connection."""
        self._forwarding = forwarding
        self._state = forwarding.state
        self._settings = forwarding.settings
        self._clock = forwarding.clock
        self._request = request
        self._route = route
        self._service = service
        self._connection = connection
        self._answer = CallerAnswer(connection, forwarding.clock, request.last_event_id)
        self._hold = AdapterHold(forwarding, request, route.rank)
        self._sender = TargetSender(
            forwarding, request, route, self._answer, self._hold
        )
        self._log = HandlingLog(request, route.name, forwarding.clock)
        timeout_s = request.timeout_s or route.timeout_s
        self._deadline_s = request.arrived_s + min(timeout_s, route.timeout_s)
        self._print = _print_of(request)
        self._excluded: set[str] = set()
        # Sends to targets, and those of them that may have run.
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
    def _objective_left_s(self) -> float:
        since_s = self._clock.monotonic_s() - self._request.arrived_s
        return self._route.objective_s - since_s

    async def run(self) -> None:
        """Answer the request; raises Refusal for the caller, CallerGone if it left."""
        self._check_suspect()
        task = asyncio.current_task()
        is_stream = self._route.kind is RouteKind.STREAM
        if task is not None and (is_stream or self._route.is_idempotent):
            # Work that must not be repeated goes on: its caller may ask for it later.
            self._connection.on_gone = lambda: _cancel(task)
        limit_s = max(0.0, self._left_s - self._settings.deadline_margin_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._send_until_answered()
        except TimeoutError:
            self._detail = self._detail or "the deadline passed"
            self._give_up(504)
        except (asyncio.CancelledError, CallerGone):
            self._ended("caller gone")
            raise
        self._ended("broken off" if self._answer.is_broken_off else "answered")

    def _check_suspect(self) -> None:
        if self._state.suspects.is_refused(self._print, self._clock.monotonic_s()):
            raise Refusal(
                503,
                "crash-suspect",
                "targets ended while they ran this request",
                step="suspects",
                retry_after_s=self._forwarding.retry_after_s(),
            )

    async def _send_until_answered(self) -> None:
        while True:
            candidate = self._choose()
            if candidate is None or not self._may_send():
                self._give_up(502)
                return
            result = await self._try(candidate)
            if result is not None and self._is_over(candidate.record, result):
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
        settings = self._settings
        if self._refusals >= settings.max_refusals:
            return False
        if self._declines >= settings.max_declines:
            return False
        if self._arrivals == 0:
            return True
        budget = self._state.budget(self._service.name)
        return budget.left(self._state.entries, self._clock.monotonic_s()) >= 1.0

    async def _try(self, candidate: Candidate) -> ExchangeResult | None:
        """Hold the adapter and send; None if nothing reached the target."""
        if self._service.engine is None:
            return await self._send(candidate, None)
        try:
            grant = await self._hold.hold(
                candidate, self._left_s, self._objective_left_s
            )
            if grant is not None and not grant.is_granted:
                self._declined(candidate.record, grant)
                return None
            if not self._state.directory.is_usable(candidate.record.target_id):
                self._left_meanwhile(candidate.record)
                return None
            return await self._send(candidate, grant)
        finally:
            # Also after a cancellation, because a grant may be on its way.
            self._hold.release(candidate.record)

    def _declined(self, record: TargetRecord, grant: AdapterGrant) -> None:
        """Try another target after an agent did not grant the adapter."""
        self._declines += 1
        detail = f"adapter not held: {grant.reason}"
        is_unreachable = grant.is_silent or grant.is_engine_lost
        self._pass_over(record, detail, is_unreachable=is_unreachable)
        self._log.step("adapter declined", record.target_id, reason=grant.reason)

    def _left_meanwhile(self, record: TargetRecord) -> None:
        """Try another target after this one began to leave while the agent worked."""
        self._pass_over(record, "the target leaves", is_unreachable=False)
        self._log.step("target left", record.target_id, reason="leaves or is gone")

    def _pass_over(
        self, record: TargetRecord, detail: str, *, is_unreachable: bool
    ) -> None:
        """Leave a target out for this request, an unreachable one for others too."""
        self._excluded.add(record.target_id)
        self._detail, self._peer = detail, record.target_id
        if is_unreachable:
            until_s = self._clock.monotonic_s() + self._settings.unreachable_avoid_s
            self._state.mark_unreachable(record.target_id, until_s)

    async def _send(
        self, candidate: Candidate, grant: AdapterGrant | None
    ) -> ExchangeResult | None:
        """Send to a target; None if no connection could be opened."""
        record = candidate.record
        connection = await self._connect(record)
        if connection is None:
            return None
        if self._arrivals > 0 and not self._spend_resend():
            connection.close()
            self._refusals = self._settings.max_refusals
            return None
        self._arrivals += 1
        self._is_sent = True
        self._log.sent(candidate, self._left_s, self._arrivals)
        send = self._target_send(record, grant)
        return await self._sender.send(record, connection, send, self._patience())

    async def _connect(self, record: TargetRecord) -> HttpConnection | None:
        try:
            return await self._sender.connect(record, self._left_s)
        except ConnectError as error:
            self._pass_over(record, str(error), is_unreachable=True)
            self._log.step("target unreachable", record.target_id, reason=str(error))
            return None

    def _spend_resend(self) -> bool:
        budget = self._state.budget(self._service.name)
        return budget.spend(self._state.entries, self._clock.monotonic_s())

    def _target_send(
        self, record: TargetRecord, grant: AdapterGrant | None
    ) -> TargetAttempt:
        is_engine = self._service.engine is not None
        is_resumed = self._answer.is_started
        priority = min(MAX_PRIORITY, 1 + PRIORITY_STEP_PER_RANK * self._route.rank)
        return TargetAttempt(
            target_id=record.target_id,
            left_s=max(0.001, self._left_s - self._settings.deadline_margin_s),
            priority=priority if is_engine else None,
            adapter_version=self._hold.expected_version(grant),
            resume_after=self._answer.stream.last_event if is_resumed else None,
        )

    def _patience(self) -> Patience:
        """Return how long to wait where another target may take over."""
        can_move = (
            self._route.is_idempotent and self._runs + 1 < self._route.max_targets
        )
        if not can_move:
            return Patience()
        return Patience.of_route(
            self._route.objective_s,
            self._route.max_gap_s,
            self._left_s,
            self._settings.patience,
        )

    def _is_over(self, record: TargetRecord, result: ExchangeResult) -> bool:
        """Act on the result of a send; return whether the request is answered."""
        outcome = result.outcome
        self._is_sent = False
        self._excluded.add(record.target_id)
        if outcome is ExchangeOutcome.DELIVERED:
            now_s = self._clock.monotonic_s()
            self._state.suspects.finished(self._print, now_s)
            return True
        self._detail, self._peer = result.detail, record.target_id
        self._log.step(
            "send failed",
            record.target_id,
            reason=result.detail,
            outcome=outcome.value,
        )
        if outcome is ExchangeOutcome.NOT_RUN:
            self._refused_by(record)
            return False
        return self._may_have_run_at(record, result)

    def _refused_by(self, record: TargetRecord) -> None:
        """Count a target that has not run the request, and let it rest."""
        self._refusals += 1
        until_s = self._clock.monotonic_s() + self._settings.refused_avoid_s
        self._state.choice.avoid(record.target_id, until_s)

    def _may_have_run_at(self, record: TargetRecord, result: ExchangeResult) -> bool:
        """Give up if the request may not run again; return whether that is so."""
        self._runs += 1
        if result.was_reset:
            self._state.connection_reset(record.target_id, self._print)
        if result.outcome is ExchangeOutcome.ANSWERED:
            self._failure = result
        is_repeatable = self._route.is_idempotent
        if is_repeatable and self._runs < self._route.max_targets:
            return False
        self._give_up(502)
        return True

    def _give_up(self, status: int) -> None:
        """Give the request its final answer without another send; may raise Refusal."""
        if self._answer.is_started:
            self._log.step("stream broken off", self._peer, reason=self._detail)
            self._answer.break_off()
        elif self._failure is not None and self._failure.head is not None:
            self._answer.whole(self._failure.head, self._failure.body)
        elif self._runs > 0 or self._is_sent:
            raise self._refusal(status, "target-failed", "unknown")
        else:
            raise self._refusal(503, "no-target", "no")

    def _refusal(self, status: int, reason: str, executed: Executed) -> Refusal:
        can_return = executed == "no"
        return Refusal(
            status,
            reason,
            self._detail or "no target can run the request now",
            step="send",
            peer=self._peer,
            executed=executed,
            retry_after_s=self._forwarding.retry_after_s() if can_return else None,
        )

    def _ended(self, outcome: str) -> None:
        took_s = self._log.ended(outcome, self._answer, self._arrivals, self._runs)
        self._forwarding.metrics.ended(self._route.kind.value, outcome, took_s)


def _print_of(request: CallerRequest) -> int:
    adapter = request.adapter.key if request.adapter else ""
    return fingerprint(request.host, request.path, adapter, request.body)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
