"""Decodes the records by which targets register in the platform's store."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from lentiltally.direct.model import TargetRecord, TargetStage
from lentiltally.direct.settings import SocketAddress
from lentiltally.platform._json import decode_json
from lentiltally.platform.desired_state import StoreValueError

__all__ = ["TARGET_TOPIC", "decode_target_record"]

TARGET_TOPIC = "keyed.servers"
MS_PER_S = 1000.0
_STAGES = {"ready": TargetStage.READY, "draining": TargetStage.DRAINING}


class _Record(Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    sequence: int
    version: str = ""
    slots: int = 1
    cold_remaining_ms: float = 0.0
    # Start of the target in Unix milliseconds; orders its records after a restart.
    born: int = 0


def decode_target_record(target_id: str, value: bytes) -> TargetRecord:
    """Decode one record; raises StoreValueError if it describes no usable target."""
    try:
        record = decode_json(value, _Record)
        stage = _STAGES[record.state]
        SocketAddress.from_text(record.address)
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
        slow_start_left_s=record.cold_remaining_ms / MS_PER_S,
    )
