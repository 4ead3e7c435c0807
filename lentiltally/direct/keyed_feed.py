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
from collections.abc import Callable, Iterable

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.log_position import position_era, position_offset
from lentiltally.decisions.shared_reads import SharedReads
from lentiltally.direct.feed_types import (
    EndRead,
    FeedError,
    FeedListener,
    FeedPage,
    FeedRecord,
    FeedRestoredError,
    FeedTruncatedError,
    KeyedTopic,
)

__all__ = ["KeyedFeed"]

_log = logging.getLogger(__name__)

RETRY_BACKOFF_S = 0.25
MAX_RETRY_BACKOFF_S = 1.0
# Minimum interval between reads that are requested before the regular pause is over.
MIN_READ_INTERVAL_S = 0.25
# While a read waits at the store, it is checked at this interval whether its answer may
# be lost. The store answers all waiting reads at once, so the answer is lost if agents
# have known of news for this long.
CHECK_INTERVAL_S = 0.25
# No long poll is waited for any longer, whatever agents report.
LONG_POLL_MAX_S = 30.0
# A feed that is behind by more reads the newest record of each key instead.
MIN_DISTANCE_FOR_NEWEST = 100
# Records that are processed before the event loop goes on with other work.
RECORDS_PER_TURN = 32


class KeyedFeed:
    """Follows one topic and passes its records to a listener.

    ``pause_s`` returns the pause after a read, ``wait_s`` how long a read waits at the
    store for a record (a long poll). With ``shared`` reads, the feed only reads if it
    lacks news or agents have not read lately; a long poll then lasts
    ``covered_wait_s``. ``is_current`` says whether the newest records have been read,
    ``is_down`` whether the last read failed. ``last_read_at_s`` is when the last read
    that reached the end of the topic was sent, for a long poll when it was answered.
    ``end_read`` is the last read that proves where the end was, None before the first
    one; ``on_end_read`` is called with each. ``on_era`` is called with the era of the
    store when the newest records were read.
    """

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        listener: FeedListener,
        clock: Clock,
        *,
        pause_s: float | Callable[[], float],
        wait_s: float,
        shared: SharedReads | None = None,
        covered_wait_s: float = 0.0,
    ) -> None:
        """Start without a position, so the newest records are read first."""
        self.name = name
        self.is_current = False
        self.is_down = False
        self.last_read_at_s = clock.monotonic_s()
        self.end_read: EndRead | None = None
        self.on_end_read: Callable[[EndRead], object] = _do_nothing
        self._topic = topic
        self._listener = listener
        self._clock = clock
        self._pause_s = pause_s if callable(pause_s) else lambda: pause_s
        self._is_requested = False
        self._wake = asyncio.Event()
        self._wait_s = wait_s
        self._shared = shared
        self._covered_wait_s = covered_wait_s
        self._must_confirm = False
        # Whether a read without a wait is under way.
        self._is_confirming = False
        self._end: int | None = None
        self._next_offset: int | None = None
        # The end of the topic when its newest records were read last.
        self._era_position = 0
        self._first_offset = 0
        self._newest_offsets: dict[str, int] = {}
        self._failures = 0
        self.on_era: Callable[[int], object] = _do_nothing

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                self._is_requested = False
                is_behind = await self._read_unless_lost()
                if not is_behind:
                    await self._wait_for_next_read()
            except FeedRestoredError:
                # The newest records show what the copy has.
                self._next_offset = None
            except FeedTruncatedError as error:
                _log.info(
                    "feed truncated, reading newest records again",
                    extra={"topic": self.name},
                )
                if not self._reset_position(error.first_offset):
                    await asyncio.sleep(RETRY_BACKOFF_S)
            except FeedError as error:
                self._read_failed(error)
                await self._back_off()
            except Exception as error:
                _log.exception("unexpected error", extra={"step": f"read {self.name}"})
                self._read_failed(FeedError(repr(error), step="read"))
                await self._back_off()

    async def _back_off(self) -> None:
        await asyncio.sleep(min(MAX_RETRY_BACKOFF_S, RETRY_BACKOFF_S * self._failures))

    def request_read(self) -> None:
        """End the pause early, because the records that are known seem stale."""
        self._is_requested = True
        self._wake.set()

    def request_end_read(self) -> None:
        """Read without a wait, unless such a read is under way; end a long poll for it.

        Only feeds with shared reads give up a long poll that is under way.
        """
        if not self._is_confirming:
            self._must_confirm = True
            self.request_read()

    @property
    def next_offset(self) -> int:
        """Return the offset of the first record that has not been read."""
        return self._next_offset or 0

    def news_reported(self) -> None:
        """Check whether a read is due, because agents have reported what they read."""
        self._wake.set()

    async def _wait_for_next_read(self) -> None:
        """Wait until a read is due or requested."""
        pause_s = self._pause_s()
        min_pause_s = min(MIN_READ_INTERVAL_S, pause_s)
        await asyncio.sleep(min_pause_s)
        due_s = self._clock.monotonic_s() + pause_s - min_pause_s
        # A long poll itself waits at the store.
        shared = None if self._wait_s else self._shared
        while not self._is_requested:
            if shared is not None:
                due_s = shared.next_read_s(self.last_read_at_s, self.next_offset)
            left_s = due_s - self._clock.monotonic_s()
            if left_s <= 0.0:
                return
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._wake.wait()

    async def _read_unless_lost(self) -> bool:
        """Read once; return whether there are more records to read at once.

        Gives up a long poll if its answer seems to be lost, and reads without a wait
        then. Raises FeedError.
        """
        shared = self._shared
        if shared is None or not self._long_poll_s(self._clock.monotonic_s()):
            return await self.read_once()
        started_s = self._clock.monotonic_s()
        stale_at_s = started_s + LONG_POLL_MAX_S
        has_news = False
        read = asyncio.create_task(self.read_once())
        try:
            while not read.done():
                await asyncio.wait({read}, timeout=CHECK_INTERVAL_S)
                had_news, has_news = has_news, shared.has_news(self.next_offset)
                if not has_news:
                    stale_at_s = shared.next_read_s(started_s, self.next_offset)
                is_stale = self._clock.monotonic_s() > stale_at_s
                is_lost = is_stale or (had_news and has_news)
                if not read.done() and (is_lost or self._must_confirm):
                    self._must_confirm = True
                    return True
            return read.result()
        finally:
            read.cancel()

    async def read_once(self) -> bool:
        """Read once and pass the records to the listener.

        Returns whether the topic has further records. Raises FeedError.
        """
        suspended_s, sent_s = self._clock.suspended_s(), elapsed_s(self._clock)
        started_s = self._clock.monotonic_s()
        wait_s = self._long_poll_s(started_s)
        self._is_confirming = not wait_s
        try:
            if self._next_offset is None or self._is_far_behind(self._next_offset):
                end = await self._read_newest()
            else:
                end = await self._read_following(self._next_offset, wait_s)
        finally:
            self._is_confirming = False
        self._must_confirm = False
        is_behind = self.next_offset < end
        if not is_behind:
            self.last_read_at_s = self._clock.monotonic_s() if wait_s else started_s
        if self._shared is not None:
            self._shared.caught_up(started_s)
        if self.next_offset == self._end:
            self.end_read = EndRead(sent_s, suspended_s, self.next_offset)
            self.on_end_read(self.end_read)
        return is_behind

    def _long_poll_s(self, now_s: float) -> float:
        """Return how long the next read waits at the store."""
        if self.is_down or self._must_confirm or not self._wait_s:
            return 0.0
        is_covered = self._shared is not None and self._shared.is_covered(now_s)
        return self._covered_wait_s if is_covered else self._wait_s

    def _is_far_behind(self, offset: int) -> bool:
        """Return whether the newest records are fewer than those from an offset on."""
        return self._shared is not None and self._shared.distance(offset) > max(
            MIN_DISTANCE_FOR_NEWEST, len(self._newest_offsets)
        )

    async def _read_newest(self) -> int:
        """Read the newest record of each key; return the end of the topic."""
        page = await self._topic.newest()
        self._read_succeeded()
        self._note_era(page)
        await self._pass_on_all(page.records)
        keys = {record.key for record in page.records}
        self._listener.on_snapshot_keys(keys, page.end)
        # Skip deleted records: those that are still the newest of their key are part
        # of this read.
        self._next_offset = max(page.next_offset, self._first_offset)
        self._newest_offsets = {record.key: record.offset for record in page.records}
        self.is_current = True
        self._end = page.end
        return page.end

    def _note_era(self, page: FeedPage) -> None:
        """Tell the listener if the store has come back from a copy.

        Records that the copy lacks are written again, as after an outage.
        """
        era = position_era(page.end)
        if self.is_current and era > position_era(self._era_position):
            _log.warning(
                "store restored from a copy",
                extra={
                    "topic": self.name,
                    "era": era,
                    "former_era": position_era(self._era_position),
                    "read_before": position_offset(self._era_position),
                    "end": position_offset(page.end),
                    "keys": len(page.records),
                    "former_keys": len(self._newest_offsets),
                },
            )
            self._listener.on_store_recovered()
        self._era_position = page.end
        self.on_era(era)

    async def _read_following(self, offset: int, wait_s: float) -> int:
        """Read the records from an offset on; return the end of the topic."""
        page = await self._topic.read(offset, wait_s)
        self._read_succeeded()
        await self._pass_on_all(
            record
            for record in page.records
            if record.offset > self._newest_offsets.get(record.key, -1)
        )
        self._next_offset = max(offset, page.next_offset)
        # An empty page with another end is of an earlier read or another history.
        self._end = page.end
        return page.end if page.records else self._next_offset

    async def _pass_on_all(self, records: Iterable[FeedRecord]) -> None:
        """Pass on records in order, beside the other work of the process."""
        for number, record in enumerate(records, start=1):
            self._pass_on(record)
            if number % RECORDS_PER_TURN == 0:
                await asyncio.sleep(0)

    def _pass_on(self, record: FeedRecord) -> None:
        """Pass on one record; a listener that fails must not stop the feed."""
        try:
            self._listener.on_record(record)
        except Exception:
            _log.exception(
                "record not processed",
                extra={
                    "topic": self.name,
                    "key": record.key,
                    "offset": position_offset(record.offset),
                },
            )

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


def _do_nothing(_: object) -> None:
    """Do nothing: the default callback until a process sets one."""
