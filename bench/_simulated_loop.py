"""An event loop in simulated time, for plays of components that use asyncio."""

from __future__ import annotations

import asyncio
import selectors
from datetime import UTC, datetime, timedelta

__all__ = ["LoopClock", "SimulatedLoop"]


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Advances its time to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        """Start at 0 s."""
        loop = self
        self.now_s = 0.0

        class Selector(selectors.SelectSelector):
            def select(
                self, timeout: float | None = None
            ) -> list[tuple[selectors.SelectorKey, int]]:
                # Each iteration takes time, or rounded times would never be reached.
                loop.now_s += max(timeout or 0.0, 1e-6)
                return super().select(0)

        super().__init__(Selector())

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self.now_s


class LoopClock:
    """The time of a simulated loop as a clock."""

    def __init__(self, loop: SimulatedLoop) -> None:
        """Follow a loop."""
        self._loop = loop

    def now(self) -> datetime:
        """Return a wall time that advances with the loop."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self._loop.now_s)

    def monotonic_s(self) -> float:
        """Return the time of the loop."""
        return self._loop.now_s

    def suspended_s(self) -> float:
        """Return 0: no host is suspended."""
        return 0.0

    def sleep(self, duration: timedelta) -> None:
        """Do nothing: no component here blocks."""
