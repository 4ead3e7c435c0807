"""Silence of a stand-in: it accepts and reads, but writes nothing for a while."""

from __future__ import annotations

import asyncio
import random

__all__ = ["Silence", "SilenceableWriter"]


class Silence:
    """Holds back what a server writes, on all or on a share of its connections.

    Nothing is lost: what was written meanwhile is sent once the silence has ended, and
    work that waits for its writes goes on then.
    """

    def __init__(self) -> None:
        """Start while the server is not silent."""
        self._writers: set[SilenceableWriter] = set()
        self._share = 0.0
        self._rng = random.Random(0)

    @property
    def is_on(self) -> bool:
        """Return whether the server is silent on some connections."""
        return self._share > 0.0

    def begin(self, share: float = 1.0, rng: random.Random | None = None) -> None:
        """Fall silent on a share of the connections, also of those to come."""
        self._share = share
        self._rng = rng or self._rng
        for writer in self._writers:
            self._choose(writer)

    def end(self) -> None:
        """Send what was held back, and go on."""
        self._share = 0.0
        for writer in list(self._writers):
            writer.release()

    def wrap(self, writer: asyncio.StreamWriter) -> SilenceableWriter:
        """Return a writer for the same connection that keeps to the silence."""
        wrapped = SilenceableWriter(writer)
        self._writers.add(wrapped)
        self._choose(wrapped)
        return wrapped

    def forget(self, writer: SilenceableWriter) -> None:
        """Forget a connection that has closed."""
        self._writers.discard(writer)

    def _choose(self, writer: SilenceableWriter) -> None:
        if self._share > 0.0 and self._rng.random() < self._share:
            writer.hold()


class SilenceableWriter(asyncio.StreamWriter):
    """A writer that holds back its data between ``hold`` and ``release``."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """Write to the connection of another writer."""
        transport = writer.transport
        super().__init__(
            transport, transport.get_protocol(), None, asyncio.get_running_loop()
        )
        self._held = bytearray()
        self._may_write = asyncio.Event()
        self._may_write.set()

    def hold(self) -> None:
        """Hold back what is written from now on."""
        self._may_write.clear()

    def release(self) -> None:
        """Send what was held back."""
        held = bytes(self._held)
        self._held.clear()
        self._may_write.set()
        if held and not self.is_closing():
            super().write(held)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write, or hold back."""
        if self._may_write.is_set():
            super().write(data)
        else:
            self._held += data

    async def drain(self) -> None:
        """Wait until the data has been sent and the buffer has room."""
        await self._may_write.wait()
        await super().drain()
