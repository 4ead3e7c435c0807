"""The agent's side of the limits that targets without an agent name."""

from __future__ import annotations

from lentiltally.clock import Clock
from lentiltally.decisions.holder_role import Standing
from lentiltally.decisions.target_limits import TargetLimits
from lentiltally.direct.held_rights import HeldRights
from lentiltally.direct.right_messages import AcquirePermit, PermitAnswer
from lentiltally.direct.state_publisher import MAX_PERMIT_WAIT_S

__all__ = ["LimitHolder"]

# After this time an entry of an earlier version asks again.
UNDECIDED_WAIT_MS = 100


class LimitHolder:
    """Gives permits of the parts of limits that an agent holds."""

    def __init__(self, rights: HeldRights, clock: Clock) -> None:
        """Start without limits."""
        self._rights = rights
        self._clock = clock
        self._limits = TargetLimits()

    def requested(self, message: AcquirePermit) -> PermitAnswer | None:
        """Decide on a request; None if other agents have to agree first."""
        right = message.target_start
        standing = self._rights.standing(right, message.list_position)
        if standing.standing is Standing.ASKING:
            return None
        if standing.standing is not Standing.HOLDER:
            return PermitAnswer(
                message.request_id, right, False, UNDECIDED_WAIT_MS, is_decided=False
            )
        decision = self._limits.request(
            right,
            message.request_id,
            message.rate_per_s / standing.holders,
            message.max_wait_ms / 1000,
            self._clock.monotonic_s(),
            permits=(standing.holders - 1 - standing.rank) / standing.holders,
        )
        wait_ms = int(1000 * min(MAX_PERMIT_WAIT_S, decision.wait_s))
        return PermitAnswer(message.request_id, right, decision.is_granted, wait_ms)
