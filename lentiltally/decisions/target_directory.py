"""Which targets exist according to the platform's list, and which may get new work.

The list lags, repeats old records, and loses targets while its store is unavailable.
Therefore the records of a target are ordered by its start and sequence, a draining
target never becomes ready again within one start, and a target that vanished from the
list during an outage of the store has a grace period to return. Of two targets at one
address only the one that started last exists; the other one stays listed for some
seconds after it has terminated.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.direct.model import TargetRecord, TargetStage

__all__ = ["DirectoryChange", "TargetDirectory"]

# Live targets are listed again about two seconds after the end of a store outage.
OUTAGE_GRACE_PERIOD_S = 2.0


@dataclass(frozen=True, slots=True)
class DirectoryChange:
    """A change of a target; ``kind`` is ``appeared``, ``leaving`` or ``gone``.

    A target appears when it is listed for the first time or again, or has restarted.
    ``leaving`` means that it drains, ``gone`` that it was removed.
    """

    target_id: str
    kind: str
    record: TargetRecord


@dataclass(slots=True)
class _KnownTarget:
    """A target with its newest record.

    ``is_unreadable`` is True if its last record could not be read. ``missing_since_s``
    is set while it is missing from the list within the grace period.
    """

    record: TargetRecord
    is_removed: bool = False
    is_unreadable: bool = False
    missing_since_s: float | None = None


class TargetDirectory:
    """The targets of all services by id."""

    def __init__(self) -> None:
        """Start empty."""
        self._known: dict[str, _KnownTarget] = {}
        # Start time in ms and id of the target that started last at each address.
        self._newest_at_address: dict[str, tuple[int, str]] = {}
        self._ids_at_host: dict[str, set[str]] = {}
        self._store_returned_at_s: float | None = None

    def get(self, target_id: str) -> TargetRecord | None:
        """Return the newest record of a target, or None if it was removed."""
        known = self._known.get(target_id)
        return None if known is None or known.is_removed else known.record

    def usable(self, service: str) -> list[TargetRecord]:
        """Return the targets of a service that may get new work."""
        return [
            known.record
            for known in self._known.values()
            if known.record.service == service and self._is_eligible(known)
        ]

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target may get new work."""
        known = self._known.get(target_id)
        return known is not None and self._is_eligible(known)

    def is_missing(self, target_id: str) -> bool:
        """Return whether a target is missing from the list within the grace period."""
        known = self._known.get(target_id)
        return known is not None and known.missing_since_s is not None

    def all(self) -> list[TargetRecord]:
        """Return the records of all targets that were not removed."""
        return [known.record for known in self._known.values() if not known.is_removed]

    def find_at_host(self, ip: str, started_ms: int) -> str | None:
        """Return the id of the target at a host that started at ``started_ms``.

        Without one, return the target that started last at the host, or None.
        """
        ids = self._ids_at_host.get(ip, ())
        known = [record for i in ids if (record := self.get(i)) is not None]
        at_ip = [r for r in known if r.ip == ip]
        same_start = [r for r in at_ip if r.started_ms == started_ms]
        last = max(same_start or at_ip, key=_record_order, default=None)
        return last.target_id if last is not None else None

    def mark_unreadable(self, target_id: str) -> None:
        """Exclude a target from new work until a readable record of it arrives."""
        known = self._known.get(target_id)
        if known is not None:
            known.is_unreadable = True

    def store_returned(self, now_s: float) -> None:
        """Start the grace period, because the store answers again after an outage."""
        self._store_returned_at_s = max(now_s, self._store_returned_at_s or now_s)

    def updated(self, record: TargetRecord) -> DirectoryChange | None:
        """Apply a record of a target, unless it is older than the known one."""
        self._note_address(record)
        known = self._known.get(record.target_id)
        if known is None:
            self._known[record.target_id] = _KnownTarget(record)
            return DirectoryChange(record.target_id, "appeared", record)
        known.is_unreadable = False
        before = known.record
        if _record_order(record) < _record_order(before) or (
            known.is_removed and _record_order(record) == _record_order(before)
        ):
            return None
        is_same_start = record.started_ms == before.started_ms
        if is_same_start and before.stage is TargetStage.DRAINING:
            known.record = before
            return None
        was_removed, known.is_removed, known.missing_since_s = (
            known.is_removed,
            False,
            None,
        )
        known.record = record
        if was_removed or not is_same_start:
            return DirectoryChange(record.target_id, "appeared", record)
        if record.stage is not before.stage:
            return DirectoryChange(record.target_id, "leaving", record)
        return None

    def removed(self, target_id: str, now_s: float) -> DirectoryChange | None:
        """Apply the removal of a target from the list.

        After an outage a ready target is kept until the grace period ends.
        """
        known = self._known.get(target_id)
        if known is None or known.is_removed:
            return None
        if self._is_in_grace_period(now_s) and known.record.stage is TargetStage.READY:
            known.missing_since_s = now_s
            return None
        return self._remove(target_id, known)

    def listed(self, ids: set[str], now_s: float) -> list[DirectoryChange]:
        """Apply a complete list of target ids; targets that it lacks are removed."""
        changes = [self.removed(i, now_s) for i in self._known if i not in ids]
        return [change for change in changes if change is not None]

    def tick(self, now_s: float) -> list[DirectoryChange]:
        """Remove targets that were not listed again within the grace period."""
        if self._is_in_grace_period(now_s):
            return []
        return [
            self._remove(target_id, known)
            for target_id, known in self._known.items()
            if known.missing_since_s is not None and not known.is_removed
        ]

    def _is_eligible(self, known: _KnownTarget) -> bool:
        return (
            not known.is_removed
            and not known.is_unreadable
            and known.record.stage is TargetStage.READY
            and self._is_last_at_address(known.record)
        )

    def _note_address(self, record: TargetRecord) -> None:
        start = record.started_ms, record.target_id
        known = self._newest_at_address.get(record.address)
        if known is None or start > known:
            self._newest_at_address[record.address] = start
        self._ids_at_host.setdefault(record.ip, set()).add(record.target_id)

    def _is_last_at_address(self, record: TargetRecord) -> bool:
        """Return whether no other existing target started later at the address."""
        last_id = self._newest_at_address[record.address][1]
        if last_id == record.target_id:
            return True
        last = self.get(last_id)
        still_exists = last is not None and last.address == record.address
        return not still_exists

    def _is_in_grace_period(self, now_s: float) -> bool:
        returned_at_s = self._store_returned_at_s
        return (
            returned_at_s is not None and now_s - returned_at_s < OUTAGE_GRACE_PERIOD_S
        )

    def _remove(self, target_id: str, known: _KnownTarget) -> DirectoryChange:
        known.is_removed = True
        known.missing_since_s = None
        self._ids_at_host[known.record.ip].discard(target_id)
        return DirectoryChange(target_id, "gone", known.record)


def _record_order(record: TargetRecord) -> tuple[int, int]:
    return record.started_ms, record.sequence
