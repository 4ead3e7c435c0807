"""Asks agents to hold adapters for requests, and tells them when requests end."""

from __future__ import annotations

import asyncio
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

__all__ = ["AdapterGrant", "AdapterRequests", "SendMessage"]

# An answer takes a few milliseconds; a datagram that was lost is repeated after this.
REPEAT_S = 0.06
# An agent confirms repeated requests that still wait. Silence to three of them means
# that it is gone.
SILENCE_S = 0.2


class SendMessage(Protocol):
    """Sends messages to peers; the datagram socket does."""

    def send(self, address: SocketAddress, message: Message) -> None:
        """Send a message; it may be lost."""
        ...


@dataclass(frozen=True, slots=True)
class AdapterGrant:
    """An agent's answer; ``is_silent`` if none came in time.

    ``is_engine_lost`` if the agent answered that its engine does not.
    """

    is_granted: bool
    version: int = 0
    reason: str = ""
    is_silent: bool = False
    is_engine_lost: bool = False


@dataclass(slots=True)
class _Waiting:
    """A request that waits for an agent's answer."""

    answer: asyncio.Future[AdapterAnswer]
    heard_at_s: float


class AdapterRequests:
    """The requests of one entry that wait for an agent's answer."""

    def __init__(self, peers: SendMessage) -> None:
        """Send over the given socket."""
        self._peers = peers
        self._waiting: dict[str, _Waiting] = {}

    async def require(
        self,
        agent: SocketAddress,
        request_id: str,
        adapter: AdapterRef,
        *,
        rank: int,
        prompt_tokens: int,
        objective_left_s: float,
        newest_version: int,
        patience_s: float,
        left_s: float,
    ) -> AdapterGrant:
        """Ask an agent to hold an adapter and wait for its answer.

        The caller releases the adapter also if this is cancelled or not answered,
        because the answer may be on its way.
        """
        loop = asyncio.get_running_loop()
        waiting = self._waiting[request_id] = _Waiting(
            loop.create_future(), loop.time()
        )
        message = AcquireAdapter(
            request_id,
            adapter.model,
            adapter.adapter,
            rank,
            int(patience_s * 1000),
            int(left_s * 1000),
            prompt_tokens,
            int(objective_left_s * 1000),
            newest_version,
        )
        until_s = loop.time() + patience_s
        try:
            while loop.time() < min(until_s, waiting.heard_at_s) + SILENCE_S:
                self._peers.send(agent, message)
                await asyncio.wait({waiting.answer}, timeout=REPEAT_S)
                if waiting.answer.done():
                    given = waiting.answer.result()
                    return AdapterGrant(
                        given.decision is AdapterDecision.GRANTED,
                        given.version,
                        given.reason,
                        is_engine_lost=given.decision is AdapterDecision.NO_ENGINE,
                    )
            return AdapterGrant(False, reason="agent silent", is_silent=True)
        finally:
            self._waiting.pop(request_id, None)

    def answered(self, message: AdapterAnswer) -> None:
        """Take an agent's answer."""
        waiting = self._waiting.get(message.request_id)
        if waiting is None:
            return
        if message.decision is AdapterDecision.WAITING:
            waiting.heard_at_s = asyncio.get_running_loop().time()
        elif not waiting.answer.done():
            waiting.answer.set_result(message)

    def prompt_read(self, agent: SocketAddress, request_id: str) -> None:
        """Tell an agent that its engine has read the prompt of a request."""
        self._peers.send(agent, PrefillFinished(request_id))

    def release(self, agent: SocketAddress, request_id: str) -> None:
        """Tell an agent that a request no longer needs its adapter."""
        self._peers.send(agent, ReleaseAdapter(request_id))
