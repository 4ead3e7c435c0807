"""Handles one request: sends it to prepared targets until it is answered."""

from __future__ import annotations

import asyncio

from lentiltally.decisions.target_timeouts import TargetTimeouts
from lentiltally.direct.adapter_pin import AdapterPin
from lentiltally.direct.agent_client import AcquireResult
from lentiltally.direct.attempt_preparation import AttemptPreparation, PreparedAttempt
from lentiltally.direct.caller_access import CallerAccess
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
)
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.handling_log import HandlingLog
from lentiltally.direct.model import Route, RouteKind, Service, TargetRecord
from lentiltally.direct.open_attempts import AttemptTurn, OpenAttempts
from lentiltally.direct.request import CallerRequest, TargetAttempt
from lentiltally.direct.request_suspicion import RequestSuspicion
from lentiltally.direct.target_exchange import (
    ExchangeOutcome,
    ExchangeResult,
)
from lentiltally.direct.target_sender import TargetSender
from lentiltally.problems import Refusal

__all__ = ["RequestHandling"]


class RequestHandling:
    """Gets the answer to one request, trying as many targets as its route allows."""

    def __init__(
        self,
        context: ForwardingContext,
        request: CallerRequest,
        route: Route,
        service: Service,
        connection: CallerConnection,
    ) -> None:
        """Prepare to answer a request of a route on its caller's connection."""
        self._context = context
        self._state = context.state
        self._settings = context.settings
        self._clock = context.clock
        self._request = request
        self._route = route
        self._service = service
        self._connection = connection
        self._answer = CallerAnswer(connection, context.clock, request.last_event_id)
        self._access = CallerAccess(context, request, route)
        self._pin = AdapterPin(context, request, self._access.rank)
        self._sender = TargetSender(context, request, route, self._answer, self._pin)
        self._suspicion = RequestSuspicion(
            context.state.suspects,
            request,
            self._answer,
            context.retry_after_s,
            self._access.account_name,
        )
        traits = self._suspicion.traits
        self._log = HandlingLog(request, route.name, traits, context.clock)
        timeout_s = request.timeout_s or route.timeout_s
        self._deadline_s = request.arrived_s + min(timeout_s, route.timeout_s)
        self._preparation = AttemptPreparation(
            context,
            request,
            route,
            service,
            self._deadline_s,
            sender=self._sender,
            pin=self._pin,
            log=self._log,
            may_be_sent=lambda: self._refusal() is None,
        )
        self._open = OpenAttempts(self._begin_another, self._superseded)
        # Requests sent to targets, and those of them that may have been executed.
        self._attempts = 0
        self._executions = 0
        self._failed_answer: ExchangeResult | None = None

    @property
    def account_name(self) -> str:
        """Return the name of the caller's account, empty if it is unknown."""
        return self._access.account_name

    @property
    def _left_s(self) -> float:
        return self._deadline_s - self._clock.monotonic_s()

    @property
    def _may_have_run(self) -> bool:
        return self._executions > 0

    async def run(self) -> None:
        """Answer the request.

        Raises Refusal if the caller gets a refusal instead of an answer, and
        CallerDisconnectedError if it closed the connection.
        """
        self._access.begin()
        # Callers without a key don't add to what others may retry.
        now_s = self._clock.monotonic_s()
        self._state.budget(self._service.name).request_received(now_s)
        self._suspicion.begin()
        try:
            await self._run_admitted()
        finally:
            self._access.ended(may_have_run=self._may_have_run)

    async def _run_admitted(self) -> None:
        task = asyncio.current_task()
        is_stream = self._route.kind is RouteKind.STREAM
        if task is not None and (is_stream or self._route.is_idempotent):
            # A non-idempotent request is not cancelled: its caller may ask for the
            # outcome later.
            self._connection.on_disconnect = lambda: _cancel(task)
        limit_s = max(0.0, self._left_s - self._settings.deadline_margin_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._access.acquire_allotment()
                await self._send_until_answered()
        except TimeoutError:
            self._end_late()
        except (asyncio.CancelledError, CallerDisconnectedError):
            if self._connection.is_disconnected:
                self._record_end("caller gone")
                raise
            if not self._answer.is_complete:
                self._record_end("stopped")
                self._end_stopped()
                return
        self._record_end("broken off" if self._answer.is_aborted else "answered")

    def _end_late(self) -> None:
        """Give up at the deadline, unless an attempt has just completed the answer."""
        if not self._answer.is_complete:
            self._give_up(504, "the deadline passed")

    async def _send_until_answered(self) -> None:
        try:
            while await self._has_open_attempt():
                record, result = await self._open.next_result()
                if self._process_result(record, result):
                    return
                # A target that has ended counts before the next attempt.
                await self._context.probe.settled(record)
            self._give_up_unsent()
        finally:
            await self._open.close()

    async def _has_open_attempt(self) -> bool:
        """Return whether an attempt is under way; begin one if there is none."""
        if self._open.is_empty:
            await self._open.end_search()
        # The search may have begun one.
        if self._open.is_empty:
            prepared = await self._preparation.next(self._attempts)
            if prepared is None:
                return False
            await self._renew_allotment(prepared)
            self._begin(prepared)
        return True

    async def _renew_allotment(self, prepared: PreparedAttempt) -> None:
        """Replace an allotment that has aged while the attempt was prepared.

        Raises Refusal, also if the request may not be sent any more after the wait.
        """
        if self._may_have_run:
            return
        is_ready = False
        try:
            if await self._access.renew_allotment():
                self._raise_refusal()
            is_ready = True
        finally:
            if not is_ready:
                prepared.connection.close()
                self._preparation.release(prepared.record)

    def _raise_refusal(self) -> None:
        refusal = self._refusal()
        if refusal is not None:
            raise refusal

    def _refusal(self) -> Refusal | None:
        """Return why the request may not be sent to a target now, None if it may."""
        return self._access.refusal() or self._suspicion.refusal()

    def _give_up_unsent(self) -> None:
        """Give up because no further attempt is made; may raise Refusal."""
        refusal = self._refusal()
        if refusal is not None:
            # "Not run" is only said if it is true.
            if not self._may_have_run and not self._answer.is_started:
                raise refusal
            self._preparation.ended(refusal.message)
        self._give_up(502)

    async def _begin_another(self) -> None:
        """Begin an attempt beside those that have stalled, as soon as one is allowed.

        The stalled targets may go on meanwhile, so they are not given up. A trial is
        one attempt, so none is made beside it.
        """
        self._log.stalled(self._attempts)
        while self._may_repeat and not self._suspicion.is_part_on_trial:
            prepared = await self._preparation.replacement(
                self._attempts, self._open.records
            )
            if prepared is not None:
                self._begin(prepared)
                return
            await asyncio.sleep(self._settings.replacement_interval_s)

    @property
    def _may_repeat(self) -> bool:
        """Return whether the request may be sent to one more target."""
        is_idempotent = self._route.is_idempotent
        return is_idempotent and self._executions < self._route.max_targets

    def _superseded(self, record: TargetRecord) -> None:
        """Log that another target has answered, so that this one is given up."""
        self._log.step("target superseded", record.target_id)

    def _begin(self, prepared: PreparedAttempt) -> None:
        """Begin an attempt at a prepared target."""
        record = prepared.record
        self._suspicion.attempt_begun(record)
        self._attempts += 1
        self._executions += 1
        self._preparation.sent(record)
        self._log.sent(prepared.candidate, self._left_s, self._attempts)
        self._open.begin(
            self._attempts, record, lambda turn: self._send(prepared, turn)
        )

    async def _send(
        self, prepared: PreparedAttempt, turn: AttemptTurn
    ) -> ExchangeResult:
        """Send to a prepared target and read its answer."""
        record = prepared.record
        attempt = self._target_attempt(record, prepared.grant)
        result: ExchangeResult | None = None
        try:
            result = await self._sender.send(
                record, prepared.connection, attempt, self._timeouts(), turn
            )
            return result
        finally:
            self._preparation.release(record)
            if result is None or result.outcome is ExchangeOutcome.SLOW:
                self._suspicion.attempt_abandoned(record)

    def _target_attempt(
        self, record: TargetRecord, grant: AcquireResult | None
    ) -> TargetAttempt:
        is_engine = self._service.engine is not None
        is_resumed = self._answer.is_started
        account = self._access.account
        return TargetAttempt(
            target_id=record.target_id,
            left_s=max(0.001, self._left_s - self._settings.deadline_margin_s),
            priority=self._access.priority if is_engine else None,
            adapter_version=self._pin.expected_version(grant),
            resume_after=self._answer.last_event_id if is_resumed else None,
            account=account.name if account is not None else "",
            hides_key=self._access.has_accounts,
        )

    def _timeouts(self) -> TargetTimeouts:
        """Return the timeouts of an attempt; none unless a retry is still allowed."""
        if not self._may_repeat:
            return TargetTimeouts()
        return TargetTimeouts.for_route(
            self._route.objective_s,
            self._route.max_gap_s,
            self._left_s,
            self._settings.attempt_timeouts,
        )

    def _process_result(self, record: TargetRecord, result: ExchangeResult) -> bool:
        """Process the result of an attempt; return whether the request is answered."""
        outcome = result.outcome
        if outcome is ExchangeOutcome.DELIVERED:
            self._suspicion.answered(record)
            return True
        if outcome is ExchangeOutcome.SLOW:
            # Another attempt continues the answer.
            return False
        self._preparation.failed(record, result.detail)
        self._log.step(
            "attempt failed",
            record.target_id,
            reason=result.detail,
            outcome=outcome.value,
        )
        if outcome is ExchangeOutcome.NOT_RUN:
            self._executions -= 1
            self._preparation.rejected(record)
            return False
        return self._finish_unless_retryable(record, result)

    def _finish_unless_retryable(
        self, record: TargetRecord, result: ExchangeResult
    ) -> bool:
        """Give up if no retry is allowed and no other attempt may answer.

        Returns whether it gave up.
        """
        self._suspicion.attempt_failed(record, was_reset=result.was_reset)
        if result.was_reset:
            self._context.probe.begin(record)
        if result.outcome is ExchangeOutcome.ANSWERED:
            self._failed_answer = result
        if self._may_repeat or self._open.may_answer:
            return False
        self._give_up(502)
        return True

    def _end_stopped(self) -> None:
        """Answer a request that the end of the process cuts; may raise Refusal."""
        if self._answer.is_started:
            self._answer.abort()
        elif self._may_have_run:
            _, peer = self._preparation.last_failure
            raise Refusal(
                502,
                "stopping",
                "the entry stopped before the target answered",
                step="send",
                peer=peer,
                executed="unknown",
            )
        else:
            raise self._context.stopping_refusal("send")

    def _give_up(self, status: int, detail: str = "") -> None:
        """Give the request its final answer without a retry; may raise Refusal.

        ``detail`` is the reason unless an attempt has failed before.
        """
        failure, peer = self._preparation.last_failure
        opens_in_s = max(
            self._state.opens_in_s(self._service.name), self._preparation.limit_wait_s
        )
        detail = failure or detail or "no target can run the request now"
        if self._answer.is_started:
            self._log.step("stream aborted", peer, reason=detail)
            self._answer.abort()
        elif self._failed_answer is not None and self._failed_answer.head is not None:
            self._answer.send_whole(self._failed_answer.head, self._failed_answer.body)
        elif self._may_have_run:
            raise Refusal(
                status,
                "target-failed",
                detail,
                step="send",
                peer=peer,
                executed="unknown",
            )
        else:
            raise Refusal(
                503,
                "no-target",
                detail,
                step="send",
                peer=peer,
                retry_after_s=opens_in_s + self._context.retry_after_s(),
            )

    def _record_end(self, outcome: str) -> None:
        took_s = self._log.ended(
            outcome, self._answer, self._attempts, self._executions
        )
        self._context.metrics.ended(self._route.kind.value, outcome, took_s)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
