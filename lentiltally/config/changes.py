"""Change records, which are the content of the log stream ``config``."""

from __future__ import annotations

import secrets
from datetime import datetime
from typing import Annotated, Any

import msgspec
from msgspec import Meta

CONFIG_STREAM = "config"
CHANGE_ID_PATTERN = r"^[0-9a-f]{32}\Z"
MAX_ITEMS = 1000
MUST_NOT_EXIST = 0

ChangeId = Annotated[str, Meta(pattern=CHANGE_ID_PATTERN)]
Revision = Annotated[int, Meta(ge=0, le=2**53)]


class ChangeItem(msgspec.Struct, frozen=True):
    """A new value for one path, or its deletion if ``value`` is None.

    ``expected_revision`` is the revision that the author read; 0 means that the path
    must not exist. None matches any revision; it is meant only for applying a whole
    configuration from files, where the files are authoritative.
    """

    path: str
    expected_revision: Revision | None
    value: dict[str, Any] | None


class ChangeRecord(msgspec.Struct, frozen=True):
    """One atomic change of the configuration: all of its items take effect, or none.

    A retried append writes the same ``change_id`` again, so that the duplicate record
    is recognised. ``at`` is the author's wall time in UTC, for information only; the
    order of changes is that of the log.
    """

    change_id: ChangeId
    author: str
    source_address: str
    at: datetime
    items: Annotated[tuple[ChangeItem, ...], Meta(min_length=1, max_length=MAX_ITEMS)]
    note: str = ""


def new_change_id() -> str:
    """Return a random change id (128 bits, hexadecimal)."""
    return secrets.token_hex(16)


def encode_change(record: ChangeRecord) -> bytes:
    """Return the record encoded as JSON."""
    return msgspec.json.encode(record)


def decode_change(data: bytes | msgspec.Raw) -> ChangeRecord | None:
    """Return the decoded record, or None if the data is not a valid one."""
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


_DECODER = msgspec.json.Decoder(ChangeRecord)
