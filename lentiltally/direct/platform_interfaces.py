"""Interfaces through which the direct path uses the platform's protocols."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lentiltally.decisions.engine_orders import EngineOrder, EngineReport
from lentiltally.direct.request import AnswerHead, CallerRequest, TargetAttempt

__all__ = ["EngineControl", "HeaderCodec"]

RawHeaders = Iterable[tuple[bytes, bytes]]


class HeaderCodec(Protocol):
    """Translates between the platform's HTTP headers and typed values."""

    def decode_request(
        self,
        method: bytes,
        path: bytes,
        headers: RawHeaders,
        body: bytes,
        arrived_s: float,
    ) -> CallerRequest:
        """Decode a caller's request; raises Refusal."""
        ...

    def encode_headers(
        self, request: CallerRequest, attempt: TargetAttempt
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of one attempt to send a request to a target."""
        ...

    def decode_answer_head(self, status: int, headers: RawHeaders) -> AnswerHead:
        """Decode the head of a target's answer."""
        ...


class EngineControl(Protocol):
    """Reads the reports of an engine and sends it orders."""

    async def report(self) -> EngineReport:
        """Return the engine's report; raises LentiltallyError."""
        ...

    async def identify(self, health_path: str) -> bool:
        """Fetch the id of the engine's current run, so that orders can name it.

        Returns whether the engine gave one; raises LentiltallyError.
        """
        ...

    async def order(self, order: EngineOrder) -> int:
        """Send an order and return its answer's status; raises LentiltallyError."""
        ...
