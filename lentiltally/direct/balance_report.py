"""Metrics and log lines that show how engines are chosen."""

from __future__ import annotations

import logging

from lentiltally.decisions.balance_mode import BalanceMode
from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.entry_metrics import EntryMetrics

__all__ = ["BalanceReport"]

_log = logging.getLogger(__name__)


class BalanceReport:
    """Reports choices by the expected load, and when it comes into force or ends."""

    def __init__(self, mode: BalanceMode, metrics: EntryMetrics) -> None:
        """Report nothing until the first tick."""
        self._mode = mode
        self._metrics = metrics
        self._logged: dict[str, bool] = {}

    def chosen(self, candidate: Candidate) -> None:
        """Count a choice by the expected load."""
        if candidate.expected is not None:
            self._metrics.chosen_by_expected_load(
                candidate.drawn_from, candidate.expected.other_tokens
            )

    def tick(self) -> None:
        """Log each service for which the mode has changed, and set the gauges."""
        in_force = self._mode.in_force()
        self._metrics.expected_load_services.set(sum(in_force.values()))
        for service, is_in_force in in_force.items():
            ratio = self._mode.ratio(service)
            self._metrics.pace_ratio.labels(service).set(ratio)
            if self._logged.get(service, False) == is_in_force:
                continue
            self._logged[service] = is_in_force
            _log.info(
                "engines chosen by expected load"
                if is_in_force
                else "engines chosen by reported load",
                extra={
                    "service": service,
                    "balance": self._mode.balance.value,
                    "accounts": self._mode.has_accounts,
                    "pace_ratio": round(ratio, 2),
                },
            )
