"""The retry policy of an entry."""

from __future__ import annotations

import random
import threading

from lentiltally.decisions.answers import Failed
from lentiltally.decisions.retries import AttemptOutcome, RetryBudget
from lentiltally.exchange import Work


class BudgetedRetryPolicy:
    """Retries within each team's retry budget and the deadline; thread-safe."""

    def __init__(self, rng: random.Random) -> None:
        """``rng`` draws the jitter."""
        self._budget = RetryBudget(rng)
        self._lock = threading.Lock()

    def record_first_attempt(self, work: Work) -> None:
        """Count a first attempt, which adds a share of a retry to the budget."""
        with self._lock:
            self._budget.request_sent(work.team)

    def retry_delay_s(
        self, work: Work, failed: Failed, attempt_number: int, left_s: float
    ) -> float | None:
        """Return the delay before the next attempt, or None for no retry."""
        is_not_executed = failed.executed == "no"
        with self._lock:
            decision = self._budget.may_retry(
                work.team,
                attempt_number,
                AttemptOutcome.NOT_RUN if is_not_executed else AttemptOutcome.UNKNOWN,
                is_idempotent=work.is_idempotent,
                left_s=left_s,
            )
        return None if decision is None else decision.delay_s
