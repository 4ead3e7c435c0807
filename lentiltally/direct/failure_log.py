"""Logs unexpected exceptions without a line for each of them."""

from __future__ import annotations

import logging

from lentiltally.clock import Clock

__all__ = ["FailureLog"]

# A defect that callers can provoke must not fill the log: lines of this level are not
# limited elsewhere, and each has a traceback.
MIN_INTERVAL_S = 1.0


class FailureLog:
    """Logs the exception that is handled, with its traceback, at most once a second."""

    def __init__(self, logger: logging.Logger, clock: Clock) -> None:
        """Write to a logger."""
        self._logger = logger
        self._clock = clock
        self._next_at_s = 0.0
        self._omitted = 0

    def log(self, message: str, request_id: str, *, step: str) -> None:
        """Log the exception, or count it; the next line has the count."""
        now_s = self._clock.monotonic_s()
        if now_s < self._next_at_s:
            self._omitted += 1
            return
        self._next_at_s = now_s + MIN_INTERVAL_S
        omitted, self._omitted = self._omitted, 0
        self._logger.exception(
            message,
            extra={"request": request_id, "step": step, "omitted": omitted},
        )
