"""Stand-in for the metadata store of the operators' platform: keyed topics.

A topic is read as the latest values of its keys, or as records from an offset on.
"""

from __future__ import annotations

import asyncio
import copy
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
    """Records since ``first_offset``, and the latest value and offset of each key."""

    first_offset: int = 0
    records: list[tuple[str, bytes | None]] = field(default_factory=list)
    latest: dict[str, tuple[bytes, int]] = field(default_factory=dict)


class PlatformStoreStandIn(RawHttpServer):
    """Keeps keyed topics in memory; runs on the event loop of the caller.

    ``mode`` is ``up``, ``busy`` (answers 503) or ``silent`` (accepts calls and does not
    answer). ``calls`` counts calls by path. ``open_long_polls`` counts reads that wait
    for a record. The next ``long_polls_to_lose`` of them never answer once a record
    has arrived.

    ``era_header`` is what answers have as ``Store-Era``, None for none. ``take_copy``
    keeps a copy, and ``restore`` goes back to it: the era rises by one, long polls that
    are under way end without an answer, and a read from beyond the end gets 410.
    """

    def __init__(self) -> None:
        """Start without topics."""
        super().__init__()
        self.mode = "up"
        self.calls: dict[str, int] = {}
        self.long_polls_to_lose = 0
        self.open_long_polls = 0
        self.era_header: str | None = None
        self._era = 0
        self._topics: dict[str, _Topic] = {}
        self._copy: dict[str, _Topic] = {}
        self._changed = asyncio.Condition()

    def put(self, topic: str, key: str, value: bytes | None) -> int:
        """Append a record and return its offset; the value None removes the key."""
        stored = self._topics.setdefault(topic, _Topic())
        offset = stored.first_offset + len(stored.records)
        stored.records.append((key, value))
        if value is None:
            stored.latest.pop(key, None)
        else:
            stored.latest[key] = (value, offset)
        return offset

    def begin_eras(self, era: int = 1) -> None:
        """Say the era in all answers from now on."""
        self._era = era
        self.era_header = str(era)

    def take_copy(self) -> None:
        """Keep a copy of all topics to go back to."""
        self._copy = copy.deepcopy(self._topics)

    def restore(self) -> None:
        """Go back to the copy; what was written since is gone."""
        self._topics = copy.deepcopy(self._copy)
        self.begin_eras(self._era + 1)

    def put_json(self, topic: str, key: str, value: object) -> int:
        """Append a record with a JSON value."""
        return self.put(topic, key, json.dumps(value).encode())

    def compact_topic(self, topic: str) -> None:
        """Delete all records; the latest value of each key stays readable."""
        stored = self._topics.setdefault(topic, _Topic())
        stored.first_offset += len(stored.records)
        stored.records.clear()

    async def handle(self, request: RawRequest) -> bytes | None:
        """Answer one call according to ``mode``, with the era."""
        era = self._era
        found = await self._handle(request)
        if found is None or self._era != era:
            # A call does not outlast the era in which it began.
            return None
        if self.era_header is None:
            return found
        head, end, body = found.partition(b"\r\n\r\n")
        line = f"\r\nStore-Era: {self.era_header}".encode()
        return head + line + end + body

    async def _handle(self, request: RawRequest) -> bytes | None:
        parts = urlsplit(request.path)
        self.calls[parts.path] = self.calls.get(parts.path, 0) + 1
        if self.mode == "busy":
            return answer(503)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        topic = self._topics.setdefault(query.get("topic", ""), _Topic())
        if parts.path == "/-/log-newest":
            return self._latest_values(topic, query.get("after", ""))
        if parts.path == "/-/log-read":
            return await self._read(topic, query)
        return answer(404)

    @staticmethod
    def _latest_values(topic: _Topic, after: str) -> bytes:
        keys = sorted(key for key in topic.latest if key > after)
        page = keys[:PAGE_ITEMS]
        items = [
            {
                "key": key,
                "value": b64encode(topic.latest[key][0]).decode(),
                "offset": topic.latest[key][1],
            }
            for key in page
        ]
        end = topic.first_offset + len(topic.records)
        body = {"items": items, "more": len(keys) > len(page), "end": end}
        return answer(200, json.dumps(body).encode())

    async def _read(self, topic: _Topic, query: dict[str, str]) -> bytes:
        offset = int(query["from"])
        end = topic.first_offset + len(topic.records)
        if offset < topic.first_offset or (self._era and offset > end):
            return answer(410, json.dumps({"first": topic.first_offset}).encode())
        waited_ms = await self._wait_for_offset(
            topic, offset, int(query.get("waitMs", "0"))
        )
        if (
            waited_ms
            and self.long_polls_to_lose
            and offset < topic.first_offset + len(topic.records)
        ):
            self.long_polls_to_lose -= 1
            await asyncio.sleep(3600)
        body = struct.pack(
            ">QQ", topic.first_offset + len(topic.records), topic.first_offset
        )
        for key, value in topic.records[max(0, offset - topic.first_offset) :]:
            content = bytes([len(key.encode())]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(content)) + content
        return answer(200, body)

    async def _wait_for_offset(
        self, topic: _Topic, offset: int, timeout_ms: int
    ) -> int:
        """Wait until a topic has a record at the offset; return the wait in ms."""
        waited_ms, era = 0, self._era
        self.open_long_polls += 1
        try:
            while (
                self._era == era
                and offset >= topic.first_offset + len(topic.records)
                and waited_ms < timeout_ms
            ):
                await asyncio.sleep(0.005)
                waited_ms += 5
        finally:
            self.open_long_polls -= 1
        return waited_ms
