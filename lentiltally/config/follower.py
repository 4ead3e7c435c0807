"""The follower of the configuration stream, which its caller drives in steps."""

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

MAX_RECENT_CHANGES = 1024
# A snapshot of 100,000 adapters is about 2 MB and costs a peer 0.7 s of CPU time, so
# peers are queried often only by a process that has no configuration or is cut off.
PEER_QUERY_INTERVAL_URGENT_S = 2.0
PEER_QUERY_INTERVAL_S = 30.0
RETRY_DELAY_S = 0.25


class Peers(Protocol):
    """Other processes that can send a snapshot of the configuration."""

    def fetch(self, above_offset: int) -> Sequence[bytes]:
        """Return the encoded snapshots of peers whose offset is above the given one.

        Waits for a bounded time, and returns nothing if no peer answers.
        """
        ...


class FollowerState(enum.StrEnum):
    """How far a follower has read the stream, or why it can't read on.

    ``starting``: no configuration yet. ``current``: read to the end of the stream.
    ``behind``: the stream has records that are not applied. ``log-down``: the log can't
    be read. ``cut-off``: retention removed records before they were read, and no newer
    snapshot was found; the last configuration stays in force.
    """

    STARTING = "starting"
    CURRENT = "current"
    BEHIND = "behind"
    LOG_DOWN = "log-down"
    CUT_OFF = "cut-off"


class ConfigFollower:
    """Applies the configuration stream in offset order; one thread calls ``step``.

    ``tree`` may be read from any thread, and its offset never decreases. The read
    position is the offset of ``tree``; the log stores no positions of its readers.
    """

    def __init__(self, log: Log, clock: Clock, peers: Peers | None = None) -> None:
        """Start without a configuration."""
        self._log = log
        self._clock = clock
        self._peers = peers
        # Time of the last query of the peers, or of the last read of the log if later.
        self._peer_interval_start_s: float | None = None
        self._replaced_entries: OrderedDict[str, tuple[Entry | None, ...]] = (
            OrderedDict()
        )
        self._last_current_s: float | None = None
        self._stream_end = 0
        self.tree: ConfigTree | None = None
        self.state = FollowerState.STARTING

    @property
    def offset(self) -> int:
        """Return the offset of the next record to apply; 0 without a configuration."""
        return self.tree.offset if self.tree is not None else 0

    @property
    def lag(self) -> int:
        """Return how many records up to the last known end are not applied."""
        return max(0, self._stream_end - self.offset)

    def staleness_s(self) -> float | None:
        """Return the seconds since the end of the stream was last reached.

        None means never. While the log is down this is the age of the configuration.
        """
        if self._last_current_s is None:
            return None
        return self._clock.monotonic_s() - self._last_current_s

    def replaced_entries(self, change_id: str) -> tuple[Entry | None, ...] | None:
        """Return the former entry of each item of a change, None where none existed.

        Returns None unless the change is among the last MAX_RECENT_CHANGES that this
        process applied.
        """
        return self._replaced_entries.get(change_id)

    def step(self, wait_ms: int) -> float:
        """Read and apply one page; return the seconds to wait before the next step.

        Long-polls the log for up to ``wait_ms``. Raises no LogError.
        """
        try:
            if self.tree is None and not self._load_initial_tree():
                return self._query_peers(FollowerState.STARTING)
            return self._read_and_apply(wait_ms)
        except LogTruncated:
            return self._load_newer_snapshot()
        except LogUnavailable as error:
            self._query_peers(FollowerState.LOG_DOWN)
            # A longer wait would use up the 4 s within which changes must take effect.
            return min(max(RETRY_DELAY_S, error.retry_after_s or 0.0), 1.0)
        except LogError:
            return self._query_peers(FollowerState.LOG_DOWN)

    def _load_initial_tree(self) -> bool:
        """Adopt the newest snapshot, or an empty tree if no record was removed.

        Returns False if the log has neither a snapshot nor the first record.
        """
        snapshot = read_newest_snapshot(self._log)
        if snapshot is not None:
            return self._adopt_if_newer(snapshot)
        if self._log.bounds(CONFIG_STREAM).first_offset == 0:
            return self._adopt_if_newer(ConfigTree.empty())
        return False

    def _read_and_apply(self, wait_ms: int) -> float:
        assert self.tree is not None
        # A process is ready only when it has reached the end of the stream, so it does
        # not long-poll before that.
        is_current = self.state is FollowerState.CURRENT
        page = self._log.read(
            CONFIG_STREAM, self.offset, PAGE_RECORDS, wait_ms if is_current else 0
        )
        if page.records and page.records[0].offset > self.offset:
            raise LogTruncated(page.records[0].offset, step="follow", peer="log")
        self._apply_page(page)
        self._stream_end = page.next_offset
        self._peer_interval_start_s = self._clock.monotonic_s()
        if self.lag:
            self.state = FollowerState.BEHIND
        else:
            self.state = FollowerState.CURRENT
            self._last_current_s = self._clock.monotonic_s()
        return 0.0

    def _apply_page(self, page: LogPage) -> None:
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
                self._record_replaced_entries(outcome)
            tree = outcome.tree
        self.tree = tree

    def _record_replaced_entries(self, applied: Applied) -> None:
        self._replaced_entries[applied.change_id] = applied.before
        if len(self._replaced_entries) > MAX_RECENT_CHANGES:
            self._replaced_entries.popitem(last=False)

    def _load_newer_snapshot(self) -> float:
        """Skip to the newest snapshot, after retention removed unread records."""
        try:
            snapshot = read_newest_snapshot(self._log)
        except LogError:
            return self._query_peers(FollowerState.LOG_DOWN)
        if snapshot is not None and self._adopt_if_newer(snapshot):
            return 0.0
        return self._query_peers(FollowerState.CUT_OFF)

    def _query_peers(self, state: FollowerState) -> float:
        """Set the state; query the peers unless they were queried recently.

        Returns the seconds to wait before the next step.
        """
        self.state = state if self.tree is not None else FollowerState.STARTING
        now_s = self._clock.monotonic_s()
        needs_snapshot = self.tree is None or state is FollowerState.CUT_OFF
        interval_s = (
            PEER_QUERY_INTERVAL_URGENT_S if needs_snapshot else PEER_QUERY_INTERVAL_S
        )
        interval_start_s = self._peer_interval_start_s
        if self._peers is None or (
            interval_start_s is not None and now_s - interval_start_s < interval_s
        ):
            return RETRY_DELAY_S
        self._peer_interval_start_s = now_s
        above_offset = self.offset if self.tree is not None else -1
        for data in self._peers.fetch(above_offset):
            try:
                self._adopt_if_newer(decode_snapshot(data))
            except SnapshotError:
                continue
        if self.tree is not None and self.state is FollowerState.STARTING:
            self.state = FollowerState.LOG_DOWN
        return RETRY_DELAY_S

    def _adopt_if_newer(self, tree: ConfigTree) -> bool:
        if self.tree is not None and tree.offset <= self.tree.offset:
            return False
        self.tree = tree
        return True
