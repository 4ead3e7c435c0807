"""Orders of targets by hash, equal in all processes without communication."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Container

import xxhash

_POINTS_PER_TARGET = 32


def rendezvous_weight(key: int, name: str) -> int:
    """Return the weight of a target for a key (rendezvous hashing, Thaler 1998)."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key & 0xFFFFFFFFFFFFFFFF)


class HashRing:
    """Consistent hashing: finds the first targets of a key in ring order.

    Rendezvous hashing over all targets costs one hash per target for each placement;
    the ring costs one binary search. With 32 points per target, the numbers of keys
    per target differ by about a fifth.
    """

    def __init__(self) -> None:
        """Start with an empty ring."""
        self._points: list[tuple[int, str]] = []

    def add(self, name: str) -> None:
        """Add a target."""
        for point in _points_of(name):
            insort(self._points, (point, name))

    def remove(self, name: str) -> None:
        """Remove a target."""
        self._points = [point for point in self._points if point[1] != name]

    def first(self, key: int, count: int, excluded: Container[str] = ()) -> list[str]:
        """Return up to ``count`` targets, in ring order from the hash of the key.

        Targets in ``excluded`` are skipped.
        """
        points = self._points
        names: list[str] = []
        start = bisect_left(points, (xxhash.xxh3_64_intdigest(key.to_bytes(8)), ""))
        for step in range(len(points)):
            name = points[(start + step) % len(points)][1]
            if name not in names and name not in excluded:
                names.append(name)
                if len(names) >= count:
                    break
        return names


def _points_of(name: str) -> list[int]:
    return [
        xxhash.xxh3_64_intdigest(name.encode(), seed=number)
        for number in range(1, _POINTS_PER_TARGET + 1)
    ]
