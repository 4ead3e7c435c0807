"""The entry's policy on retries, guarded for use by many threads."""

from __future__ import annotations

import random

from lentiltally.decisions.answers import Failed
from lentiltally.exchange import Work

MAX_DELAY_S = 0.25
MIN_LEFT_S = 0.1


class JitteredRetries:
    """Retries after a short random delay while the deadline allows it."""

    def __init__(self, rng: random.Random) -> None:
        """``rng`` draws the jitter."""
        self._rng = rng

    def retry_after_s(
        self, work: Work, failed: Failed, tries: int, left_s: float
    ) -> float | None:
        """Return the delay before the next try, or None to give up."""
        delay_s = self._rng.uniform(0.0, min(MAX_DELAY_S, 0.01 * 2.0**tries))
        return delay_s if left_s - delay_s > MIN_LEFT_S else None
