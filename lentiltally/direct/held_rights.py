"""Which rights an agent may exercise, settled with other agents by datagrams."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.holder_role import (
    AgentList,
    HandoverReply,
    HandoverRequest,
    HolderRole,
    HolderStanding,
    Standing,
)
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.agent_metrics import AgentMetrics
from lentiltally.direct.right_messages import HandoverAnswer, RequestHandover
from lentiltally.direct.settings import HostSettings, SocketAddress

__all__ = ["HeldRights"]

_log = logging.getLogger(__name__)

# Entries read the list of targets within the bound on draining targets, or a little
# later while the store is slow.
LIST_MARGIN_S = 1.0
# Questions about one right that wait for the answers of other agents.
MAX_WAITING = 100


class HeldRights:
    """Says which rights this agent may exercise, and settles that with other agents."""

    def __init__(
        self,
        settings: HostSettings,
        peers: MessageSender,
        metrics: AgentMetrics,
        clock: Clock,
    ) -> None:
        """Start without a list of agents; send messages over the given socket."""
        self._peers = peers
        self._peer_port = settings.peer_port
        self._metrics = metrics
        self._clock = clock
        self._waiting: dict[str, list[Callable[[], None]]] = {}
        propagation_s = settings.bounds.leaving_s + LIST_MARGIN_S
        self._role = HolderRole(settings.ip, propagation_s, elapsed_s(clock))

    def agents_listed(self, agents: AgentList) -> None:
        """Note the agents by the newest list that was read."""
        self._role.listed(agents, elapsed_s(self._clock))

    def standing(self, right: str, asker_position: int) -> HolderStanding:
        """Return what this agent is to a right for which an entry asks it.

        If it has become a holder, it asks the agents that may have been one before.
        """
        standing = self._role.standing(right, asker_position, elapsed_s(self._clock))
        self._metrics.right_asked(standing.standing)
        if standing.standing is not Standing.ASKING:
            self._waiting.pop(right, None)
        if standing.standing is not Standing.HOLDER:
            self._log_standing(right, asker_position, standing.standing)
        self._send_due_request(right)
        return standing

    def when_agreed(self, right: str, decide: Callable[[], None]) -> None:
        """Call ``decide`` when the agents that were asked about a right have answered.

        It is not called if they don't: entries repeat their questions.
        """
        waiting = self._waiting.setdefault(right, [])
        if len(waiting) < MAX_WAITING:
            waiting.append(decide)

    def handover_requested(self, message: RequestHandover, host: str) -> None:
        """Answer the agent at a host that wants to exercise a right."""
        request = HandoverRequest(
            message.right, message.holders, message.asked, message.list_position
        )
        reply = self._role.requested(request, host, elapsed_s(self._clock))
        _log.info(
            "handover agreed" if reply.is_agreed else "handover declined",
            extra={
                "right": message.right,
                "agent": host,
                "list_position": reply.position,
                "agent_list_position": message.list_position,
                "others": list(reply.others),
            },
        )
        answer = HandoverAnswer(
            message.right, reply.is_agreed, reply.position, reply.others
        )
        self._peers.send(SocketAddress(host, self._peer_port), answer)

    def handover_answered(self, message: HandoverAnswer, host: str) -> None:
        """Apply the answer of the agent at a host."""
        right = message.right
        reply = HandoverReply(message.is_agreed, message.list_position, message.others)
        self._role.answered(right, host, reply, elapsed_s(self._clock))
        self._send_due_request(right)
        if self._role.is_agreed(right):
            for decide in self._waiting.pop(right, ()):
                decide()

    def _send_due_request(self, right: str) -> None:
        due = self._role.due_request(right, elapsed_s(self._clock))
        if due is None:
            return
        request, hosts = due
        message = RequestHandover(
            right, request.holders, request.asked, request.position
        )
        addresses = [SocketAddress(host, self._peer_port) for host in hosts]
        self._peers.send_all(addresses, message)

    def _log_standing(
        self, right: str, asker_position: int, standing: Standing
    ) -> None:
        _log.info(
            "right not exercised",
            extra={
                "right": right,
                "standing": standing.value,
                "list_position": self._role.position,
                "entry_list_position": asker_position,
            },
        )
