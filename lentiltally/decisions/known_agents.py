"""Hosts of agents that an entry has known lately.

The list of targets drops an engine that has ended. Its agent runs on, and just then it
is needed as a relay.
"""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["KnownAgents"]

RETENTION_S = 60.0


class KnownAgents:
    """Hosts of the engines that were listed within the retention time."""

    def __init__(self) -> None:
        """Start without hosts."""
        self._seen_at_s: dict[str, float] = {}

    def seen(self, hosts: Iterable[str], now_s: float) -> None:
        """Note the hosts that are listed now, and forget old ones."""
        self._seen_at_s.update(dict.fromkeys(hosts, now_s))
        for host, at_s in list(self._seen_at_s.items()):
            if now_s - at_s > RETENTION_S:
                del self._seen_at_s[host]

    def hosts(self) -> set[str]:
        """Return the hosts seen lately."""
        return set(self._seen_at_s)
