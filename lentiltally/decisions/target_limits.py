"""Permits for targets without an agent of their own, at the agents that hold them.

The limit that a target names holds for all entries together and is often less than one
request a second and entry. So three agents hold an equal part of each limit, which all
entries ask. Nobody takes the place of a holder that is silent: its part is missing, and
one agent too many for a time exceeds the limit by a third at most. If no holder
decides, each entry uses an equal share of the limit.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import nlargest

import xxhash

from lentiltally.decisions._ring import rendezvous_weight
from lentiltally.decisions.permit_bucket import PermitBucket

__all__ = ["PermitDecision", "TargetLimits", "limit_owners"]

# Agents that hold a part of a limit or of an allotment.
MAX_OWNERS = 3
# Unused permits are kept for this time. Within 4 s, four holders with a third each stay
# within one and a half times a limit.
PART_BURST_S = 0.25
# A request is repeated within this time if its answer was lost.
DECISION_RETENTION_S = 5.0
MAX_DECISIONS = 4_000
# More than the targets of any installation.
MAX_BUCKETS = 4_000


def limit_owners(agents: Iterable[str], target_start: str) -> list[str]:
    """Return the agents that hold a target's limit, in the same order everywhere."""
    seed = xxhash.xxh3_64_intdigest(target_start.encode())
    return nlargest(
        MAX_OWNERS, agents, key=lambda agent: rendezvous_weight(seed, agent)
    )


@dataclass(frozen=True, slots=True)
class PermitDecision:
    """Whether a request may be sent, ``wait_s`` from now, or when to ask again."""

    is_granted: bool
    wait_s: float


class TargetLimits:
    """Parts of the limits of targets, by the name of their start."""

    def __init__(self) -> None:
        """Start without limits."""
        self._buckets: OrderedDict[str, PermitBucket] = OrderedDict()
        # Decisions by target start and request, with the time at which they were made.
        self._decisions: OrderedDict[tuple[str, str], tuple[PermitDecision, float]] = (
            OrderedDict()
        )

    def request(
        self,
        target_start: str,
        request_id: str,
        rate_per_s: float,
        max_wait_s: float,
        now_s: float,
        *,
        permits: float = 0.0,
    ) -> PermitDecision:
        """Decide whether a request may be sent within ``max_wait_s``.

        ``rate_per_s`` is the part of the limit that the target named last. A request
        that was granted before gets the rest of its wait, and no second permit.
        ``permits`` is the part of a permit with which a new bucket starts: the holders
        start with different ones, so that their permits don't fall together.
        """
        key = target_start, request_id
        known = self._decisions.get(key)
        if known is not None and now_s - known[1] < DECISION_RETENTION_S:
            decision, decided_at_s = known
            left_s = max(0.0, decision.wait_s - (now_s - decided_at_s))
            return PermitDecision(True, left_s)
        bucket = self._bucket(target_start, rate_per_s, now_s, permits)
        wait_s = bucket.reserve(now_s, max_wait_s)
        if wait_s is None:
            return PermitDecision(False, bucket.wait_s(now_s))
        decision = PermitDecision(True, wait_s)
        self._decisions[key] = decision, now_s
        while len(self._decisions) > MAX_DECISIONS:
            self._decisions.popitem(last=False)
        return decision

    def _bucket(
        self, target_start: str, rate_per_s: float, now_s: float, permits: float
    ) -> PermitBucket:
        bucket = self._buckets.get(target_start)
        if bucket is None:
            bucket = PermitBucket(rate_per_s, now_s, PART_BURST_S, permits)
            self._buckets[target_start] = bucket
        elif bucket.rate_per_s != rate_per_s:
            bucket.set_rate(rate_per_s, now_s)
        self._buckets.move_to_end(target_start)
        while len(self._buckets) > MAX_BUCKETS:
            self._buckets.popitem(last=False)
        return bucket
