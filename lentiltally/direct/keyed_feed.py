"""Follows a keyed topic of the platform's store.

The follower reads the newest record of each key once and then the records that come
after. When records it needs were deleted, it reads the newest ones again; of one key no
older record follows a newer one, so an old answer changes nothing.
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

RETRY_S = 0.25
MAX_RETRY_S = 1.0
# Reads that evidence asks for are at least this far apart.
SOON_S = 0.25


class FeedError(LentiltallyError):
    """The topic can't be read at present."""


class FeedTruncatedError(FeedError):
    """Records after the reader's position were deleted, up to ``first_offset``."""

    first_offset: int = 0


@dataclass(frozen=True, slots=True)
class FeedRecord:
    """One record; ``value`` is None where the key was removed."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Records of a read; ``next_offset`` is where the next read starts.

    For the newest records that may be before ``end``: a record that was appended while
    they were collected is among those that follow.
    """

    end: int
    records: tuple[FeedRecord, ...]
    next_offset: int = 0


class KeyedTopic(Protocol):
    """The reading side of a keyed topic."""

    async def newest(self) -> FeedPage:
        """Return the newest record of each key."""
        ...

    async def read(self, offset: int, wait_s: float) -> FeedPage:
        """Return the records from an offset on."""
        ...


class FeedListener(Protocol):
    """What a feed tells its user."""

    def feed_record(self, record: FeedRecord) -> None:
        """Take one record."""
        ...

    def feed_listed(self, keys: set[str]) -> None:
        """Take the complete set of keys, after their records."""
        ...

    def feed_returned(self) -> None:
        """Note that the topic answers again after an outage."""
        ...


class KeyedFeed:
    """Reads one topic for as long as it runs.

    ``pause_s`` is waited between reads, ``wait_s`` is how long a read waits at the
    store for a record. ``is_current`` says whether the topic has been read to its end.
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
        """Start without a position."""
        self.name = name
        self.is_current = False
        self.is_down = False
        self.heard_at_s = clock.monotonic_s()
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._pause = timedelta(seconds=pause_s)
        self._soon = asyncio.Event()
        self._wait_s = wait_s
        self._on_read = on_read
        self._next: int | None = None
        self._first = 0
        self._newest_offsets: dict[str, int] = {}
        self._failures = 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                self._soon.clear()
                await self.step()
                await self._rest()
            except FeedTruncatedError as error:
                _log.info("feed truncated", extra={"topic": self.name})
                if not self._truncated(error.first_offset):
                    await asyncio.sleep(RETRY_S)
            except FeedError as error:
                self._failed(error)
                await asyncio.sleep(min(MAX_RETRY_S, RETRY_S * self._failures))

    def read_soon(self) -> None:
        """Read before the pause is over, because what is known seems to be old."""
        self._soon.set()

    async def _rest(self) -> None:
        """Wait for the next read: the whole pause unless one is asked for."""
        pause_s = self._pause.total_seconds()
        least_s = min(SOON_S, pause_s)
        await asyncio.sleep(least_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s - least_s):
                await self._soon.wait()

    async def step(self) -> None:
        """Read once and tell the listener; raises FeedError."""
        if self._next is None:
            await self._read_newest()
        else:
            await self._read_on(self._next)
        self.heard_at_s = self._clock.monotonic_s()

    async def _read_newest(self) -> None:
        page = await self._topic.newest()
        self._returned()
        for record in page.records:
            self._listener.feed_record(record)
        self._listener.feed_listed({record.key for record in page.records})
        # What was deleted before this read is in it, where it still matters.
        self._next = max(page.next_offset, self._first)
        self._newest_offsets = {record.key: record.offset for record in page.records}
        self.is_current = True

    async def _read_on(self, offset: int) -> None:
        page = await self._topic.read(offset, 0.0 if self.is_down else self._wait_s)
        self._returned()
        for record in page.records:
            if record.offset > self._newest_offsets.get(record.key, -1):
                self._listener.feed_record(record)
        self._next = max(offset, page.next_offset)

    def _truncated(self, first_offset: int) -> bool:
        """Read the newest again; return whether more was deleted than known."""
        has_grown = first_offset > self._first
        self._next = None
        self._first = max(first_offset, self._first)
        return has_grown

    def _returned(self) -> None:
        self._failures = 0
        if self.is_down:
            self.is_down = False
            _log.info("store regained", extra={"topic": self.name})
            self._listener.feed_returned()

    def _failed(self, error: FeedError) -> None:
        self._failures += 1
        if not self.is_down:
            self.is_down = True
            _log.warning("store lost", extra={"topic": self.name, "error": str(error)})
