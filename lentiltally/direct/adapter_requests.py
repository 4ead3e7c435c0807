"""Asks agents to hold adapters for requests, and tells them when requests end."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from lentiltally.direct.messages import (
    AdapterAnswer,
    Message,
    ReleaseAdapter,
    RequireAdapter,
)
from lentiltally.direct.request import AdapterRef
from lentiltally.direct.settings import SocketAddress

__all__ = ["AdapterGrant", "AdapterRequests", "SendMessage"]

# An answer takes a few milliseconds; a datagram that was lost is repeated after this.
REPEAT_S = 0.06
# An agent says nothing while a request waits, but confirms a repeated one at once when
# it is decided, so silence for longer than the patience means that it is gone.
ANSWER_MARGIN_S = 0.15


class SendMessage(Protocol):
    """Sends messages to peers; the datagram socket does."""

    def send(self, address: SocketAddress, message: Message) -> None:
        """Send a message; it may be lost."""
        ...


@dataclass(frozen=True, slots=True)
class AdapterGrant:
    """An agent's answer; ``is_silent`` if none came in time."""

    is_granted: bool
    version: int = 0
    reason: str = ""
    is_silent: bool = False


class AdapterRequests:
    """The requests of one entry that wait for an agent's answer."""

    def __init__(self, peers: SendMessage) -> None:
        """Send over the given socket."""
        self._peers = peers
        self._waiting: dict[str, asyncio.Future[AdapterAnswer]] = {}

    async def require(
        self,
        agent: SocketAddress,
        request_id: str,
        adapter: AdapterRef,
        *,
        rank: int,
        patience_s: float,
        left_s: float,
    ) -> AdapterGrant:
        """Ask an agent to hold an adapter and wait for its answer.

        The caller releases the adapter also if this is cancelled or not answered,
        because the answer may be on its way.
        """
        loop = asyncio.get_running_loop()
        answer: asyncio.Future[AdapterAnswer] = loop.create_future()
        self._waiting[request_id] = answer
        message = RequireAdapter(
            request_id,
            adapter.model,
            adapter.adapter,
            rank,
            int(patience_s * 1000),
            int(left_s * 1000),
        )
        until_s = loop.time() + patience_s + ANSWER_MARGIN_S
        try:
            while loop.time() < until_s:
                self._peers.send(agent, message)
                await asyncio.wait({answer}, timeout=REPEAT_S)
                if answer.done():
                    given = answer.result()
                    return AdapterGrant(given.is_granted, given.version, given.reason)
            return AdapterGrant(False, reason="agent silent", is_silent=True)
        finally:
            self._waiting.pop(request_id, None)

    def answered(self, message: AdapterAnswer) -> None:
        """Take an agent's answer."""
        answer = self._waiting.get(message.request_id)
        if answer is not None and not answer.done():
            answer.set_result(message)

    def release(self, agent: SocketAddress, request_id: str) -> None:
        """Tell an agent that a request no longer needs its adapter."""
        self._peers.send(agent, ReleaseAdapter(request_id))
