"""Client of the platform's store, for reading keyed topics.

A keyed topic is a log of records, each with a key; the newest record of a key is its
current value. A topic can be read as a list of the newest records, or as a log from an
offset on.
"""

from __future__ import annotations

import json
import logging
import struct
from base64 import b64decode
from typing import Any
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from lentiltally.decisions.log_position import (
    MAX_ERA,
    MAX_LOG_OFFSET,
    log_position,
    position_era,
    position_offset,
)
from lentiltally.decisions.message_size import (
    MessageLimits,
    MessageSize,
    MessageTooLargeError,
)
from lentiltally.direct.feed_types import (
    FeedError,
    FeedPage,
    FeedRecord,
    FeedRestoredError,
    FeedTruncatedError,
)
from lentiltally.direct.http_client import HttpClient, HttpResponse
from lentiltally.direct.http_connection import ConnectError, PeerError
from lentiltally.direct.settings import SocketAddress
from lentiltally.platform._json import Count, decode_json

__all__ = ["StoreTopic"]

_log = logging.getLogger(__name__)

# About a hundred times the usual answer time: the store may be slow for a while.
CALL_TIMEOUT_S = 1.0
# Time for the answer after the end of a long poll, when it is due immediately. If the
# store is slower, the read fails; the next one is no long poll and has the longer
# CALL_TIMEOUT_S.
LONG_POLL_GRACE_S = 0.4

# The store ends a page at 1 MB, which Base64 makes larger, or after one record more.
PAGE_LIMITS = MessageLimits(max_bytes=4 * 1024 * 1024)
# The configuration is one record. With 100,000 accounts of two keys it has 21 MB, and
# 28 MB in Base64.
LARGE_RECORD_LIMITS = MessageLimits(max_bytes=40 * 1024 * 1024)
# Time for the rest of a page once its head has arrived. Reading 28 MB takes about half
# a second of a core, and the smallest machines have 0.29 cores.
LARGE_RECORD_BODY_TIMEOUT_S = 5.0
# All newest records of a topic together; each page counts as one piece.
NEWEST_LIMITS = MessageLimits(max_bytes=64 * 1024 * 1024, min_piece_bytes=4096)
# Records that are decoded of one page of a log; the next read starts after them. A page
# of newest records has at most 500.
MAX_PAGE_RECORDS = 8_192

# A page of a log starts with the end offset and the first offset. Each record follows
# as its length, the length of its key in one byte, the key and the value.
_PAGE_HEADER = struct.Struct(">QQ")
_RECORD_LENGTH = struct.Struct(">I")
_KEY_LENGTH_BYTES = 1
# Stands in keys for what is not UTF-8.
REPLACEMENT = "\ufffd"
ERA_HEADER = b"store-era"
# Digits of the largest era.
MAX_ERA_DIGITS = 4
MAX_LOGGED_BYTES = 64


class _NewestItem(Struct):
    key: str
    # Base64.
    value: str
    offset: Count


class _NewestPage(Struct):
    items: list[_NewestItem]
    # Whether further keys follow on the next page.
    more: bool
    # Offset that the next record of the topic gets.
    end: Count


class _LenientPage(Struct):
    items: list[Any]
    more: bool
    end: Count


class _Truncation(Struct):
    # First offset that has not been deleted.
    first: int = 0


class StoreTopic:
    """Reads one keyed topic, all of whose records are in partition 0.

    Offsets of the store become positions, which have its era (``log_position``).
    """

    __slots__ = ("_era", "_odd_era", "client", "name")

    def __init__(self, name: str, client: HttpClient) -> None:
        """Read with a client whose calls go to the store."""
        self.name = name
        self.client = client
        self._era = 0
        # The last era that was logged as odd.
        self._odd_era: bytes | None = None

    @classmethod
    def from_address(
        cls, name: str, address: SocketAddress, *, has_large_records: bool = False
    ) -> StoreTopic:
        """Return a reader with its own connection to the store at ``address``.

        ``has_large_records`` allows pages with records of many megabytes.
        """
        if not has_large_records:
            return cls(name, HttpClient(address, PAGE_LIMITS))
        return cls(
            name,
            HttpClient(address, LARGE_RECORD_LIMITS, LARGE_RECORD_BODY_TIMEOUT_S),
        )

    async def newest(self) -> FeedPage:
        """Return the newest record of each key, from all pages; raises FeedError.

        The pages together are not a snapshot, and a page may lack records appended
        before its end offset. So the next read has to start after the newest record of
        the first page, to miss none.

        An item without a readable value gets an empty one, which no decoder accepts. An
        item without a key or an offset is left out.
        """
        records: list[FeedRecord] = []
        next_offset: int | None = None
        era: int | None = None
        after_key = ""
        size = MessageSize(NEWEST_LIMITS)
        while True:
            query = {"topic": self.name, "part": "0"}
            if after_key:
                query["after"] = after_key
            answer = await self._get("/-/log-newest", query, 0.0)
            try:
                size.add(len(answer.body))
            except MessageTooLargeError as error:
                raise self._error(f"newest records too large: {error}") from error
            if era not in (None, self._era_of(answer)):
                raise self._error("the store was restored between two pages")
            era = self._era
            page = self._decode_newest_page(answer)
            if len(page.items) > MAX_PAGE_RECORDS:
                raise self._error(f"page with {len(page.items)} items")
            if next_offset is None:
                next_offset = _next_offset(page)
            records += [_decode_item(item, era) for item in page.items]
            if not page.more or not page.items:
                end, next_position = (
                    log_position(era, offset) for offset in (page.end, next_offset)
                )
                return FeedPage(end, tuple(records), next_position)
            # The store does not know a key with replaced characters.
            keys = [item.key for item in page.items if REPLACEMENT not in item.key]
            if not keys or keys[-1] == after_key:
                raise self._error("no key to continue after")
            after_key = keys[-1]

    async def read(self, position: int, wait_s: float) -> FeedPage:
        """Return the records from a position on; raises FeedError.

        If there is none, the store waits up to ``wait_s`` for one (long poll); 0 means
        that it answers immediately. Raises FeedTruncatedError if the record at the
        position has been deleted, and FeedRestoredError if the store has come back from
        a copy since.
        """
        offset = position_offset(position)
        query = {"topic": self.name, "part": "0", "from": str(offset)}
        if wait_s:
            query["waitMs"] = str(int(wait_s * 1000))
        answer = await self._get("/-/log-read", query, wait_s, position)
        return self._decode_log_page(answer.body, offset)

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        wait_s: float,
        position: int | None = None,
    ) -> HttpResponse:
        """Make a call; ``position`` is that of a log from which it reads."""
        target = f"{path}?{urlencode(query)}".encode()
        timeout_s = wait_s + LONG_POLL_GRACE_S if wait_s else CALL_TIMEOUT_S
        try:
            answer = await self.client.call(b"GET", target, timeout_s=timeout_s)
        except (ConnectError, PeerError) as error:
            raise self._error(str(error)) from error
        if answer.status not in (200, 410):
            raise self._error(f"the store answered {answer.status}")
        era = self._era_of(answer)
        if position is not None and era > position_era(position):
            raise FeedRestoredError(
                f"the store is in era {era}", step="read", peer=str(self.client.address)
            )
        if answer.status == 410:
            raise self._truncated_error(answer)
        return answer

    def _era_of(self, answer: HttpResponse) -> int:
        """Return the era of an answer; an odd one counts as the last one known."""
        text = answer.headers.get(ERA_HEADER)
        era = _decode_era(text)
        if era is not None and era >= self._era:
            self._era = era
            self._odd_era = None
        elif (text or self._era) and self._odd_era != (text or b""):
            self._odd_era = text or b""
            _log.warning(
                "era of the store not read",
                extra={
                    "topic": self.name,
                    "text": (text or b"")[:MAX_LOGGED_BYTES].decode("latin-1"),
                    "era": self._era,
                },
            )
        return self._era

    def _truncated_error(self, answer: HttpResponse) -> FeedTruncatedError:
        error = FeedTruncatedError(
            "records were deleted", step="read", peer=str(self.client.address)
        )
        try:
            truncation = decode_json(answer.body, _Truncation)
            error.first_offset = log_position(self._era, truncation.first)
        except msgspec.MsgspecError as problem:
            _log.warning(
                "malformed truncation answer from the store",
                extra={"error": str(problem)},
            )
        return error

    def _decode_newest_page(self, answer: HttpResponse) -> _NewestPage:
        try:
            return decode_json(answer.body, _NewestPage)
        except msgspec.MsgspecError:
            _log.debug("page with odd items", extra={"topic": self.name})
        try:
            return _decode_items_singly(answer.body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise self._error(f"malformed page: {error}") from error

    def _decode_log_page(self, body: bytes, offset: int) -> FeedPage:
        if len(body) < _PAGE_HEADER.size:
            raise self._error("answer shorter than its header")
        end, _first = _PAGE_HEADER.unpack_from(body)
        records: list[FeedRecord] = []
        index = _PAGE_HEADER.size
        while (
            index + _RECORD_LENGTH.size <= len(body) and len(records) < MAX_PAGE_RECORDS
        ):
            (size,) = _RECORD_LENGTH.unpack_from(body, index)
            index += _RECORD_LENGTH.size
            content = body[index : index + size]
            if len(content) < size:
                raise self._error("record truncated")
            position = log_position(self._era, offset + len(records))
            records.append(_decode_record(content, position))
            index += size
        if records and offset + len(records) > end:
            # An answer to an earlier read may arrive once more on a kept connection.
            raise self._error("records beyond the end of the topic")
        return FeedPage(
            log_position(self._era, end),
            tuple(records),
            log_position(self._era, offset + len(records)),
        )

    def _error(self, detail: str) -> FeedError:
        return FeedError(
            detail, step=f"read {self.name}", peer=str(self.client.address)
        )


def _decode_items_singly(body: bytes) -> _NewestPage:
    """Decode a page with odd items, and keep those that have a key and an offset.

    Python's parser accepts what a key with invalid UTF-8 may become in JSON: the bytes
    themselves or lone surrogates. Raises ValueError, RecursionError or MsgspecError.
    """
    page = msgspec.convert(
        json.loads(body.decode("utf-8", "surrogateescape")), _LenientPage
    )
    items = []
    for fields in page.items:
        if not isinstance(fields, dict):
            continue
        key, value, offset = (fields.get(n) for n in ("key", "value", "offset"))
        if (
            isinstance(key, str)
            and type(offset) is int
            and 0 <= offset <= MAX_LOG_OFFSET
        ):
            text = value if isinstance(value, str) else ""
            items.append(_NewestItem(_replace_surrogates(key), text, offset))
    return _NewestPage(items, page.more, page.end)


def _replace_surrogates(text: str) -> str:
    return text.encode("utf-16", "surrogatepass").decode("utf-16", "replace")


def _decode_era(text: bytes | None) -> int | None:
    """Return the era of a header, None if it is absent or no valid one."""
    if text is None or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        return None
    era = int(text)
    return era if era <= MAX_ERA else None


def _decode_item(item: _NewestItem, era: int) -> FeedRecord:
    position = log_position(era, item.offset)
    try:
        return FeedRecord(item.key, b64decode(item.value), position)
    except ValueError:
        return FeedRecord(item.key, b"", position)


def _next_offset(page: _NewestPage) -> int:
    """Return the offset of the first record that the page may lack."""
    if not page.items:
        return page.end
    return min(page.end, 1 + max(item.offset for item in page.items))


def _decode_record(content: bytes, position: int) -> FeedRecord:
    """Decode key and value; an empty value means that the key was removed."""
    key_end = _KEY_LENGTH_BYTES + (content[0] if content else 0)
    key = content[_KEY_LENGTH_BYTES:key_end].decode("utf-8", "replace")
    return FeedRecord(key, content[key_end:] or None, position)
