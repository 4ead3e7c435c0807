"""The entry's part in claims: follows the stream and appends records in batches."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.claim_batches import AppendOutcome, ClaimBatcher
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
RETRY = timedelta(milliseconds=250)
_decoder = msgspec.json.Decoder(ClaimStreamRecord)


@dataclass(slots=True, eq=False)
class _Append:
    """A record on its way to the log."""

    record: ClaimStreamRecord
    on_done: Callable[[], None] | None = None
    offset: int | None = None
    is_given_up: bool = False
    done: threading.Event = field(default_factory=threading.Event)


class Claims:
    """All claims as this entry knows them; safe to use from several threads."""

    def __init__(
        self, log: LogClient, clock: Clock, key_lifetime_s: float, metrics: Metrics
    ) -> None:
        """Follow stream ``claims`` once started."""
        self._log = log
        self._clock = clock
        self._metrics = metrics
        self._table = ClaimTable(key_lifetime_ms=int(key_lifetime_s * 1000))
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._batcher: ClaimBatcher[_Append] = ClaimBatcher()
        self._work = threading.Condition()
        self._is_stopped = False
        self._follower = StreamFollower(log, STREAM, _decoder, self._apply, clock)
        self._thread = threading.Thread(target=self._run, daemon=True, name="claims")

    def start(self) -> None:
        """Begin to follow and to append."""
        self._follower.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop following and appending."""
        self._follower.stop()
        with self._work:
            self._is_stopped = True
            self._work.notify()

    @property
    def is_ready(self) -> bool:
        """Return whether the stream was read to its end once."""
        return self._follower.is_caught_up

    def status(self, team: str, key: str, body_digest: bytes) -> ClaimStatus:
        """Return who holds a key and what became of the claim."""
        with self._lock:
            return self._table.status(team, key, body_digest)

    def held(self, team: str, key: str) -> ClaimStatus:
        """Return what became of the claim on a key, for operators."""
        with self._lock:
            return self._table.status_for_any_body(team, key)

    def settle(self, record: SettleRecord) -> None:
        """Append an operator's finding at once; raises LogError."""
        self._log.append(STREAM, [record])

    def append_claim(self, record: ClaimRecord, timeout_s: float) -> int | None:
        """Append a claim; return an offset at or behind it, None if that failed.

        A claim whose append failed may still reach the log; the caller must never
        dispatch it.
        """
        append = _Append(record)
        self._put(append)
        if not append.done.wait(timeout_s):
            append.is_given_up = True
            return None
        return append.offset

    def append_later(
        self, record: ClaimStreamRecord, on_done: Callable[[], None] | None = None
    ) -> None:
        """Append a record as soon as the log takes it; repeats do no harm."""
        self._put(_Append(record, on_done))

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at the offset was applied."""
        return self._follower.wait_past(offset, timeout_s)

    def wait_change(self, timeout_s: float) -> None:
        """Wait until any record was applied, or for the timeout."""
        with self._changed:
            self._changed.wait(timeout_s)

    def recorded(self, offset: int) -> OutcomeRecord | None:
        """Read an outcome again from the log; None if it can't be had now."""
        try:
            page = self._log.read(STREAM, offset, 1, 0)
        except Exception as error:
            _log.info("outcome not read", extra={"error": str(error)})
            return None
        for record in page.records:
            if record.offset == offset:
                decoded = _decoder.decode(record.value)
                return decoded if isinstance(decoded, OutcomeRecord) else None
        return None

    def _put(self, append: _Append) -> None:
        with self._work:
            self._batcher.add(append, self._clock.monotonic_s())
            self._work.notify()

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            outcome = self._append(batch)
            with self._work:
                self._batcher.appended(outcome, self._clock.monotonic_s())
            if outcome is not AppendOutcome.DONE:
                self._clock.sleep(RETRY)

    def _next_batch(self) -> list[_Append] | None:
        with self._work:
            while not self._is_stopped:
                now_s = self._clock.monotonic_s()
                batch = self._batcher.take(now_s)
                if batch:
                    return batch
                due_at_s = self._batcher.due_at_s()
                self._work.wait(None if due_at_s is None else due_at_s - now_s)
        return None

    def _append(self, batch: list[_Append]) -> AppendOutcome:
        started_s = self._clock.monotonic_s()
        live = [append for append in batch if not append.is_given_up]
        if not live:
            return AppendOutcome.DONE
        try:
            result = self._log.append(STREAM, [append.record for append in live])
        except (LogUnavailable, LogAnswerLost) as error:
            _log.warning("claims not appended", extra={"error": str(error)})
            self._failed(live)
            is_limited = isinstance(error, LogUnavailable) and error.retry_after_s
            return AppendOutcome.RATE_LIMITED if is_limited else AppendOutcome.FAILED
        self._metrics.count("claims_appended", len(live))
        self._metrics.timing(
            "claim_append_latency", self._clock.monotonic_s() - started_s
        )
        for append in live:
            append.offset = result.next_offset - 1
            append.done.set()
            if append.on_done is not None:
                append.on_done()
        return AppendOutcome.DONE

    def _failed(self, batch: list[_Append]) -> None:
        """Report failed claims; keep all other records for the next batch."""
        for append in batch:
            if isinstance(append.record, ClaimRecord):
                append.done.set()
            else:
                self._put(append)

    def _apply(self, decoded: ClaimStreamRecord, record: LogRecord) -> None:
        with self._changed:
            self._table.apply(decoded, record.offset, record.time_ms)
            self._changed.notify_all()
