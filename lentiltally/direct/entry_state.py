"""State of an entry: configuration, targets, adapter versions, retry budgets."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from lentiltally.clock import Clock
from lentiltally.decisions.crash_suspects import (
    CrashSuspects,
    RequestTraits,
    fingerprint_texts,
)
from lentiltally.decisions.route_table import RouteTable
from lentiltally.decisions.service_retry_budget import ServiceRetryBudget
from lentiltally.decisions.target_choice import TargetChoice
from lentiltally.decisions.target_crashes import TargetCrashes, start_name
from lentiltally.decisions.target_directory import TargetDirectory
from lentiltally.decisions.target_notices import TargetNotices
from lentiltally.direct.messages import CrashReport, EngineState
from lentiltally.direct.model import (
    AdapterNotice,
    CallerLimits,
    DesiredState,
    Service,
    TargetRecord,
    TargetStage,
)
from lentiltally.direct.request import AnswerHead
from lentiltally.direct.settings import HostBounds, HostSettings

__all__ = ["EntryState"]

_log = logging.getLogger(__name__)

# Number of entries that share the retry budget, until an agent reports it.
ASSUMED_ENTRIES = 8
# How long a target is avoided whose agent says that it has ended.
ENDED_COOLDOWN_S = 1.0


class EntryState:
    """What one entry knows; each part has a single writer.

    The feeds write the desired state, adapter versions and targets, messages of agents
    write engine states, and requests write the rest.
    """

    def __init__(
        self, settings: HostSettings, clock: Clock, stagger: float = 0.0
    ) -> None:
        """Start without a configuration and without targets.

        ``stagger`` from 0 to 1 spreads what all entries would do at the same time.
        """
        self.peer_port = settings.peer_port
        self.bounds = settings.bounds
        self.table: RouteTable | None = None
        self.directory = TargetDirectory()
        self.choice = TargetChoice(settings.failure_domain)
        self.notices = TargetNotices()
        self.suspects = CrashSuspects(stagger)
        self.entry_count = ASSUMED_ENTRIES
        self.on_target_list_stale: Callable[[], None] = _do_nothing
        self.on_suspect: Callable[[str, RequestTraits], None] = _do_nothing
        self.on_parts_cleared: Callable[[list[int]], None] = _do_nothing
        self.on_trial: Callable[[list[int]], None] = _do_nothing
        self._clock = clock
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._newest_versions: dict[str, tuple[int, float]] = {}
        self._crashes: TargetCrashes[RequestTraits] = TargetCrashes()

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests that are in force."""
        return self.table.state.limits if self.table else CallerLimits()

    def apply_desired_state(self, state: DesiredState) -> bool:
        """Apply a desired state if it is newer; return whether it was applied."""
        if self.table is not None and state.version <= self.table.state.version:
            return False
        self.table = RouteTable(state)
        _log.info(
            "desired state applied",
            extra={"config_version": state.version, "routes": len(state.routes)},
        )
        return True

    def apply_bounds(self, bounds: HostBounds) -> None:
        """Apply new bounds and start new retry budgets with them."""
        self.bounds = bounds
        self._budgets.clear()

    def service(self, name: str) -> Service | None:
        """Return a service of the desired state, None if it is not configured."""
        return self.table.state.services.get(name) if self.table else None

    def budget(self, service: str) -> ServiceRetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = self._budgets[service] = ServiceRetryBudget(
                bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
            )
        return budget

    def version_announced(self, notice: AdapterNotice) -> None:
        """Note an announced version of an adapter if it is newer."""
        key = f"{notice.model}/{notice.adapter}"
        if notice.version > self._newest_versions.get(key, (0, 0.0))[0]:
            self._newest_versions[key] = (notice.version, self._clock.monotonic_s())
            _log.info(
                "new adapter version announced",
                extra={"adapter": key, "version": notice.version},
            )

    def newest_version(self, key: str) -> tuple[int, float] | None:
        """Return an adapter's newest version and how many seconds ago it became known.

        Returns None if no version was announced.
        """
        known = self._newest_versions.get(key)
        return known and (known[0], self._clock.monotonic_s() - known[1])

    def engine_targets(self) -> list[TargetRecord]:
        """Return the model engines, each of which has an agent on its host."""
        return [
            record
            for record in self.directory.all()
            if (service := self.service(record.service)) and service.engine
        ]

    def engine_state_received(self, ip: str, state: EngineState) -> None:
        """Apply an engine state that the agent at an address sent."""
        if state.entries:
            self.entry_count = state.entries
        target_id = self.directory.find_at_host(ip, state.started_ms)
        record = None if target_id is None else self.directory.get(target_id)
        has_other_start = record is None or record.started_ms != state.started_ms
        if has_other_start and state.store is None:
            # An agent that reads the store itself reports the start once it is listed.
            self.on_target_list_stale()
        if target_id is None:
            return
        known = self.choice.view(target_id).state
        if known is not None and known.started_ms < state.started_ms:
            self.target_ended(target_id, known.started_ms, "engine started anew")
        self.choice.state_received(target_id, state, self._clock.monotonic_s())

    def usable_targets(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may get a request now."""
        now_s = self._clock.monotonic_s()
        return [
            record
            for record in self.directory.usable(service)
            if self.notices.may_get_work(record, now_s)
        ]

    def is_usable(self, record: TargetRecord) -> bool:
        """Return whether a target may get a request now."""
        return self.directory.is_usable(record.target_id) and self.notices.may_get_work(
            record, self._clock.monotonic_s()
        )

    def opens_in_s(self, service: str) -> float:
        """Return how long until a service takes work again, 0 if it does now."""
        return self.notices.opens_in_s(
            self.directory.usable(service), self._clock.monotonic_s()
        )

    def answer_received(self, record: TargetRecord, head: AnswerHead) -> None:
        """Apply what a target says of itself in the head of an answer."""
        if head.is_misdirected:
            # Another target has answered.
            return
        if head.is_leaving and self.notices.leaves(record):
            _log.info("target says that it leaves", extra={"target": record.target_id})
        if head.unread_pause:
            _log.warning(
                "pause of a target not read",
                extra={"target": record.target_id, "text": head.unread_pause},
            )
        if head.pause_s is None:
            return
        until_s = self._clock.monotonic_s() + head.pause_s
        if self.notices.pauses(record, until_s):
            _log.info(
                "target wants no work",
                extra={"target": record.target_id, "pause_s": head.pause_s},
            )

    def mark_unreachable(self, target_id: str, until_s: float) -> None:
        """Avoid a target until a time, and reread the list in case it was removed."""
        self.choice.avoid(target_id, until_s)
        self.on_target_list_stale()

    def engine_ended(self, ip: str, started_ms: int) -> None:
        """Apply an agent's message that a start of its engine has ended."""
        target_id = self.directory.find_at_host(ip, started_ms)
        record = None if target_id is None else self.directory.get(target_id)
        if record is None or record.started_ms != started_ms:
            return
        if not self._crashes.has_ended(record.target_id, started_ms):
            self.target_ended(record.target_id, started_ms, "engine ended")
        until_s = self._clock.monotonic_s() + ENDED_COOLDOWN_S
        self.mark_unreachable(record.target_id, until_s)

    def connection_refused(self, record: TargetRecord) -> None:
        """Note that nothing listens at a target's address.

        If connections to it were lost before, it has ended.
        """
        if self._crashes.has_losses(record.target_id):
            self.target_ended(record.target_id, record.started_ms, "refuses")

    def connection_lost(self, record: TargetRecord, traits: RequestTraits) -> None:
        """Note a request whose connection was lost; its target may have crashed.

        ``traits`` has no parts if the request's answer has begun.
        """
        if self._is_draining(record.target_id):
            return
        now_s = self._clock.monotonic_s()
        if self._crashes.connection_lost(
            record.target_id, record.started_ms, traits, now_s
        ):
            start = start_name(record.target_id, record.started_ms)
            self._record_suspects([(start, traits)])

    def target_ended(
        self,
        target_id: str,
        started_ms: int,
        reason: str,
        *,
        was_draining: bool = False,
    ) -> None:
        """Note that the starts of a target up to ``started_ms`` have ended.

        Requests whose connections to it were lost shortly before become crash suspects,
        unless it was draining: such a target may end its connections.
        """
        now_s = self._clock.monotonic_s()
        lost = self._crashes.ended(target_id, started_ms, now_s)
        if was_draining or self._is_draining(target_id):
            lost = []
        new = self._record_suspects(lost)
        _log.info(
            "target removed or restarted",
            extra={
                "target": target_id,
                "started_ms": started_ms,
                "reason": reason,
                "suspects": fingerprint_texts(traits.content for traits in new),
                "parts": fingerprint_texts({p for traits in new for p in traits.parts}),
            },
        )

    def crash_reported(self, report: CrashReport) -> None:
        """Record the suspects that another entry has reported."""
        now_s = self._clock.monotonic_s()
        new = [
            traits
            for content, *parts in report.requests
            if self.suspects.record_crash(
                traits := RequestTraits(content, tuple(parts)),
                report.target_start,
                now_s,
            )
        ]
        if new:
            _log.info(
                "crash suspects reported",
                extra={
                    "start": report.target_start,
                    "suspects": fingerprint_texts(t.content for t in new),
                    "parts": fingerprint_texts({p for t in new for p in t.parts}),
                },
            )
            self._judge_parts()

    def answer_began(self, parts: tuple[int, ...]) -> None:
        """Clear the prompt parts of an answer that has begun."""
        cleared = self._clear_parts(parts, "answered")
        if cleared:
            self.on_parts_cleared(cleared)

    def parts_cleared(self, parts: tuple[int, ...]) -> None:
        """Clear the prompt parts of an answer that has begun at another entry."""
        self._clear_parts(parts, "answered at another entry")

    def begin_trials(self, parts: tuple[int, ...]) -> list[int]:
        """Return the refused parts that a request may try now, and announce them."""
        on_trial = self.suspects.begin_trials(parts, self._clock.monotonic_s())
        if on_trial:
            _log.info(
                "prompt part tried again", extra={"parts": fingerprint_texts(on_trial)}
            )
            self.on_trial(on_trial)
        return on_trial

    def refused_parts(self) -> list[tuple[int, float, float]]:
        """Return the refused parts, as ``CrashSuspects.refusals`` does."""
        return self.suspects.refusals(self._clock.monotonic_s())

    def parts_refused_elsewhere(self, refusals: list[tuple[int, float, float]]) -> None:
        """Refuse the parts that another entry refuses, unless answered lately here."""
        adopted, refuted = self.suspects.adopt_refusals(
            refusals, self._clock.monotonic_s()
        )
        if adopted:
            self._log_refused(adopted, "another entry refuses it")
        if refuted:
            self.on_parts_cleared(refuted)

    def _clear_parts(self, parts: tuple[int, ...], reason: str) -> list[int]:
        released = [p for p in parts if self.suspects.are_any_refused((p,))]
        cleared = self.suspects.parts_answered(parts, self._clock.monotonic_s())
        if released:
            self._log_released(released, reason)
        return cleared

    def _judge_parts(self) -> None:
        """Refuse the prompt parts that explain the crashes known so far."""
        changes = self.suspects.judge_parts(self._clock.monotonic_s())
        if changes.refused:
            self._log_refused(
                changes.refused, "targets ended before answers with it began"
            )
        if changes.released:
            self._log_released(changes.released, "another part explains the crashes")

    @staticmethod
    def _log_refused(parts: Iterable[int], reason: str) -> None:
        _log.warning(
            "prompt part refused",
            extra={"parts": fingerprint_texts(parts), "reason": reason},
        )

    @staticmethod
    def _log_released(parts: Iterable[int], reason: str) -> None:
        _log.info(
            "prompt part no longer refused",
            extra={"parts": fingerprint_texts(parts), "reason": reason},
        )

    def _record_suspects(
        self, lost: list[tuple[str, RequestTraits]]
    ) -> list[RequestTraits]:
        """Record suspects by start, and return those that were not known."""
        now_s = self._clock.monotonic_s()
        new = []
        for start, traits in lost:
            if self.suspects.record_crash(traits, start, now_s):
                new.append(traits)
                self.on_suspect(start, traits)
        if new:
            self._judge_parts()
        return new

    def _is_draining(self, target_id: str) -> bool:
        record = self.directory.get(target_id)
        return record is not None and record.stage is TargetStage.DRAINING


def _do_nothing(*_: object) -> None:
    """Do nothing: the default callback until an entry's process sets one."""
