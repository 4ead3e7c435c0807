"""Log lines about one request."""

from __future__ import annotations

import logging

from lentiltally.clock import Clock
from lentiltally.decisions.crash_traits import (
    MAX_LOGGED_PARTS,
    RequestTraits,
    fingerprint_texts,
)
from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.caller_answer import CallerAnswer
from lentiltally.direct.request import CallerRequest

__all__ = ["HandlingLog"]

_log = logging.getLogger(__name__)


class HandlingLog:
    """Logs each decision about one request."""

    def __init__(
        self, request: CallerRequest, route: str, traits: RequestTraits, clock: Clock
    ) -> None:
        """Prepare to log about a request of a route."""
        self._request = request
        self._route = route
        self._clock = clock
        self._shared_parts = fingerprint_texts(traits.parts[:MAX_LOGGED_PARTS])

    def sent(self, candidate: Candidate, left_s: float, attempt: int) -> None:
        """Log an attempt, with the target's cost and the age of its engine state."""
        adapter = self._request.adapter
        age_s = candidate.state_age_s
        _log.info(
            "request sent",
            extra={
                "request": self._request.request_id,
                "route": self._route,
                "target": candidate.record.target_id,
                "adapter": adapter.key if adapter else "",
                "residency": candidate.residency,
                "cost_s": round(candidate.cost_s, 3),
                "state_age_s": None if age_s is None else round(age_s, 2),
                "left_s": round(left_s, 3),
                "arrival": attempt,
                "shared_parts": self._shared_parts,
                **_expected_fields(candidate),
            },
        )

    def stalled(self, attempt: int) -> None:
        """Log that the target of an attempt is silent and a replacement is sought."""
        extra = {"request": self._request.request_id, "arrival": attempt}
        _log.info("target silent", extra=extra)

    def step(self, message: str, target: str, **fields: object) -> None:
        """Log the result of one step of handling the request."""
        extra = {"request": self._request.request_id, "target": target, **fields}
        _log.info(message, extra=extra)

    def ended(
        self, outcome: str, answer: CallerAnswer, attempts: int, executions: int
    ) -> float:
        """Log the end of the request and return its duration in seconds."""
        arrived_s = self._request.arrived_s
        took_s = self._clock.monotonic_s() - arrived_s
        first_at_s = answer.first_at_s
        _log.info(
            "request ended",
            extra={
                "request": self._request.request_id,
                "outcome": outcome,
                "took_s": round(took_s, 3),
                "sends": attempts,
                "runs": executions,
                "first_s": None
                if first_at_s is None
                else round(first_at_s - arrived_s, 3),
                "longest_gap_s": round(answer.longest_gap_s, 3),
                "events": answer.delivered_events,
            },
        )
        return took_s


def _expected_fields(candidate: Candidate) -> dict[str, object]:
    """Return what a choice by the expected load was based on, nothing otherwise."""
    expected = candidate.expected
    if expected is None:
        return {}
    return {
        "drawn_from": candidate.drawn_from,
        "pending_tokens": round(expected.pending_tokens),
        "other_tokens": round(expected.other_tokens),
        "pace": round(expected.pace, 2),
    }
