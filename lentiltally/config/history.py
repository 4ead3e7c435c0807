"""The history of configuration paths, read from the log."""

from __future__ import annotations

from datetime import datetime
from typing import Any

import msgspec

from lentiltally.config.changes import CONFIG_STREAM, ChangeItem, decode_change
from lentiltally.config.log import Log, read_range
from lentiltally.config.publisher import RunningFollower


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted change of a path; ``value`` is None if it was deleted."""

    revision: int
    value: dict[str, Any] | None
    author: str
    source_address: str
    at: datetime
    note: str
    change_id: str


class ChangeHistory:
    """Finds the accepted changes of a path among the records that the log retains.

    Whether a change was accepted is known from the follower, which keeps the decisions
    on the last 20,000 records. Older changes are only in the audit stream.
    """

    def __init__(self, log: Log, follower: RunningFollower) -> None:
        """Read records from a log, and their decisions from a follower of it."""
        self._log = log
        self._follower = follower

    def entries(self, path: str) -> list[HistoryEntry]:
        """Return the changes of a path, oldest first.

        Raises LogUnavailable, and LogTruncated if retention removes records meanwhile.
        """
        tree = self._follower.tree
        if tree is None:
            return []
        found = []
        start = self._log.bounds(CONFIG_STREAM).first_offset
        for record in read_range(self._log, CONFIG_STREAM, start, tree.offset):
            change = decode_change(record.value)
            if change is None:
                continue
            item = _find_item(change.items, path)
            decision = None if item is None else tree.decision(change.change_id)
            if item is None or decision is None:
                continue
            if decision.accepted and decision.offset == record.offset:
                entry = HistoryEntry(
                    record.offset + 1,
                    item.value,
                    change.author,
                    change.source_address,
                    change.at,
                    change.note,
                    change.change_id,
                )
                found.append(entry)
        return found


def _find_item(items: tuple[ChangeItem, ...], path: str) -> ChangeItem | None:
    return next((item for item in items if item.path == path), None)
