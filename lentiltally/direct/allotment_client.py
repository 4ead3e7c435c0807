"""Asks the holders of accounts' allotments for the costs of requests."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace

from lentiltally.clock import Clock
from lentiltally.decisions.allotment_holders import allotment_right
from lentiltally.decisions.allotment_shape import AllotmentShape
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.allotment_holder import limit_margin
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.holder_exchange import ExchangeTimes, HolderExchange
from lentiltally.direct.model import AccountLimit
from lentiltally.direct.right_messages import (
    AcquireAllotment,
    AllotmentAnswer,
    ReturnAllotment,
)

__all__ = ["AllotmentClient", "AllotmentGrant", "AllotmentOutcome"]

# An exchange takes about 1 ms. A holder that does not answer costs 40 ms in all.
TIMES = ExchangeTimes(send_s=(0.0, 0.015), timeout_s=0.04)
# A grant may be answered twice. The second answer must not make the entry return what a
# request has used, so grants in use are remembered longer than holders take them back.
USED_GRANT_RETENTION_S = 15.0


@dataclass(frozen=True, slots=True)
class AllotmentGrant:
    """What a holder granted, to be used within ``age_s`` after ``asked_at_s``."""

    message: AcquireAllotment
    holder: str
    asked_at_s: float
    age_s: float


@dataclass(frozen=True, slots=True)
class AllotmentOutcome:
    """A grant, or why there is none.

    ``wait_s`` is when the caller may come again, None if no holder has decided.
    ``holder`` is the one that named it, and ``balance`` what it had left. A request
    that ``is_too_large`` can never be granted.
    """

    grant: AllotmentGrant | None = None
    wait_s: float | None = None
    holder: str = ""
    balance: int = 0
    is_too_large: bool = False


class AllotmentClient:
    """Gets grants for the requests of one entry, and gives back those not used."""

    def __init__(
        self,
        state: EntryState,
        peers: MessageSender,
        clock: Clock,
        id_prefix: str = "",
    ) -> None:
        """Send messages over the given socket.

        ``id_prefix`` begins the ids of all grants; without it, it is random.
        """
        self._state = state
        self._exchange: HolderExchange[AllotmentAnswer]
        self._exchange = HolderExchange(state, peers, clock, TIMES, id_prefix)
        self._used_at_s: OrderedDict[str, float] = OrderedDict()

    @property
    def now_s(self) -> float:
        """Return the time by which grants age; it includes suspensions of the host."""
        return self._exchange.now_s

    async def acquire(
        self, account: str, limit: AccountLimit, cost: int
    ) -> AllotmentOutcome:
        """Ask an account's holders in turn for the cost of a request."""
        shape = AllotmentShape.of(
            limit.rate_per_s, limit.burst, limit_margin(self._state.bounds)
        )
        if cost > shape.max_cost:
            return AllotmentOutcome(wait_s=0.0, is_too_large=True)
        refused = AllotmentOutcome()
        for holder, grant_id in self._exchange.in_turn(allotment_right(account)):
            if self._exchange.is_silent(holder):
                continue
            message = self._message(account, grant_id, limit, cost)
            asked_at_s = self.now_s
            answer = await self._ask(holder, message)
            # An agent that does not count itself among the holders names no wait.
            if answer is None or not (answer.is_granted or answer.wait_ms):
                continue
            if answer.is_granted:
                return AllotmentOutcome(
                    AllotmentGrant(message, holder, asked_at_s, shape.grant_age_s)
                )
            wait_s = answer.wait_ms / 1000
            if refused.wait_s is None or wait_s < refused.wait_s:
                refused = AllotmentOutcome(None, wait_s, holder, answer.balance)
        return refused

    async def confirm(self, grant: AllotmentGrant) -> AllotmentGrant | None:
        """Let a grant be used for longer; return None if its holder does not agree."""
        asked_at_s = self.now_s
        answer = await self._exchange.ask(
            grant.holder, grant.message.request_id, grant.message
        )
        if answer is None or not answer.is_granted:
            return None
        return replace(grant, asked_at_s=asked_at_s)

    def give_back(self, grant: AllotmentGrant) -> None:
        """Return a grant whose request has not run."""
        self._send_return(grant.holder, grant.message)

    def answer_received(self, message: AllotmentAnswer, sender: str) -> None:
        """Match an answer to its request; a grant that came too late is returned."""
        if self._exchange.answered(sender, message.request_id, message):
            if message.is_granted:
                self._note_used(message.request_id)
        elif message.is_granted and message.request_id not in self._used_at_s:
            self._send_return(sender, message)

    def _message(
        self, account: str, grant_id: str, limit: AccountLimit, cost: int
    ) -> AcquireAllotment:
        table = self._state.table
        version = table.state.version if table is not None else 0
        return AcquireAllotment(
            account,
            grant_id,
            cost,
            version,
            limit.rate_per_s,
            limit.burst,
            self._exchange.list_position,
        )

    async def _ask(
        self, holder: str, message: AcquireAllotment
    ) -> AllotmentAnswer | None:
        """Return a holder's answer, None if it does not answer in time."""
        answer: AllotmentAnswer | None = None
        try:
            answer = await self._exchange.ask(holder, message.request_id, message)
        finally:
            if answer is None:
                # The holder may have granted it, or may do so later.
                self._used_at_s.pop(message.request_id, None)
                self._send_return(holder, message)
        return answer

    def _note_used(self, grant_id: str) -> None:
        now_s = self.now_s
        self._used_at_s.pop(grant_id, None)
        self._used_at_s[grant_id] = now_s
        while self._used_at_s:
            oldest, at_s = next(iter(self._used_at_s.items()))
            if now_s - at_s < USED_GRANT_RETENTION_S:
                break
            del self._used_at_s[oldest]

    def _send_return(
        self, holder: str, message: AcquireAllotment | AllotmentAnswer
    ) -> None:
        returned = ReturnAllotment(message.account, message.request_id)
        self._exchange.send(holder, returned)
