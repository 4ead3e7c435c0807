"""Refuses requests that are known to crash targets."""

from __future__ import annotations

from typing import Protocol

import msgspec

from lentiltally.decisions.quarantine import Suspicion
from lentiltally.exchange import Answer, Exchange, Handler
from lentiltally.problems import Refusal


class SuspicionTable(Protocol):
    """Suspicions against requests, by the fingerprint of their content."""

    def suspicion(self, fingerprint: str) -> Suspicion:
        """Return the suspicion against a fingerprint."""
        ...


class QuarantineFilter:
    """Refuses quarantined requests and marks suspect ones."""

    def __init__(self, suspicions: SuspicionTable) -> None:
        """``suspicions`` is consulted for each request."""
        self._suspicions = suspicions

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on unless its content is quarantined."""
        suspicion = self._suspicions.suspicion(exchange.fingerprint)
        if suspicion is Suspicion.QUARANTINED:
            raise Refusal(
                422,
                "quarantined",
                f"this request has crashed targets; its fingerprint is "
                f"{exchange.fingerprint}, by which an operator can lift the quarantine",
                step="quarantine",
            )
        if suspicion is Suspicion.SUSPECT:
            exchange = msgspec.structs.replace(exchange, is_suspect=True)
        return next_handler(exchange)
