"""Writes to a caller, and closes its connection without losing what was written."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct

from lentiltally.clock import Clock
from lentiltally.direct.http_connection import set_socket_options

__all__ = ["CallerTransport"]

_log = logging.getLogger(__name__)

# Writing pauses while a slow caller has left this much of an answer unread.
MAX_WRITE_BUFFER_BYTES = 256 * 1024
# How long what a caller still sends is read and discarded after the last answer.
LINGER_S = 1.0
# No more is read then, so that a caller that never stops costs no more processor time.
MAX_LINGER_BYTES = 32 * 1024 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)


class CallerTransport:
    """The transport of a caller's connection.

    ``reason`` says why the connection is being closed, empty while it is not.
    """

    def __init__(self, transport: asyncio.Transport, clock: Clock) -> None:
        """Set the options of the connection's socket."""
        self._transport = transport
        self._clock = clock
        self._closing_since_s = 0.0
        self._is_reading_paused = False
        self._discarded_bytes = 0
        self.reason = ""
        # None if the caller has closed already.
        peer = transport.get_extra_info("peername")
        self.peer = f"{peer[0]}:{peer[1]}" if peer else ""
        # The time without acknowledgements is not limited: the kernel also counts that
        # in which a caller that is there does not read.
        set_socket_options(
            transport.get_extra_info("socket"), limits_unacknowledged=False
        )
        transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)

    @property
    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return bool(self.reason) or self._transport.is_closing()

    @property
    def unsent_bytes(self) -> int:
        """Return how much the kernel has not taken yet."""
        return self._transport.get_write_buffer_size()

    def write(self, data: bytes) -> None:
        """Write data, which the transport buffers."""
        self._transport.write(data)

    def pause_reading(self) -> None:
        """Leave what the caller sends in the kernel."""
        if not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read on."""
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def discard(self, size_bytes: int) -> None:
        """Count what arrives behind the last answer, and read no more if it is much."""
        self._discarded_bytes += size_bytes
        if self._discarded_bytes > MAX_LINGER_BYTES:
            self.pause_reading()

    def close_at_once(self) -> None:
        """Close without waiting for the caller, once the written data has been sent."""
        self._transport.close()

    def close(self, reason: str) -> None:
        """Close between two requests, once the written data has been sent."""
        if self._begin_closing(reason):
            self._transport.close()

    def close_idle(self, reason: str, idle_s: float, requests: int) -> None:
        """Close between two requests, and log it with the number of requests so far."""
        _log.info(
            "idle connection closed",
            extra={
                "peer": self.peer,
                "reason": reason,
                "idle_s": round(idle_s, 3),
                "requests": requests,
            },
        )
        self.close(reason)

    def peer_closed(self, *, drops_unsent: bool) -> None:
        """Close because the caller has closed its side."""
        self.close("closed by the caller")
        if drops_unsent:
            self._transport.abort()

    def close_after_answer(self, reason: str) -> None:
        """End the written data, and close when the caller has closed.

        A close with unread data would reset the connection, and with it take along what
        the caller has not received yet. So what it sends is read for a while.
        """
        if self._begin_closing(reason):
            self._transport.write_eof()
            self.resume_reading()

    def reset(self, reason: str) -> None:
        """Close at once with a reset instead of an end of the data.

        A connection that is closing already is reset if a part is still to be sent.
        """
        if self._begin_closing(reason) or self.unsent_bytes > 0:
            self.reason = reason
            sock: socket.socket = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            self._transport.abort()

    def check_closing(self, send_limit_s: float) -> None:
        """End a close that waits for its caller.

        ``send_limit_s`` is how long the caller may take to read what was written.
        """
        closing_s = self._clock.monotonic_s() - self._closing_since_s
        if self.unsent_bytes > 0:
            if closing_s > send_limit_s:
                self._transport.abort()
        elif closing_s > LINGER_S:
            self._transport.close()

    def log_early_end(
        self, phase: str, request_id: str, requests: int, error: Exception | None
    ) -> None:
        """Log the end of a connection that cut a request or an answer.

        All such ends are logged here, whoever caused them.
        """
        reasons = (self.reason, str(error) if error else "")
        _log.info(
            "caller connection ended early",
            extra={
                "request": request_id,
                "peer": self.peer,
                "phase": phase,
                "reason": ", ".join(filter(None, reasons)),
                "requests": requests,
            },
        )

    def _begin_closing(self, reason: str) -> bool:
        if self.is_closing:
            return False
        self.reason = reason
        self._closing_since_s = self._clock.monotonic_s()
        return True
