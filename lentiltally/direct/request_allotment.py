"""The allotment that one request of a client account needs."""

from __future__ import annotations

import asyncio
import logging

from lentiltally.decisions.request_cost import request_cost
from lentiltally.direct.allotment_client import AllotmentGrant, AllotmentOutcome
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.model import AccountLimit, ClientAccount
from lentiltally.direct.request import CallerRequest
from lentiltally.problems import Refusal

__all__ = ["RequestAllotment"]

_log = logging.getLogger(__name__)

STEP = "allotment"
# Share of its age after which a grant is confirmed; the rest leaves time to retry.
CONFIRM_AGE_SHARE = 0.4


class RequestAllotment:
    """Acquires the cost of a request, and gives it back if the request has not run."""

    def __init__(self, context: ForwardingContext, request: CallerRequest) -> None:
        """Start without a grant."""
        self._context = context
        self._client = context.allotments
        self._request = request
        self._grant: AllotmentGrant | None = None
        self._account: ClientAccount | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None

    async def acquire(self, account: ClientAccount | None) -> None:
        """Take the request's cost from its account's allotment; raises Refusal."""
        self._account = account
        if account is None or account.limit is None:
            return
        await self._acquire(account, account.limit)

    async def renew(self) -> bool:
        """Replace a grant that is too old to be used; raises Refusal.

        Returns whether it was replaced. Without this, many requests that waited for
        their adapters, or in a suspended process, would run at the same time as those
        that were granted later.
        """
        account, is_replaced = self._account, False
        while account is not None and account.limit is not None and self._is_too_old:
            self._give_back()
            _log.info(
                "allotment renewed",
                extra={"request": self._request.request_id, "account": account.name},
            )
            await self._acquire(account, account.limit)
            is_replaced = True
        self._stop_confirming()
        return is_replaced

    def ended(self, *, may_have_run: bool) -> None:
        """Give the grant back unless the request may have run."""
        self._stop_confirming()
        if not may_have_run:
            self._give_back()

    @property
    def _is_too_old(self) -> bool:
        grant = self._grant
        return (
            grant is not None and self._client.now_s - grant.asked_at_s >= grant.age_s
        )

    async def _acquire(self, account: ClientAccount, limit: AccountLimit) -> None:
        cost = max(1, request_cost(self._request, limit))
        outcome = await self._client.acquire(account.name, limit, cost)
        metrics = self._context.metrics
        if outcome.grant is not None:
            self._grant = outcome.grant
            metrics.allotment(account.name, "granted", cost)
            self._confirm_later()
            return
        refusal = self._refusal(account.name, cost, outcome)
        outcome_name = "refused" if refusal.status == 429 else "unavailable"
        metrics.allotment(account.name, outcome_name, cost)
        _log.info(
            "allotment refused",
            extra={
                "request": self._request.request_id,
                "account": account.name,
                "cost": cost,
                "left": outcome.balance,
                "wait_s": refusal.retry_after_s,
                "holder": outcome.holder,
                "reason": refusal.reason,
            },
        )
        raise refusal

    def _refusal(self, account: str, cost: int, outcome: AllotmentOutcome) -> Refusal:
        if outcome.is_too_large:
            return Refusal(
                429,
                "over-allotment",
                f"the request costs {cost}, more than account {account} can ever use "
                "at once",
                step=STEP,
            )
        if outcome.wait_s is None:
            return Refusal(
                503,
                "allotment-unavailable",
                f"no holder of the allotment of account {account} answers",
                step=STEP,
                retry_after_s=self._context.retry_after_s(),
            )
        return Refusal(
            429,
            "over-allotment",
            f"account {account} has used its allotment",
            step=STEP,
            peer=outcome.holder,
            retry_after_s=outcome.wait_s,
        )

    def _give_back(self) -> None:
        self._stop_confirming()
        grant, self._grant = self._grant, None
        if grant is not None:
            self._client.give_back(grant)
            account, cost = grant.message.account, grant.message.cost
            self._context.metrics.allotment(account, "returned", cost)

    def _confirm_later(self) -> None:
        """Have the grant confirmed before it is too old, while the request waits."""
        if self._grant is not None:
            left_s = self._grant.asked_at_s - self._client.now_s
            left_s += CONFIRM_AGE_SHARE * self._grant.age_s
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(max(0.0, left_s), self._begin_confirming)

    def _begin_confirming(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._confirm())

    async def _confirm(self) -> None:
        grant = self._grant
        if grant is None:
            return
        confirmed = await self._client.confirm(grant)
        # If not confirmed, it ages and is replaced when it is needed.
        if confirmed is not None:
            self._grant = confirmed
            self._confirm_later()

    def _stop_confirming(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._task is not None:
            self._task.cancel()
        self._timer = self._task = None
