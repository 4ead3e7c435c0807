"""How long a target may take before the request goes on at another one.

Use it where another target may take over; where none may, waiting is unlimited up to
the request's deadline.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Patience", "PatienceSettings"]


@dataclass(frozen=True, slots=True)
class PatienceSettings:
    """Shares and times of waiting.

    ``first_share`` of the time left is waited for a first byte, at least
    ``first_objectives`` times the route's objective. ``stall_s`` is the least pause
    after which a stream goes on elsewhere, because callers leave after two seconds;
    a route that allows longer pauses gets ``stall_gaps`` times its longest one, of the
    eight after which its callers leave.
    """

    first_share: float = 0.4
    first_objectives: float = 1.2
    stall_s: float = 1.3
    stall_gaps: float = 3.0


@dataclass(frozen=True, slots=True)
class Patience:
    """How long to wait for the first byte, and between events; None is unlimited."""

    first_s: float | None = None
    gap_s: float | None = None

    @classmethod
    def of_route(
        cls,
        objective_s: float,
        max_gap_s: float,
        left_s: float,
        settings: PatienceSettings,
    ) -> Patience:
        """Return the patience with a target while another one may take over."""
        return cls(
            max(settings.first_objectives * objective_s, settings.first_share * left_s),
            max(settings.stall_s, settings.stall_gaps * max_gap_s),
        )
