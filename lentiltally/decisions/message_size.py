"""Limits on the size of one message of a peer, and on the work of reading it.

A peer may send bytes without end, and may send them in pieces that each take more work
than memory. So a message is limited in both.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MessageLimits", "MessageSize", "MessageTooLargeError"]


class MessageTooLargeError(Exception):
    """A message exceeds its limits, so it is not read to its end."""


@dataclass(frozen=True, slots=True)
class MessageLimits:
    """What one message may have: ``max_bytes``, in pieces that are not too small.

    ``small_pieces`` pieces may have any size; beyond, each needs ``min_piece_bytes`` on
    average.
    """

    max_bytes: int
    small_pieces: int = 2048
    min_piece_bytes: int = 64


class MessageSize:
    """Adds up the pieces of one message."""

    __slots__ = ("_limits", "_pieces", "bytes")

    def __init__(self, limits: MessageLimits) -> None:
        """Start without pieces."""
        self._limits = limits
        self._pieces = 0
        self.bytes = 0

    def add(self, size_bytes: int, pieces: int = 1) -> None:
        """Count bytes that came in a number of pieces; raises MessageTooLargeError."""
        limits = self._limits
        self._pieces += pieces
        self.bytes += size_bytes
        if self.bytes > limits.max_bytes:
            raise MessageTooLargeError(f"more than {limits.max_bytes} bytes")
        large_pieces = self.bytes // limits.min_piece_bytes
        if self._pieces > limits.small_pieces + large_pieces:
            raise MessageTooLargeError(f"{self.bytes} bytes in {self._pieces} pieces")
