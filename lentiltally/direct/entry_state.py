"""State of an entry: configuration, targets, adapter versions, retry budgets."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable

from lentiltally.clock import Clock
from lentiltally.decisions.configuration_proof import ConfigurationProof
from lentiltally.decisions.entry_count import EntryCount
from lentiltally.decisions.holder_role import AgentList
from lentiltally.decisions.known_agents import KnownAgents
from lentiltally.decisions.peer_versions import PeerVersions
from lentiltally.decisions.route_table import RouteTable
from lentiltally.decisions.service_retry_budget import ServiceRetryBudget
from lentiltally.decisions.target_choice import TargetChoice
from lentiltally.decisions.target_directory import TargetDirectory
from lentiltally.decisions.target_notices import TargetNotices
from lentiltally.direct.entry_suspects import EntrySuspects
from lentiltally.direct.messages import EngineState
from lentiltally.direct.model import (
    AdapterNotice,
    CallerLimits,
    DesiredState,
    Service,
    TargetRecord,
)
from lentiltally.direct.request import AnswerHead
from lentiltally.direct.settings import HostBounds, HostSettings

__all__ = ["EntryState"]

_log = logging.getLogger(__name__)

# How long a target is avoided whose agent says that it has ended.
ENDED_COOLDOWN_S = 1.0
# The list of agents that hold shared rights is derived again after this time.
AGENT_LIST_RETENTION_S = 0.25


class EntryState:
    """What one entry knows; each part has a single writer.

    The feeds write the desired state, adapter versions and targets, messages of agents
    write engine states, and requests write the rest.
    """

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        stagger: float = 0.0,
        rng: random.Random | None = None,
    ) -> None:
        """Start without a configuration and without targets.

        ``stagger`` from 0 to 1 spreads what all entries would do at the same time;
        ``rng`` draws targets, differently at each entry.
        """
        self.peer_port = settings.peer_port
        self.bounds = settings.bounds
        self.table: RouteTable | None = None
        self.configuration_proof = ConfigurationProof(settings.bounds.revocation_s)
        self.peer_versions = PeerVersions(rng or random.Random())
        self.directory = TargetDirectory()
        self.choice = TargetChoice(settings.failure_domain, rng=rng)
        self.notices = TargetNotices()
        self._known_agents = KnownAgents()
        self._with_unread_limit: set[str] = set()
        self.suspects = EntrySuspects(self.directory, clock, stagger)
        self._entry_count = EntryCount()
        self.on_target_list_stale: Callable[[], None] = _do_nothing
        self.list_position: Callable[[], int] = _at_start
        self._agent_list = AgentList(frozenset(), 0)
        self._agent_list_until_s = -math.inf
        self._clock = clock
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._newest_versions: dict[str, tuple[int, float]] = {}

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests that are in force."""
        return self.table.state.limits if self.table else CallerLimits()

    @property
    def entry_count(self) -> int:
        """Return the number of entries, among which limits of the fleet are divided."""
        return self._entry_count.current(self._clock.monotonic_s())

    @property
    def config_version(self) -> int:
        """Return the version of the desired state in force, 0 without one."""
        return 0 if self.table is None else self.table.state.version

    @property
    def has_accounts(self) -> bool:
        """Return whether the desired state has client accounts."""
        return self.table is not None and self.table.state.accounts is not None

    def apply_desired_state(self, state: DesiredState) -> bool:
        """Apply a desired state if it is newer; return whether it was applied."""
        if self.table is not None and state.version <= self.table.state.version:
            return False
        self.table = RouteTable(state)
        self.choice.mode.has_accounts = state.accounts is not None
        _log.info(
            "desired state applied",
            extra={"config_version": state.version, "routes": len(state.routes)},
        )
        _log_shared_keys(state)
        return True

    def apply_bounds(self, bounds: HostBounds) -> None:
        """Apply new bounds and start new retry budgets with them."""
        self.bounds = bounds
        self.configuration_proof.bound_s = bounds.revocation_s
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
        self._entry_count.reported(state.entries, self._clock.monotonic_s())
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
            self.suspects.target_ended(
                target_id, known.started_ms, "engine started anew"
            )
        self.choice.state_received(target_id, state, self._clock.monotonic_s())
        if record is not None and not has_other_start:
            self._limit_named(record, state.rate_limit_per_s)

    def note_agent_hosts(self) -> None:
        """Remember the hosts of the engines that are listed now."""
        hosts = {record.ip for record in self.engine_targets()}
        self._known_agents.seen(hosts, self._clock.monotonic_s())

    def agent_hosts(self) -> set[str]:
        """Return the hosts of the agents known now or lately."""
        self.note_agent_hosts()
        return self._known_agents.hosts()

    def agent_list(self) -> AgentList:
        """Return the agents that hold shared rights: those of the engines listed now.

        In contrast to ``agent_hosts`` this depends on nothing but the records that were
        read, so all processes that have read equally far know the same agents.
        """
        now_s = self._clock.monotonic_s()
        if now_s >= self._agent_list_until_s:
            hosts = frozenset(record.ip for record in self.engine_targets())
            if hosts == self._agent_list.hosts:
                # Whoever derives something from the hosts compares them by identity.
                hosts = self._agent_list.hosts
            self._agent_list = AgentList(hosts, self.list_position())
            self._agent_list_until_s = now_s + AGENT_LIST_RETENTION_S
        return self._agent_list

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
        if head.unread_limit:
            self._log_unread_limit(record, head.unread_limit)
        else:
            self._limit_named(record, head.rate_limit_per_s)
        if head.pause_s is None:
            return
        until_s = self._clock.monotonic_s() + head.pause_s
        if self.notices.pauses(record, until_s):
            _log.info(
                "target wants no work",
                extra={"target": record.target_id, "pause_s": head.pause_s},
            )

    def _limit_named(self, record: TargetRecord, rate_per_s: float | None) -> None:
        if self.notices.limits(record, rate_per_s):
            _log.info(
                "target names another limit",
                extra={"target": record.target_id, "rate_limit_per_s": rate_per_s},
            )

    def _log_unread_limit(self, record: TargetRecord, text: str) -> None:
        """Log an odd limit, which comes in all answers of a target, once."""
        if record.target_id in self._with_unread_limit:
            return
        self._with_unread_limit.add(record.target_id)
        _log.warning(
            "limit of a target not read",
            extra={"target": record.target_id, "text": text},
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
        if not self.suspects.has_ended(record.target_id, started_ms):
            self.suspects.target_ended(record.target_id, started_ms, "engine ended")
        until_s = self._clock.monotonic_s() + ENDED_COOLDOWN_S
        self.mark_unreachable(record.target_id, until_s)

    def connection_refused(self, record: TargetRecord) -> None:
        """Note that nothing listens at a target's address.

        If connections to it were lost before, it has ended.
        """
        if self.suspects.has_losses(record.target_id):
            self.suspects.target_ended(record.target_id, record.started_ms, "refuses")


def _log_shared_keys(state: DesiredState) -> None:
    """Warn if keys are listed in two accounts; the account listed first holds them."""
    accounts = state.accounts
    if accounts is not None and accounts.shared_key_count:
        _log.warning(
            "keys are listed in two accounts",
            extra={
                "config_version": state.version,
                "count": accounts.shared_key_count,
                # The name "account" alone is for the account of a request.
                "accounts": [f"{one}, not {two}" for one, two in accounts.shared_keys],
            },
        )


def _at_start() -> int:
    """Return the position before the first read of the list of targets."""
    return 0


def _do_nothing(*_: object) -> None:
    """Do nothing: the default callback until an entry's process sets one."""
