"""The translation to and from the platform's headers, as the direct path uses it."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from lentiltally.decisions.engine_orders import EngineOrder, EngineReport
from lentiltally.direct.request import AnswerHead, CallerRequest, TargetAttempt

__all__ = ["EngineWire", "Wire"]

RawHeaders = Iterable[tuple[bytes, bytes]]


class Wire(Protocol):
    """Decodes requests and answers, and encodes sends."""

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
        self, request: CallerRequest, send: TargetAttempt
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a send."""
        ...

    def decode_answer_head(self, status: int, headers: RawHeaders) -> AnswerHead:
        """Decode the head of a target's answer."""
        ...


class EngineWire(Protocol):
    """Reads an engine's report and writes orders to it."""

    async def report(self) -> EngineReport:
        """Return the engine's report; raises LentiltallyError."""
        ...

    async def identify(self, health_path: str) -> bool:
        """Learn which start of the engine orders are meant for."""
        ...

    async def order(self, order: EngineOrder) -> int:
        """Send an order and return its answer's status; raises LentiltallyError."""
        ...
