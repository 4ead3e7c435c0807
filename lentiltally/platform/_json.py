"""Decoding of JSON that may come from a faulty writer."""

from __future__ import annotations

from typing import TypeVar

import msgspec

__all__ = ["decode_json"]

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
