"""How the limit of a client account is divided among the holders of its allotment.

Within any window, a limit may be exceeded by a margin (``LimitMargin``). The margin
pays for what no holder can know: requests that cost more than a holder's burst, grants
that are used some time after they were given, and balances that a restart has lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.decisions.target_limits import MAX_OWNERS

__all__ = ["HOLDERS", "AllotmentShape", "LimitMargin"]

HOLDERS = MAX_OWNERS
# Share of an account's burst that it may use at once. The rest is spread over the
# window, in which the limit allows rate x window + burst.
BURST_AT_ONCE_SHARE = 0.35
# A burst up to this share of the slack stays whole: it has to cover the largest
# requests, and so few tokens overload no engine.
WHOLE_BURST_SLACK_SHARE = 0.75
# Shares of the tolerance; overdrafts use the slack. Each holder may lose its balance
# once in a window and start again with a tenth; the rest pays for the age of grants.
START_SHARE = 0.1
GRANT_AGE_SHARE = 0.7
# Most requests that wait for an adapter need their grants for less time.
MAX_GRANT_AGE_S = 1.0
# With a margin too small for this age, no limit can be kept over several processes.
MIN_GRANT_AGE_S = 0.1


@dataclass(frozen=True, slots=True)
class LimitMargin:
    """By how much all limits may be exceeded within any window.

    The bound is (rate x ``window_s`` + burst) x (1 + ``tolerance``) + ``slack``.
    """

    window_s: float
    tolerance: float
    slack: float


@dataclass(frozen=True, slots=True)
class AllotmentShape:
    """What one holder of an account's allotment may give.

    A holder gets ``rate_per_s``, which includes the part of the burst that is spread
    over the window, and keeps at most ``capacity``. A request that costs more overdraws
    the balance by at most ``overdraft``. A holder that knows nothing of the past starts
    with ``initial_tokens``. A grant may be used for ``grant_age_s``.
    """

    rate_per_s: float
    capacity: float
    overdraft: float
    initial_tokens: float
    grant_age_s: float

    @classmethod
    def of(cls, rate_per_s: float, burst: float, margin: LimitMargin) -> AllotmentShape:
        """Return the part of one holder of a limit."""
        max_whole_burst = WHOLE_BURST_SLACK_SHARE * margin.slack
        at_once = min(burst, max(BURST_AT_ONCE_SHARE * burst, max_whole_burst))
        capacity = at_once / HOLDERS
        tolerance_tokens = margin.tolerance * (rate_per_s * margin.window_s + burst)
        if rate_per_s > 0.0:
            rate_per_s += (burst - at_once) / margin.window_s
        age_s = (
            GRANT_AGE_SHARE * tolerance_tokens / rate_per_s if rate_per_s > 0.0 else 0.0
        )
        return cls(
            rate_per_s=rate_per_s / HOLDERS,
            capacity=capacity,
            # The smallest request must be possible under any limit.
            overdraft=max(margin.slack / HOLDERS, 1.0 - capacity),
            initial_tokens=START_SHARE * tolerance_tokens,
            grant_age_s=min(MAX_GRANT_AGE_S, max(MIN_GRANT_AGE_S, age_s)),
        )

    @property
    def max_cost(self) -> float:
        """Return the largest cost of a request that can be granted."""
        return self.capacity + self.overdraft

    @property
    def max_outstanding(self) -> float:
        """Return the bound on balance, set-aside tokens and returnable grants."""
        return self.max_cost + self.rate_per_s * self.grant_age_s
