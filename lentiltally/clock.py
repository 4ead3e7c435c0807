"""The clock interface and its implementations."""

from __future__ import annotations

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol


class Clock(Protocol):
    """Source of time for code that does I/O.

    Code in ``lentiltally.decisions`` gets times as numbers instead.
    """

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        ...

    def monotonic_s(self) -> float:
        """Return a monotonic time in seconds, from an arbitrary origin."""
        ...

    def suspended_s(self) -> float:
        """Return how long the host was suspended, which ``monotonic_s`` leaves out.

        In seconds, from an arbitrary origin.
        """
        ...

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for the duration."""
        ...


def elapsed_s(clock: Clock) -> float:
    """Return a monotonic time in seconds that counts suspensions of the host.

    The suspensions are read first: a process that stops between the two readings gets
    a time between the start of this call and its end, never an earlier one.
    """
    suspended_s = clock.suspended_s()
    return suspended_s + clock.monotonic_s()


class SystemClock:
    """The operating system's clock, used by the daemons."""

    def now(self) -> datetime:
        """Return the wall time in UTC."""
        return datetime.now(UTC)

    def monotonic_s(self) -> float:
        """Return the value of the system's monotonic clock in seconds."""
        return time.monotonic()

    def suspended_s(self) -> float:
        """Return how much the clock that counts suspensions is ahead."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

    def sleep(self, duration: timedelta) -> None:
        """Block the calling thread for the duration."""
        time.sleep(duration.total_seconds())


class ManualClock:
    """A clock that advances only when a method is called, for tests and benchmarks."""

    def __init__(self, start: datetime, monotonic_s: float = 0.0) -> None:
        """Start at the given wall time and monotonic reading."""
        self._now = start
        self._monotonic_s = monotonic_s

    def now(self) -> datetime:
        """Return the current manual wall time."""
        return self._now

    def monotonic_s(self) -> float:
        """Return the current manual monotonic reading in seconds."""
        return self._monotonic_s

    def suspended_s(self) -> float:
        """Return 0: a manual clock is never suspended."""
        return 0.0

    def sleep(self, duration: timedelta) -> None:
        """Advance the clock instead of blocking."""
        self.advance(duration)

    def advance(self, duration: timedelta) -> None:
        """Move both readings forward by the duration."""
        self._now += duration
        self._monotonic_s += duration.total_seconds()
