"""What an entry believes: desired state, targets, versions, suspects, budgets."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lentiltally.clock import Clock
from lentiltally.decisions.crash_suspects import CrashSuspects
from lentiltally.decisions.route_table import RouteTable
from lentiltally.decisions.service_retry_budget import ServiceRetryBudget
from lentiltally.decisions.target_choice import TargetChoice
from lentiltally.decisions.target_directory import TargetDirectory
from lentiltally.direct.messages import EngineState
from lentiltally.direct.model import (
    AdapterNotice,
    CallerLimits,
    DesiredState,
    Service,
    TargetRecord,
)
from lentiltally.direct.settings import HostBounds, HostSettings

__all__ = ["EntryState"]

_log = logging.getLogger(__name__)

# Entries that an entry assumes before an agent has told it how many there are.
ASSUMED_ENTRIES = 8
RESET_MEMORY_S = 5.0


class EntryState:
    """The entry's beliefs, each with one writer.

    The feeds write desired state, notices and targets; agents' messages write engine
    states; requests write the rest.
    """

    def __init__(self, settings: HostSettings, clock: Clock) -> None:
        """Start without any belief."""
        self.peer_port = settings.peer_port
        self.bounds = settings.bounds
        self.table: RouteTable | None = None
        self.directory = TargetDirectory()
        self.choice = TargetChoice(settings.failure_domain)
        self.suspects = CrashSuspects()
        self.entries = ASSUMED_ENTRIES
        self.on_list_outdated: Callable[[], None] = _do_nothing
        self._clock = clock
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._notices: dict[str, tuple[int, float]] = {}
        self._resets: dict[str, list[tuple[int, float]]] = {}

    @property
    def limits(self) -> CallerLimits:
        """Return the bounds on callers that are in force."""
        return self.table.state.limits if self.table else CallerLimits()

    def configured(self, state: DesiredState) -> bool:
        """Take a version of the desired state; an older one is ignored."""
        if self.table is not None and state.version <= self.table.state.version:
            return False
        self.table = RouteTable(state)
        _log.info(
            "desired state in force",
            extra={"config_version": state.version, "routes": len(state.routes)},
        )
        return True

    def bounds_changed(self, bounds: HostBounds) -> None:
        """Take new bounds; budgets start anew with them."""
        self.bounds = bounds
        self._budgets.clear()

    def service(self, name: str) -> Service | None:
        """Return a service of the desired state."""
        return self.table.state.services.get(name) if self.table else None

    def budget(self, service: str) -> ServiceRetryBudget:
        """Return the resend budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = self._budgets[service] = ServiceRetryBudget(
                bounds.retry_share, bounds.retry_slack, bounds.retry_window_s
            )
        return budget

    def noticed(self, notice: AdapterNotice) -> None:
        """Take a newer version of an adapter."""
        key = f"{notice.model}/{notice.adapter}"
        if notice.version > self._notices.get(key, (0, 0.0))[0]:
            self._notices[key] = (notice.version, self._clock.monotonic_s())
            _log.info(
                "adapter version named",
                extra={"adapter": key, "version": notice.version},
            )

    def newest_version(self, key: str) -> tuple[int, float] | None:
        """Return the newest version of an adapter and how long it has been known."""
        known = self._notices.get(key)
        return known and (known[0], self._clock.monotonic_s() - known[1])

    def engine_targets(self) -> list[TargetRecord]:
        """Return the targets beside which an agent runs."""
        return [
            record
            for record in self.directory.all()
            if (service := self.service(record.service)) and service.engine
        ]

    def engine_state(self, ip: str, state: EngineState) -> None:
        """Take an agent's message about its engine."""
        if state.entries:
            self.entries = state.entries
        target_id = self.directory.find_at_host(ip, state.started_ms)
        record = None if target_id is None else self.directory.get(target_id)
        if record is None or record.started_ms != state.started_ms:
            self.on_list_outdated()
        if target_id is None:
            return
        known = self.choice.view(target_id).state
        if known is not None and known.started_ms != state.started_ms:
            self.target_ended(target_id, "engine started anew")
        self.choice.state_received(target_id, state, self._clock.monotonic_s())

    def unreachable(self, target_id: str, until_s: float) -> None:
        """Prefer other targets for a while, and see whether this one is gone."""
        self.choice.avoid(target_id, until_s)
        self.on_list_outdated()

    def was_reset(self, target_id: str, print_: int) -> None:
        """Note a request whose connection broke; the target may have ended."""
        resets = self._resets.setdefault(target_id, [])
        resets.append((print_, self._clock.monotonic_s()))

    def target_ended(self, target_id: str, reason: str) -> list[int]:
        """Return the new suspects: requests that ran when a target ended."""
        now_s = self._clock.monotonic_s()
        new = [
            print_
            for print_, at_s in self._resets.pop(target_id, ())
            if now_s - at_s < RESET_MEMORY_S
            and self.suspects.record_crash(print_, f"{target_id}@{at_s:.0f}", now_s)
        ]
        _log.info(
            "target ended",
            extra={"target": target_id, "reason": reason, "suspects": len(new)},
        )
        return new


def _do_nothing() -> None:
    """Stand in until an entry's process asks to be told."""
