"""Retries of failed attempts: whether and after which delay an attempt is retried."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

import msgspec


class AttemptOutcome(enum.Enum):
    """What is known of an attempt without a complete answer."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class RetryDecision(msgspec.Struct, frozen=True):
    """The attempt may be retried after a delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The retry budget of a team, and the delays before retries.

    Each request adds ``retries_per_request`` to the balance of its team, up to
    ``max_balance``, and each retry takes 1 from it, so that failures of a component
    don't multiply the load. A retry of work that was rejected before execution counts
    as well, although the rejection costs the target almost nothing. The delay after
    attempt n is random, between 0 and the smaller of ``base_delay_s * 2**n`` and
    ``max_delay_s``.
    """

    retries_per_request: float = 0.1
    max_balance: float = 20.0
    base_delay_s: float = 0.05
    max_delay_s: float = 2.0
    max_attempts: int = 4


class RetryBudget:
    """Retry budgets of the teams, and the delays before retries."""

    def __init__(
        self, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        """Start every team with a full balance; ``rng`` draws the jitter."""
        self._rng = rng
        self._settings = settings or RetrySettings()
        self._balances: dict[str, float] = {}

    def request_sent(self, team: str) -> None:
        """Count the first attempt of a team's request."""
        settings = self._settings
        balance = (
            self._balances.get(team, settings.max_balance)
            + settings.retries_per_request
        )
        self._balances[team] = min(settings.max_balance, balance)

    def may_retry(
        self,
        team: str,
        attempt: int,
        outcome: AttemptOutcome,
        *,
        is_idempotent: bool,
        left_s: float,
    ) -> RetryDecision | None:
        """Return the delay before attempt ``attempt + 1``, or None for no retry.

        Work that may have run is retried only if it is idempotent. ``left_s`` is the
        time left to the deadline; there is no retry if the delay would use it up.
        """
        settings = self._settings
        if outcome is AttemptOutcome.UNKNOWN and not is_idempotent:
            return None
        if attempt >= settings.max_attempts:
            return None
        balance = self._balances.get(team, settings.max_balance)
        # Exponential backoff with full jitter (Brooker, Exponential Backoff and Jitter,
        # 2015).
        max_jitter_s = min(settings.max_delay_s, settings.base_delay_s * 2.0**attempt)
        delay_s = self._rng.uniform(0.0, max_jitter_s)
        if balance < 1.0 or delay_s >= left_s:
            return None
        self._balances[team] = balance - 1.0
        return RetryDecision(delay_s)
