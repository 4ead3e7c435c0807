"""The audit trail of configuration changes, on the log stream ``audit``."""

from __future__ import annotations

import itertools
import secrets
import threading
from collections import deque
from datetime import datetime
from typing import Any, Literal

import msgspec

from lentiltally.config.log import Log, read_range
from lentiltally.platform.log_client import LogError

AUDIT_STREAM = "audit"
RECORDS_PER_APPEND = 100
MAX_PENDING_CHANGES = 10_000
MAX_PENDING_REFUSALS = 1_000

Outcome = Literal[
    "accepted", "conflict", "refused", "unauthorised", "unavailable", "unknown"
]


class AuditRecord(msgspec.Struct, frozen=True):
    """One path of a change that somebody made or tried to make.

    ``before`` and ``after`` are the values; None means that the path did not exist.
    ``revision`` and ``offset`` are those of an accepted change. ``config_offset`` is
    the record's offset if it was decided, and otherwise where the process stood; it
    gives the order. ``record_id`` is the same on copies of a record.
    """

    at: datetime
    actor: str
    source_address: str
    action: str
    path: str
    outcome: Outcome
    config_offset: int
    before: Any = None
    after: Any = None
    revision: int | None = None
    offset: int | None = None
    change_id: str = ""
    reason: str = ""
    record_id: str = ""


class AuditFilter(msgspec.Struct, frozen=True):
    """Which audit records are wanted; times are inclusive and exclusive in turn."""

    path: str = "/"
    actor: str = ""
    since: datetime | None = None
    until: datetime | None = None

    def admits(self, record: AuditRecord) -> bool:
        """Return whether a record is wanted."""
        stem = self.path.rstrip("/")
        return (
            (not stem or f"{record.path}/".startswith(f"{stem}/"))
            and self.actor in {"", record.actor}
            and (self.since is None or record.at >= self.since)
            and (self.until is None or record.at < self.until)
        )


class AuditLog:
    """Appends audit records and finds them again; safe to use from several threads.

    Records wait in memory and are appended by ``flush``, so that a flood of
    unauthorised requests can't use up the log's append rate. While the log is down no
    change is accepted, so what waits are refusals; beyond 1,000 of them the newest are
    dropped, and their number is recorded. Records of decided changes have a queue of
    their own. If the process ends before they are written, the change records on
    stream ``config`` still say who made each change, when and from where.
    """

    def __init__(self, log: Log) -> None:
        """Append to a log."""
        self._log = log
        self._lock = threading.Lock()
        self._flushing = threading.Lock()
        self._changes: deque[AuditRecord] = deque(maxlen=MAX_PENDING_CHANGES)
        self._refusals: deque[AuditRecord] = deque()
        self._dropped = 0

    @property
    def pending(self) -> int:
        """Return how many records are not on the log yet."""
        return len(self._changes) + len(self._refusals)

    def record(self, *records: AuditRecord) -> None:
        """Keep records until the next flush."""
        with self._lock:
            for made in records:
                kept = msgspec.structs.replace(made, record_id=secrets.token_hex(8))
                if made.offset is not None or made.outcome == "unknown":
                    self._changes.append(kept)
                elif len(self._refusals) < MAX_PENDING_REFUSALS:
                    self._refusals.append(kept)
                else:
                    self._dropped += 1

    def flush(self) -> bool:
        """Append what waits; return whether nothing is left.

        After a lost answer the records are appended again; readers drop the copies.
        """
        with self._flushing:
            while batch := self._next_batch():
                try:
                    self._log.append(AUDIT_STREAM, batch)
                except LogError:
                    return False
                self._remove(batch)
        return True

    def query(self, wanted: AuditFilter) -> list[AuditRecord]:
        """Return the wanted records in the order of the configuration.

        Raises LogUnavailable or LogTruncated.
        """
        self.flush()
        bounds = self._log.bounds(AUDIT_STREAM)
        found: dict[str, AuditRecord] = {}
        stored = read_range(
            self._log, AUDIT_STREAM, bounds.first_offset, bounds.next_offset
        )
        for record in stored:
            try:
                decoded = _DECODER.decode(record.value)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                continue
            if wanted.admits(decoded):
                found.setdefault(decoded.record_id, decoded)
        # The sort is stable, so records of one offset keep the order of the stream.
        return sorted(found.values(), key=lambda record: record.config_offset)

    def _next_batch(self) -> list[AuditRecord]:
        with self._lock:
            if self._dropped and len(self._refusals) < MAX_PENDING_REFUSALS:
                self._refusals.append(self._dropped_record())
                self._dropped = 0
            waiting = itertools.chain(self._changes, self._refusals)
            return list(itertools.islice(waiting, RECORDS_PER_APPEND))

    def _dropped_record(self) -> AuditRecord:
        last = self._refusals[-1] if self._refusals else self._changes[-1]
        return msgspec.structs.replace(
            last,
            actor="",
            source_address="",
            action="drop",
            path="/",
            outcome="refused",
            before=None,
            after=None,
            reason=f"{self._dropped} records of refusals were dropped",
            record_id=secrets.token_hex(8),
        )

    def _remove(self, batch: list[AuditRecord]) -> None:
        done = {record.record_id for record in batch}
        with self._lock:
            for queue in (self._changes, self._refusals):
                while queue and queue[0].record_id in done:
                    queue.popleft()


_DECODER = msgspec.json.Decoder(AuditRecord)
