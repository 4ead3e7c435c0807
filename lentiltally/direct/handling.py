"""Handles one request: choose a target, acquire the adapter, send and read."""

from __future__ import annotations

import asyncio

from lentiltally.decisions.crash_suspects import (
    RequestTraits,
    fingerprint_texts,
    part_fingerprint,
    request_fingerprint,
)
from lentiltally.decisions.target_choice import Candidate
from lentiltally.decisions.target_timeouts import TargetTimeouts
from lentiltally.direct.adapter_pin import AdapterPin
from lentiltally.direct.agent_client import AcquireResult
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
)
from lentiltally.direct.forwarding import ForwardingContext
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

# Targets take priorities from 0 to 9. Each rank of a route has a priority of its own,
# and the step leaves unused values between them.
MAX_PRIORITY = 9
PRIORITY_STEP_PER_RANK = 2


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
        self._pin = AdapterPin(context, request, route.rank)
        self._sender = TargetSender(context, request, route, self._answer, self._pin)
        self._traits = _traits_of(request)
        self._on_trial: list[int] = []
        self._answer.on_started = self._answer_began
        self._log = HandlingLog(request, route.name, self._traits, context.clock)
        timeout_s = request.timeout_s or route.timeout_s
        self._deadline_s = request.arrived_s + min(timeout_s, route.timeout_s)
        self._excluded: set[str] = set()
        # Requests sent to targets, and those of them that may have been executed.
        self._attempts = 0
        self._executions = 0
        self._is_in_flight = False
        self._rejections = 0
        self._declines = 0
        self._failed_answer: ExchangeResult | None = None
        # Reason and target of the last failure, for a refusal.
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
        """Answer the request.

        Raises Refusal if the caller gets a refusal instead of an answer, and
        CallerDisconnectedError if it closed the connection.
        """
        self._check_suspect()
        task = asyncio.current_task()
        is_stream = self._route.kind is RouteKind.STREAM
        if task is not None and (is_stream or self._route.is_idempotent):
            # A non-idempotent request is not cancelled: its caller may ask for the
            # outcome later.
            self._connection.on_disconnect = lambda: _cancel(task)
        limit_s = max(0.0, self._left_s - self._settings.deadline_margin_s)
        try:
            async with asyncio.timeout(limit_s):
                await self._send_until_answered()
        except TimeoutError:
            self._detail = self._detail or "the deadline passed"
            self._give_up(504)
        except (asyncio.CancelledError, CallerDisconnectedError):
            self._record_end("caller gone")
            raise
        self._record_end("broken off" if self._answer.is_aborted else "answered")

    def _check_suspect(self) -> None:
        """Raise Refusal if the content has crashed targets, and begin due trials."""
        if self._state.suspects.is_content_refused(
            self._traits.content, self._clock.monotonic_s()
        ):
            raise Refusal(
                503,
                "crash-suspect",
                "targets ended while they ran this request",
                step="suspects",
                retry_after_s=self._context.retry_after_s(),
            )
        self._on_trial = self._state.begin_trials(self._traits.parts)

    def _refused_part(self) -> tuple[int, float] | None:
        """Return a refused part of the prompt and for how long, None if none is.

        A prompt whose answer has begun has no part that crashes its target.
        """
        if self._answer.is_started:
            return None
        return self._state.suspects.refused_part(
            self._traits.parts, self._clock.monotonic_s(), self._on_trial
        )

    def _give_up_refused_part(self, part: int, left_s: float) -> None:
        """Refuse the request because of a part; "not run" only if that is true."""
        (text,) = fingerprint_texts((part,))
        self._detail = f"targets ended before answers with the prompt part {text} began"
        if self._executions > 0:
            self._give_up(502)
            return
        raise Refusal(
            503,
            "crash-suspect-part",
            self._detail,
            step="suspects",
            retry_after_s=left_s,
        )

    def _answer_began(self) -> None:
        self._state.answer_began(self._traits.parts)

    async def _send_until_answered(self) -> None:
        while True:
            # Others may have found the part since the last attempt.
            refused = self._refused_part()
            if refused is not None:
                self._give_up_refused_part(*refused)
                return
            candidate = self._choose()
            if candidate is None or not self._may_attempt():
                self._give_up(502)
                return
            result = await self._attempt(candidate)
            if result is not None and self._process_result(candidate.record, result):
                return

    def _choose(self) -> Candidate | None:
        """Return the best target that has not been tried yet."""
        now_s = self._clock.monotonic_s()
        records = self._state.directory.usable(self._service.name)
        choice = self._state.choice
        if self._service.engine is None:
            candidates = choice.rank_service_targets(records, self._excluded, now_s)
        else:
            adapter = self._request.adapter
            candidates = choice.rank_engines(
                records,
                adapter.key if adapter else "",
                self._request.prompt_tokens,
                self._excluded,
                now_s,
                needs_adapter=adapter is not None and bool(adapter.adapter),
            )
        return candidates[0] if candidates else None

    def _may_attempt(self) -> bool:
        """Return whether the limits and the retry budget allow another attempt."""
        settings = self._settings
        if self._rejections >= settings.max_rejections:
            return False
        if self._declines >= settings.max_declines:
            return False
        if self._attempts == 0:
            return True
        budget = self._state.budget(self._service.name)
        return (
            budget.remaining(self._state.entry_count, self._clock.monotonic_s()) >= 1.0
        )

    async def _attempt(self, candidate: Candidate) -> ExchangeResult | None:
        """Acquire the adapter and send; return None if nothing was sent."""
        if self._service.engine is None:
            return await self._send(candidate, None)
        try:
            grant = await self._pin.acquire(
                candidate, self._left_s, self._objective_left_s
            )
            if grant is not None and not grant.is_granted:
                self._declined(candidate.record, grant)
                return None
            if not self._state.directory.is_usable(candidate.record.target_id):
                self._drained_meanwhile(candidate.record)
                return None
            if self._refused_part() is not None:
                return None
            return await self._send(candidate, grant)
        finally:
            # Also after a cancellation, because the agent may have granted the adapter.
            self._pin.release(candidate.record)

    def _declined(self, record: TargetRecord, grant: AcquireResult) -> None:
        """Exclude a target whose agent did not grant the adapter."""
        self._declines += 1
        detail = f"adapter not held: {grant.reason}"
        is_unreachable = grant.is_timed_out or grant.is_engine_unresponsive
        self._exclude(record, detail, is_unreachable=is_unreachable)
        self._log.step("adapter declined", record.target_id, reason=grant.reason)

    def _drained_meanwhile(self, record: TargetRecord) -> None:
        """Exclude a target that began to drain while its agent loaded the adapter."""
        self._exclude(record, "the target leaves", is_unreachable=False)
        self._log.step(
            "target draining or removed", record.target_id, reason="leaves or is gone"
        )

    def _exclude(
        self, record: TargetRecord, detail: str, *, is_unreachable: bool
    ) -> None:
        """Exclude a target for this request.

        All requests avoid an unreachable target for ``unreachable_cooldown_s``.
        """
        self._excluded.add(record.target_id)
        self._detail, self._peer = detail, record.target_id
        if is_unreachable:
            until_s = self._clock.monotonic_s() + self._settings.unreachable_cooldown_s
            self._state.mark_unreachable(record.target_id, until_s)

    async def _send(
        self, candidate: Candidate, grant: AcquireResult | None
    ) -> ExchangeResult | None:
        """Send to a target; return None if it is unreachable or no retry is left."""
        record = candidate.record
        connection = await self._connect(record)
        if connection is None:
            return None
        if self._attempts > 0 and not self._spend_retry():
            connection.close()
            # Makes ``_may_attempt`` end the attempts.
            self._rejections = self._settings.max_rejections
            return None
        self._attempts += 1
        self._is_in_flight = True
        self._log.sent(candidate, self._left_s, self._attempts)
        attempt = self._target_attempt(record, grant)
        return await self._sender.send(record, connection, attempt, self._timeouts())

    async def _connect(self, record: TargetRecord) -> HttpConnection | None:
        try:
            return await self._sender.connect(record, self._left_s)
        except ConnectError as error:
            self._exclude(record, str(error), is_unreachable=True)
            if error.is_refused:
                self._state.connection_refused(record)
            self._log.step("target unreachable", record.target_id, reason=str(error))
            return None

    def _spend_retry(self) -> bool:
        budget = self._state.budget(self._service.name)
        return budget.spend(self._state.entry_count, self._clock.monotonic_s())

    def _target_attempt(
        self, record: TargetRecord, grant: AcquireResult | None
    ) -> TargetAttempt:
        is_engine = self._service.engine is not None
        is_resumed = self._answer.is_started
        priority = min(MAX_PRIORITY, 1 + PRIORITY_STEP_PER_RANK * self._route.rank)
        return TargetAttempt(
            target_id=record.target_id,
            left_s=max(0.001, self._left_s - self._settings.deadline_margin_s),
            priority=priority if is_engine else None,
            adapter_version=self._pin.expected_version(grant),
            resume_after=self._answer.stream.last_event_id if is_resumed else None,
        )

    def _timeouts(self) -> TargetTimeouts:
        """Return the timeouts of an attempt; none unless a retry is still allowed."""
        can_retry_elsewhere = (
            self._route.is_idempotent and self._executions + 1 < self._route.max_targets
        )
        if not can_retry_elsewhere:
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
        self._is_in_flight = False
        self._excluded.add(record.target_id)
        if outcome is ExchangeOutcome.DELIVERED:
            now_s = self._clock.monotonic_s()
            self._state.suspects.finished(self._traits.content, now_s)
            self._answer_began()
            return True
        self._detail, self._peer = result.detail, record.target_id
        self._log.step(
            "attempt failed",
            record.target_id,
            reason=result.detail,
            outcome=outcome.value,
        )
        if outcome is ExchangeOutcome.NOT_RUN:
            self._record_rejection(record)
            return False
        return self._finish_unless_retryable(record, result)

    def _record_rejection(self, record: TargetRecord) -> None:
        """Count a rejection without execution, and avoid the target for a while."""
        self._rejections += 1
        until_s = self._clock.monotonic_s() + self._settings.rejection_cooldown_s
        self._state.choice.avoid(record.target_id, until_s)

    def _finish_unless_retryable(
        self, record: TargetRecord, result: ExchangeResult
    ) -> bool:
        """Count a possible execution and give up if no retry is allowed.

        Returns whether it gave up.
        """
        self._executions += 1
        if result.was_reset:
            traits = self._traits
            if self._answer.is_started:
                traits = RequestTraits(traits.content)
            self._state.connection_lost(record, traits)
        if result.outcome is ExchangeOutcome.ANSWERED:
            self._failed_answer = result
        is_idempotent = self._route.is_idempotent
        if is_idempotent and self._executions < self._route.max_targets:
            return False
        self._give_up(502)
        return True

    def _give_up(self, status: int) -> None:
        """Give the request its final answer without a retry; may raise Refusal."""
        if self._answer.is_started:
            self._log.step("stream aborted", self._peer, reason=self._detail)
            self._answer.abort()
        elif self._failed_answer is not None and self._failed_answer.head is not None:
            self._answer.send_whole(self._failed_answer.head, self._failed_answer.body)
        elif self._executions > 0 or self._is_in_flight:
            raise self._refusal(status, "target-failed", "unknown")
        else:
            raise self._refusal(503, "no-target", "no")

    def _refusal(self, status: int, reason: str, executed: Executed) -> Refusal:
        is_retryable = executed == "no"
        return Refusal(
            status,
            reason,
            self._detail or "no target can run the request now",
            step="send",
            peer=self._peer,
            executed=executed,
            retry_after_s=self._context.retry_after_s() if is_retryable else None,
        )

    def _record_end(self, outcome: str) -> None:
        took_s = self._log.ended(
            outcome, self._answer, self._attempts, self._executions
        )
        self._context.metrics.ended(self._route.kind.value, outcome, took_s)


def _traits_of(request: CallerRequest) -> RequestTraits:
    adapter = request.adapter.key if request.adapter else ""
    return RequestTraits(
        request_fingerprint(request.host, request.path, adapter, request.body),
        tuple(part_fingerprint(part) for part in request.shared_parts),
    )


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
