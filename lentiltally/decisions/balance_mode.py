"""Decides whether engines are chosen by their expected load or by the reported one."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence

__all__ = ["Balance", "BalanceMode", "pace_ratio"]

# Paces that differ by 1.3 times do not improve the choice.
MIN_PACE_RATIO = 1.5
# Reported paces are averages over many prefills and change slowly.
CHECK_INTERVAL_S = 1.0


class Balance(enum.Enum):
    """How engines are chosen; ``AUTO`` leaves it to the configuration and the paces."""

    EXPECTED = "expected"
    REPORTED = "reported"
    AUTO = "auto"


def pace_ratio(paces_ns: Sequence[int]) -> float:
    """Return the time per token of the slowest quarter over the fastest quarter's.

    Engines that have reported none are left out; 1 if less than two have.
    """
    known = sorted(pace for pace in paces_ns if pace > 0)
    if len(known) < 2:
        return 1.0
    quarter = max(1, len(known) // 4)
    return sum(known[-quarter:]) / sum(known[:quarter])


class BalanceMode:
    """Whether the expected load is in force, for each service."""

    def __init__(self, balance: Balance = Balance.AUTO) -> None:
        """Start without accounts and without paces."""
        self.balance = balance
        self.has_accounts = False
        # Time of the last look at the paces of a service, and their ratio.
        self._checked: dict[str, tuple[float, float]] = {}

    def in_force(self) -> dict[str, bool]:
        """Return whether the expected load is in force, by service chosen for."""
        return {service: self._is_in_force(service) for service in self._checked}

    def ratio(self, service: str) -> float:
        """Return the ratio of the paces of a service's engines, 1 if not known."""
        return self._checked.get(service, (0.0, 1.0))[1]

    def is_in_force(
        self, service: str, paces_ns: Callable[[], Sequence[int]], now_s: float
    ) -> bool:
        """Return whether a service's engines are chosen by their expected load.

        ``paces_ns`` is called once a second at most.
        """
        checked = self._checked.get(service)
        if checked is None or not 0.0 <= now_s - checked[0] < CHECK_INTERVAL_S:
            self._checked[service] = now_s, pace_ratio(paces_ns())
        return self._is_in_force(service)

    def _is_in_force(self, service: str) -> bool:
        if self.balance is not Balance.AUTO:
            return self.balance is Balance.EXPECTED
        return self.has_accounts or self.ratio(service) >= MIN_PACE_RATIO
