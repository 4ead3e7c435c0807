"""Prepares the next attempt of a request: target, adapter, connection, retry budget.

Everything that another target needs before it can take a request is acquired here.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from lentiltally.clock import Clock
from lentiltally.decisions.engine_slots import RATE_LIMIT
from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.adapter_pin import AdapterPin
from lentiltally.direct.agent_client import AcquireResult
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.handling_log import HandlingLog
from lentiltally.direct.http_connection import ConnectError, HttpConnection
from lentiltally.direct.model import Route, Service, TargetRecord
from lentiltally.direct.request import CallerRequest
from lentiltally.direct.target_sender import TargetSender

__all__ = ["AttemptPreparation", "PreparedAttempt"]


@dataclass(frozen=True, slots=True)
class PreparedAttempt:
    """A target that is ready for a request, with the adapter pinned and a connection.

    ``grant`` is the answer of the target's agent, None if none was needed.
    """

    candidate: Candidate
    grant: AcquireResult | None
    connection: HttpConnection

    @property
    def record(self) -> TargetRecord:
        """Return the target's record."""
        return self.candidate.record


@dataclass(slots=True)
class _Search:
    """What one search for a target has found out.

    ``excluded`` has the targets that could not be used, with the time at which that
    was found out. ``declines`` counts the agents that did not pin the adapter.
    ``limited`` has the targets without an agent that had no permit left, with the time
    to their next one, and ``limit_wait_s`` is the shortest such time of all targets.
    ``is_over`` says that no other target may be tried. ``failure`` is why the last
    target could not be used, and which one it was.
    """

    excluded: dict[str, float] = field(default_factory=dict)
    declines: int = 0
    limited: dict[str, tuple[Candidate, float]] = field(default_factory=dict)
    limit_wait_s: float = math.inf
    is_over: bool = False
    failure: tuple[str, str] = ("", "")

    def forget_before(self, time_s: float) -> None:
        """Let targets be tried again that were excluded before a time."""
        kept = {i: at_s for i, at_s in self.excluded.items() if at_s >= time_s}
        forgotten = len(self.excluded) - len(kept)
        self.declines = max(0, self.declines - forgotten)
        self.excluded = kept


class AttemptPreparation:
    """Chooses targets for one request and prepares attempts at them."""

    def __init__(
        self,
        context: ForwardingContext,
        request: CallerRequest,
        route: Route,
        service: Service,
        deadline_s: float,
        *,
        sender: TargetSender,
        pin: AdapterPin,
        log: HandlingLog,
        may_be_sent: Callable[[], bool],
    ) -> None:
        """Prepare attempts at the targets of a service until the deadline.

        None is prepared any more once ``may_be_sent`` returns False.
        """
        self._context = context
        self._state = context.state
        self._settings = context.settings
        self._clock: Clock = context.clock
        self._request = request
        self._route = route
        self._service = service
        self._deadline_s = deadline_s
        self._sender = sender
        self._pin = pin
        self._log = log
        self._may_be_sent = may_be_sent
        self._search = _Search()
        self._sent_ids: set[str] = set()
        self._rejections = 0
        self._failure = ("", "")

    @property
    def last_failure(self) -> tuple[str, str]:
        """Return the reason and the target of the last failure, empty if none."""
        return self._search.failure if self._search.failure[0] else self._failure

    async def next(self, attempts: int) -> PreparedAttempt | None:
        """Return an attempt that is ready to be sent, None if no target is left.

        ``attempts`` is the number of attempts before it: another one needs the retry
        budget. By then, targets that could not be used at first may be sound again.
        """
        if attempts > 0:
            cooldown_s = self._settings.unreachable_cooldown_s
            self._search.forget_before(self._clock.monotonic_s() - cooldown_s)
        while self._is_allowed(attempts) and (candidate := self._choose()) is not None:
            prepared = await self._prepare(candidate, attempts, max_permit_wait_s=0.0)
            if prepared is not None:
                return prepared
        return await self._wait_for_permit(attempts)

    @property
    def limit_wait_s(self) -> float:
        """Return when the first target that names a limit takes a request, 0 if none.

        In seconds from the time at which it declined this one.
        """
        wait_s = self._search.limit_wait_s
        return wait_s if math.isfinite(wait_s) else 0.0

    async def replacement(
        self, attempts: int, under_way: Iterable[TargetRecord]
    ) -> PreparedAttempt | None:
        """Return an attempt beside those that are under way, like ``next``.

        Targets that don't take the request now may be tried again later. Targets at the
        hosts of those under way are left out: an agent has one pin for each request.
        """
        before = self._search
        beside = dict.fromkeys(self._same_host_ids(under_way), math.inf)
        self._search = replace(before, excluded=before.excluded | beside)
        try:
            return await self.next(attempts)
        finally:
            self._search = before

    def sent(self, record: TargetRecord) -> None:
        """Exclude a target that the request was sent to."""
        self._sent_ids.add(record.target_id)
        self._search.failure = ("", "")

    def failed(self, record: TargetRecord, detail: str) -> None:
        """Note why the last attempt failed."""
        self._failure = detail, record.target_id
        self._search.failure = ("", "")

    def ended(self, detail: str) -> None:
        """Note why no further attempt is made."""
        _, peer = self.last_failure
        self._search.failure = detail, peer

    def rejected(self, record: TargetRecord) -> None:
        """Count a rejection without execution, and avoid the target for a while."""
        self._rejections += 1
        until_s = self._clock.monotonic_s() + self._settings.rejection_cooldown_s
        self._state.choice.avoid(record.target_id, until_s)

    def release(self, record: TargetRecord) -> None:
        """Release the adapter of an attempt that has ended or was not made."""
        if self._service.engine is not None:
            self._pin.release(record)

    @property
    def _left_s(self) -> float:
        return self._deadline_s - self._clock.monotonic_s()

    @property
    def _objective_left_s(self) -> float:
        since_s = self._clock.monotonic_s() - self._request.arrived_s
        return self._route.objective_s - since_s

    def _same_host_ids(self, under_way: Iterable[TargetRecord]) -> set[str]:
        """Return the ids of the engines at the hosts of some targets."""
        if self._service.engine is None:
            return set()
        hosts = {_host(record) for record in under_way}
        records = self._state.directory.all()
        return {record.target_id for record in records if _host(record) in hosts}

    def _choose(self) -> Candidate | None:
        """Return the best target that is not excluded."""
        now_s = self._clock.monotonic_s()
        records = self._state.usable_targets(self._service.name)
        choice = self._state.choice
        excluded = self._search.excluded.keys() | self._sent_ids
        if self._service.engine is None:
            candidates = choice.rank_service_targets(records, excluded, now_s)
        else:
            adapter = self._request.adapter
            candidates = choice.rank_engines(
                records,
                self._adapter_key,
                self._request.prompt_tokens,
                excluded,
                now_s,
                needs_adapter=adapter is not None and bool(adapter.adapter),
            )
        if not candidates:
            return None
        choice.chosen(candidates[0], self._adapter_key, self._request.prompt_tokens)
        self._context.balance.chosen(candidates[0])
        return candidates[0]

    @property
    def _adapter_key(self) -> str:
        return self._request.adapter.key if self._request.adapter else ""

    def _is_allowed(self, attempts: int) -> bool:
        """Return whether the limits and the retry budget allow another attempt."""
        settings = self._settings
        if not self._may_be_sent():
            return False
        if self._search.is_over or self._rejections >= settings.max_rejections:
            return False
        if self._search.declines >= settings.max_declines:
            return False
        if attempts == 0:
            return True
        budget = self._state.budget(self._service.name)
        return (
            budget.remaining(self._state.entry_count, self._clock.monotonic_s()) >= 1.0
        )

    async def _wait_for_permit(self, attempts: int) -> PreparedAttempt | None:
        """Wait for the next permit, because all targets are limited or excluded."""
        limited = [
            (candidate, wait_s)
            for target_id, (candidate, wait_s) in self._search.limited.items()
            if target_id not in self._sent_ids
        ]
        if not limited or not self._is_allowed(attempts):
            return None
        candidate, wait_s = min(limited, key=lambda entry: entry[1])
        if wait_s > self._wait_budget_s or not self._state.is_usable(candidate.record):
            return None
        # If it still has none, it is noted again; once sent to, it is not tried twice.
        del self._search.limited[candidate.record.target_id]
        return await self._prepare(
            candidate, attempts, max_permit_wait_s=self._wait_budget_s
        )

    @property
    def _wait_budget_s(self) -> float:
        """Return how long the request may wait for a permit."""
        share_s = self._settings.acquire_wait_share * self._left_s
        return max(0.0, min(share_s, self._objective_left_s))

    async def _prepare(
        self, candidate: Candidate, attempts: int, *, max_permit_wait_s: float
    ) -> PreparedAttempt | None:
        """Acquire all that an attempt needs; return None if the target lacks some."""
        prepared: PreparedAttempt | None = None
        try:
            prepared = await self._acquire(candidate, attempts, max_permit_wait_s)
            return prepared
        finally:
            if prepared is None:
                # Also after a cancellation: the agent may have granted the adapter.
                self.release(candidate.record)

    async def _acquire(
        self, candidate: Candidate, attempts: int, max_permit_wait_s: float
    ) -> PreparedAttempt | None:
        record = candidate.record
        grant: AcquireResult | None = None
        if self._service.engine is not None:
            grant = await self._pin.acquire(
                candidate, self._left_s, self._objective_left_s
            )
            if grant is not None and not grant.is_granted:
                self._declined(record, grant)
                return None
        # The agent of an engine has checked the limit that its engine names.
        if grant is None and not await self._has_permit(candidate, max_permit_wait_s):
            return None
        if not self._is_still_allowed(record):
            return None
        connection = await self._connect(record)
        if connection is None:
            return None
        if attempts > 0 and not self._spend_retry():
            connection.close()
            self._search.is_over = True
            return None
        return PreparedAttempt(candidate, grant, connection)

    def _is_still_allowed(self, record: TargetRecord) -> bool:
        """Return whether the request may still go to a target after all waits."""
        if not self._state.is_usable(record):
            self._drained_meanwhile(record)
            return False
        return self._may_be_sent()

    async def _has_permit(self, candidate: Candidate, max_wait_s: float) -> bool:
        """Return whether a target's limit allows the request; wait for its turn."""
        record = candidate.record
        if self._state.notices.rate_limit_per_s(record) is None:
            return True
        permit = await self._context.permits.acquire(record, max_wait_s)
        if permit.is_granted:
            await asyncio.sleep(permit.wait_s)
            return True
        self._search.limited[record.target_id] = candidate, permit.wait_s
        self._limited(record, permit.wait_s)
        self._exclude(record, RATE_LIMIT, is_unreachable=False)
        self._log.step(
            "permit declined", record.target_id, wait_s=round(permit.wait_s, 3)
        )
        return False

    def _limited(self, record: TargetRecord, wait_s: float) -> None:
        """Note when a target that names a limit takes the next request."""
        self._search.limit_wait_s = min(self._search.limit_wait_s, wait_s)
        self._state.choice.limited(record.target_id, self._clock.monotonic_s() + wait_s)

    def _declined(self, record: TargetRecord, grant: AcquireResult) -> None:
        """Exclude a target whose agent did not grant the adapter."""
        self._search.declines += 1
        self._state.choice.declined(
            record.target_id, self._adapter_key, self._request.prompt_tokens
        )
        if grant.limit_wait_s > 0.0:
            self._limited(record, grant.limit_wait_s)
        detail = f"adapter not held: {grant.reason}"
        is_unreachable = grant.is_timed_out or grant.is_engine_unresponsive
        self._exclude(record, detail, is_unreachable=is_unreachable)
        self._log.step("adapter declined", record.target_id, reason=grant.reason)

    def _drained_meanwhile(self, record: TargetRecord) -> None:
        """Exclude a target that takes no work any more since its agent was asked."""
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
        self._search.excluded[record.target_id] = self._clock.monotonic_s()
        self._search.failure = detail, record.target_id
        if is_unreachable:
            until_s = self._clock.monotonic_s() + self._settings.unreachable_cooldown_s
            self._state.mark_unreachable(record.target_id, until_s)

    async def _connect(self, record: TargetRecord) -> HttpConnection | None:
        try:
            connection = await self._sender.connect(record, self._left_s)
        except ConnectError as error:
            self._exclude(record, str(error), is_unreachable=True)
            if error.is_refused:
                self._state.connection_refused(record)
            self._log.step("target unreachable", record.target_id, reason=str(error))
            return None
        if not self._may_be_sent():
            # It may have become forbidden during the wait for the connection.
            connection.close()
            return None
        return connection

    def _spend_retry(self) -> bool:
        budget = self._state.budget(self._service.name)
        return budget.spend(self._state.entry_count, self._clock.monotonic_s())


def _host(record: TargetRecord) -> str:
    return record.address.rpartition(":")[0]
