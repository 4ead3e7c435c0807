"""What an agent does as a holder of rights, for entries and among other agents."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from lentiltally.clock import Clock
from lentiltally.decisions.allotment_holders import allotment_right
from lentiltally.decisions.holder_role import AgentList
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.agent_metrics import AgentMetrics
from lentiltally.direct.allotment_holder import AllotmentHolder
from lentiltally.direct.held_rights import HeldRights
from lentiltally.direct.limit_holder import LimitHolder
from lentiltally.direct.messages import Message
from lentiltally.direct.right_messages import (
    AcquireAllotment,
    AcquirePermit,
    HandoverAnswer,
    RequestHandover,
    ReturnAllotment,
)
from lentiltally.direct.settings import HostSettings, SocketAddress

__all__ = ["RIGHT_MESSAGES", "AgentRights"]

# What an agent is sent about rights.
RIGHT_MESSAGES = (
    AcquireAllotment,
    AcquirePermit,
    HandoverAnswer,
    RequestHandover,
    ReturnAllotment,
)


class AgentRights:
    """Answers the messages about rights that an agent holds, or doesn't."""

    def __init__(
        self,
        settings: HostSettings,
        peers: MessageSender,
        metrics: AgentMetrics,
        clock: Clock,
    ) -> None:
        """Start without rights; send messages over the given socket."""
        self._peers = peers
        self._held = HeldRights(settings, peers, metrics, clock)
        self._limits = LimitHolder(self._held, clock)
        self._allotments = AllotmentHolder(settings, self._held, metrics, clock)

    def agents_listed(self, hosts: set[str], position: int) -> None:
        """Note the hosts of all agents, by the list of targets up to a position."""
        self._held.agents_listed(AgentList(frozenset(hosts), position))

    def received(self, message: Message, sender: SocketAddress) -> None:
        """Handle a message; others than ``RIGHT_MESSAGES`` are ignored."""
        if isinstance(message, AcquirePermit):
            decide = partial(self._limits.requested, message)
            self._decide(message.target_start, decide, sender)
        elif isinstance(message, AcquireAllotment):
            allot = partial(self._allotments.requested, message)
            self._decide(allotment_right(message.account), allot, sender)
        elif isinstance(message, ReturnAllotment):
            self._allotments.returned(message)
        elif isinstance(message, RequestHandover):
            self._held.handover_requested(message, sender.ip)
        elif isinstance(message, HandoverAnswer):
            self._held.handover_answered(message, sender.ip)

    def _decide(
        self, right: str, decide: Callable[[], Message | None], sender: SocketAddress
    ) -> None:
        """Answer a question about a right, now or when other agents have agreed."""
        answer = decide()
        if answer is not None:
            self._peers.send(sender, answer)
            return
        again = partial(self._decide, right, decide, sender)
        self._held.when_agreed(right, again)
