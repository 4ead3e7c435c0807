"""The exchange of an entry with the agents that hold a right."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import secrets
from dataclasses import dataclass
from typing import Generic, TypeVar

import xxhash

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.target_limits import limit_owners
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.messages import Message
from lentiltally.direct.settings import SocketAddress

__all__ = ["ExchangeTimes", "HolderExchange"]

_log = logging.getLogger(__name__)

# A holder that did not answer is not asked again for this time.
SILENT_HOLDER_S = 2.0
MAX_CACHED_RIGHTS = 20_000

Answer = TypeVar("Answer")


@dataclass(frozen=True, slots=True)
class ExchangeTimes:
    """When a question is sent to one holder, and when that counts as silent."""

    send_s: tuple[float, ...]
    timeout_s: float


class HolderExchange(Generic[Answer]):
    """Asks the holders of a right in turn, each time another one first.

    A question that got no answer is sent again. Holders that stay silent are left out
    for a while.
    """

    def __init__(
        self,
        state: EntryState,
        peers: MessageSender,
        clock: Clock,
        times: ExchangeTimes,
        id_prefix: str = "",
    ) -> None:
        """Send messages over the given socket.

        ``id_prefix`` begins the ids of all questions; without it, it is random.
        """
        self._state = state
        self._peers = peers
        self._clock = clock
        self._times = times
        # Callers choose the ids of their requests, so a question has an id of its own:
        # holders answer a repeated one as before.
        self._prefix = id_prefix or secrets.token_hex(6)
        self._numbers = itertools.count()
        self._pending: dict[str, asyncio.Future[Answer]] = {}
        self._silent_until_s: dict[str, float] = {}
        # Holders by right, among these agents.
        self._holders: dict[str, list[str]] = {}
        self._hosts: frozenset[str] = frozenset()

    @property
    def now_s(self) -> float:
        """Return a monotonic time in seconds that includes suspensions of the host."""
        return elapsed_s(self._clock)

    @property
    def list_position(self) -> int:
        """Return how far the entry has read the list that names the holders."""
        return self._state.agent_list().position

    def in_turn(self, right: str) -> list[tuple[str, str]]:
        """Return the holders of a right, each with the id of the question to it."""
        number = next(self._numbers)
        holders = self._holders_of(right)
        if not holders:
            return []
        # Entries that have started together must not ask the same holder first.
        digest = xxhash.xxh3_64_intdigest(f"{self._prefix}{number}".encode())
        first = digest % len(holders)
        return [
            (holder, f"{self._prefix}-{number}-{holder}")
            for holder in holders[first:] + holders[:first]
        ]

    def is_silent(self, holder: str) -> bool:
        """Return whether a holder has not answered lately."""
        return self.now_s < self._silent_until_s.get(holder, -math.inf)

    async def ask(
        self, holder: str, question_id: str, question: Message
    ) -> Answer | None:
        """Return a holder's answer, None if it does not answer in time."""
        pending: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending[question_id] = pending
        until_s = (*self._times.send_s[1:], self._times.timeout_s)
        try:
            for sent_s, next_s in zip(self._times.send_s, until_s, strict=True):
                self.send(holder, question)
                await asyncio.wait({pending}, timeout=next_s - sent_s)
                if pending.done():
                    return pending.result()
        finally:
            del self._pending[question_id]
        self._silent_until_s[holder] = self.now_s + SILENT_HOLDER_S
        _log.info("holder silent", extra={"agent": holder, "question": question_id})
        return None

    def answered(self, holder: str, question_id: str, answer: Answer) -> bool:
        """Match a holder's answer to its question; return whether that still waits."""
        self._silent_until_s.pop(holder, None)
        pending = self._pending.get(question_id)
        if pending is None or pending.done():
            return False
        pending.set_result(answer)
        return True

    def send(self, holder: str, message: Message) -> None:
        """Send a message to a holder; it may be lost."""
        self._peers.send(SocketAddress(holder, self._state.peer_port), message)

    def _holders_of(self, right: str) -> list[str]:
        hosts = self._state.agent_list().hosts
        if hosts is not self._hosts or len(self._holders) >= MAX_CACHED_RIGHTS:
            self._holders.clear()
            self._hosts = hosts
        holders = self._holders.get(right)
        if holders is None:
            holders = self._holders[right] = limit_owners(hosts, right)
        return holders
