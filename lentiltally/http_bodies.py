"""Reads the bodies of HTTP responses within limits, for clients that use urllib3.

urllib3 reads a body to its end, however long it is.
"""

from __future__ import annotations

import threading
import time

import urllib3

from lentiltally.decisions.held_bytes import HeldBytes

__all__ = ["BodyMemory", "BodyTooLargeError", "read_body"]

BLOCK_BYTES = 64 * 1024
# What the bodies that are being read may have together in one process.
MAX_HELD_BYTES = 64 * 1024 * 1024


class BodyTooLargeError(urllib3.exceptions.HTTPError):
    """A body exceeds its limits; the connection has been closed."""


class BodyMemory:
    """Bounds what bodies hold together while threads read them."""

    def __init__(self, max_bytes: int = MAX_HELD_BYTES) -> None:
        """Start without bodies."""
        self._held = HeldBytes(max_bytes)
        self._lock = threading.Lock()

    def read(
        self, response: urllib3.BaseHTTPResponse, max_bytes: int, max_s: float | None
    ) -> bytes:
        """Read a body to its end; see ``read_body``."""
        body = bytearray()
        reading = _Reading(body)
        with self._lock:
            holding = self._held.open(reading.give_up)
        until_s = None if max_s is None else time.monotonic() + max_s
        try:
            while part := response.read(BLOCK_BYTES):
                with self._lock:
                    body += part
                    holding.resize(len(body))
                if len(body) > max_bytes:
                    raise BodyTooLargeError(f"a body of more than {max_bytes} bytes")
                if reading.is_given_up:
                    raise BodyTooLargeError("the largest of too many bodies")
                if until_s is not None and time.monotonic() > until_s:
                    raise BodyTooLargeError(f"a body that takes longer than {max_s} s")
            return bytes(body)
        except BodyTooLargeError:
            response.close()
            raise
        finally:
            with self._lock:
                holding.close()


class _Reading:
    """Whether a body was given up, which its own thread notices after its next block.

    What it holds is freed at once.
    """

    def __init__(self, body: bytearray) -> None:
        self._body = body
        self.is_given_up = False

    def give_up(self) -> None:
        self.is_given_up = True
        self._body.clear()


_process_memory = BodyMemory()


def read_body(
    response: urllib3.BaseHTTPResponse, max_bytes: int, max_s: float | None = None
) -> bytes:
    """Return the body of a response that was not preloaded.

    ``max_s`` limits the time from the first block on. Raises BodyTooLargeError, or what
    urllib3 raises, also if the bodies of the whole process hold too much.
    """
    return _process_memory.read(response, max_bytes, max_s)
