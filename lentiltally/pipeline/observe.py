"""Filter 5: counts and times the requests of each team."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from lentiltally.clock import Clock
from lentiltally.exchange import Answer, Exchange, Handler, Work
from lentiltally.metrics import Metrics


class ObserveFilter:
    """Measures the time to the first part and to the end of each answer."""

    def __init__(self, metrics: Metrics, clock: Clock) -> None:
        """Send the figures as metrics."""
        self._metrics = metrics
        self._clock = clock

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on and time its answer; refusals are counted elsewhere."""
        work = exchange.resolved()
        received_s = exchange.request.received_s
        self._metrics.count("requests", label=work.team)
        answer = next_handler(exchange)
        first_s = self._clock.monotonic_s() - received_s
        self._metrics.timing("first_token_latency", first_s)
        if isinstance(answer.body, bytes):
            self._ended(work, received_s)
            return answer
        parts = self._until_end(work, received_s, answer.body)
        return msgspec.structs.replace(answer, body=parts)

    def _until_end(
        self, work: Work, received_s: float, parts: Iterator[bytes]
    ) -> Iterator[bytes]:
        yield from parts
        self._ended(work, received_s)

    def _ended(self, work: Work, received_s: float) -> None:
        took_s = self._clock.monotonic_s() - received_s
        self._metrics.timing("answer_latency", took_s)
        if took_s > work.deadline_s:
            self._metrics.count("answers_late", label=work.team)
        else:
            self._metrics.count("answers_in_time", label=work.team)
