"""The agent's side of allotments: answers entries as one of an account's holders."""

from __future__ import annotations

import logging

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.allotment_holders import allotment_right
from lentiltally.decisions.allotment_shape import LimitMargin
from lentiltally.decisions.allotments import AllotmentRequest, Allotments
from lentiltally.decisions.holder_role import Standing
from lentiltally.direct.agent_metrics import AgentMetrics
from lentiltally.direct.held_rights import HeldRights
from lentiltally.direct.right_messages import (
    AcquireAllotment,
    AllotmentAnswer,
    ReturnAllotment,
)
from lentiltally.direct.settings import HostBounds, HostSettings

__all__ = ["AllotmentHolder", "limit_margin", "to_allotment_request"]

_log = logging.getLogger(__name__)

MAX_WAIT_MS = 3_600_000


def limit_margin(bounds: HostBounds) -> LimitMargin:
    """Return by how much the limits of accounts may be exceeded."""
    return LimitMargin(
        bounds.limit_window_s, bounds.limit_tolerance, bounds.limit_slack
    )


def to_allotment_request(message: AcquireAllotment) -> AllotmentRequest:
    """Return the request that an entry's message makes to a holder."""
    return AllotmentRequest(
        message.account,
        message.request_id,
        message.cost,
        message.config_version,
        message.rate_per_s,
        message.burst,
    )


class AllotmentHolder:
    """Grants the parts of allotments that an agent holds."""

    def __init__(
        self,
        settings: HostSettings,
        rights: HeldRights,
        metrics: AgentMetrics,
        clock: Clock,
    ) -> None:
        """Start without balances."""
        self._rights = rights
        self._clock = clock
        self._metrics = metrics
        self._allotments = Allotments(limit_margin(settings.bounds), self._now_s)

    def requested(self, message: AcquireAllotment) -> AllotmentAnswer | None:
        """Decide on a request; None if other agents have to agree first.

        The answer has no wait if this agent is no holder, or not yet.
        """
        right = allotment_right(message.account)
        standing = self._rights.standing(right, message.list_position)
        if standing.standing is Standing.ASKING:
            return None
        if standing.standing is not Standing.HOLDER:
            return AllotmentAnswer(message.account, message.request_id, False, 0, 0)
        request = to_allotment_request(message)
        decision = self._allotments.request(request, self._now_s, standing.since_s)
        self._metrics.allotment_decided(
            is_granted=decision.is_granted, accounts=self._allotments.account_count
        )
        wait_ms = 0
        if not decision.is_granted:
            wait_ms = min(MAX_WAIT_MS, 1 + int(1000 * decision.wait_s))
            _log.info(
                "allotment declined",
                extra={
                    "account": message.account,
                    "allotment_request": message.request_id,
                    "cost": message.cost,
                    "left": int(decision.balance),
                    "wait_s": wait_ms / 1000,
                    "config_version": message.config_version,
                },
            )
        return AllotmentAnswer(
            message.account,
            message.request_id,
            decision.is_granted,
            int(decision.balance),
            wait_ms,
        )

    def returned(self, message: ReturnAllotment) -> None:
        """Take back the grant of a request that has not run."""
        tokens = self._allotments.give_back(
            message.account, message.request_id, self._now_s
        )
        self._metrics.allotment_returned(tokens)

    @property
    def _now_s(self) -> float:
        # While the host was suspended, entries went on using grants.
        return elapsed_s(self._clock)
