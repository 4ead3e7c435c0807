"""Which targets may get new work, from an entry's point of view.

Three sources are combined: the state reports of the agents, the host list, and the
entry's own failures to reach an agent. A report that a target is draining takes effect
as soon as it is read.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lentiltally.wire.messages import TargetState

# An agent with a request sends Progress once a second, so three in a row are missing
# after 3 s.
BUSY_AGENT_TIMEOUT_S = 3.0
# State reports come every 10 s, so two in a row are missing after 25 s.
IDLE_AGENT_TIMEOUT_S = 25.0
# A poll every 5 s could not keep the list younger than 5 s, because reading takes time.
HOST_LIST_POLL_INTERVAL_S = 4.0
HOST_LIST_MAX_AGE_S = 5.0
LIVE = "live"
DRAINING = "leaving"
# Earlier incarnations remembered for each agent, to recognise their delayed state
# reports.
REMEMBERED_INCARNATIONS = 8


class ListedHost(Protocol):
    """The fields of a host in the host list that membership uses."""

    @property
    def host(self) -> str:
        """Name of the host."""
        ...

    @property
    def address(self) -> str:
        """Address of the process on the host."""
        ...

    @property
    def status(self) -> str:
        """``live``, or ``leaving`` for a host that is draining."""
        ...


class EligibilityReason(enum.Enum):
    """Why a target may or may not get new work; the values are shown to operators."""

    OK = "ok"
    UNKNOWN_TARGET = "no state of the target received"
    NOT_LIVE = "the agent does not report the target as live"
    DRAINING = "the agent is leaving"
    HOST_DRAINING = "the host list says the host is leaving"
    UNREACHABLE = "the agent cannot be reached"
    UNRESPONSIVE = "no message from the agent"
    STALE = "the host list was read too long ago"


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Whether a target may get new work now, and why not."""

    ok: bool
    reason: EligibilityReason
    detail: str = ""


_ELIGIBLE = Eligibility(True, EligibilityReason.OK)


@dataclass(slots=True)
class _Agent:
    """An agent and the current state of its targets.

    ``outstanding`` counts dispatched attempts that have not ended.
    """

    incarnation: str
    address: str
    last_message_at_s: float
    sequence: int = 0
    # Earlier incarnations, each with the last sequence number of its reports.
    past_incarnations: deque[tuple[str, int]] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_INCARNATIONS)
    )
    outstanding: int = 0
    outstanding_since_s: float = 0.0
    is_unreachable: bool = False
    # The agent incarnation during which the host list last listed the host as draining.
    draining_incarnation: str | None = None
    # Targets reported as draining by an incarnation that may be newer than the
    # current one.
    disputed_draining: set[str] = field(default_factory=set)
    targets: dict[str, TargetState] = field(default_factory=dict)


class Membership:
    """The entry's view of agents and their targets."""

    def __init__(self, host_list_max_age_s: float | None = None) -> None:
        """Start without agents.

        With ``host_list_max_age_s`` no target is eligible before the first reading of
        the host list or while the last one is older, unless the list is known to be
        unavailable. Otherwise an entry that was paused would send new work to a host
        that started to drain during the pause.
        """
        self._host_list_max_age_s = host_list_max_age_s
        self._host_list_requested_at_s = -math.inf
        self._is_host_list_down = False
        self._agents: dict[str, _Agent] = {}
        self._agent_by_target: dict[str, str] = {}
        self._host_status: dict[str, str] = {}

    def apply_state(self, state: TargetState, now_s: float) -> bool:
        """Apply a state report; return False if it is older than the known state."""
        agent = self._agents.get(state.agent)
        if agent is None:
            agent = _Agent(state.agent_incarnation, state.agent_address, now_s)
            self._agents[state.agent] = agent
        if (
            state.agent_incarnation != agent.incarnation
            and not self._switch_incarnation(agent, state, now_s)
        ):
            return False
        known = agent.targets.get(state.target)
        if known is not None and state.sequence <= known.sequence:
            return False
        agent.sequence = max(agent.sequence, state.sequence)
        agent.address = state.agent_address
        agent.targets[state.target] = state
        agent.disputed_draining.discard(state.target)
        self._agent_by_target[state.target] = state.agent
        self._update_last_message(agent, now_s)
        return True

    def host_list_received(
        self,
        hosts: Sequence[ListedHost],
        now_s: float,
        requested_at_s: float | None = None,
    ) -> None:
        """Apply a complete reading of the host list requested at ``requested_at_s``.

        A draining host that is no longer listed counts as draining until it is listed
        as live, or until a new agent incarnation on it reports that it is live.
        """
        self._host_list_requested_at_s = (
            now_s if requested_at_s is None else requested_at_s
        )
        self._is_host_list_down = False
        self._host_status = {host.host: host.status for host in hosts}
        self._host_status.update({host.address: host.status for host in hosts})
        for name, agent in self._agents.items():
            listed = self._listed_status(name, agent)
            if listed is not None:
                is_draining = listed == DRAINING
                agent.draining_incarnation = agent.incarnation if is_draining else None

    def host_list_failed(self, now_s: float) -> None:
        """Note that the list can't be read, so that its age no longer matters.

        Until the next reading, only the agents' reports tell that a host starts to
        drain.
        """
        del now_s
        self._is_host_list_down = True

    def record_contact(self, agent: str, now_s: float) -> None:
        """Note that a message of the agent's current incarnation arrived."""
        known = self._agents.get(agent)
        if known is not None:
            self._update_last_message(known, now_s)

    def unreachable(self, agent: str, now_s: float) -> None:
        """Note that the agent's address refused or closed the connection."""
        del now_s
        known = self._agents.get(agent)
        if known is not None:
            known.is_unreachable = True

    def dispatched(self, agent: str, now_s: float) -> None:
        """Note that an attempt was sent and an answer is outstanding."""
        known = self._agents.get(agent)
        if known is None:
            return
        if known.outstanding == 0:
            known.outstanding_since_s = now_s
        known.outstanding += 1

    def completed(self, agent: str) -> None:
        """Note that an outstanding attempt has ended, whatever its outcome."""
        known = self._agents.get(agent)
        if known is not None and known.outstanding:
            known.outstanding -= 1

    def eligible(self, target: str, now_s: float) -> Eligibility:
        """Return whether the target may get new work at this moment."""
        name = self._agent_by_target.get(target)
        if name is None:
            return Eligibility(False, EligibilityReason.UNKNOWN_TARGET)
        agent = self._agents[name]
        state = agent.targets[target]
        reason = self._ineligibility(name, agent, state, now_s)
        if reason is None:
            return _ELIGIBLE
        return Eligibility(False, reason, state.reason)

    def state(self, target: str) -> TargetState | None:
        """Return the newest state of a target, or None if there is none."""
        name = self._agent_by_target.get(target)
        return None if name is None else self._agents[name].targets.get(target)

    def targets(self) -> list[str]:
        """Return the names of all targets with a state."""
        return list(self._agent_by_target)

    def agent_incarnation(self, agent: str) -> str | None:
        """Return an agent's current incarnation, or None if the agent is unknown."""
        known = self._agents.get(agent)
        return None if known is None else known.incarnation

    def unresponsive_agents(self, now_s: float) -> list[str]:
        """Return the agents that sent no message within the timeout, to reconnect."""
        return [
            name
            for name, agent in self._agents.items()
            if self._is_unresponsive(agent, now_s)
        ]

    def unreachable_domains(self, now_s: float) -> frozenset[str]:
        """Return the failure domains in which no agent responds or can be reached."""
        reached: dict[str, bool] = {}
        for agent in self._agents.values():
            is_reached = not (
                agent.is_unreachable or self._is_unresponsive(agent, now_s)
            )
            for state in agent.targets.values():
                domain = state.failure_domain
                reached[domain] = reached.get(domain, False) or is_reached
        return frozenset(domain for domain, ok in reached.items() if not ok)

    def forget(self, target: str) -> None:
        """Remove a target that is no longer configured."""
        name = self._agent_by_target.pop(target, None)
        if name is None:
            return
        agent = self._agents[name]
        agent.targets.pop(target, None)
        if not agent.targets:
            del self._agents[name]

    def _ineligibility(
        self, name: str, agent: _Agent, state: TargetState, now_s: float
    ) -> EligibilityReason | None:
        if state.status == DRAINING or state.target in agent.disputed_draining:
            return EligibilityReason.DRAINING
        if state.status != LIVE:
            return EligibilityReason.NOT_LIVE
        if self._is_host_draining(name, agent):
            return EligibilityReason.HOST_DRAINING
        if agent.is_unreachable:
            return EligibilityReason.UNREACHABLE
        if self._is_unresponsive(agent, now_s):
            return EligibilityReason.UNRESPONSIVE
        return EligibilityReason.STALE if self._is_host_list_stale(now_s) else None

    def _is_host_list_stale(self, now_s: float) -> bool:
        if self._host_list_max_age_s is None or self._is_host_list_down:
            return False
        return now_s - self._host_list_requested_at_s > self._host_list_max_age_s

    def _switch_incarnation(
        self, agent: _Agent, state: TargetState, now_s: float
    ) -> bool:
        """Switch to another incarnation; False if the report is from an earlier one."""
        last_sequence = dict(agent.past_incarnations).get(state.agent_incarnation)
        if last_sequence is not None:
            if state.sequence <= last_sequence:
                return False
            if not self._lacks_recent_message(agent, now_s):
                # It is not clear which incarnation is the newer one, so a report that
                # the target is draining takes effect.
                if state.status == DRAINING:
                    agent.disputed_draining.add(state.target)
                return False
        self._start_incarnation(agent, state.agent_incarnation)
        return True

    def _start_incarnation(self, agent: _Agent, incarnation: str) -> None:
        """Replace the current incarnation of an agent and drop its target states."""
        agent.past_incarnations.append((agent.incarnation, agent.sequence))
        agent.incarnation = incarnation
        agent.sequence = 0
        agent.outstanding = 0
        agent.disputed_draining.clear()
        for target in agent.targets:
            self._agent_by_target.pop(target, None)
        agent.targets = {}

    def _lacks_recent_message(self, agent: _Agent, now_s: float) -> bool:
        """Return whether half the timeout has passed without a message.

        The agent's current incarnation may then have ended.
        """
        return now_s - agent.last_message_at_s > IDLE_AGENT_TIMEOUT_S / 2

    def _update_last_message(self, agent: _Agent, now_s: float) -> None:
        agent.last_message_at_s = max(agent.last_message_at_s, now_s)
        agent.is_unreachable = False

    def _listed_status(self, name: str, agent: _Agent) -> str | None:
        return self._host_status.get(name) or self._host_status.get(agent.address)

    def _is_host_draining(self, name: str, agent: _Agent) -> bool:
        listed = self._listed_status(name, agent)
        if listed is None:
            return agent.draining_incarnation == agent.incarnation
        return listed == DRAINING

    def _is_unresponsive(self, agent: _Agent, now_s: float) -> bool:
        if now_s - agent.last_message_at_s > IDLE_AGENT_TIMEOUT_S:
            return True
        if agent.outstanding == 0:
            return False
        waited_s = now_s - max(agent.last_message_at_s, agent.outstanding_since_s)
        return waited_s > BUSY_AGENT_TIMEOUT_S
