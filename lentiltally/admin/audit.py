"""The audit trail of operators' changes, on the log stream ``audit``."""

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
    """Which audit records to return; ``since`` is inclusive and ``until`` exclusive.

    ``path`` selects that path and all below it. An empty ``actor`` selects all.
    """

    path: str = "/"
    actor: str = ""
    since: datetime | None = None
    until: datetime | None = None

    def matches(self, record: AuditRecord) -> bool:
        """Return whether the filter selects a record."""
        prefix = self.path.rstrip("/")
        return (
            (not prefix or f"{record.path}/".startswith(f"{prefix}/"))
            and self.actor in {"", record.actor}
            and (self.since is None or record.at >= self.since)
            and (self.until is None or record.at < self.until)
        )


class AuditLog:
    """Appends and queries audit records; safe to use from several threads.

    Records wait in memory and are appended in batches by ``flush``, so that a flood of
    unauthorised requests can't use up the log's append rate. While the log is down no
    change is accepted, so only records of refusals accumulate. Beyond 1,000 of them the
    newest are dropped; a record with their number is appended later. Records of decided
    changes wait in a separate queue, which drops the oldest beyond 10,000. For those,
    and if the process ends before they are appended, the change records on stream
    ``config`` still say who made each change, when and from where.
    """

    def __init__(self, log: Log) -> None:
        """Take the log that holds the audit trail."""
        self._log = log
        self._lock = threading.Lock()
        self._flush_lock = threading.Lock()
        self._pending_changes: deque[AuditRecord] = deque(maxlen=MAX_PENDING_CHANGES)
        self._pending_refusals: deque[AuditRecord] = deque()
        self._dropped_refusals = 0

    @property
    def pending(self) -> int:
        """Return how many records have not been appended yet."""
        return len(self._pending_changes) + len(self._pending_refusals)

    def record(self, *records: AuditRecord) -> None:
        """Queue records for the next flush."""
        with self._lock:
            for record in records:
                queued = msgspec.structs.replace(record, record_id=secrets.token_hex(8))
                # A change with an offset was decided; an unknown one may take effect.
                if record.offset is not None or record.outcome == "unknown":
                    self._pending_changes.append(queued)
                elif len(self._pending_refusals) < MAX_PENDING_REFUSALS:
                    self._pending_refusals.append(queued)
                else:
                    self._dropped_refusals += 1

    def flush(self) -> bool:
        """Append the waiting records; return whether none is left.

        If the answer of the log is lost, the records are appended again; ``query``
        drops the copies.
        """
        with self._flush_lock:
            while batch := self._next_batch():
                try:
                    self._log.append(AUDIT_STREAM, batch)
                except LogError:
                    return False
                self._remove(batch)
        return True

    def query(self, audit_filter: AuditFilter) -> list[AuditRecord]:
        """Return the records that the filter selects, in order of ``config_offset``.

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
            if audit_filter.matches(decoded):
                found.setdefault(decoded.record_id, decoded)
        # The sort is stable: records with equal offsets stay in stream order.
        return sorted(found.values(), key=lambda record: record.config_offset)

    def _next_batch(self) -> list[AuditRecord]:
        with self._lock:
            if (
                self._dropped_refusals
                and len(self._pending_refusals) < MAX_PENDING_REFUSALS
            ):
                self._pending_refusals.append(self._dropped_refusals_record())
                self._dropped_refusals = 0
            pending = itertools.chain(self._pending_changes, self._pending_refusals)
            return list(itertools.islice(pending, RECORDS_PER_APPEND))

    def _dropped_refusals_record(self) -> AuditRecord:
        """Return a record of the number of dropped refusals.

        It has the time and the configuration offset of the last waiting record.
        """
        last = (
            self._pending_refusals[-1]
            if self._pending_refusals
            else self._pending_changes[-1]
        )
        return msgspec.structs.replace(
            last,
            actor="",
            source_address="",
            action="drop",
            path="/",
            outcome="refused",
            before=None,
            after=None,
            reason=f"{self._dropped_refusals} records of refusals were dropped",
            record_id=secrets.token_hex(8),
        )

    def _remove(self, batch: list[AuditRecord]) -> None:
        appended_ids = {record.record_id for record in batch}
        with self._lock:
            for queue in (self._pending_changes, self._pending_refusals):
                while queue and queue[0].record_id in appended_ids:
                    queue.popleft()


_DECODER = msgspec.json.Decoder(AuditRecord)
