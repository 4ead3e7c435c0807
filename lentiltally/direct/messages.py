"""Datagrams between entries and agents.

Every message fits one datagram and may be lost or repeated: requests are repeated until
they are answered, and states replace each other.
"""

from __future__ import annotations

import enum
import functools

import msgspec
import xxhash
from msgspec import Struct

__all__ = [
    "CrashSuspect",
    "EngineState",
    "EntryHello",
    "Message",
    "PromptRead",
    "ReleaseAdapter",
    "RequireAdapter",
    "AdapterAnswer",
    "AdapterDecision",
    "adapter_key_hash",
    "decode_message",
    "encode_message",
]


# An entry sees some thousand adapters; about 1 MB.
MARKS_KEPT = 4_096


@functools.lru_cache(maxsize=MARKS_KEPT)
def adapter_key_hash(key: str) -> int:
    """Return the 32 bits by which states name a model or an adapter.

    Two of 10,000 adapters share a mark with a chance of about 1%. That only misleads
    the choice of a target: requests name their adapter in full, and agents decide.
    """
    return xxhash.xxh32_intdigest(key.encode())


class EntryHello(Struct, tag=1, array_like=True, frozen=True):
    """An entry wants the states of an agent; sent every second."""

    entry: str


class EngineState(Struct, tag=2, array_like=True, frozen=True):
    """What an agent knows of its engine.

    ``loaded`` are the marks of models and adapters that can be used now, ``loading`` of
    those on their way. ``cached`` are those that load fast; None if what the entry was
    told or saw since still holds. ``free_slots`` are slots
    that no request holds. ``started_ms`` is the engine's start, ``entries`` the number
    of live entries. ``prefill_tokens`` are those of prompts that are being read or wait
    for that.
    """

    started_ms: int
    number: int
    running: int
    waiting: int
    cache_used: int
    cache_total: int
    loaded: tuple[int, ...]
    loading: tuple[int, ...]
    cached: tuple[int, ...] | None
    free_slots: int
    waiting_keys: int
    entries: int
    prefill_tokens: int


class RequireAdapter(Struct, tag=3, array_like=True, frozen=True):
    """A request needs an adapter on the agent's engine.

    ``newest_version`` is the newest one that the entry knows, 0 if none was named; the
    agent may not have read of it yet. ``objective_ms`` is what is left of the route's
    objective, negative once it is missed.
    """

    request_id: str
    model: str
    adapter: str
    rank: int
    patience_ms: int
    left_ms: int
    prompt_tokens: int
    objective_ms: int
    newest_version: int = 0


class AdapterDecision(enum.Enum):
    """What an agent says to a request; ``WAITING`` only shows that the agent lives.

    After ``NO_ENGINE`` other requests should not come for a while either.
    """

    GRANTED = 1
    DECLINED = 2
    WAITING = 3
    NO_ENGINE = 4


class AdapterAnswer(Struct, tag=4, array_like=True, frozen=True):
    """The adapter is held for the request, or the request waits or goes elsewhere."""

    request_id: str
    decision: AdapterDecision
    version: int = 0
    reason: str = ""


class ReleaseAdapter(Struct, tag=5, array_like=True, frozen=True):
    """A request no longer needs its adapter."""

    request_id: str


class PromptRead(Struct, tag=7, array_like=True, frozen=True):
    """The engine has read the prompt of a request: its answer began."""

    request_id: str


class CrashSuspect(Struct, tag=6, array_like=True, frozen=True):
    """A target ended while it ran a request with this fingerprint.

    Agents pass it on to all entries; ``target_start`` tells crashes apart.
    """

    fingerprint: int
    target_start: str


Message = (
    EntryHello
    | EngineState
    | RequireAdapter
    | AdapterAnswer
    | ReleaseAdapter
    | CrashSuspect
    | PromptRead
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message of a datagram; raises msgspec.MsgspecError."""
    return _decoder.decode(data)
