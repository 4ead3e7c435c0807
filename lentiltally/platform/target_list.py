"""Decodes the entries by which targets announce themselves in the platform's store."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from lentiltally.direct.model import TargetRecord, TargetStage
from lentiltally.direct.settings import SocketAddress
from lentiltally.platform.desired_state import StoreValueError

__all__ = ["TARGET_TOPIC", "decode_target_record"]

TARGET_TOPIC = "keyed.servers"
MS_PER_S = 1000.0
_STAGES = {"ready": TargetStage.READY, "draining": TargetStage.LEAVING}


class _Entry(Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: str
    sequence: int
    version: str = ""
    slots: int = 1
    cold_remaining_ms: float = 0.0
    # Unix milliseconds at which the target started; orders its records after a restart.
    born: int = 0


def decode_target_record(target_id: str, value: bytes) -> TargetRecord:
    """Decode one entry; raises StoreValueError if it names no target to use."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        stage = _STAGES[entry.state]
        SocketAddress.from_text(entry.address)
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise StoreValueError(
            f"unreadable target entry: {error}", step="decode target", peer=target_id
        ) from error
    return TargetRecord(
        target_id=target_id,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        places=max(1, entry.slots),
        stage=stage,
        started_ms=entry.born,
        sequence=entry.sequence,
        slow_start_left_s=entry.cold_remaining_ms / MS_PER_S,
    )
