"""A transport without a socket, for connections whose peer a test plays."""

from __future__ import annotations

import asyncio


class MemoryTransport(asyncio.Transport):
    """Keeps what is written; the test delivers what the peer sends.

    While ``keeps_unsent`` is set, the peer reads nothing.
    """

    def __init__(self, sock):
        super().__init__()
        self._sock = sock
        self.written = b""
        self.keeps_unsent = False
        self.is_reading = True
        self.has_closed = False

    def get_extra_info(self, name, default=None):
        return {"socket": self._sock, "peername": ("127.0.0.1", 1)}.get(name, default)

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return len(self.written) if self.keeps_unsent else 0

    def write_eof(self):
        pass

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.has_closed

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def abort(self):
        self.has_closed = True

    close = abort
