"""Log service stand-in without HTTP: streams, offsets and retention."""

from __future__ import annotations

import threading
from collections import deque
from datetime import datetime

import msgspec

from lentiltally.clock import Clock
from standins._rates import TokenBucket


class LogSettings(msgspec.Struct, frozen=True):
    """Retention and append rate of the log.

    ``max_records`` and ``max_age_s`` limit what each stream retains; 0 is no limit.
    ``appends_per_s`` limits append requests over all streams, with 0 for no limit;
    ``append_burst`` of them are accepted at once.
    """

    max_records: int = 0
    max_age_s: float = 0.0
    appends_per_s: float = 500.0
    append_burst: float = 100.0


class StoredRecord(msgspec.Struct, frozen=True):
    """One record as readers get it; ``time_ms`` is the log's wall clock at append."""

    offset: int
    time_ms: int
    value: msgspec.Raw


class RateExceededError(Exception):
    """An append exceeded the rate limit; nothing was written."""

    def __init__(self, retry_after_s: float) -> None:
        """Store the time after which an append can succeed."""
        super().__init__("append rate exceeded")
        self.retry_after_s = retry_after_s


class TruncatedError(Exception):
    """A read began below the first offset that the stream retains."""

    def __init__(self, first_offset: int) -> None:
        """Store the first retained offset."""
        super().__init__("offset is below the first retained one")
        self.first_offset = first_offset


class _Stream:
    def __init__(self, lock: threading.Lock) -> None:
        self.first_offset = 0
        self.appends = 0
        # One condition per stream, so that an append wakes only readers of its stream.
        self.changed = threading.Condition(lock)
        self.records: deque[StoredRecord] = deque()

    @property
    def next_offset(self) -> int:
        return self.first_offset + len(self.records)

    def drop_oldest(self) -> None:
        self.records.popleft()
        self.first_offset += 1


class LogCore:
    """Append-only streams in memory; safe to use from several threads."""

    def __init__(self, settings: LogSettings, clock: Clock) -> None:
        """Start without streams; the first access to a name creates its stream."""
        self._settings = settings
        self._clock = clock
        self._streams: dict[str, _Stream] = {}
        self._lock = threading.Lock()
        self._bucket = TokenBucket(settings.appends_per_s, settings.append_burst)
        self._closed = False

    def append(self, name: str, values: list[msgspec.Raw]) -> tuple[int, int]:
        """Append the values atomically.

        Returns the offset of the first value and the offset after the last one.
        Raises RateExceededError.
        """
        with self._lock:
            wait_s = self._bucket.take(self._clock.monotonic_s())
            if wait_s > 0:
                raise RateExceededError(wait_s)
            stream = self._stream(name)
            first = stream.next_offset
            time_ms = _milliseconds(self._clock.now())
            for index, value in enumerate(values):
                record = StoredRecord(first + index, time_ms, value.copy())
                stream.records.append(record)
            stream.appends += 1
            self._apply_retention(stream)
            stream.changed.notify_all()
            return first, stream.next_offset

    def read(
        self, name: str, offset: int, limit: int, wait_s: float
    ) -> tuple[list[StoredRecord], int, int]:
        """Return up to ``limit`` records from the offset on, and the stream's bounds.

        The bounds are the first retained and the next offset. Waits up to ``wait_s``
        until there is a record to return. Raises TruncatedError.
        """
        with self._lock:
            stream = self._stream(name)
            stream.changed.wait_for(
                lambda: self._closed or stream.next_offset > offset, wait_s
            )
            self._apply_retention(stream)
            if offset < stream.first_offset:
                raise TruncatedError(stream.first_offset)
            start = offset - stream.first_offset
            stop = min(start + limit, len(stream.records))
            records = [stream.records[index] for index in range(start, stop)]
            return records, stream.first_offset, stream.next_offset

    def bounds(self, name: str) -> tuple[int, int]:
        """Return the first retained and the next offset of a stream."""
        with self._lock:
            stream = self._stream(name)
            self._apply_retention(stream)
            return stream.first_offset, stream.next_offset

    def set_closed(self, closed: bool) -> None:
        """Set whether the log is closed; reads of a closed log never wait."""
        with self._lock:
            self._closed = closed
            for stream in self._streams.values():
                stream.changed.notify_all()

    def summary(self) -> dict[str, dict[str, int]]:
        """Return the bounds and the number of append requests of each stream."""
        with self._lock:
            return {
                name: {
                    "first_offset": stream.first_offset,
                    "next_offset": stream.next_offset,
                    "appends": stream.appends,
                }
                for name, stream in self._streams.items()
            }

    def _stream(self, name: str) -> _Stream:
        if name not in self._streams:
            self._streams[name] = _Stream(self._lock)
        return self._streams[name]

    def _apply_retention(self, stream: _Stream) -> None:
        settings = self._settings
        if settings.max_records:
            while len(stream.records) > settings.max_records:
                stream.drop_oldest()
        if settings.max_age_s:
            oldest_ms = _milliseconds(self._clock.now()) - settings.max_age_s * 1000
            while stream.records and stream.records[0].time_ms < oldest_ms:
                stream.drop_oldest()


def _milliseconds(moment: datetime) -> int:
    return int(moment.timestamp() * 1000)
