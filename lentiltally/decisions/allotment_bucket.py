"""The balance of one account at one holder of its allotment."""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.decisions.allotment_shape import HOLDERS, AllotmentShape

__all__ = ["AllotmentBucket", "BucketGrant"]

# A request may overdraw a balance by this many times its cost, and so get it ahead.
OVERDRAFT_REQUESTS = 2
# Tokens are set aside for the largest overdraft needed within this time.
DEMAND_RETENTION_S = 10.0
# Repetitions of refused requests are spread over at most this time.
MAX_RETRY_S = 10.0
# Rounding errors of a balance are smaller.
ROUNDING_TOLERANCE = 1e-6


@dataclass(slots=True, eq=False)
class BucketGrant:
    """The cost that a request was granted, and when it was last confirmed."""

    cost: int
    confirmed_at_s: float


class AllotmentBucket:
    """A token bucket that a request may overdraw by a multiple of its cost.

    The burst is divided among holders. Without overdrafts, requests would be refused
    although other holders have tokens left, and one that costs more than a part could
    never be granted.

    After a restart, the overdraft of the former process is unknown. So overdrafts are
    only allowed as far as tokens were set aside for them since the start
    (``_set_aside``).

    A grant that is returned was not used, so its tokens may be granted again. Without a
    bound, requests that are granted and returned in turn would store any number of
    tokens beside the capacity. So balance and grants that may still be returned
    together stay within ``AllotmentShape.max_outstanding``.
    """

    __slots__ = (
        "_balance",
        "_next_retry_s",
        "_overdraft_demand",
        "_overdraft_demand_at_s",
        "_returnable",
        "_returnable_cost",
        "_set_aside",
        "_updated_at_s",
        "config_version",
        "shape",
    )

    def __init__(
        self, shape: AllotmentShape, config_version: int, tokens: float, now_s: float
    ) -> None:
        """Start with a number of tokens, which may be negative."""
        self.shape = shape
        self.config_version = config_version
        self._balance = min(shape.capacity, tokens)
        self._set_aside = min(shape.overdraft, max(0.0, tokens - self._balance))
        self._overdraft_demand = 0.0
        self._overdraft_demand_at_s = now_s
        self._next_retry_s = now_s
        # Grants that may still be used or returned, those confirmed last at the end.
        self._returnable: dict[BucketGrant, None] = {}
        self._returnable_cost = 0
        self._updated_at_s = now_s

    @property
    def balance(self) -> float:
        """Return the balance as of the last call; negative if overdrawn."""
        return self._balance

    def set_shape(
        self, shape: AllotmentShape, config_version: int, now_s: float
    ) -> None:
        """Apply another limit; a lower one cuts the balance at once."""
        self._collect(now_s)
        self.shape = shape
        self.config_version = config_version
        self._balance = max(-shape.overdraft, min(shape.capacity, self._balance))
        self._set_aside = min(shape.overdraft, self._set_aside)

    def cut(self, tokens: float, now_s: float) -> None:
        """Keep at most a number of tokens, those that are set aside included."""
        self._collect(now_s)
        self._balance = min(self._balance, tokens)
        left = max(0.0, tokens - self.shape.capacity)
        self._set_aside = min(self._set_aside, left)

    def grant(self, cost: int, now_s: float) -> BucketGrant | None:
        """Take the cost of a request, or return None and take nothing."""
        self._collect(now_s)
        if cost > self.shape.max_cost:
            return None
        demand = min(self.shape.overdraft, OVERDRAFT_REQUESTS * cost)
        if demand >= self._overdraft_demand:
            self._overdraft_demand, self._overdraft_demand_at_s = demand, now_s
        if self._missing(cost) > ROUNDING_TOLERANCE:
            return None
        self._balance -= cost
        grant = BucketGrant(cost, now_s)
        self._returnable[grant] = None
        self._returnable_cost += cost
        return grant

    def confirm(self, grant: BucketGrant, now_s: float) -> bool:
        """Return whether a grant may be used from now on, as if it was given now."""
        self._collect(now_s)
        if grant not in self._returnable:
            return False
        del self._returnable[grant]
        grant.confirmed_at_s = now_s
        self._returnable[grant] = None
        return True

    def give_back(self, grant: BucketGrant, now_s: float) -> bool:
        """Take back an unused grant; return whether its tokens are granted again."""
        self._collect(now_s)
        if grant not in self._returnable:
            return False
        del self._returnable[grant]
        self._returnable_cost -= grant.cost
        self._add(grant.cost)
        return True

    def schedule_retry(self, cost: int, now_s: float) -> float:
        """Return after how many seconds a refused request may be repeated.

        Refused requests are scheduled one after the other. Each asks all holders, so it
        delays the next one by the time in which all of them regain its cost.
        """
        rate_per_s = self.shape.rate_per_s
        if rate_per_s <= 0.0:
            return MAX_RETRY_S
        missing_s = self._missing(cost) / rate_per_s
        at_s = max(self._next_retry_s, now_s + missing_s)
        next_s = at_s + cost / (HOLDERS * rate_per_s)
        self._next_retry_s = min(next_s, now_s + max(MAX_RETRY_S, missing_s))
        return at_s - now_s

    def is_full(self, now_s: float) -> bool:
        """Return whether all tokens are there and no grant can still be returned."""
        self._collect(now_s)
        if self._returnable or self._set_aside < self.shape.overdraft:
            return False
        return self._balance >= self.shape.capacity

    def _missing(self, cost: int) -> float:
        """Return how many tokens are missing until a request can be granted."""
        overdraft = min(self._set_aside, OVERDRAFT_REQUESTS * cost)
        return max(0.0, cost - self._balance - overdraft)

    def _collect(self, now_s: float) -> None:
        """Add the tokens since the last call."""
        elapsed_s = max(0.0, now_s - self._updated_at_s)
        self._updated_at_s = max(now_s, self._updated_at_s)
        if now_s - self._overdraft_demand_at_s > DEMAND_RETENTION_S:
            self._overdraft_demand = 0.0
        self._forget_old_grants(now_s)
        tokens = elapsed_s * self.shape.rate_per_s
        # Half is set aside while overdrafts lack it, so that large requests don't wait
        # for ever and small ones still get the other half.
        lacking = max(0.0, self._overdraft_demand - self._set_aside)
        set_aside = min(tokens / 2, lacking)
        self._set_aside += set_aside
        self._add(tokens - set_aside)
        outstanding = self._balance + self._set_aside + self._returnable_cost
        self._balance -= max(0.0, outstanding - self.shape.max_outstanding)

    def _add(self, tokens: float) -> None:
        shape = self.shape
        balance = self._balance + tokens
        self._balance = min(shape.capacity, balance)
        overflow = balance - self._balance
        self._set_aside = min(shape.overdraft, self._set_aside + overflow)

    def _forget_old_grants(self, now_s: float) -> None:
        returnable, age_s = self._returnable, self.shape.grant_age_s
        while returnable:
            oldest = next(iter(returnable))
            if now_s - oldest.confirmed_at_s < age_s:
                break
            del returnable[oldest]
            self._returnable_cost -= oldest.cost
