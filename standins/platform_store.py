"""Stand-in of the users' metadata store: keyed topics, read whole or from an offset."""

from __future__ import annotations

import asyncio
import json
import struct
from base64 import b64encode
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from standins.raw_http import RawHttpServer, RawRequest, answer

__all__ = ["PlatformStoreStandIn"]

PAGE_ITEMS = 500


@dataclass(slots=True)
class _Topic:
    first: int = 0
    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = field(default_factory=dict)


class PlatformStoreStandIn(RawHttpServer):
    """Keeps keyed topics in memory; runs on the event loop of its user.

    ``mode`` is ``up``, ``busy`` (answers 503) or ``silent`` (takes calls and does not
    answer). ``calls`` counts calls by their path. The next ``lose_waiting`` reads that
    waited for a record never answer; ``waiting`` reads wait at present.
    """

    def __init__(self) -> None:
        """Start with no topics."""
        super().__init__()
        self.mode = "up"
        self.calls: dict[str, int] = {}
        self.long_polls_to_lose = 0
        self.open_long_polls = 0
        self._topics: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Write a record, or remove a key, and return its offset."""
        kept = self._topics.setdefault(topic, _Topic())
        offset = kept.first + len(kept.records)
        kept.records.append((key, value))
        if value is None:
            kept.newest.pop(key, None)
        else:
            kept.newest[key] = (value, offset)
        return offset

    def put_json(self, topic: str, key: str, value: object) -> int:
        """Write a record with a JSON value."""
        return self.put(topic, key, json.dumps(value).encode())

    def compact_topic(self, topic: str) -> None:
        """Delete all records but the newest of each key."""
        kept = self._topics.setdefault(topic, _Topic())
        kept.first += len(kept.records)
        kept.records.clear()

    async def handle(self, request: RawRequest) -> bytes | None:
        """Answer one call."""
        parts = urlsplit(request.path)
        self.calls[parts.path] = self.calls.get(parts.path, 0) + 1
        if self.mode == "busy":
            return answer(503)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self._topics.setdefault(query.get("topic", ""), _Topic())
        if parts.path == "/-/log-newest":
            return self._newest(topic, query.get("after", ""))
        if parts.path == "/-/log-read":
            return await self._read(topic, query)
        return answer(404)

    @staticmethod
    def _newest(topic: _Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.newest if key > after)
        page = keys[:PAGE_ITEMS]
        items = [
            {
                "key": key,
                "value": b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in page
        ]
        end = topic.first + len(topic.records)
        body = {"items": items, "more": len(keys) > len(page), "end": end}
        return answer(200, json.dumps(body).encode())

    async def _read(self, topic: _Topic, query: dict[str, str]) -> bytes:
        offset = int(query["from"])
        if offset < topic.first:
            return answer(410, json.dumps({"first": topic.first}).encode())
        waited_ms = await self._wait(topic, offset, int(query.get("waitMs", "0")))
        if (
            waited_ms
            and self.long_polls_to_lose
            and offset < topic.first + len(topic.records)
        ):
            self.long_polls_to_lose -= 1
            await asyncio.sleep(3600)
        body = struct.pack(">QQ", topic.first + len(topic.records), topic.first)
        for key, value in topic.records[max(0, offset - topic.first) :]:
            content = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return answer(200, body)

    async def _wait(self, topic: _Topic, offset: int, limit_ms: int) -> int:
        """Wait until a topic reaches an offset; return for how many milliseconds."""
        waited_ms = 0
        self.open_long_polls += 1
        try:
            while offset >= topic.first + len(topic.records) and waited_ms < limit_ms:
                await asyncio.sleep(0.005)
                waited_ms += 5
        finally:
            self.open_long_polls -= 1
        return waited_ms
