"""Loopback TCP proxy that delays or resets connections, or blocks one direction."""

from __future__ import annotations

import asyncio
import contextlib

from standins.raw_http import reset

__all__ = ["TcpProxy"]


class TcpProxy:
    """Forwards connections to a port; faults apply to open and to new connections.

    While ``modes`` contains ``silent``, bytes to the target are held back; while it
    contains ``deaf``, bytes from the target are. ``delay_s`` delays each chunk.
    """

    def __init__(self, ip, target_port):
        self.ip = ip
        self.target_port = target_port
        self.port = 0
        self.modes = set()
        self.delay_s = 0.0
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()
        self.reset_all()

    def reset_all(self):
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self.ip, self.target_port
            )
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, target_writer}
        # When the loop stops, both directions are cancelled, which asyncio would log.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._forward(reader, target_writer, "silent"),
                self._forward(target_reader, writer, "deaf"),
            )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, mode):
        try:
            while data := await reader.read(65_536):
                await asyncio.sleep(self.delay_s)
                while mode in self.modes:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (OSError, asyncio.CancelledError):
            reset(writer)
