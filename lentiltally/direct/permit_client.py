"""Asks the holders of targets' limits for permits to send requests."""

from __future__ import annotations

import itertools

from lentiltally.clock import Clock
from lentiltally.decisions.target_crashes import start_name
from lentiltally.decisions.target_limits import PermitDecision, TargetLimits
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.holder_exchange import ExchangeTimes, HolderExchange
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.right_messages import AcquirePermit, PermitAnswer

__all__ = ["PermitClient"]

# An answer takes a few milliseconds. After 0.06 s a datagram counts as lost.
TIMES = ExchangeTimes(send_s=(0.0, 0.06), timeout_s=0.12)


class PermitClient:
    """Gets permits of one entry, and uses its share of a limit if no holder decides."""

    def __init__(self, state: EntryState, peers: MessageSender, clock: Clock) -> None:
        """Send messages over the given socket."""
        self._state = state
        self._clock = clock
        self._exchange: HolderExchange[PermitAnswer]
        self._exchange = HolderExchange(state, peers, clock, TIMES)
        self._own_share = TargetLimits()
        self._own_numbers = itertools.count()

    async def acquire(self, record: TargetRecord, max_wait_s: float) -> PermitDecision:
        """Return whether a request may be sent to a target within ``max_wait_s``."""
        rate_per_s = self._state.notices.rate_limit_per_s(record)
        if rate_per_s is None:
            return PermitDecision(True, 0.0)
        start = start_name(record.target_id, record.started_ms)
        declined: PermitDecision | None = None
        for holder, permit_id in self._exchange.in_turn(start):
            if self._exchange.is_silent(holder):
                continue
            question = AcquirePermit(
                permit_id,
                start,
                rate_per_s,
                int(1000 * max_wait_s),
                self._exchange.list_position,
            )
            answer = await self._exchange.ask(holder, permit_id, question)
            if answer is None or not answer.is_decided:
                continue
            decision = PermitDecision(answer.is_granted, answer.wait_ms / 1000)
            if decision.is_granted:
                return decision
            if declined is None or decision.wait_s < declined.wait_s:
                declined = decision
        if declined is not None:
            return declined
        share_per_s = rate_per_s / max(1, self._state.entry_count)
        now_s = self._clock.monotonic_s()
        own_id = str(next(self._own_numbers))
        return self._own_share.request(start, own_id, share_per_s, max_wait_s, now_s)

    def answer_received(self, message: PermitAnswer, sender: str) -> None:
        """Match a holder's answer to its question; late answers are ignored."""
        self._exchange.answered(sender, message.request_id, message)
