"""Handles the signals for a graceful stop and for a reload of the settings."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable

__all__ = ["StopSignal"]


class StopSignal:
    """An event that is set once the process has been asked to stop."""

    def __init__(self, on_reload: Callable[[], None]) -> None:
        """Call ``on_reload`` on SIGHUP."""
        self._on_reload = on_reload
        self._event = asyncio.Event()

    def install(self) -> None:
        """Handle SIGTERM, SIGINT and SIGHUP on the running loop."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.request)
        loop.add_signal_handler(signal.SIGINT, self.request)
        loop.add_signal_handler(signal.SIGHUP, self._on_reload)

    def request(self) -> None:
        """Ask the process to stop."""
        self._event.set()

    @property
    def is_set(self) -> bool:
        """Return whether the process has been asked to stop."""
        return self._event.is_set()

    async def wait(self) -> None:
        """Wait until the process is asked to stop."""
        await self._event.wait()
