"""Reads a model engine's report and sends it orders."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from lentiltally.decisions.engine_orders import (
    EngineOrder,
    EngineOrderKind,
    EngineReport,
    HeldAdapter,
    HeldModel,
)
from lentiltally.direct.http_connection import PeerFailed
from lentiltally.direct.settings import SocketAddress
from lentiltally.direct.whole_call import WholeCaller
from lentiltally.platform.desired_state import StoreValueError

__all__ = ["EngineControlClient", "decode_report", "encode_order"]

REPORT_PATH = b"/-/report"
ORDER_PATH = b"/-/order"
# The engine answers its own host within a few milliseconds.
REPORT_TIMEOUT_S = 1.0
# An order may go unanswered and be carried out later; the sequence number that it names
# makes repeating it safe, so waiting long for an answer gains nothing.
ORDER_TIMEOUT_S = 0.1
IDENTIFY_TIMEOUT_S = 0.3
# One holder for life: an agent is the only sender of its engine's orders, and a holder
# is a host, so the token never has to change.
_TOKEN = 1


class _Model(Struct):
    name: str
    version: int = 0
    adapters: list[str] = []


class _Report(Struct, rename="camel"):
    models: list[_Model] = []
    busy: bool = False
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    kv_cache_used: int = 0
    kv_cache_total: int = 0
    # Adapters on their way from the weight store, as MODEL/NAME@VERSION.
    coming: list[str] = []
    born: int = 0
    state: str = "ready"
    remaining_ms: float | None = None


class _Order(Struct, rename="camel", omit_defaults=True):
    operation: str
    model: str
    holder: str
    fencing_token: int
    expect: int
    adapter: str | None = None
    version: int | None = None


class EngineControlClient:
    """The calls of one agent to its engine."""

    def __init__(self, address: SocketAddress, holder: str) -> None:
        """Call the engine at an address; ``holder`` names this host in orders."""
        self._caller = WholeCaller(address)
        self._holder = holder
        self._instance: str | None = None

    async def report(self) -> EngineReport:
        """Return the report; raises ConnectError, PeerFailed or StoreValueError."""
        answer = await self._caller.call(
            b"GET", REPORT_PATH, timeout_s=REPORT_TIMEOUT_S
        )
        if answer.status != 200:
            raise PeerFailed(
                f"answered {answer.status}",
                step="report",
                peer=str(self._caller.address),
            )
        return decode_report(answer.body, self._instance)

    async def identify(self, health_path: str) -> bool:
        """Learn the id that orders name; return whether the engine told it.

        Reports carry no id, so the health check is asked, once for each start.
        Raises ConnectError or PeerFailed.
        """
        answer = await self._caller.call(
            b"GET", health_path.encode(), timeout_s=IDENTIFY_TIMEOUT_S
        )
        instance = answer.headers.get(b"x-instance-id")
        self._instance = None if instance is None else instance.decode("latin-1")
        return self._instance is not None

    async def order(self, order: EngineOrder) -> int:
        """Send an order and return the status; raises ConnectError or PeerFailed."""
        headers = [(b"Content-Type", b"application/json")]
        if self._instance is not None:
            headers.append((b"X-Expected-Instance", self._instance.encode()))
        answer = await self._caller.call(
            b"POST",
            ORDER_PATH,
            body=encode_order(order, self._holder),
            headers=tuple(headers),
            timeout_s=ORDER_TIMEOUT_S,
        )
        return answer.status


def decode_report(body: bytes, instance: str | None) -> EngineReport:
    """Decode an engine's report; raises StoreValueError if it can't be read."""
    try:
        report = msgspec.json.decode(body, type=_Report)
    except msgspec.MsgspecError as error:
        raise StoreValueError(
            f"unreadable engine report: {error}", step="decode report"
        ) from error
    return EngineReport(
        started_ms=report.born,
        instance=instance,
        sequence=report.sequence,
        is_busy=report.busy,
        running=report.running,
        waiting=report.waiting,
        cache_used_tokens=report.kv_cache_used,
        cache_total_tokens=report.kv_cache_total,
        models=tuple(
            HeldModel(model.name, tuple(_held(name) for name in model.adapters))
            for model in report.models
        ),
        coming=tuple(_coming(text) for text in report.coming),
    )


def encode_order(order: EngineOrder, holder: str) -> bytes:
    """Return the body of an order."""
    is_load = order.kind is EngineOrderKind.LOAD
    return msgspec.json.encode(
        _Order(
            operation="load" if is_load else "unload",
            model=order.model,
            holder=holder,
            fencing_token=_TOKEN,
            expect=order.expected_sequence,
            adapter=order.adapter or None,
            version=order.version if is_load else None,
        )
    )


def _held(text: str) -> HeldAdapter:
    name, _, version = text.partition("@")
    return HeldAdapter(name, int(version) if version.isdigit() else 0)


def _coming(text: str) -> str:
    return text.partition("@")[0]
