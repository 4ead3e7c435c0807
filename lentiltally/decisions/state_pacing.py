"""Pace of the engine states that agents send to entries.

Every agent sends the state of its engine to every entry, so the datagrams of a fleet
grow with the product of both numbers. An entry therefore limits the rate at which it
receives states: its subscriptions say how long each agent has to wait between two of
them. The more engines there are, the longer is the wait.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "MAX_INTERVAL_S",
    "MIN_INTERVAL_S",
    "StatePace",
    "state_interval_s",
]

# States that an entry takes from all agents together while their loads change.
MAX_STATES_PER_S = 200.0
# Shortest and longest interval between two states of an engine whose load changes.
MIN_INTERVAL_S = 0.1
MAX_INTERVAL_S = 10.0
# An unchanged state is repeated at this interval, or at twice the interval of a
# changing load if that is longer.
MIN_REPEAT_INTERVAL_S = 0.5
# A state counts as stale once this number of repeats is missing.
MISSING_REPEATS = 3
# An agent whose states are missing for this number of repeats may have restarted.
OVERDUE_REPEATS = 2


def state_interval_s(engines: int) -> float:
    """Return the interval between two states of each of a number of engines."""
    interval_s = engines / MAX_STATES_PER_S
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, interval_s))


@dataclass(frozen=True, slots=True)
class StatePace:
    """When an agent sends a state to an entry that subscribed with ``interval_s``."""

    interval_s: float = MIN_INTERVAL_S

    @property
    def repeat_interval_s(self) -> float:
        """Return the interval at which an unchanged state is repeated."""
        return max(MIN_REPEAT_INTERVAL_S, 2.0 * self.interval_s)

    @property
    def max_age_s(self) -> float:
        """Return the age at which an entry stops using a state."""
        return MISSING_REPEATS * self.repeat_interval_s

    @property
    def overdue_s(self) -> float:
        """Return the age of a state at which an entry subscribes anew."""
        return OVERDUE_REPEATS * self.repeat_interval_s

    def pause_s(self, *, is_urgent: bool, load_changed: bool) -> float:
        """Return the pause after the last state that the agent sent to the entry.

        A change of adapters is urgent, for instance: in a small fleet it is sent at
        once, and in a large one still before a change of the load.
        """
        if is_urgent:
            return max(0.0, self.interval_s - MIN_INTERVAL_S)
        if load_changed:
            return self.interval_s
        return self.repeat_interval_s
