"""The entry's policy on retries, guarded for use by many threads."""

from __future__ import annotations

import random
import threading

from lentiltally.decisions.answers import Failed
from lentiltally.decisions.retries import AttemptOutcome, RetryBudget
from lentiltally.exchange import Work


class BudgetedRetries:
    """Retries within each team's budget, while the deadline allows it."""

    def __init__(self, rng: random.Random) -> None:
        """``rng`` draws the jitter."""
        self._budget = RetryBudget(rng)
        self._lock = threading.Lock()

    def sent(self, work: Work) -> None:
        """Count a first attempt, which earns a share of a retry."""
        with self._lock:
            self._budget.request_sent(work.team)

    def retry_after_s(
        self, work: Work, failed: Failed, tries: int, left_s: float
    ) -> float | None:
        """Return the delay before the next try, or None to give up."""
        is_no = failed.executed == "no"
        with self._lock:
            decision = self._budget.may_retry(
                work.team,
                tries,
                AttemptOutcome.NOT_RUN if is_no else AttemptOutcome.UNKNOWN,
                is_idempotent=work.is_idempotent,
                left_s=left_s,
            )
        return None if decision is None else decision.delay_s
