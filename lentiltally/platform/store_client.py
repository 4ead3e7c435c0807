"""The client of the platform's store: keyed topics, read whole or from an offset on."""

from __future__ import annotations

import logging
import struct
from base64 import b64decode
from dataclasses import dataclass
from urllib.parse import urlencode

import msgspec
from msgspec import Struct

from lentiltally.direct.http_connection import ConnectError, PeerFailed
from lentiltally.direct.keyed_feed import (
    FeedError,
    FeedPage,
    FeedRecord,
    FeedTruncatedError,
)
from lentiltally.direct.settings import SocketAddress
from lentiltally.direct.whole_call import WholeAnswer, WholeCaller

__all__ = ["StoreTopic"]

_log = logging.getLogger(__name__)

# Some hundred times the usual answer: the store may be slow for a while.
CALL_TIMEOUT_S = 1.0
# After the wait for a record an answer is due at once. If the store is slow, the next
# read does not wait and has the longer limit.
LONG_POLL_GRACE_S = 0.4
_HEAD = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
_KEY_LENGTH_BYTES = 1


class _Item(Struct):
    key: str
    value: str
    offset: int


class _Newest(Struct):
    items: list[_Item]
    more: bool
    end: int


class _Truncation(Struct):
    first: int = 0


@dataclass(frozen=True, slots=True)
class StoreTopic:
    """Reads one keyed topic; all of its records lie in one partition."""

    name: str
    caller: WholeCaller

    @classmethod
    def from_address(cls, name: str, address: SocketAddress) -> StoreTopic:
        """Return a reader with a connection of its own."""
        return cls(name, WholeCaller(address))

    async def newest(self) -> FeedPage:
        """Return the newest record of each key; raises FeedError.

        Pages are no snapshot, and neither need a page's items be as new as its end. So
        reading on starts after the newest record of the first page.
        """
        records: list[FeedRecord] = []
        end: int | None = None
        following = 0
        after = ""
        while True:
            query = {"topic": self.name, "part": "0"}
            if after:
                query["after"] = after
            page = self._decode_newest(await self._get("/-/log-newest", query, 0.0))
            if end is None:
                end = page.end
                following = _following(page)
            records += [
                FeedRecord(item.key, b64decode(item.value), item.offset)
                for item in page.items
            ]
            if not page.more or not page.items:
                return FeedPage(end, tuple(records), following)
            after = page.items[-1].key

    async def read(self, offset: int, wait_s: float) -> FeedPage:
        """Return the records from an offset on, waiting for one; raises FeedError."""
        query = {"topic": self.name, "part": "0", "from": str(offset)}
        if wait_s:
            query["waitMs"] = str(int(wait_s * 1000))
        answer = await self._get("/-/log-read", query, wait_s)
        return self._decode_read(answer.body, offset)

    def close(self) -> None:
        """Close the connection."""
        self.caller.close()

    async def _get(
        self, path: str, query: dict[str, str], wait_s: float
    ) -> WholeAnswer:
        target = f"{path}?{urlencode(query)}".encode()
        timeout_s = wait_s + LONG_POLL_GRACE_S if wait_s else CALL_TIMEOUT_S
        try:
            answer = await self.caller.call(b"GET", target, timeout_s=timeout_s)
        except (ConnectError, PeerFailed) as error:
            raise self._error(str(error)) from error
        if answer.status == 410:
            raise self._truncation(answer)
        if answer.status != 200:
            raise self._error(f"the store answered {answer.status}")
        return answer

    def _truncation(self, answer: WholeAnswer) -> FeedTruncatedError:
        error = FeedTruncatedError(
            "records were deleted", step="read", peer=str(self.caller.address)
        )
        try:
            truncation = msgspec.json.decode(answer.body, type=_Truncation)
            error.first_offset = truncation.first
        except msgspec.MsgspecError as problem:
            _log.warning("unreadable truncation", extra={"error": str(problem)})
        return error

    def _decode_newest(self, answer: WholeAnswer) -> _Newest:
        try:
            return msgspec.json.decode(answer.body, type=_Newest)
        except msgspec.MsgspecError as error:
            raise self._error(f"unreadable page: {error}") from error

    def _decode_read(self, body: bytes, offset: int) -> FeedPage:
        if len(body) < _HEAD.size:
            raise self._error("answer without its end offset")
        end, _first = _HEAD.unpack_from(body)
        records: list[FeedRecord] = []
        position = _HEAD.size
        while position + _LENGTH.size <= len(body):
            (size,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            content = body[position : position + size]
            if len(content) < size:
                raise self._error("record is cut")
            records.append(_record(content, offset + len(records)))
            position += size
        return FeedPage(end, tuple(records), offset + len(records))

    def _error(self, detail: str) -> FeedError:
        return FeedError(
            detail, step=f"read {self.name}", peer=str(self.caller.address)
        )


def _following(page: _Newest) -> int:
    """Return the offset of the first record that a page may not have seen."""
    if not page.items:
        return page.end
    return min(page.end, 1 + max(item.offset for item in page.items))


def _record(content: bytes, offset: int) -> FeedRecord:
    key_end = _KEY_LENGTH_BYTES + (content[0] if content else 0)
    key = content[_KEY_LENGTH_BYTES:key_end].decode("utf-8", "replace")
    return FeedRecord(key, content[key_end:] or None, offset)
