"""The platform's store, as far as entries and agents read it: two keyed topics."""

from __future__ import annotations

import asyncio
import copy
import json
import struct
from base64 import b64encode
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from review.common_3.http_server import HttpServer, Request, answer

__all__ = ["Store"]

MAX_PAGE_ITEMS = 500


@dataclass(slots=True)
class _Topic:
    """All records, and for each key its newest value with its offset."""

    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)


class Store(HttpServer):
    """A store that answers at once; it may come back from an older copy.

    All answers have ``Store-Era``. While ``is_away``, calls get 503.
    """

    def __init__(self) -> None:
        """Start without records."""
        super().__init__()
        self.is_away = False
        self._era = 1
        self._topics: dict[str, _Topic] = {}
        self._copy: dict[str, _Topic] = {}
        self._appended = asyncio.Event()

    def take_copy(self) -> None:
        """Keep a copy of all topics."""
        self._copy = copy.deepcopy(self._topics)

    def restore(self) -> None:
        """Go back to the copy; what was written since is gone."""
        self._topics = copy.deepcopy(self._copy)
        self._era += 1
        self._appended.set()
        self._appended = asyncio.Event()

    def put(self, topic: str, key: str, value: dict[str, object] | None) -> None:
        """Append a record; None removes the key."""
        stored = self._topics.setdefault(topic, _Topic())
        data = None if value is None else json.dumps(value).encode()
        if data is None:
            stored.newest.pop(key, None)
        else:
            stored.newest[key] = data, len(stored.records)
        stored.records.append((key, data))
        self._appended.set()
        self._appended = asyncio.Event()

    async def exchange(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a read."""
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        era, name = self._era, query.get("topic", "")
        status, page = 404, b""
        if self.is_away:
            status = 503
        elif parts.path == "/-/log-newest":
            topic = self._topics.setdefault(name, _Topic())
            status, page = 200, _newest_page(topic, query.get("after", ""))
        elif parts.path == "/-/log-read":
            status, page = await self._read(name, query)
        if era != self._era:
            # A read that waited ends with the store that it asked.
            return False
        writer.write(answer(status, page, {"Store-Era": str(era)}))
        await writer.drain()
        return True

    async def _read(self, name: str, query: dict[str, str]) -> tuple[int, bytes]:
        topic = self._topics.setdefault(name, _Topic())
        first = int(query["from"])
        if first > len(topic.records):
            return 410, json.dumps({"first": 0}).encode()
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query.get("waitMs", "0")) / 1000
        while first >= len(topic.records) and loop.time() < until_s:
            try:
                async with asyncio.timeout_at(until_s):
                    await self._appended.wait()
            except TimeoutError:
                break
        page = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[first:]:
            content = bytes([len(key.encode())]) + key.encode() + (value or b"")
            page += struct.pack(">I", len(content)) + content
        return 200, page


def _newest_page(topic: _Topic, after: str) -> bytes:
    keys = sorted(key for key in topic.newest if key > after)
    items = []
    for key in keys[:MAX_PAGE_ITEMS]:
        value, offset = topic.newest[key]
        text = b64encode(value).decode()
        items.append({"key": key, "value": text, "offset": offset})
    more = len(keys) > MAX_PAGE_ITEMS
    page = {"items": items, "more": more, "end": len(topic.records)}
    return json.dumps(page).encode()
