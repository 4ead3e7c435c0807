"""Stand-in for the platform's metadata store: keyed topics, read by anyone."""

from __future__ import annotations

import asyncio
import base64
import json
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from common_2.http1 import HttpServer, Request

__all__ = ["Store"]

MAX_PAGE_ITEMS = 500


@dataclass(slots=True)
class _Topic:
    records: list[tuple[str, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)


class Store(HttpServer):
    """Keeps all records; its answers are linearizable."""

    def __init__(self) -> None:
        """Start without topics."""
        super().__init__()
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()

    async def put(self, topic: str, key: str, value: object | None) -> None:
        """Append a record; None removes the key."""
        stored = self._topics.setdefault(topic, _Topic())
        data = b"" if value is None else json.dumps(value).encode()
        if value is None:
            stored.newest.pop(key, None)
        else:
            stored.newest[key] = data, len(stored.records)
        stored.records.append((key, data))
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one call."""
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self._topics.setdefault(query.get("topic", ""), _Topic())
        if parts.path == "/-/log-newest":
            self.send(writer, 200, self._newest(topic, query.get("after", "")))
        elif parts.path == "/-/log-read":
            self.send(writer, 200, await self._read(topic, query))
        else:
            self.send(writer, 404)
        return True

    @staticmethod
    def _newest(topic: _Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[:MAX_PAGE_ITEMS]:
            value, offset = topic.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        page = {
            "items": items,
            "more": len(keys) > MAX_PAGE_ITEMS,
            "end": len(topic.records),
        }
        return json.dumps(page).encode()

    async def _read(self, topic: _Topic, query: dict[str, str]) -> bytes:
        first = int(query["from"])
        wait_s = int(query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: len(topic.records) > first)
        except TimeoutError:
            pass
        parts = [struct.pack(">QQ", len(topic.records), 0)]
        for key, value in topic.records[first:]:
            name = key.encode()
            content = bytes([len(name)]) + name + value
            parts.append(struct.pack(">I", len(content)) + content)
        return b"".join(parts)
