"""The change ids that were decided recently."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from lentiltally.config._packed_map import PackedMap

# A publisher appends copies of a record for at most 30 s, and the log takes several
# hundred appends/s, so fewer than 20,000 records lie between a record and its last
# copy. The ids are part of the snapshots, so retention of the stream removes none.
WINDOW_RECORDS = 20_000


class Decision(msgspec.Struct, frozen=True):
    """At which offset a change was decided, and whether it was accepted."""

    offset: int
    accepted: bool


class KnownChanges:
    """An immutable map from change id to decision, for the last 20,000 records.

    Whether an id is known depends only on offsets, so that every process treats a copy
    of a record in the same way.
    """

    __slots__ = ("_decisions",)

    def __init__(self, decisions: PackedMap) -> None:
        """Take the packed decisions."""
        self._decisions = decisions

    @classmethod
    def empty(cls) -> KnownChanges:
        """Return a map without changes."""
        return cls.from_items(())

    @classmethod
    def from_items(cls, items: Iterable[tuple[str, Decision]]) -> KnownChanges:
        """Return a map of the given decisions."""
        return cls(PackedMap.from_items((key, _pack(held)) for key, held in items))

    def get(self, change_id: str, at_offset: int) -> Decision | None:
        """Return the decision on a change, as seen by the record at an offset."""
        data = self._decisions.get(change_id)
        decision = None if data is None else _unpack(data)
        if decision is None or not _is_recent(decision, at_offset):
            return None
        return decision

    def items(self, at_offset: int) -> Iterator[tuple[str, Decision]]:
        """Return all changes that are known to the record at an offset."""
        for change_id, data in self._decisions.items():
            decision = _unpack(data)
            if _is_recent(decision, at_offset):
                yield change_id, decision

    def with_decision(self, change_id: str, decision: Decision) -> KnownChanges:
        """Return a map with one more decision; drops some that are too old."""

        def keep(data: bytes) -> bool:
            return _is_recent(_unpack(data), decision.offset)

        return KnownChanges(
            self._decisions.with_changes({change_id: _pack(decision)}, keep)
        )


def _is_recent(decision: Decision, at_offset: int) -> bool:
    return decision.offset + WINDOW_RECORDS > at_offset


def _pack(decision: Decision) -> bytes:
    return msgspec.msgpack.encode(decision.offset * 2 + decision.accepted)


def _unpack(data: bytes) -> Decision:
    number = msgspec.msgpack.decode(data, type=int)
    return Decision(number // 2, number % 2 == 1)
