"""Versions of adapters that a process knows and that the store has lost."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["LostNotices"]


class LostNotices:
    """Announced versions that are missing since the store came back from a copy.

    Adapters are named as ``model/adapter``.
    """

    def __init__(self) -> None:
        """Start without lost versions."""
        self._versions: dict[str, int] = {}

    def store_restored(self, known: Mapping[str, int]) -> None:
        """Count all known versions as lost until they are read again."""
        self._versions = dict(known)

    def read(self, adapter: str, version: int) -> None:
        """Note that the store has a version of an adapter."""
        lost = self._versions.get(adapter)
        if lost is not None and version >= lost:
            del self._versions[adapter]

    def all(self) -> list[tuple[str, int]]:
        """Return the adapters with their lost versions."""
        return list(self._versions.items())
