"""Which targets may get new work, from an entry's point of view.

Three sources are joined: the agents' own states, the host list and the entry's own
failures to reach an agent. A notice to leave takes effect at the moment it is read.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

from lentiltally.wire.messages import TargetState

# With a request outstanding an agent sends Progress each second; three in a row are
# missing after 3 s.
SILENT_WITH_REQUESTS_S = 3.0
# States come every 10 s; two in a row are missing after 25 s.
SILENT_WITHOUT_REQUESTS_S = 25.0
# A poll of 5 s could not keep the bound of 5 s, because reading takes time too.
HOST_LIST_POLL_INTERVAL_S = 4.0
HOST_LIST_MAX_AGE_S = 5.0
LIVE = "live"
LEAVING = "leaving"
# Late states of old agent runs are recognised by this many remembered runs per agent.
REMEMBERED_INCARNATIONS = 8


class HostEntry(Protocol):
    """What membership reads of one line of the host list."""

    @property
    def host(self) -> str:
        """Name of the host."""
        ...

    @property
    def address(self) -> str:
        """Address of the host's process slot."""
        ...

    @property
    def status(self) -> str:
        """``live`` or ``leaving``."""
        ...


class Reason(enum.Enum):
    """Why a target may or may not get new work."""

    OK = "ok"
    UNKNOWN_TARGET = "no state of the target received"
    NOT_LIVE = "the agent does not report the target as live"
    LEAVING = "the agent is leaving"
    HOST_LEAVING = "the host list says the host is leaving"
    UNREACHABLE = "the agent cannot be reached"
    SILENT = "no message from the agent"
    STALE = "the host list was read too long ago"


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Whether a target may get new work now, and why not."""

    ok: bool
    reason: Reason
    detail: str = ""


_ELIGIBLE = Eligibility(True, Reason.OK)


@dataclass(slots=True)
class _Agent:
    incarnation: str
    address: str
    heard_at_s: float
    sequence: int = 0
    past: deque[tuple[str, int]] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_INCARNATIONS)
    )
    outstanding: int = 0
    outstanding_since_s: float = 0.0
    is_unreachable: bool = False
    # The run during which the host list last said that the host is leaving.
    left_incarnation: str | None = None
    # Targets with a leaving notice from a run that may be newer than the current one.
    doubtful: set[str] = field(default_factory=set)
    targets: dict[str, TargetState] = field(default_factory=dict)


class Membership:
    """The entry's view of agents and their targets."""

    def __init__(self, host_list_max_age_s: float | None = None) -> None:
        """Start without agents.

        With ``host_list_max_age_s`` nothing is eligible before the first reading or
        on an older one, unless the list is known to be down. An entry that was paused
        would otherwise send new work to a host that left meanwhile.
        """
        self._host_list_max_age_s = host_list_max_age_s
        self._host_list_asked_at_s = -math.inf
        self._is_host_list_down = False
        self._agents: dict[str, _Agent] = {}
        self._agent_of: dict[str, str] = {}
        self._host_status: dict[str, str] = {}

    def apply_state(self, state: TargetState, now_s: float) -> bool:
        """Apply a target state; return False if it was older than what is known."""
        agent = self._agents.get(state.agent)
        if agent is None:
            agent = _Agent(state.agent_incarnation, state.agent_address, now_s)
            self._agents[state.agent] = agent
        if state.agent_incarnation != agent.incarnation and not self._switch(
            agent, state, now_s
        ):
            return False
        known = agent.targets.get(state.target)
        if known is not None and state.sequence <= known.sequence:
            return False
        agent.sequence = max(agent.sequence, state.sequence)
        agent.address = state.agent_address
        agent.targets[state.target] = state
        agent.doubtful.discard(state.target)
        self._agent_of[state.target] = state.agent
        self._note_heard(agent, now_s)
        return True

    def host_list_received(
        self,
        hosts: Sequence[HostEntry],
        now_s: float,
        asked_at_s: float | None = None,
    ) -> None:
        """Apply a complete reading of the host list, requested at ``asked_at_s``.

        A leaving host that is no longer listed stays leaving until the list has it as
        live, or until a new agent run there says it is live.
        """
        self._host_list_asked_at_s = now_s if asked_at_s is None else asked_at_s
        self._is_host_list_down = False
        self._host_status = {host.host: host.status for host in hosts}
        self._host_status.update({host.address: host.status for host in hosts})
        for name, agent in self._agents.items():
            listed = self._listed(name, agent)
            if listed is not None:
                is_leaving = listed == LEAVING
                agent.left_incarnation = agent.incarnation if is_leaving else None

    def host_list_failed(self, now_s: float) -> None:
        """Note that the list can't be read; only the agents' own notices count now."""
        del now_s
        self._is_host_list_down = True

    def record_contact(self, agent: str, now_s: float) -> None:
        """Note that any message of the agent's current run arrived."""
        known = self._agents.get(agent)
        if known is not None:
            self._note_heard(known, now_s)

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
        """Note that an outstanding attempt has ended in any way."""
        known = self._agents.get(agent)
        if known is not None and known.outstanding:
            known.outstanding -= 1

    def eligible(self, target: str, now_s: float) -> Eligibility:
        """Return whether the target may get new work at this moment."""
        name = self._agent_of.get(target)
        if name is None:
            return Eligibility(False, Reason.UNKNOWN_TARGET)
        agent = self._agents[name]
        state = agent.targets[target]
        reason = self._objection(name, agent, state, now_s)
        if reason is None:
            return _ELIGIBLE
        return Eligibility(False, reason, state.reason)

    def state(self, target: str) -> TargetState | None:
        """Return the newest state of a target."""
        name = self._agent_of.get(target)
        return None if name is None else self._agents[name].targets.get(target)

    def targets(self) -> list[str]:
        """Return the names of all targets heard of."""
        return list(self._agent_of)

    def agent_incarnation(self, agent: str) -> str | None:
        """Return the current run of an agent."""
        known = self._agents.get(agent)
        return None if known is None else known.incarnation

    def unresponsive_agents(self, now_s: float) -> list[str]:
        """Return agents whose connection should be opened anew."""
        return [n for n, agent in self._agents.items() if self._is_silent(agent, now_s)]

    def unreachable_domains(self, now_s: float) -> frozenset[str]:
        """Return failure domains in which every agent is silent or unreachable."""
        reached: dict[str, bool] = {}
        for agent in self._agents.values():
            is_reached = not (agent.is_unreachable or self._is_silent(agent, now_s))
            for state in agent.targets.values():
                domain = state.failure_domain
                reached[domain] = reached.get(domain, False) or is_reached
        return frozenset(domain for domain, ok in reached.items() if not ok)

    def forget(self, target: str) -> None:
        """Drop a target that configuration no longer has."""
        name = self._agent_of.pop(target, None)
        if name is None:
            return
        agent = self._agents[name]
        agent.targets.pop(target, None)
        if not agent.targets:
            del self._agents[name]

    def _objection(
        self, name: str, agent: _Agent, state: TargetState, now_s: float
    ) -> Reason | None:
        if state.status == LEAVING or state.target in agent.doubtful:
            return Reason.LEAVING
        if state.status != LIVE:
            return Reason.NOT_LIVE
        if self._host_is_leaving(name, agent):
            return Reason.HOST_LEAVING
        if agent.is_unreachable:
            return Reason.UNREACHABLE
        if self._is_silent(agent, now_s):
            return Reason.SILENT
        return Reason.STALE if self._is_host_list_stale(now_s) else None

    def _is_host_list_stale(self, now_s: float) -> bool:
        if self._host_list_max_age_s is None or self._is_host_list_down:
            return False
        return now_s - self._host_list_asked_at_s > self._host_list_max_age_s

    def _switch(self, agent: _Agent, state: TargetState, now_s: float) -> bool:
        """Change to another agent run; False if the state is from an earlier run."""
        last_sequence = dict(agent.past).get(state.agent_incarnation)
        if last_sequence is not None:
            if state.sequence <= last_sequence:
                return False
            if not self._is_quiet(agent, now_s):
                # The order of the two runs is in doubt, so a leaving notice is obeyed.
                if state.status == LEAVING:
                    agent.doubtful.add(state.target)
                return False
        self._start_incarnation(agent, state.agent_incarnation)
        return True

    def _start_incarnation(self, agent: _Agent, incarnation: str) -> None:
        agent.past.append((agent.incarnation, agent.sequence))
        agent.incarnation = incarnation
        agent.sequence = 0
        agent.outstanding = 0
        agent.doubtful.clear()
        for target in agent.targets:
            self._agent_of.pop(target, None)
        agent.targets = {}

    def _is_quiet(self, agent: _Agent, now_s: float) -> bool:
        return now_s - agent.heard_at_s > SILENT_WITHOUT_REQUESTS_S / 2

    def _note_heard(self, agent: _Agent, now_s: float) -> None:
        agent.heard_at_s = max(agent.heard_at_s, now_s)
        agent.is_unreachable = False

    def _listed(self, name: str, agent: _Agent) -> str | None:
        return self._host_status.get(name) or self._host_status.get(agent.address)

    def _host_is_leaving(self, name: str, agent: _Agent) -> bool:
        listed = self._listed(name, agent)
        if listed is None:
            return agent.left_incarnation == agent.incarnation
        return listed == LEAVING

    def _is_silent(self, agent: _Agent, now_s: float) -> bool:
        if now_s - agent.heard_at_s > SILENT_WITHOUT_REQUESTS_S:
            return True
        if agent.outstanding == 0:
            return False
        waited_s = now_s - max(agent.heard_at_s, agent.outstanding_since_s)
        return waited_s > SILENT_WITH_REQUESTS_S
