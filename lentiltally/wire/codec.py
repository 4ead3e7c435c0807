"""Encoding of frames: one version byte, then a MessagePack array of messages."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from lentiltally.errors import LentiltallyError
from lentiltally.wire.messages import Message

PROTOCOL_VERSION = 1

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Message])


class FrameError(LentiltallyError):
    """A received frame is malformed or has an unknown protocol version."""


def encode(messages: Sequence[Message]) -> bytes:
    """Return a frame that holds the messages, in order."""
    return bytes((PROTOCOL_VERSION,)) + _encoder.encode(messages)


def decode(frame: bytes) -> list[Message]:
    """Return the messages of a frame.

    Raises FrameError if the version is unknown or the content is malformed.
    """
    if not frame:
        raise FrameError("empty frame", step="decode")
    if frame[0] != PROTOCOL_VERSION:
        raise FrameError(f"protocol version {frame[0]} is unknown", step="decode")
    try:
        return _decoder.decode(memoryview(frame)[1:])
    except msgspec.MsgspecError as error:
        raise FrameError(f"malformed frame: {error}", step="decode") from error
