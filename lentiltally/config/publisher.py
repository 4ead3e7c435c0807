"""Publishes configuration changes and snapshots to the log."""

from __future__ import annotations

import random
from datetime import timedelta
from typing import Protocol

import msgspec

from lentiltally.clock import Clock
from lentiltally.config.changes import CONFIG_STREAM, ChangeRecord
from lentiltally.config.log import Log
from lentiltally.config.schema import ConfigProblem
from lentiltally.config.snapshot import newest_piece, write_snapshot
from lentiltally.config.tree import ConfigTree, Entry
from lentiltally.platform.log_client import LogAnswerLost, LogError, LogUnavailable

# How long the append of a record may be retried. DEDUPLICATION_WINDOW_RECORDS must
# cover the records that other publishers append meanwhile.
MAX_TIMEOUT_S = 30.0
DEFAULT_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.1
DEFAULT_RETRY_AFTER_S = 1.0
SNAPSHOT_INTERVAL_RECORDS = 500


class RunningFollower(Protocol):
    """A follower that advances without calls to ``step``, such as FollowerThread."""

    @property
    def tree(self) -> ConfigTree | None:
        """Return the configuration in force, or None before the follower has one."""
        ...

    def replaced_entries(self, change_id: str) -> tuple[Entry | None, ...] | None:
        """Return the former entry of each item of a recently applied change."""
        ...

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at an offset is decided; False after the timeout."""
        ...


class Accepted(msgspec.Struct, frozen=True):
    """The change is durable and in force in this process.

    ``revisions`` holds the new revision of each path, 0 for a deleted one. ``before``
    holds the former value and revision of each item, or is None if the follower no
    longer has them.
    """

    offset: int
    revisions: dict[str, int]
    before: tuple[Entry | None, ...] | None


class Conflicted(msgspec.Struct, frozen=True):
    """Some path had another revision; nothing changed.

    ``current`` holds the present value and revision of each path, or None if the path
    does not exist.
    """

    offset: int
    current: dict[str, Entry | None]


class Refused(msgspec.Struct, frozen=True):
    """The record violates the schema and was not appended."""

    problems: tuple[ConfigProblem, ...]


class Unavailable(msgspec.Struct, frozen=True):
    """The log wrote nothing; the change is not and will not be in force."""

    retry_after_s: float


class Unknown(msgspec.Struct, frozen=True):
    """The change may be in force now, later or never.

    Publishing the same record again, with its change id, is safe and gives the result.
    ``offset`` is set if the record is durable but this process has not applied it yet.
    """

    change_id: str
    offset: int | None


PublishResult = Accepted | Conflicted | Refused | Unavailable | Unknown


class Publisher:
    """Appends change records and reports how each was decided.

    ``publish`` may be called from several threads and blocks for up to the timeout. It
    retries an append whose answer was lost, with the same change id.
    """

    def __init__(
        self,
        log: Log,
        follower: RunningFollower,
        clock: Clock,
        timeout_s: float = DEFAULT_TIMEOUT_S,
    ) -> None:
        """Append to a log and read the decisions from a follower of the same log."""
        if not 0 < timeout_s <= MAX_TIMEOUT_S:
            raise ValueError(f"timeout_s must be in (0, {MAX_TIMEOUT_S}]")
        self._log = log
        self._follower = follower
        self._clock = clock
        self._timeout_s = timeout_s

    def publish(self, record: ChangeRecord) -> PublishResult:
        """Append a record and wait until it is decided."""
        problems = ConfigTree.check(record)
        if problems:
            return Refused(tuple(problems))
        deadline_s = self._clock.monotonic_s() + self._timeout_s
        may_be_written = False
        while True:
            result = self._decided_result(record)
            if result is not None:
                return result
            if self._remaining_s(deadline_s) <= 0:
                return Unknown(record.change_id, None)
            try:
                return self._append(record, deadline_s)
            except LogAnswerLost:
                may_be_written = True
                self._follow_to_stream_end(deadline_s)
                if self._decided_result(record) is None:
                    self._wait_before_retry()
            except LogError as error:
                if not may_be_written:
                    return Unavailable(_retry_after_s(error))
                self._wait_before_retry()

    def _append(self, record: ChangeRecord, deadline_s: float) -> PublishResult:
        offset = self._log.append(CONFIG_STREAM, [record]).first_offset
        self._follower.wait_past(offset, self._remaining_s(deadline_s))
        return self._decided_result(record) or Unknown(record.change_id, offset)

    def _follow_to_stream_end(self, deadline_s: float) -> None:
        """Wait until the follower has applied all records now on the log.

        The append whose answer was lost may have written the record there.
        """
        try:
            last_offset = self._log.bounds(CONFIG_STREAM).next_offset - 1
        except LogError:
            self._wait_before_retry()
            return
        self._follower.wait_past(last_offset, self._remaining_s(deadline_s))

    def _decided_result(self, record: ChangeRecord) -> PublishResult | None:
        tree = self._follower.tree
        decision = tree.decision(record.change_id) if tree is not None else None
        if tree is None or decision is None:
            return None
        if not decision.accepted:
            current = {item.path: tree.get(item.path) for item in record.items}
            return Conflicted(decision.offset, current)
        revisions = {
            item.path: 0 if item.value is None else decision.offset + 1
            for item in record.items
        }
        before = self._follower.replaced_entries(record.change_id)
        return Accepted(decision.offset, revisions, before)

    def _remaining_s(self, deadline_s: float) -> float:
        return deadline_s - self._clock.monotonic_s()

    def _wait_before_retry(self) -> None:
        self._clock.sleep(timedelta(seconds=RETRY_DELAY_S))


def _retry_after_s(error: LogError) -> float:
    if isinstance(error, LogUnavailable) and error.retry_after_s is not None:
        return error.retry_after_s
    return DEFAULT_RETRY_AFTER_S


class SnapshotWriter:
    """Appends a snapshot after 500 records, or at a maximum age of the newest one.

    Every entry process runs one, in its own thread because encoding 100,000 adapters
    takes seconds. The thresholds are randomised so that usually one process writes and
    the others find its snapshot; two concurrent writes do no harm. ``max_age_s`` is a
    third of the log's retention, so a process can start from a snapshot if two writes
    fail.
    """

    def __init__(
        self,
        log: Log,
        follower: RunningFollower,
        clock: Clock,
        max_age_s: float,
        rng: random.Random,
    ) -> None:
        """Do not read the log yet; the first ``write_if_due`` looks for snapshots."""
        self._log = log
        self._follower = follower
        self._clock = clock
        self._max_age_s = max_age_s
        self._rng = rng
        self._threshold_factor = 1.0
        # Offset and wall time (seconds since the epoch) of the newest snapshot.
        self._newest_snapshot: tuple[int, float] | None = None

    def write_if_due(self) -> bool:
        """Write a snapshot if one is due; return whether one was written."""
        tree = self._follower.tree
        try:
            if tree is None or not self._is_due(tree):
                return False
            self._find_newest_snapshot()
            if not self._is_due(tree):
                return False
            write_snapshot(self._log, tree)
        except LogError:
            return False
        self._newest_snapshot = (tree.offset, self._clock.now().timestamp())
        return True

    def _is_due(self, tree: ConfigTree) -> bool:
        if tree.offset == 0:
            return False
        if self._newest_snapshot is None:
            return True
        offset, written_at_s = self._newest_snapshot
        age_s = self._clock.now().timestamp() - written_at_s
        return (
            tree.offset - offset >= SNAPSHOT_INTERVAL_RECORDS * self._threshold_factor
            or age_s >= self._max_age_s * self._threshold_factor
        )

    def _find_newest_snapshot(self) -> None:
        self._threshold_factor = self._rng.uniform(0.8, 1.0)
        found = newest_piece(self._log)
        if found is not None:
            piece, time_ms = found
            self._newest_snapshot = (piece.offset, time_ms / 1000)
