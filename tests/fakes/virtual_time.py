"""Time that jumps from timer to timer, and hosts that are suspended in it."""

from __future__ import annotations

import asyncio

from lentiltally.clock import SystemClock


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop without I/O whose time jumps to the next timer."""

    def __init__(self):
        super().__init__()
        self._virtual_s = 0.0
        select = self._selector.select

        def jump(timeout=None):
            self._virtual_s += timeout or 0.0
            return select(0)

        self._selector.select = jump

    def time(self):
        return self._virtual_s


class HostClock(SystemClock):
    """The clock of a host that is suspended at times."""

    def __init__(self, loop):
        self._loop = loop
        self.frozen_s = 0.0

    def monotonic_s(self):
        return self._loop.time() - self.frozen_s

    def suspended_s(self):
        return self.frozen_s
