"""Which targets exist, as the platform's list says, and which of them may get work.

The list lags, repeats old records and loses entries while its store is away. Records
are ordered by the target's start and sequence, a leaving target never becomes ready
again within one start, and an entry that vanished while the store was away has some
time to come back. Of two targets at one address only the one that started last is
there; the entry of the other stays listed for some seconds after its end.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.direct.model import TargetRecord, TargetStage

__all__ = ["DirectoryChange", "TargetDirectory"]

# Entries of live targets return about two seconds after an outage of the store ended.
RETURN_AFTER_OUTAGE_S = 2.0


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """A target appeared, began to leave or is gone."""

    target_id: str
    what: str
    record: TargetRecord


@dataclass(slots=True)
class _Known:
    record: TargetRecord
    is_gone: bool = False
    is_unreadable: bool = False
    missing_since_s: float | None = None


class TargetDirectory:
    """The targets of all services by id."""

    def __init__(self) -> None:
        """Start empty."""
        self._known: dict[str, _Known] = {}
        # The target that started last at each address.
        self._at_address: dict[str, tuple[int, str]] = {}
        self._ids_at_host: dict[str, set[str]] = {}
        self._returned_at_s: float | None = None

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the newest record of a target that is not gone."""
        known = self._known.get(target_id)
        return None if known is None or known.is_gone else known.record

    def usable(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may get new work."""
        return [
            known.record
            for known in self._known.values()
            if known.record.service == service and self._may_get_work(known)
        ]

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target may still get new work."""
        known = self._known.get(target_id)
        return known is not None and self._may_get_work(known)

    def all(self) -> list[TargetRecord]:
        """Return all targets that are not gone."""
        return [known.record for known in self._known.values() if not known.is_gone]

    def at_host(self, ip: str, started_ms: int) -> str | None:
        """Return the target at a host that started then, else the last one there."""
        ids = self._ids_at_host.get(ip, ())
        known = [record for i in ids if (record := self.get(i)) is not None]
        there = [r for r in known if r.address.rpartition(":")[0] == ip]
        exact = [r for r in there if r.started_ms == started_ms]
        last = max(exact or there, key=_order, default=None)
        return last.target_id if last is not None else None

    def unreadable(self, target_id: str) -> None:
        """Use a target no more until a readable record of it comes."""
        known = self._known.get(target_id)
        if known is not None:
            known.is_unreadable = True

    def store_returned(self, now_s: float) -> None:
        """Note that the store answers again after an outage."""
        self._returned_at_s = now_s

    def updated(self, record: TargetRecord) -> DirectoryChange | None:
        """Take a record; old ones are ignored."""
        self._note_address(record)
        known = self._known.get(record.target_id)
        if known is None:
            self._known[record.target_id] = _Known(record)
            return DirectoryChange(record.target_id, "appeared", record)
        known.is_unreadable = False
        before = known.record
        if _order(record) < _order(before) or (
            known.is_gone and _order(record) == _order(before)
        ):
            return None
        is_same_start = record.started_ms == before.started_ms
        if is_same_start and before.stage is TargetStage.DRAINING:
            known.record = before
            return None
        was_gone, known.is_gone, known.missing_since_s = known.is_gone, False, None
        known.record = record
        if was_gone or not is_same_start:
            return DirectoryChange(record.target_id, "appeared", record)
        if record.stage is not before.stage:
            return DirectoryChange(record.target_id, "leaving", record)
        return None

    def removed(self, target_id: str, now_s: float) -> DirectoryChange | None:
        """Take the removal of an entry, at once unless an outage explains it."""
        known = self._known.get(target_id)
        if known is None or known.is_gone:
            return None
        if self._is_after_outage(now_s) and known.record.stage is TargetStage.READY:
            known.missing_since_s = now_s
            return None
        return self._drop(target_id, known)

    def listed(self, ids: set[str], now_s: float) -> list[DirectoryChange]:
        """Take a complete list of ids; the others are removed."""
        changes = [self.removed(i, now_s) for i in self._known if i not in ids]
        return [change for change in changes if change is not None]

    def tick(self, now_s: float) -> list[DirectoryChange]:
        """Drop entries that did not come back in time after an outage."""
        if self._is_after_outage(now_s):
            return []
        return [
            self._drop(target_id, known)
            for target_id, known in self._known.items()
            if known.missing_since_s is not None and not known.is_gone
        ]

    def _may_get_work(self, known: _Known) -> bool:
        return (
            not known.is_gone
            and not known.is_unreadable
            and known.record.stage is TargetStage.READY
            and self._is_last_at_address(known.record)
        )

    def _note_address(self, record: TargetRecord) -> None:
        start = record.started_ms, record.target_id
        if start > self._at_address.get(record.address, (-1, "")):
            self._at_address[record.address] = start
        ip = record.address.rpartition(":")[0]
        self._ids_at_host.setdefault(ip, set()).add(record.target_id)

    def _is_last_at_address(self, record: TargetRecord) -> bool:
        """Return whether no other target that is still there started later."""
        last_id = self._at_address[record.address][1]
        if last_id == record.target_id:
            return True
        last = self.get(last_id)
        is_there = last is not None and last.address == record.address
        return not is_there

    def _is_after_outage(self, now_s: float) -> bool:
        returned_s = self._returned_at_s
        return returned_s is not None and now_s - returned_s < RETURN_AFTER_OUTAGE_S

    def _drop(self, target_id: str, known: _Known) -> DirectoryChange:
        known.is_gone = True
        known.missing_since_s = None
        ip = known.record.address.rpartition(":")[0]
        self._ids_at_host[ip].discard(target_id)
        return DirectoryChange(target_id, "gone", known.record)


def _order(record: TargetRecord) -> tuple[int, int]:
    return record.started_ms, record.sequence
