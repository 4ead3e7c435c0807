"""Acquires adapters from agents for requests, and releases them again."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from lentiltally.direct.messages import (
    AcquireAdapter,
    AdapterAnswer,
    AdapterDecision,
    Message,
    PrefillFinished,
    ReleaseAdapter,
)
from lentiltally.direct.request import AdapterRef
from lentiltally.direct.settings import SocketAddress

__all__ = ["AcquireResult", "AgentClient", "MessageSender"]

# An answer takes a few milliseconds. After this time a datagram counts as lost, and the
# request is sent again.
RESEND_INTERVAL_S = 0.06
# An agent confirms each repeat of a request that still waits. If it confirms none of
# three, it counts as unreachable.
ANSWER_TIMEOUT_S = 0.2


class MessageSender(Protocol):
    """Sends messages to peers, as ``PeerSocket`` does."""

    def send(self, address: SocketAddress, message: Message) -> None:
        """Send a message; it may be lost."""
        ...

    def send_all(self, addresses: Iterable[SocketAddress], message: Message) -> None:
        """Send a message to several peers."""
        ...


@dataclass(frozen=True, slots=True)
class AcquireResult:
    """The answer of an agent, or the lack of one.

    ``version`` is the loaded version of the adapter. ``is_timed_out`` is set if the
    agent did not answer, ``is_engine_unresponsive`` if it answered that its engine does
    not respond. ``limit_wait_s`` is how long the request would have waited because of
    the limit that the engine names, 0 if that was not the reason.
    """

    is_granted: bool
    version: int = 0
    reason: str = ""
    is_timed_out: bool = False
    is_engine_unresponsive: bool = False
    limit_wait_s: float = 0.0


@dataclass(slots=True)
class _PendingRequest:
    """A request that waits for an agent's answer.

    ``confirmed_at_s`` is when the agent last confirmed that the request waits.
    """

    answer: asyncio.Future[AdapterAnswer]
    confirmed_at_s: float


class AgentClient:
    """Sends the adapter requests of one entry to agents and matches their answers."""

    def __init__(self, peers: MessageSender) -> None:
        """Send messages over the given socket."""
        self._peers = peers
        self._pending: dict[str, _PendingRequest] = {}

    async def acquire(
        self,
        agent: SocketAddress,
        request_id: str,
        adapter: AdapterRef,
        *,
        rank: int,
        prompt_tokens: int,
        objective_left_s: float,
        newest_version: int,
        max_wait_s: float,
        left_s: float,
    ) -> AcquireResult:
        """Ask an agent to pin an adapter for a request and wait for its answer.

        The agent declines after ``max_wait_s``. Release the adapter also if this is
        cancelled or times out, because the agent may have granted it.
        """
        loop = asyncio.get_running_loop()
        pending = self._pending[request_id] = _PendingRequest(
            loop.create_future(), loop.time()
        )
        message = AcquireAdapter(
            request_id,
            adapter.model,
            adapter.adapter,
            rank,
            int(max_wait_s * 1000),
            int(left_s * 1000),
            prompt_tokens,
            int(objective_left_s * 1000),
            newest_version,
        )
        until_s = loop.time() + max_wait_s
        try:
            while loop.time() < min(until_s, pending.confirmed_at_s) + ANSWER_TIMEOUT_S:
                self._peers.send(agent, message)
                await asyncio.wait({pending.answer}, timeout=RESEND_INTERVAL_S)
                if pending.answer.done():
                    answer = pending.answer.result()
                    return AcquireResult(
                        answer.decision is AdapterDecision.GRANTED,
                        answer.version,
                        answer.reason,
                        is_engine_unresponsive=answer.decision
                        is AdapterDecision.NO_ENGINE,
                        limit_wait_s=answer.wait_ms / 1000,
                    )
            return AcquireResult(False, reason="agent silent", is_timed_out=True)
        finally:
            if self._pending.get(request_id) is pending:
                del self._pending[request_id]

    def answer_received(self, message: AdapterAnswer) -> None:
        """Match an agent's answer to its request; late answers are ignored."""
        pending = self._pending.get(message.request_id)
        if pending is None:
            return
        if message.decision is AdapterDecision.WAITING:
            pending.confirmed_at_s = asyncio.get_running_loop().time()
        elif not pending.answer.done():
            pending.answer.set_result(message)

    def prefill_finished(self, agent: SocketAddress, request_id: str) -> None:
        """Tell an agent that its engine has finished the prefill of a request."""
        self._peers.send(agent, PrefillFinished(request_id))

    def release(self, agent: SocketAddress, request_id: str) -> None:
        """Tell an agent that a request no longer needs its adapter."""
        self._peers.send(agent, ReleaseAdapter(request_id))
