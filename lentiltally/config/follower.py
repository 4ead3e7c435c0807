"""Following the configuration: a step class without threads, and its thread."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Sequence
from typing import Protocol

from lentiltally.clock import Clock
from lentiltally.config.changes import CONFIG_STREAM, decode_change
from lentiltally.config.log import PAGE_RECORDS, Log
from lentiltally.config.snapshot import (
    SnapshotError,
    decode_snapshot,
    read_newest_snapshot,
)
from lentiltally.config.tree import Applied, ConfigTree, Entry
from lentiltally.platform.log_client import (
    LogError,
    LogPage,
    LogTruncated,
    LogUnavailable,
)

RECENT_CHANGES = 1024
# A snapshot of 100,000 adapters is about 2 MB and takes a peer 0.7 s of processor time,
# so peers are asked often only by a process that can't go on without one.
PEER_INTERVAL_S = 2.0
PEER_INTERVAL_STARTED_S = 30.0
RETRY_S = 0.25


class Peers(Protocol):
    """Other processes that may hold the configuration."""

    def fetch(self, above_offset: int) -> Sequence[bytes]:
        """Return encoded snapshots of peers that stand above an offset.

        Waits a bounded time; returns nothing if no peer answers.
        """
        ...


class FollowerState(enum.StrEnum):
    """How a follower stands to the log.

    ``starting``: no configuration yet. ``current``: read to the end of the stream.
    ``behind``: more records are to be read. ``log-down``: the log can't be read.
    ``cut-off``: retention removed records that were not read, and no newer snapshot
    has been found; the last configuration stays in force.
    """

    STARTING = "starting"
    CURRENT = "current"
    BEHIND = "behind"
    LOG_DOWN = "log-down"
    CUT_OFF = "cut-off"


class ConfigFollower:
    """Applies the configuration stream in offset order; one thread calls ``step``.

    ``tree`` may be read from any thread. Its offset never becomes lower. The position
    is kept here only; the log stores none.
    """

    def __init__(self, log: Log, clock: Clock, peers: Peers | None = None) -> None:
        """Start without a configuration."""
        self._log = log
        self._clock = clock
        self._peers = peers
        self._peers_waited_from_s: float | None = None
        self._before: OrderedDict[str, tuple[Entry | None, ...]] = OrderedDict()
        self._last_current_s: float | None = None
        self._end = 0
        self.tree: ConfigTree | None = None
        self.state = FollowerState.STARTING

    @property
    def offset(self) -> int:
        """Return the offset of the next record to apply; 0 before the start."""
        return self.tree.offset if self.tree is not None else 0

    @property
    def lag(self) -> int:
        """Return how many records of the log, as last seen, are not applied yet."""
        return max(0, self._end - self.offset)

    def staleness_s(self) -> float | None:
        """Return the seconds since the end of the stream was last reached.

        None means never. While the log is down this is the age of the configuration.
        """
        if self._last_current_s is None:
            return None
        return self._clock.monotonic_s() - self._last_current_s

    def before(self, change_id: str) -> tuple[Entry | None, ...] | None:
        """Return the entries that a recently applied change replaced."""
        return self._before.get(change_id)

    def step(self, wait_ms: int) -> float:
        """Read and apply once; return how many seconds to wait before the next step.

        Waits at the log up to ``wait_ms`` for a record. Raises no error of the log.
        """
        try:
            if self.tree is None and not self._start():
                return self._without_log(FollowerState.STARTING)
            return self._tail(wait_ms)
        except LogTruncated:
            return self._reload()
        except LogUnavailable as error:
            self._without_log(FollowerState.LOG_DOWN)
            # A longer wait would use up the 4 s in which changes take effect.
            return min(max(RETRY_S, error.retry_after_s or 0.0), 1.0)
        except LogError:
            return self._without_log(FollowerState.LOG_DOWN)

    def _start(self) -> bool:
        snapshot = read_newest_snapshot(self._log)
        if snapshot is not None:
            return self._adopt(snapshot)
        if self._log.bounds(CONFIG_STREAM).first_offset == 0:
            return self._adopt(ConfigTree.empty())
        return False

    def _tail(self, wait_ms: int) -> float:
        assert self.tree is not None
        # A process is ready once it has reached the end, so it does not wait for a
        # further record before that.
        is_current = self.state is FollowerState.CURRENT
        page = self._log.read(
            CONFIG_STREAM, self.offset, PAGE_RECORDS, wait_ms if is_current else 0
        )
        if page.records and page.records[0].offset > self.offset:
            raise LogTruncated(page.records[0].offset, step="follow", peer="log")
        self._apply(page)
        self._end = page.next_offset
        self._peers_waited_from_s = self._clock.monotonic_s()
        if self.lag:
            self.state = FollowerState.BEHIND
        else:
            self.state = FollowerState.CURRENT
            self._last_current_s = self._clock.monotonic_s()
        return 0.0

    def _apply(self, page: LogPage) -> None:
        tree = self.tree
        assert tree is not None
        for record in page.records:
            if record.offset < tree.offset:
                continue
            change = decode_change(record.value)
            if change is None:
                tree = tree.skip(record.offset)
                continue
            outcome = tree.apply(change, record.offset)
            if isinstance(outcome, Applied):
                self._remember(outcome)
            tree = outcome.tree
        self.tree = tree

    def _remember(self, applied: Applied) -> None:
        self._before[applied.change_id] = applied.before
        if len(self._before) > RECENT_CHANGES:
            self._before.popitem(last=False)

    def _reload(self) -> float:
        """Go on from a snapshot, after retention has removed what is to be read."""
        try:
            snapshot = read_newest_snapshot(self._log)
        except LogError:
            return self._without_log(FollowerState.LOG_DOWN)
        if snapshot is not None and self._adopt(snapshot):
            return 0.0
        return self._without_log(FollowerState.CUT_OFF)

    def _without_log(self, state: FollowerState) -> float:
        """Ask the peers for what the log does not give; return the wait in s."""
        self.state = state if self.tree is not None else FollowerState.STARTING
        now_s = self._clock.monotonic_s()
        is_urgent = self.tree is None or state is FollowerState.CUT_OFF
        interval_s = PEER_INTERVAL_S if is_urgent else PEER_INTERVAL_STARTED_S
        waited_from_s = self._peers_waited_from_s
        if self._peers is None or (
            waited_from_s is not None and now_s - waited_from_s < interval_s
        ):
            return RETRY_S
        self._peers_waited_from_s = now_s
        above = self.offset if self.tree is not None else -1
        for data in self._peers.fetch(above):
            try:
                self._adopt(decode_snapshot(data))
            except SnapshotError:
                continue
        if self.tree is not None and self.state is FollowerState.STARTING:
            self.state = FollowerState.LOG_DOWN
        return RETRY_S

    def _adopt(self, tree: ConfigTree) -> bool:
        if self.tree is not None and tree.offset <= self.tree.offset:
            return False
        self.tree = tree
        return True
