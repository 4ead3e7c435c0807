"""What the whole simulated platform knows, beyond any one process."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bench._guarantees.kernel import Kernel, Network
from bench._guarantees.parts import Parts
from bench._guarantees.platform import FakeLog

if TYPE_CHECKING:
    from bench._guarantees.agent import FakeAgent


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the host list."""

    host: str
    address: str
    status: str


@dataclass(slots=True)
class Directory:
    """Agents, the host list and the agent run that each attempt is bound to."""

    agents: dict[str, FakeAgent] = field(default_factory=dict)
    bound: dict[str, str] = field(default_factory=dict)
    told: dict[tuple[str, str], bool] = field(default_factory=dict)
    listed_leaving: dict[str, float] = field(default_factory=dict)

    def hosts(self) -> list[Host]:
        """Return the host list as of now."""
        return [
            Host(name, name, "leaving" if name in self.listed_leaving else "live")
            for name in self.agents
        ]

    def agent_of(self, target: str) -> str:
        """Return the agent beside a target."""
        return target.replace("target", "agent")

    def target_of(self, agent: str) -> str | None:
        """Return the target beside an agent."""
        return agent.replace("agent", "target") if agent in self.agents else None

    def agent_name(self, incarnation: str) -> str:
        """Return the agent of an agent run."""
        return incarnation.partition("#")[0]


@dataclass(frozen=True, slots=True)
class Shared:
    """What every process of a schedule uses."""

    kernel: Kernel
    network: Network
    log: FakeLog
    directory: Directory
    parts: Parts
