"""Timeouts after which an attempt at one target is retried on another target.

They apply only where another target may take over. Where none may, an attempt is
bounded by nothing but the deadline of its request.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TargetTimeoutSettings", "TargetTimeouts"]


@dataclass(frozen=True, slots=True)
class TargetTimeoutSettings:
    """Parameters of the timeouts of an attempt.

    The timeout of the first byte is ``first_byte_fraction`` of the time left to the
    deadline, but at least ``first_byte_objective_factor`` times the latency objective
    of the route. The timeout between two events is ``event_gap_factor`` times the
    longest gap that the route allows, but at least ``min_event_gap_s``: callers close
    the connection after a gap of 2 s, or on a route that allows longer gaps, after
    eight times its longest one.
    """

    first_byte_fraction: float = 0.4
    first_byte_objective_factor: float = 1.2
    min_event_gap_s: float = 1.3
    event_gap_factor: float = 3.0


@dataclass(frozen=True, slots=True)
class TargetTimeouts:
    """Timeouts of one attempt in seconds; None means no timeout.

    ``first_byte_s`` runs from the start of the attempt to the first byte of its
    answer, ``event_gap_s`` between two events of a stream.
    """

    first_byte_s: float | None = None
    event_gap_s: float | None = None

    @classmethod
    def for_route(
        cls,
        objective_s: float,
        max_gap_s: float,
        left_s: float,
        settings: TargetTimeoutSettings,
    ) -> TargetTimeouts:
        """Return the timeouts for a target while another one may take over.

        ``objective_s`` is the route's latency objective, ``max_gap_s`` the longest gap
        between events that it allows, and ``left_s`` the time left to the deadline.
        """
        return cls(
            max(
                settings.first_byte_objective_factor * objective_s,
                settings.first_byte_fraction * left_s,
            ),
            max(settings.min_event_gap_s, settings.event_gap_factor * max_gap_s),
        )
