"""State of a schedule that is shared by all its processes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench._guarantees.components import Components
from bench._guarantees.kernel import Kernel, Network
from bench._guarantees.platform import FakeLog

if TYPE_CHECKING:
    from bench._guarantees.agent import FakeAgent


@dataclass(frozen=True, slots=True)
class Host:
    """One host of the host list."""

    host: str
    address: str
    status: str


@dataclass(slots=True)
class Directory:
    """Agents, the host list and what is known globally about attempts and drains.

    ``bound_incarnations`` maps attempt ids to the agent incarnation that may execute
    the attempt. ``drain_notices_received`` has a key (incarnations of entry and agent)
    for each drain notice that an entry got. ``listed_draining_since_s`` maps each host
    that the host list shows as leaving to the time of that change.
    """

    agents: dict[str, FakeAgent] = field(default_factory=dict)
    bound_incarnations: dict[str, str] = field(default_factory=dict)
    drain_notices_received: dict[tuple[str, str], bool] = field(default_factory=dict)
    listed_draining_since_s: dict[str, float] = field(default_factory=dict)

    def hosts(self) -> list[Host]:
        """Return the current host list."""
        return [
            Host(
                name,
                name,
                "leaving" if name in self.listed_draining_since_s else "live",
            )
            for name in self.agents
        ]

    def agent_of(self, target: str) -> str:
        """Return the agent that runs beside a target."""
        return target.replace("target", "agent")

    def target_of(self, agent: str) -> str | None:
        """Return the target of an agent, or None for an unknown agent."""
        return agent.replace("agent", "target") if agent in self.agents else None

    def agent_of_incarnation(self, incarnation: str) -> str:
        """Return the name of the agent of an incarnation."""
        return incarnation.partition("#")[0]


@dataclass(frozen=True, slots=True)
class Environment:
    """Simulation services used by every process of a schedule."""

    kernel: Kernel
    network: Network
    log: FakeLog
    directory: Directory
    components: Components
