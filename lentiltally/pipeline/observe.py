"""Request counts and latencies of each team, as metrics."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from lentiltally.clock import Clock
from lentiltally.exchange import Answer, Exchange, Handler, Work
from lentiltally.metrics import Metrics


class ObserveFilter:
    """Measures the latency of the first part and of the end of each answer."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        """Send the measurements to ``metrics``."""
        self._metrics = metrics
        self._clock = clock

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on and measure its answer.

        Refusals are counted by ``RefusalFilter``.
        """
        work = exchange.resolved()
        received_s = exchange.request.received_s
        self._metrics.count("requests", label=work.team)
        answer = next_handler(exchange)
        time_to_first_s = self._clock.monotonic_s() - received_s
        self._metrics.timing("first_token_latency", time_to_first_s)
        if isinstance(answer.body, bytes):
            self._record_end(work, received_s)
            return answer
        parts = self._forward_stream(work, received_s, answer.body)
        return msgspec.structs.replace(answer, body=parts)

    def _forward_stream(
        self, work: Work, received_s: float, parts: Iterator[bytes]
    ) -> Iterator[bytes]:
        yield from parts
        self._record_end(work, received_s)

    def _record_end(self, work: Work, received_s: float) -> None:
        duration_s = self._clock.monotonic_s() - received_s
        self._metrics.timing("answer_latency", duration_s)
        if duration_s > work.deadline_s:
            self._metrics.count("answers_late", label=work.team)
        else:
            self._metrics.count("answers_in_time", label=work.team)
