"""Follows the stream of claims in the log and appends records to it in batches."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.claim_batches import BatchAppendOutcome, ClaimBatcher
from lentiltally.decisions.claims import (
    ClaimRecord,
    ClaimStatus,
    ClaimStreamRecord,
    ClaimTable,
    OutcomeRecord,
    SettleRecord,
)
from lentiltally.metrics import Metrics
from lentiltally.platform.log_client import (
    LogAnswerLost,
    LogClient,
    LogRecord,
    LogUnavailable,
)
from lentiltally.platform.stream_follower import StreamFollower

_log = logging.getLogger(__name__)

STREAM = "claims"
RETRY_DELAY = timedelta(milliseconds=250)
_decoder = msgspec.json.Decoder(ClaimStreamRecord)


@dataclass(slots=True, eq=False)
class _PendingAppend:
    """A record that is waiting to be appended; ``offset`` is set on success.

    It is not appended if its caller has timed out before its batch is sent.
    """

    record: ClaimStreamRecord
    on_done: Callable[[], None] | None = None
    offset: int | None = None
    has_timed_out: bool = False
    done: threading.Event = field(default_factory=threading.Event)


class ClaimLog:
    """The entry's table of all claims, with access to their stream; thread-safe."""

    def __init__(
        self, log: LogClient, clock: Clock, key_lifetime_s: float, metrics: Metrics
    ) -> None:
        """Start with an empty table; ``start`` begins to follow the stream."""
        self._log = log
        self._clock = clock
        self._metrics = metrics
        self._table = ClaimTable(key_lifetime_ms=int(key_lifetime_s * 1000))
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._batcher: ClaimBatcher[_PendingAppend] = ClaimBatcher()
        self._batcher_changed = threading.Condition()
        self._is_stopped = False
        self._follower = StreamFollower(log, STREAM, _decoder, self._apply, clock)
        self._thread = threading.Thread(target=self._run, daemon=True, name="claims")

    def start(self) -> None:
        """Start to follow and to append."""
        self._follower.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop both threads; the call does not wait for them."""
        self._follower.stop()
        with self._batcher_changed:
            self._is_stopped = True
            self._batcher_changed.notify()

    @property
    def is_ready(self) -> bool:
        """Return whether the stream was read to its end at least once."""
        return self._follower.is_caught_up

    def status(self, team: str, key: str, body_digest: bytes) -> ClaimStatus:
        """Return the status of a key; ``Conflict`` if its claim has another body."""
        with self._lock:
            return self._table.status(team, key, body_digest)

    def status_for_any_body(self, team: str, key: str) -> ClaimStatus:
        """Return the status of a key whatever the body of its claim, for operators."""
        with self._lock:
            return self._table.status_for_any_body(team, key)

    def settle(self, record: SettleRecord) -> None:
        """Append an operator's finding, outside the batches; raises LogError."""
        self._log.append(STREAM, [record])

    def append_claim(self, record: ClaimRecord, timeout_s: float) -> int | None:
        """Append a claim; return the offset of the last record in its batch.

        None if the append failed or the timeout passed. The claim may still reach the
        log then; the caller must never dispatch it.
        """
        append = _PendingAppend(record)
        self._enqueue(append)
        if not append.done.wait(timeout_s):
            append.has_timed_out = True
            return None
        return append.offset

    def append_with_retry(
        self, record: ClaimStreamRecord, on_done: Callable[[], None] | None = None
    ) -> None:
        """Append a record in the background, retrying until the log accepts it.

        It may be appended more than once, which has no further effect.
        """
        self._enqueue(_PendingAppend(record, on_done))

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at the offset is applied; False after the timeout."""
        return self._follower.wait_past(offset, timeout_s)

    def wait_change(self, timeout_s: float) -> None:
        """Wait until any record is applied, or for the timeout."""
        with self._changed:
            self._changed.wait(timeout_s)

    def read_outcome(self, offset: int) -> OutcomeRecord | None:
        """Read an outcome again from the log; None if that is not possible now."""
        try:
            page = self._log.read(STREAM, offset, 1, 0)
        except Exception as error:
            _log.info("cannot read claim outcome from log", extra={"error": str(error)})
            return None
        for record in page.records:
            if record.offset == offset:
                decoded = _decoder.decode(record.value)
                return decoded if isinstance(decoded, OutcomeRecord) else None
        return None

    def _enqueue(self, append: _PendingAppend) -> None:
        with self._batcher_changed:
            self._batcher.add(append, self._clock.monotonic_s())
            self._batcher_changed.notify()

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            outcome = self._append(batch)
            with self._batcher_changed:
                self._batcher.appended(outcome, self._clock.monotonic_s())
            if outcome is not BatchAppendOutcome.DONE:
                self._clock.sleep(RETRY_DELAY)

    def _next_batch(self) -> list[_PendingAppend] | None:
        with self._batcher_changed:
            while not self._is_stopped:
                now_s = self._clock.monotonic_s()
                batch = self._batcher.take(now_s)
                if batch:
                    return batch
                due_at_s = self._batcher.due_at_s()
                self._batcher_changed.wait(
                    None if due_at_s is None else due_at_s - now_s
                )
        return None

    def _append(self, batch: list[_PendingAppend]) -> BatchAppendOutcome:
        started_s = self._clock.monotonic_s()
        active = [append for append in batch if not append.has_timed_out]
        if not active:
            return BatchAppendOutcome.DONE
        try:
            result = self._log.append(STREAM, [append.record for append in active])
        except (LogUnavailable, LogAnswerLost) as error:
            _log.warning(
                "append of claim records failed or not confirmed",
                extra={"error": str(error)},
            )
            self._handle_failed_append(active)
            is_limited = isinstance(error, LogUnavailable) and error.retry_after_s
            return (
                BatchAppendOutcome.RATE_LIMITED
                if is_limited
                else BatchAppendOutcome.FAILED
            )
        self._metrics.count("claims_appended", len(active))
        self._metrics.timing(
            "claim_append_latency", self._clock.monotonic_s() - started_s
        )
        for append in active:
            append.offset = result.next_offset - 1
            append.done.set()
            if append.on_done is not None:
                append.on_done()
        return BatchAppendOutcome.DONE

    def _handle_failed_append(self, batch: list[_PendingAppend]) -> None:
        """Report failed claims to their callers; enqueue all other records again."""
        for append in batch:
            if isinstance(append.record, ClaimRecord):
                append.done.set()
            else:
                self._enqueue(append)

    def _apply(self, decoded: ClaimStreamRecord, record: LogRecord) -> None:
        with self._changed:
            self._table.apply(decoded, record.offset, record.time_ms)
            self._changed.notify_all()
