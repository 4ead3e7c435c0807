"""Whether and when an attempt is made again."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

import msgspec


class AttemptOutcome(enum.Enum):
    """What is known of an attempt that gave no whole answer."""

    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class RetryDecision(msgspec.Struct, frozen=True):
    """The attempt may be made again after a delay."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """The budget and the delays.

    ``share`` of a team's requests may be retried, so that a failing part doesn't
    multiply the load. Work that has not run and was handed back costs the target
    almost nothing, but counts too.
    """

    share: float = 0.1
    max_saved: float = 20.0
    base_s: float = 0.05
    max_s: float = 2.0
    max_attempts: int = 4


class RetryBudget:
    """Per team, earns a share of a retry with each request."""

    def __init__(
        self, rng: random.Random, settings: RetrySettings | None = None
    ) -> None:
        """Start every team with a full budget; ``rng`` draws the jitter."""
        self._rng = rng
        self._settings = settings or RetrySettings()
        self._saved: dict[str, float] = {}

    def request_sent(self, team: str) -> None:
        """Count a first attempt of a team."""
        settings = self._settings
        saved = self._saved.get(team, settings.max_saved) + settings.share
        self._saved[team] = min(settings.max_saved, saved)

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
        time to the deadline; a delay that would use it up means no retry.
        """
        settings = self._settings
        if outcome is AttemptOutcome.UNKNOWN and not is_idempotent:
            return None
        if attempt >= settings.max_attempts:
            return None
        saved = self._saved.get(team, settings.max_saved)
        # Full jitter (Brooker, Exponential Backoff and Jitter, 2015).
        limit_s = min(settings.max_s, settings.base_s * 2.0**attempt)
        delay_s = self._rng.uniform(0.0, limit_s)
        if saved < 1.0 or delay_s >= left_s:
            return None
        self._saved[team] = saved - 1.0
        return RetryDecision(delay_s)
