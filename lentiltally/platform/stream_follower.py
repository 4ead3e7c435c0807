"""Follows one stream of the log in offset order and keeps its own position."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

import msgspec

from lentiltally.clock import Clock
from lentiltally.platform.log_client import (
    LogAnswerLost,
    LogClient,
    LogError,
    LogRecord,
    LogTruncated,
    LogUnavailable,
)

_T = TypeVar("_T")
_log = logging.getLogger(__name__)

POLL_WAIT_MS = 10_000
PAGE_RECORDS = 1_000
RETRY = timedelta(milliseconds=200)


class StreamFollower(Generic[_T]):
    """Reads a stream on a thread of its own and hands each record to ``apply``.

    A record that ``decoder`` can't read is logged and left out.

    The log keeps no positions of its readers; each follower keeps its own (idea: MySQL
    5.0 manual, 15.4). ``apply`` is called on the follower's thread, in offset order,
    each offset once.
    """

    def __init__(
        self,
        log: LogClient,
        stream: str,
        decoder: msgspec.json.Decoder[_T],
        apply: Callable[[_T, LogRecord], None],
        clock: Clock,
        *,
        max_initial_records: int | None = None,
    ) -> None:
        """Prepare to read; nothing is requested before ``start``.

        Reading begins at the first retained record, or with ``max_initial_records`` at
        most that many records before the end.
        """
        self._log = log
        self._stream = stream
        self._decoder = decoder
        self._apply = apply
        self._clock = clock
        self._max_initial_records = max_initial_records
        self._next_offset: int | None = None
        self._stopped = threading.Event()
        self._moved = threading.Condition()
        self.is_caught_up = False
        self.is_log_down = False
        self.last_read_started_s = clock.monotonic_s()
        self.heard_at_s = clock.monotonic_s()
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=f"follow-{stream}"
        )

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to apply; 0 before the first read."""
        return self._next_offset or 0

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the read that is under way."""
        self._stopped.set()

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at ``offset`` was applied; False after the timeout."""
        with self._moved:
            return self._moved.wait_for(
                lambda: self.next_offset > offset, timeout=timeout_s
            )

    def wait_caught_up(self, timeout_s: float) -> bool:
        """Wait until the end of the stream was reached once."""
        with self._moved:
            return self._moved.wait_for(lambda: self.is_caught_up, timeout=timeout_s)

    def caught_up_as_of_s(self) -> float | None:
        """Ask the log now; return when, if every record had been applied by then.

        None if records are still to be applied or the log can't be read. A long poll
        proves only what was true when it began.
        """
        asked_at_s = self._clock.monotonic_s()
        try:
            bounds = self._log.bounds(self._stream)
        except LogError:
            return None
        return asked_at_s if bounds.next_offset <= self.next_offset else None

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._step()
            except (LogUnavailable, LogAnswerLost) as error:
                self._failed(error)
                self._clock.sleep(RETRY)
            except LogTruncated as error:
                # What was cut has expired; its records no longer count.
                self._next_offset = error.first_offset
            except Exception:
                _log.exception("follower failed", extra={"stream": self._stream})
                self._clock.sleep(RETRY)

    def _step(self) -> None:
        if self._next_offset is None:
            self._next_offset = self._start_offset()
        wait_ms = POLL_WAIT_MS if self.is_caught_up and not self.is_log_down else 0
        asked_at_s = self._clock.monotonic_s()
        page = self._log.read(self._stream, self._next_offset, PAGE_RECORDS, wait_ms)
        for record in page.records:
            self._hand_on(record)
            self._next_offset = record.offset + 1
        self.is_log_down = False
        self.heard_at_s = self._clock.monotonic_s()
        # The page ends with the stream as it was when the read was answered.
        self.last_read_started_s = asked_at_s
        with self._moved:
            self.is_caught_up = self._next_offset >= page.next_offset
            self._moved.notify_all()

    def _start_offset(self) -> int:
        bounds = self._log.bounds(self._stream)
        if self._max_initial_records is None:
            return bounds.first_offset
        return max(bounds.first_offset, bounds.next_offset - self._max_initial_records)

    def _failed(self, error: Exception) -> None:
        if not self.is_log_down:
            _log.warning(
                "log can't be read",
                extra={"stream": self._stream, "error": str(error)},
            )
        self.is_log_down = True

    def _hand_on(self, record: LogRecord) -> None:
        try:
            decoded = self._decoder.decode(record.value)
        except msgspec.MsgspecError:
            _log.warning(
                "malformed record",
                extra={"stream": self._stream, "offset": record.offset},
            )
            return
        self._apply(decoded, record)
