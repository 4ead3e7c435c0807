"""Which agents hold the allotment of a client account."""

from __future__ import annotations

from collections.abc import Iterable

from lentiltally.decisions.target_limits import limit_owners

__all__ = ["allotment_holders", "allotment_right"]

# Distinguishes accounts from targets, whose limits also have holders.
_KEY_PREFIX = "allotment:"


def allotment_right(account: str) -> str:
    """Return the name of the right to grant an account's allotment."""
    return _KEY_PREFIX + account


def allotment_holders(agents: Iterable[str], account: str) -> list[str]:
    """Return the holders of an account's allotment, in the same order everywhere."""
    return limit_owners(agents, allotment_right(account))
