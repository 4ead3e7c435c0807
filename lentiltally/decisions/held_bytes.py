"""A bound on the bytes that a process holds of unfinished messages, over all of them.

A limit on each message bounds nothing if any number of them is under way. When the sum
exceeds its bound, the largest message is given up, so small ones aren't affected by a
few that never end.
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["HeldBytes", "Holding"]


class HeldBytes:
    """Adds up what the messages of one kind hold; ``max_bytes`` bounds the sum.

    The last ``reserved_bytes`` are left to messages of at most ``small_bytes``: large
    ones that can't be given up don't keep small ones out.
    """

    __slots__ = ("_holdings", "bytes", "max_bytes", "reserved_bytes", "small_bytes")

    def __init__(
        self, max_bytes: int, reserved_bytes: int = 0, small_bytes: int = 0
    ) -> None:
        """Start without messages."""
        self.max_bytes = max_bytes
        self.reserved_bytes = reserved_bytes
        self.small_bytes = small_bytes
        self.bytes = 0
        self._holdings: set[Holding] = set()

    def open(self, give_up: Callable[[], None]) -> Holding:
        """Return the account of one message; ``give_up`` must free what it holds."""
        return Holding(self, give_up)

    def resize(self, holding: Holding, size_bytes: int) -> None:
        """Set what a message holds, and give messages up until the bound is kept."""
        self.bytes += size_bytes - holding.bytes
        holding.bytes = size_bytes
        if size_bytes:
            self._holdings.add(holding)
        else:
            self._holdings.discard(holding)
        while self.bytes > self.max_bytes - self.reserved_bytes:
            min_bytes = self.small_bytes if self.bytes <= self.max_bytes else 0
            candidates = [
                h for h in self._holdings if h.may_be_given_up and h.bytes > min_bytes
            ]
            if not candidates:
                return
            largest = max(candidates, key=lambda candidate: candidate.bytes)
            largest.close()
            largest.give_up()


class Holding:
    """What one message holds.

    ``may_be_given_up`` is cleared while giving the message up would do harm.
    """

    __slots__ = ("_is_open", "_sum", "bytes", "give_up", "may_be_given_up")

    def __init__(self, held: HeldBytes, give_up: Callable[[], None]) -> None:
        """Start with nothing held; ``HeldBytes.open`` creates it."""
        self._sum = held
        self._is_open = True
        self.give_up = give_up
        self.may_be_given_up = True
        self.bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Set how much the message holds; it or another one may be given up."""
        if self._is_open and size_bytes != self.bytes:
            self._sum.resize(self, size_bytes)

    def close(self) -> None:
        """Stop counting the message, which holds nothing any more."""
        self.resize(0)
        self._is_open = False
