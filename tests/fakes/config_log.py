"""An in-memory log with lost answers, outages and retention, and a stepped follower."""

from __future__ import annotations

import threading

import msgspec

from lentiltally.platform.log_client import (
    AppendResult,
    LogAnswerLost,
    LogBounds,
    LogPage,
    LogRecord,
    LogTruncated,
    LogUnavailable,
)


class FakeLog:
    """Keeps every record; ``first`` hides those that retention removed."""

    def __init__(self):
        self.streams = {}
        self.first = {}
        self.is_down = False
        self.losses = []  # one entry per append: "written", "dropped" or "no"
        self.ahead = []  # values that another appender writes first
        self.moved = threading.Condition()

    def append(self, stream, values):
        with self.moved:
            self._require_up()
            fault = self.losses.pop(0) if self.losses else "no"
            records = self.streams.setdefault(stream, [])
            first = len(records) + len(self.ahead)
            if fault != "dropped":
                for value in [*self.ahead, *values]:
                    data = msgspec.Raw(msgspec.json.encode(value))
                    records.append(LogRecord(len(records), 1000 * len(records), data))
                self.ahead = []
                self.moved.notify_all()
            if fault != "no":
                raise LogAnswerLost("answer lost", step="append", peer="log")
            return AppendResult(first, len(records))

    def read(self, stream, offset, limit=500, wait_ms=0):
        with self.moved:
            self._require_up()
            records = self.streams.setdefault(stream, [])
            first = self.first.get(stream, 0)
            if offset < first:
                raise LogTruncated(first, step="read", peer="log")
            self.moved.wait_for(lambda: len(records) > offset, wait_ms / 1000)
            page = records[offset : offset + limit]
            return LogPage(tuple(page), len(records), first)

    def bounds(self, stream):
        with self.moved:
            self._require_up()
            count = len(self.streams.get(stream, []))
            return LogBounds(self.first.get(stream, 0), count)

    def truncate(self, stream, first):
        self.first[stream] = max(first, self.first.get(stream, 0))

    def _require_up(self):
        if self.is_down:
            raise LogUnavailable("log is down", step="fake", peer="log")


class SteppedFollower:
    """Drives a follower in the caller's thread, for publishers in tests."""

    def __init__(self, follower):
        self.follower = follower

    @property
    def tree(self):
        return self.follower.tree

    def replaced_entries(self, change_id):
        return self.follower.replaced_entries(change_id)

    def wait_past(self, offset, timeout_s):
        for _ in range(10):
            if self.follower.offset > offset:
                return True
            self.follower.step(0)
        return self.follower.offset > offset
