"""Asks the holders of targets' limits for permits to send requests."""

from __future__ import annotations

import asyncio
import itertools
import secrets

from lentiltally.clock import Clock
from lentiltally.decisions.target_crashes import start_name
from lentiltally.decisions.target_limits import (
    PermitDecision,
    TargetLimits,
    limit_owners,
)
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.messages import AcquirePermit, PermitAnswer
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.settings import SocketAddress

__all__ = ["PermitClient"]

# An answer takes a few milliseconds. After this time a datagram counts as lost.
RESEND_INTERVAL_S = 0.06
SENDS_PER_HOLDER = 2
# A holder that did not answer is not asked again for this time.
SILENT_HOLDER_S = 2.0


class PermitClient:
    """Gets permits of one entry, and uses its share of a limit if no holder decides."""

    def __init__(self, state: EntryState, peers: MessageSender, clock: Clock) -> None:
        """Send messages over the given socket."""
        self._state = state
        self._peers = peers
        self._clock = clock
        self._pending: dict[tuple[str, str], asyncio.Future[PermitDecision | None]] = {}
        self._silent_until_s: dict[str, float] = {}
        self._own_share = TargetLimits()
        # Callers choose their request ids, so a repeated id must not reuse a permit.
        self._prefix = secrets.token_hex(6)
        self._request_numbers = itertools.count()

    async def acquire(self, record: TargetRecord, max_wait_s: float) -> PermitDecision:
        """Return whether a request may be sent to a target within ``max_wait_s``.

        Asks the holders in turn, each time another one first.
        """
        rate_per_s = self._state.notices.rate_limit_per_s(record)
        if rate_per_s is None:
            return PermitDecision(True, 0.0)
        start = start_name(record.target_id, record.started_ms)
        number = next(self._request_numbers)
        request_id = f"{self._prefix}-{number}"
        agents = self._state.agent_list()
        message = AcquirePermit(
            request_id, start, rate_per_s, int(1000 * max_wait_s), agents.position
        )
        declined: PermitDecision | None = None
        holders = limit_owners(agents.hosts, start)
        first = number % len(holders) if holders else 0
        for holder in holders[first:] + holders[:first]:
            if self._clock.monotonic_s() < self._silent_until_s.get(holder, 0.0):
                continue
            decision = await self._ask(holder, message)
            if decision is not None and decision.is_granted:
                return decision
            if decision is not None and (
                declined is None or decision.wait_s < declined.wait_s
            ):
                declined = decision
        if declined is not None:
            return declined
        share_per_s = rate_per_s / max(1, self._state.entry_count)
        now_s = self._clock.monotonic_s()
        return self._own_share.request(
            start, request_id, share_per_s, max_wait_s, now_s
        )

    def answer_received(self, message: PermitAnswer) -> None:
        """Match a holder's answer to its request; late answers are ignored."""
        pending = self._pending.get((message.request_id, message.target_start))
        if pending is None or pending.done():
            return
        if message.is_decided:
            wait_s = message.wait_ms / 1000
            pending.set_result(PermitDecision(message.is_granted, wait_s))
        else:
            pending.set_result(None)

    async def _ask(self, holder: str, message: AcquirePermit) -> PermitDecision | None:
        """Return a holder's decision, None if it does not answer or decide."""
        key = message.request_id, message.target_start
        pending: asyncio.Future[PermitDecision | None]
        pending = asyncio.get_running_loop().create_future()
        self._pending[key] = pending
        address = SocketAddress(holder, self._state.peer_port)
        try:
            for _ in range(SENDS_PER_HOLDER):
                self._peers.send(address, message)
                await asyncio.wait({pending}, timeout=RESEND_INTERVAL_S)
                if pending.done():
                    return pending.result()
        finally:
            if self._pending.get(key) is pending:
                del self._pending[key]
        self._silent_until_s[holder] = self._clock.monotonic_s() + SILENT_HOLDER_S
        return None
