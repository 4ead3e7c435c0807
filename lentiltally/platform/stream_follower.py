"""Reads a stream of the log continuously, in offset order."""

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
RETRY_DELAY = timedelta(milliseconds=200)


class StreamFollower(Generic[_T]):
    """Reads a stream on its own thread and passes each decoded record to ``apply``.

    ``apply`` is called on that thread, in offset order, once for each offset. A record
    that ``decoder`` rejects is logged and skipped.

    The log does not store the positions of its readers, so each follower keeps its own
    (idea: MySQL 5.0 manual, 15.4).

    ``is_log_down`` says whether the latest read failed, ``is_caught_up`` whether the
    latest successful read reached the end of the stream. ``last_read_started_s`` and
    ``last_answer_s`` are the monotonic times at which the latest successful read was
    sent and answered.
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
        self._position_changed = threading.Condition()
        self.is_caught_up = False
        self.is_log_down = False
        self.last_read_started_s = clock.monotonic_s()
        self.last_answer_s = clock.monotonic_s()
        self._thread = threading.Thread(
            target=self._run, daemon=True, name=f"follow-{stream}"
        )

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to apply; 0 before the first read."""
        return self._next_offset or 0

    def start(self) -> None:
        """Start the thread that reads."""
        self._thread.start()

    def stop(self) -> None:
        """Make the thread end after its current read; does not wait for it."""
        self._stopped.set()

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at ``offset`` is applied; return False on a timeout."""
        with self._position_changed:
            return self._position_changed.wait_for(
                lambda: self.next_offset > offset, timeout=timeout_s
            )

    def wait_caught_up(self, timeout_s: float) -> bool:
        """Wait until the end of the stream is reached; return False on a timeout."""
        with self._position_changed:
            return self._position_changed.wait_for(
                lambda: self.is_caught_up, timeout=timeout_s
            )

    def caught_up_as_of_s(self) -> float | None:
        """Ask the log whether every record appended so far is applied.

        Returns the monotonic time at which the check was sent, or None if records
        remain to be applied or the log is unavailable. A long poll can't replace this
        check: its answer proves only what was true when the poll began.
        """
        checked_at_s = self._clock.monotonic_s()
        try:
            bounds = self._log.bounds(self._stream)
        except LogError:
            return None
        return checked_at_s if bounds.next_offset <= self.next_offset else None

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._read_page()
            except (LogUnavailable, LogAnswerLost) as error:
                self._mark_log_down(error)
                self._clock.sleep(RETRY_DELAY)
            except LogTruncated as error:
                # The deleted records had expired, so they need not be applied.
                self._next_offset = error.first_offset
            except Exception:
                _log.exception("stream follower failed", extra={"stream": self._stream})
                self._clock.sleep(RETRY_DELAY)

    def _read_page(self) -> None:
        if self._next_offset is None:
            self._next_offset = self._start_offset()
        wait_ms = POLL_WAIT_MS if self.is_caught_up and not self.is_log_down else 0
        started_s = self._clock.monotonic_s()
        page = self._log.read(self._stream, self._next_offset, PAGE_RECORDS, wait_ms)
        for record in page.records:
            self._apply_record(record)
            self._next_offset = record.offset + 1
        self.is_log_down = False
        self.last_answer_s = self._clock.monotonic_s()
        # The page's ``next_offset`` is the end of the stream at the time of the answer.
        self.last_read_started_s = started_s
        with self._position_changed:
            self.is_caught_up = self._next_offset >= page.next_offset
            self._position_changed.notify_all()

    def _start_offset(self) -> int:
        bounds = self._log.bounds(self._stream)
        if self._max_initial_records is None:
            return bounds.first_offset
        return max(bounds.first_offset, bounds.next_offset - self._max_initial_records)

    def _mark_log_down(self, error: Exception) -> None:
        if not self.is_log_down:
            _log.warning(
                "log unavailable; stream is not being read",
                extra={"stream": self._stream, "error": str(error)},
            )
        self.is_log_down = True

    def _apply_record(self, record: LogRecord) -> None:
        try:
            decoded = self._decoder.decode(record.value)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            _log.warning(
                "malformed record skipped",
                extra={"stream": self._stream, "offset": record.offset},
            )
            return
        self._apply(decoded, record)
