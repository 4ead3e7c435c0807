"""Which of several attempts of one request answers it.

Usually a request has one attempt under way. If that one stalls, another one is begun at
a second target. The first is not given up for it: a sound target may be silent for a
moment, and the second may reject the request, fail or be silent too. So all go on until
one of them continues the answer, and only then are the others superseded.
"""

from __future__ import annotations

__all__ = ["AttemptRace"]


class AttemptRace:
    """The attempts of one request that are under way, known by their numbers."""

    __slots__ = ("_stalled", "_under_way")

    def __init__(self) -> None:
        """Start without attempts."""
        self._under_way: set[int] = set()
        self._stalled: set[int] = set()

    @property
    def needs_another(self) -> bool:
        """Return whether attempts are under way and all of them have stalled."""
        return bool(self._under_way) and self._under_way == self._stalled

    def begun(self, number: int) -> None:
        """Add an attempt that begins."""
        self._under_way.add(number)

    def stalled(self, number: int) -> None:
        """Note that an attempt has made no progress for too long."""
        if number in self._under_way:
            self._stalled.add(number)

    def progressed(self, number: int) -> frozenset[int]:
        """Note that an attempt continues the answer; return those that it supersedes.

        These are no longer under way.
        """
        superseded = frozenset(self._under_way - {number})
        self._under_way = {number}
        self._stalled.clear()
        return superseded

    def ended(self, number: int) -> None:
        """Remove an attempt that has ended."""
        self._under_way.discard(number)
        self._stalled.discard(number)
