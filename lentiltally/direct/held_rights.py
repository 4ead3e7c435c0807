"""The rights that an agent holds, and its exchange with other agents about them."""

from __future__ import annotations

import logging
import math
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
from lentiltally.direct.messages import (
    MAX_HANDOVER_HOSTS,
    HandoverAnswer,
    RequestHandover,
)
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
        settling_s = settings.bounds.leaving_s + LIST_MARGIN_S
        self._role = HolderRole(settings.ip, settling_s, elapsed_s(clock))

    def when_agreed(self, right: str, decide: Callable[[], None]) -> None:
        """Call ``decide`` when the agents that were asked about a right have answered.

        It is not called if they don't: entries repeat their questions.
        """
        waiting = self._waiting.setdefault(right, [])
        if len(waiting) < MAX_WAITING:
            waiting.append(decide)

    def agents_listed(self, agents: AgentList) -> None:
        """Note the agents by the newest list that was read."""
        self._role.listed(agents, elapsed_s(self._clock))

    def standing(self, right: str, asker_position: int) -> HolderStanding:
        """Return what this agent is to a right for which an entry asks it.

        If it has become a holder, it asks the agents that may have been one before.
        """
        now_s = elapsed_s(self._clock)
        standing = self._role.standing(right, asker_position, now_s)
        self._metrics.right_asked(standing.standing)
        if standing.standing is not Standing.ASKING:
            self._waiting.pop(right, None)
        if standing.standing is not Standing.HOLDER:
            self._log_standing(right, asker_position, standing.standing)
        request = self._role.due_request(right, now_s)
        if request is not None:
            message = RequestHandover(
                right,
                request.holders,
                request.asked[:MAX_HANDOVER_HOSTS],
                request.position,
            )
            hosts = self._role.unanswered(right)[:MAX_HANDOVER_HOSTS]
            self._peers.send_all([self._address(host) for host in hosts], message)
        return standing

    def handover_requested(self, message: RequestHandover, host: str) -> None:
        """Answer the agent at a host that wants to exercise a right."""
        reply = self._role.requested(
            HandoverRequest(
                message.right, message.holders, message.asked, message.list_position
            ),
            host,
            elapsed_s(self._clock),
        )
        _log.info(
            "handover agreed" if reply.is_agreed else "handover declined",
            extra={
                "right": message.right,
                "agent": host,
                "list_position": reply.position,
                "agent_list_position": message.list_position,
                "wait_s": round(reply.wait_s, 3),
            },
        )
        wait_ms = math.ceil(1000 * reply.wait_s)
        answer = HandoverAnswer(message.right, reply.is_agreed, reply.position, wait_ms)
        self._peers.send(self._address(host), answer)

    def handover_answered(self, message: HandoverAnswer, host: str) -> None:
        """Apply the answer of the agent at a host."""
        reply = HandoverReply(
            message.is_agreed, message.list_position, message.wait_ms / 1000
        )
        right = message.right
        self._role.answered(right, host, reply, elapsed_s(self._clock))
        if not self._role.unanswered(right):
            for decide in self._waiting.pop(right, ()):
                decide()

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

    def _address(self, host: str) -> SocketAddress:
        return SocketAddress(host, self._peer_port)
