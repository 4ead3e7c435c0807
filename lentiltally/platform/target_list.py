"""Decodes the records by which targets register in the platform's store."""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lentiltally.direct.model import TargetRecord, TargetStage
from lentiltally.direct.settings import SocketAddress
from lentiltally.platform._json import UnixMs, decode_json
from lentiltally.platform.desired_state import StoreValueError

__all__ = ["TARGET_TOPIC", "decode_target_record"]

TARGET_TOPIC = "keyed.servers"
MS_PER_S = 1000.0
MAX_SLOTS = 1_000_000
MAX_SLOW_START_MS = 1e9
# About 50 days of records at one each millisecond.
MAX_SEQUENCE = 2**32
# An id is sent as the value of a header.
_TARGET_ID = re.compile(r"[!-~]+")
_STAGES = {"ready": TargetStage.READY, "draining": TargetStage.DRAINING}


class _Record(Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    sequence: Annotated[int, Meta(ge=0, le=MAX_SEQUENCE)]
    version: str = ""
    slots: Annotated[int, Meta(ge=0, le=MAX_SLOTS)] = 1
    cold_remaining_ms: Annotated[float, Meta(le=MAX_SLOW_START_MS)] = 0.0
    # Start of the target in Unix milliseconds; orders its records after a restart.
    born: UnixMs = 0


def decode_target_record(target_id: str, value: bytes) -> TargetRecord:
    """Decode one record; raises StoreValueError if it describes no usable target."""
    try:
        record = decode_json(value, _Record)
        stage = _STAGES[record.state]
        SocketAddress.from_text(record.address)
        if not _TARGET_ID.fullmatch(target_id):
            raise ValueError("the id is not printable ASCII")
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise StoreValueError(
            f"invalid target record: {error}", step="decode target", peer=target_id
        ) from error
    return TargetRecord(
        target_id=target_id,
        service=record.service,
        address=record.address,
        failure_domain=record.zone,
        concurrency_limit=max(1, record.slots),
        stage=stage,
        started_ms=record.born,
        sequence=record.sequence,
        slow_start_left_s=max(0.0, record.cold_remaining_ms) / MS_PER_S,
    )
