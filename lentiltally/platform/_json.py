"""Decoding of JSON that may come from a faulty writer."""

from __future__ import annotations

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

__all__ = ["Count", "Rank", "UnixMs", "decode_json"]

# Every JSON writer represents these integers exactly, and they fit the 64 bits of a
# number in a message between processes.
Count = Annotated[int, Meta(ge=0, le=2**53 - 1)]
# Ranks are sent in messages as integers of 64 bits, also after scaling.
Rank = Annotated[int, Meta(ge=-(2**31), le=2**31)]
# The upper limit is in the year 2109. A start that is too far in the future would make
# all later, correct records of a target look older.
UnixMs = Annotated[int, Meta(ge=0, le=2**42)]

_Document = TypeVar("_Document")


def decode_json(data: bytes, document: type[_Document]) -> _Document:
    """Decode a JSON document; raises msgspec.MsgspecError if it is malformed.

    msgspec raises RecursionError for deeply nested values; here that is a
    DecodeError, too.
    """
    try:
        return msgspec.json.decode(data, type=document)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
