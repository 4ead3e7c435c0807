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
    """Keeps every record; ``first_offsets`` hides those that retention removed."""

    def __init__(self):
        self.streams = {}
        self.first_offsets = {}
        self.is_down = False
        # One per append: "no" for none; "written" and "dropped" lose the answer.
        self.append_faults = []
        # Values that another client appends just before the next append.
        self.concurrent_values = []
        self._appended = threading.Condition()

    def append(self, stream, values):
        with self._appended:
            self._require_available()
            fault = self.append_faults.pop(0) if self.append_faults else "no"
            records = self.streams.setdefault(stream, [])
            first = len(records) + len(self.concurrent_values)
            if fault != "dropped":
                for value in [*self.concurrent_values, *values]:
                    data = msgspec.Raw(msgspec.json.encode(value))
                    records.append(LogRecord(len(records), 1000 * len(records), data))
                self.concurrent_values = []
                self._appended.notify_all()
            if fault != "no":
                raise LogAnswerLost("answer lost", step="append", peer="log")
            return AppendResult(first, len(records))

    def read(self, stream, offset, limit=500, wait_ms=0):
        with self._appended:
            self._require_available()
            records = self.streams.setdefault(stream, [])
            first = self.first_offsets.get(stream, 0)
            if offset < first:
                raise LogTruncated(first, step="read", peer="log")
            self._appended.wait_for(lambda: len(records) > offset, wait_ms / 1000)
            page = records[offset : offset + limit]
            return LogPage(tuple(page), len(records), first)

    def bounds(self, stream):
        with self._appended:
            self._require_available()
            count = len(self.streams.get(stream, []))
            return LogBounds(self.first_offsets.get(stream, 0), count)

    def truncate(self, stream, first):
        self.first_offsets[stream] = max(first, self.first_offsets.get(stream, 0))

    def _require_available(self):
        if self.is_down:
            raise LogUnavailable("log is down", step="fake", peer="log")


class SteppedFollower:
    """Steps a follower on the caller's thread, for publishers in tests."""

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
