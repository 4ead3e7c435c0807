"""Follows a keyed topic of the platform's store.

A feed reads the newest record of each key once and then the records that are appended
after them. If the store has deleted records at the feed's position, it reads the newest
ones again. For each key, a record that is older than the newest one known is dropped,
so a late answer of the store changes nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from lentiltally.clock import Clock
from lentiltally.errors import LentiltallyError

__all__ = [
    "FeedError",
    "FeedListener",
    "FeedPage",
    "FeedRecord",
    "FeedTruncatedError",
    "KeyedFeed",
    "KeyedTopic",
]

_log = logging.getLogger(__name__)

RETRY_BACKOFF_S = 0.25
MAX_RETRY_BACKOFF_S = 1.0
# Minimum interval between reads that are requested before the regular pause is over.
MIN_READ_INTERVAL_S = 0.25


class FeedError(LentiltallyError):
    """The topic can't be read at the moment."""


class FeedTruncatedError(FeedError):
    """The store has deleted the records before ``first_offset``."""

    first_offset: int = 0


@dataclass(frozen=True, slots=True)
class FeedRecord:
    """One record; ``value`` is None if the key was removed."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """The records of one read; ``next_offset`` is where the next read starts.

    After a read of the newest records, ``next_offset`` may be before ``end``, the end
    of the topic: a record that was appended while they were collected is read next.
    """

    end: int
    records: tuple[FeedRecord, ...]
    next_offset: int = 0


class KeyedTopic(Protocol):
    """Reads a keyed topic."""

    async def newest(self) -> FeedPage:
        """Return the newest record of each key; raises FeedError."""
        ...

    async def read(self, offset: int, wait_s: float) -> FeedPage:
        """Return the records from an offset on; raises FeedError.

        If there are none, the read waits up to ``wait_s`` for one (a long poll).
        """
        ...


class FeedListener(Protocol):
    """Receives the records of a feed."""

    def on_record(self, record: FeedRecord) -> None:
        """Process one record."""
        ...

    def on_snapshot_keys(self, keys: set[str]) -> None:
        """Process the complete set of keys, after the newest record of each."""
        ...

    def on_store_recovered(self) -> None:
        """Note that the topic can be read again after an outage."""
        ...


class KeyedFeed:
    """Follows one topic and passes its records to a listener.

    ``pause_s`` is the pause between reads, ``wait_s`` how long a read waits at the
    store for a record (a long poll). ``is_current`` says whether the newest records
    have been read, ``is_down`` whether the last read failed. ``last_read_at_s`` is the
    time of the last successful read.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        listener: FeedListener,
        clock: Clock,
        *,
        pause_s: float,
        wait_s: float,
        on_read: Callable[[], None] | None = None,
    ) -> None:
        """Start without a position, so the newest records are read first."""
        self.name = name
        self.is_current = False
        self.is_down = False
        self.last_read_at_s = clock.monotonic_s()
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._pause = timedelta(seconds=pause_s)
        self._read_requested = asyncio.Event()
        self._wait_s = wait_s
        self._on_read = on_read
        self._next_offset: int | None = None
        self._first_offset = 0
        self._newest_offsets: dict[str, int] = {}
        self._failures = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                self._read_requested.clear()
                await self.read_once()
                await self._wait_for_next_read()
            except FeedTruncatedError as error:
                _log.info(
                    "feed truncated, reading newest records again",
                    extra={"topic": self.name},
                )
                if not self._reset_position(error.first_offset):
                    await asyncio.sleep(RETRY_BACKOFF_S)
            except FeedError as error:
                self._read_failed(error)
                await asyncio.sleep(
                    min(MAX_RETRY_BACKOFF_S, RETRY_BACKOFF_S * self._failures)
                )

    def request_read(self) -> None:
        """End the pause early, because the records that are known seem stale."""
        self._read_requested.set()

    async def _wait_for_next_read(self) -> None:
        """Wait for the regular pause, or less if a read is requested meanwhile."""
        pause_s = self._pause.total_seconds()
        min_pause_s = min(MIN_READ_INTERVAL_S, pause_s)
        await asyncio.sleep(min_pause_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s - min_pause_s):
                await self._read_requested.wait()

    async def read_once(self) -> None:
        """Read once and pass the records to the listener; raises FeedError."""
        if self._next_offset is None:
            await self._read_newest()
        else:
            await self._read_following(self._next_offset)
        self.last_read_at_s = self._clock.monotonic_s()

    async def _read_newest(self) -> None:
        page = await self._topic.newest()
        self._read_succeeded()
        for record in page.records:
            self._listener.on_record(record)
        self._listener.on_snapshot_keys({record.key for record in page.records})
        # Skip deleted records: those that are still the newest of their key are part
        # of this read.
        self._next_offset = max(page.next_offset, self._first_offset)
        self._newest_offsets = {record.key: record.offset for record in page.records}
        self.is_current = True

    async def _read_following(self, offset: int) -> None:
        page = await self._topic.read(offset, 0.0 if self.is_down else self._wait_s)
        self._read_succeeded()
        for record in page.records:
            if record.offset > self._newest_offsets.get(record.key, -1):
                self._listener.on_record(record)
        self._next_offset = max(offset, page.next_offset)

    def _reset_position(self, first_offset: int) -> bool:
        """Make the next read start with the newest records.

        Returns whether the store has deleted more records than at the last truncation.
        """
        has_grown = first_offset > self._first_offset
        self._next_offset = None
        self._first_offset = max(first_offset, self._first_offset)
        return has_grown

    def _read_succeeded(self) -> None:
        self._failures = 0
        if self.is_down:
            self.is_down = False
            _log.info("store reachable again", extra={"topic": self.name})
            self._listener.on_store_recovered()

    def _read_failed(self, error: FeedError) -> None:
        self._failures += 1
        if not self.is_down:
            self.is_down = True
            _log.warning(
                "store unreachable", extra={"topic": self.name, "error": str(error)}
            )
