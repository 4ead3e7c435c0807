"""Converts refusals and unexpected errors into problem documents."""

from __future__ import annotations

import logging
import math

from lentiltally.clock import Clock
from lentiltally.exchange import Answer, Exchange, Handler
from lentiltally.metrics import Metrics
from lentiltally.problems import CONTENT_TYPE, Refusal, problem_body

_log = logging.getLogger(__name__)


class RefusalFilter:
    """Answers with a problem document if a later filter refuses the request."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        """Refusals are counted in ``metrics`` by reason."""
        self._metrics = metrics
        self._clock = clock

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on; convert an exception into an answer."""
        try:
            return next_handler(exchange)
        except Refusal as refusal:
            return self._answer(exchange, refusal)
        except Exception:
            # The request may have reached a target before the error, so it is unknown
            # whether it was executed.
            _log.exception(
                "unexpected error while handling request",
                extra={"request": exchange.request_id},
            )
            internal = Refusal(
                500,
                "internal",
                "the request failed inside lentiltally",
                step="pipeline",
                executed="unknown",
            )
            return self._answer(exchange, internal)

    def _answer(self, exchange: Exchange, refusal: Refusal) -> Answer:
        duration_s = self._clock.monotonic_s() - exchange.request.received_s
        self._metrics.count("refusals", label=refusal.reason)
        self._metrics.timing("refusal_latency", duration_s)
        if refusal.executed == "unknown":
            self._metrics.count("unknown_outcomes")
        return refusal_answer(refusal, exchange.request_id)


def refusal_answer(refusal: Refusal, request_id: str) -> Answer:
    """Log a refusal and return the answer that reports it."""
    _log.info(
        "request refused",
        extra={
            "request": request_id,
            "reason": refusal.reason,
            "executed": refusal.executed,
            "step": refusal.step,
            "peer": refusal.peer,
            "detail": refusal.message,
        },
    )
    headers: list[tuple[str, str]] = [("Content-Type", CONTENT_TYPE)]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(max(1, math.ceil(refusal.retry_after_s)))))
    headers.extend(refusal.headers)
    return Answer(refusal.status, tuple(headers), problem_body(refusal, request_id))
