"""Ranks at agents and priorities at engines, by account first and then by route."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["PriorityClasses"]

# Engines take priorities from 0 to 9. Without the rank of an account, each rank of a
# route has a priority of its own, and the step leaves unused values between them.
MAX_PRIORITY = 9
PRIORITY_STEP_PER_RANK = 2
# Ranks of routes from 0 up to this do not reach the next rank of accounts.
ROUTE_RANKS = 2**16


class PriorityClasses:
    """Combines the ranks of accounts and routes that one configuration has.

    Engines have only ten priorities. Each rank of an account gets an equal part of
    them, and the ranks of routes share that part in their order.
    """

    __slots__ = ("_account_places", "_part", "_route_places")

    def __init__(
        self, account_ranks: Iterable[int], route_ranks: Iterable[int]
    ) -> None:
        """Assign priorities to the ranks that the configuration has."""
        self._account_places = _places(account_ranks)
        self._route_places = _places(route_ranks)
        self._part = max(1, (MAX_PRIORITY + 1) // max(1, len(self._account_places)))

    @staticmethod
    def agent_rank(account_rank: int | None, route_rank: int) -> int:
        """Return the rank of a request at agents; 0 is the most urgent."""
        if account_rank is None:
            return route_rank
        return account_rank * ROUTE_RANKS + min(max(0, route_rank), ROUTE_RANKS - 1)

    def engine_priority(self, account_rank: int | None, route_rank: int) -> int:
        """Return the priority of a request at engines; 0 is the most urgent.

        Ranks that the configuration no longer has count as the last ones.
        """
        if account_rank is None:
            return min(MAX_PRIORITY, 1 + PRIORITY_STEP_PER_RANK * route_rank)
        last = MAX_PRIORITY
        account_place = self._account_places.get(account_rank, last)
        route_place = self._route_places.get(route_rank, last)
        place = account_place * self._part + min(route_place, self._part - 1)
        return min(MAX_PRIORITY, place)


def _places(ranks: Iterable[int]) -> dict[int, int]:
    """Return the place of each rank in their order."""
    return {rank: place for place, rank in enumerate(sorted(set(ranks)))}
