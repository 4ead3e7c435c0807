"""Decisions on recent change records, for recognising duplicate records."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from lentiltally.config._packed_map import PackedMap

# A publisher retries the append of a record for at most 30 s, and the log takes several
# hundred appends/s, so fewer than 20,000 records lie between a record and its last
# duplicate. Snapshots include the decisions, so log retention does not remove them.
DEDUPLICATION_WINDOW_RECORDS = 20_000


class Decision(msgspec.Struct, frozen=True):
    """The offset at which a change was decided, and whether it was accepted."""

    offset: int
    accepted: bool


class RecentDecisions:
    """An immutable map from change id to decision, for the last 20,000 records.

    Expiry depends only on offsets, so that every process treats a duplicate of a record
    in the same way.
    """

    __slots__ = ("_decisions",)

    def __init__(self, decisions: PackedMap) -> None:
        """Use ``empty`` or ``from_items`` instead."""
        self._decisions = decisions

    @classmethod
    def empty(cls) -> RecentDecisions:
        """Return a map without decisions."""
        return cls.from_items(())

    @classmethod
    def from_items(cls, items: Iterable[tuple[str, Decision]]) -> RecentDecisions:
        """Return a map of the given decisions."""
        return cls(
            PackedMap.from_items(
                (change_id, _pack(decision)) for change_id, decision in items
            )
        )

    def get(self, change_id: str, at_offset: int) -> Decision | None:
        """Return the decision on a change unless it has expired at an offset."""
        data = self._decisions.get(change_id)
        decision = None if data is None else _unpack(data)
        if decision is None or not _is_recent(decision, at_offset):
            return None
        return decision

    def items(self, at_offset: int) -> Iterator[tuple[str, Decision]]:
        """Return the change ids and decisions that have not expired at an offset."""
        for change_id, data in self._decisions.items():
            decision = _unpack(data)
            if _is_recent(decision, at_offset):
                yield change_id, decision

    def with_decision(self, change_id: str, decision: Decision) -> RecentDecisions:
        """Return a map with a decision added.

        Expired decisions are removed only from the shard that is rewritten.
        """

        def keep(data: bytes) -> bool:
            return _is_recent(_unpack(data), decision.offset)

        return RecentDecisions(
            self._decisions.with_changes({change_id: _pack(decision)}, keep)
        )


def _is_recent(decision: Decision, at_offset: int) -> bool:
    return decision.offset + DEDUPLICATION_WINDOW_RECORDS > at_offset


def _pack(decision: Decision) -> bytes:
    """Encode as one integer: the offset, then ``accepted`` as the lowest bit."""
    return msgspec.msgpack.encode(decision.offset * 2 + decision.accepted)


def _unpack(data: bytes) -> Decision:
    number = msgspec.msgpack.decode(data, type=int)
    return Decision(number // 2, number % 2 == 1)
