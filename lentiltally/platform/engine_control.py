"""Client for the control interface of a model engine: state reports and orders."""

from __future__ import annotations

import re

import msgspec
from msgspec import Struct

from lentiltally.decisions.engine_orders import (
    EngineOrder,
    EngineOrderKind,
    EngineReport,
    LoadedAdapter,
    LoadedModel,
)
from lentiltally.decisions.message_size import MessageLimits
from lentiltally.direct.http_client import HttpClient
from lentiltally.direct.http_connection import PeerError
from lentiltally.direct.settings import SocketAddress
from lentiltally.platform._json import Count, UnixMs, decode_json
from lentiltally.platform.desired_state import StoreValueError
from lentiltally.platform.http_headers import decode_rate_limit

__all__ = ["EngineControlClient", "decode_report", "encode_order"]

REPORT_PATH = b"/-/report"
ORDER_PATH = b"/-/order"
# An engine usually answers requests from its own host within a few milliseconds.
REPORT_TIMEOUT_S = 1.0
# An order without an answer may still be executed later. The expected sequence number
# makes it safe to send again, so a longer timeout gains nothing.
ORDER_TIMEOUT_S = 0.1
IDENTIFY_TIMEOUT_S = 0.3
# A report lists the adapters in the slots of an engine; other answers are shorter.
RESPONSE_LIMITS = MessageLimits(max_bytes=256 * 1024)
# Constant, because the holder of an engine never changes: the holder is a host, and
# only the agent on that host sends orders to the engine.
_FENCING_TOKEN = 1
# str.isdigit also accepts characters that int() rejects; 15 digits fit a Count.
_VERSION = re.compile("[0-9]{1,15}")


class _Model(Struct):
    name: str
    version: Count = 0
    adapters: list[str] = []


class _Report(Struct, rename="camel"):
    models: list[_Model] = []
    busy: bool = False
    sequence: Count = 0
    waiting: Count = 0
    running: Count = 0
    kv_cache_used: Count = 0
    kv_cache_total: Count = 0
    # Adapters being loaded from the weight store, as MODEL/NAME@VERSION.
    coming: list[str] = []
    # Start of the engine in Unix milliseconds.
    born: UnixMs = 0
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
    """Reads the reports of one engine and sends it orders, for the agent beside it."""

    def __init__(self, address: SocketAddress, holder: str) -> None:
        """Prepare the client; ``holder`` identifies this host in orders."""
        self._client = HttpClient(address, RESPONSE_LIMITS)
        self._holder = holder
        self._instance_id: str | None = None

    async def report(self) -> EngineReport:
        """Fetch a report; raises ConnectError, PeerError or StoreValueError."""
        answer = await self._client.call(
            b"GET", REPORT_PATH, timeout_s=REPORT_TIMEOUT_S
        )
        if answer.status != 200:
            raise PeerError(
                f"answered {answer.status}",
                step="report",
                peer=str(self._client.address),
            )
        rate_limit_per_s, _ = decode_rate_limit(answer.headers.items())
        return decode_report(answer.body, self._instance_id, rate_limit_per_s)

    async def identify(self, health_path: str) -> bool:
        """Fetch the instance id that orders name; return whether the engine gave one.

        The id changes with each start of the engine. It is read from the answer to the
        health check, since reports do not contain it, so this is called once for each
        start. Raises ConnectError or PeerError.
        """
        answer = await self._client.call(
            b"GET", health_path.encode(), timeout_s=IDENTIFY_TIMEOUT_S
        )
        value = answer.headers.get(b"x-instance-id")
        self._instance_id = None if value is None else value.decode("latin-1")
        return self._instance_id is not None

    async def order(self, order: EngineOrder) -> int:
        """Send an order and return the status of the answer.

        The engine rejects an order for another instance or with an unexpected
        sequence number. Raises ConnectError or PeerError.
        """
        headers = [(b"Content-Type", b"application/json")]
        if self._instance_id is not None:
            headers.append((b"X-Expected-Instance", self._instance_id.encode()))
        answer = await self._client.call(
            b"POST",
            ORDER_PATH,
            body=encode_order(order, self._holder),
            headers=tuple(headers),
            timeout_s=ORDER_TIMEOUT_S,
        )
        return answer.status


def decode_report(
    body: bytes, instance: str | None, rate_limit_per_s: float | None = None
) -> EngineReport:
    """Decode a report; raises StoreValueError if it is malformed.

    ``instance`` is the instance id of the engine, None if it is unknown, and
    ``rate_limit_per_s`` the limit that came with the answer, None if none did.
    """
    try:
        report = decode_json(body, _Report)
    except msgspec.MsgspecError as error:
        raise StoreValueError(
            f"malformed engine report: {error}", step="decode report"
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
            LoadedModel(
                model.name, tuple(_parse_adapter(text) for text in model.adapters)
            )
            for model in report.models
        ),
        loading=tuple(_drop_version(text) for text in report.coming),
        rate_limit_per_s=rate_limit_per_s,
    )


def encode_order(order: EngineOrder, holder: str) -> bytes:
    """Return the HTTP body of an order; ``holder`` is the host that sends it."""
    is_load = order.kind is EngineOrderKind.LOAD
    return msgspec.json.encode(
        _Order(
            operation="load" if is_load else "unload",
            model=order.model,
            holder=holder,
            fencing_token=_FENCING_TOKEN,
            expect=order.expected_sequence,
            adapter=order.adapter or None,
            version=order.version if is_load else None,
        )
    )


def _parse_adapter(text: str) -> LoadedAdapter:
    """Parse ``NAME@VERSION``; the version is 0 if it is missing or not a count."""
    name, _, version = text.partition("@")
    return LoadedAdapter(name, int(version) if _VERSION.fullmatch(version) else 0)


def _drop_version(text: str) -> str:
    """Return the ``MODEL/NAME`` of ``MODEL/NAME@VERSION``."""
    return text.partition("@")[0]
