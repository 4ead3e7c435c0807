"""Quarantine of requests that crash targets, by a fingerprint of their content.

When an engine crashes, each request in its batch may be the cause. All of them become
suspects. A target runs at most one suspect at a time, so that the next crash identifies
its cause, which is quarantined. All processes apply the records of stream
``quarantine`` in offset order.
"""

from __future__ import annotations

import enum
from collections import Counter, OrderedDict
from dataclasses import dataclass

import msgspec

MAX_SUSPECTS = 10_000
MAX_QUARANTINED = 10_000
MAX_REMEMBERED_CRASHES = 1_000
SUSPECT_LIFETIME_MS = 10 * 60 * 1000
QUARANTINE_LIFETIME_MS = 24 * 3600 * 1000


class CrashRecord(msgspec.Struct, frozen=True, tag="crash"):
    """An engine incarnation crashed while the listed requests were in its batch."""

    target: str
    engine_incarnation: str
    fingerprints: tuple[str, ...]


class ClearRecord(msgspec.Struct, frozen=True, tag="clear"):
    """A suspect request finished, so it does not crash its target."""

    fingerprint: str


class LiftRecord(msgspec.Struct, frozen=True, tag="lift"):
    """An operator lifts a quarantine."""

    fingerprint: str
    operator: str


QuarantineRecord = CrashRecord | ClearRecord | LiftRecord


class Suspicion(enum.Enum):
    """Whether a fingerprint is a suspect or quarantined."""

    NONE = "none"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class BatchAdmission(enum.Enum):
    """Whether a request may join the batch of a target now."""

    RUN = "run"
    HOLD = "another suspect runs on this target"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class Quarantined:
    """A quarantined fingerprint, as shown to operators.

    ``offset`` and ``time_ms`` are those of the crash record that identified it.
    """

    fingerprint: str
    target: str
    offset: int
    time_ms: int


class Quarantine:
    """Suspects and quarantined requests; equal in all processes at the same offset.

    The running requests are those of this agent's own targets.
    """

    def __init__(
        self,
        *,
        max_suspects: int = MAX_SUSPECTS,
        max_quarantined: int = MAX_QUARANTINED,
    ) -> None:
        """Start empty; beyond the limits the oldest fingerprints are dropped."""
        self._max_suspects = max_suspects
        self._max_quarantined = max_quarantined
        self._suspects: OrderedDict[str, int] = OrderedDict()
        self._quarantined: OrderedDict[str, Quarantined] = OrderedDict()
        self._crashes: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._running: dict[str, Counter[str]] = {}
        self._log_time_ms = 0

    def apply(self, record: QuarantineRecord, offset: int, time_ms: int) -> None:
        """Apply a record; expiry follows the log time, which all processes share."""
        self._log_time_ms = max(self._log_time_ms, time_ms)
        self._expire()
        if isinstance(record, CrashRecord):
            self._apply_crash(record, offset)
        elif isinstance(record, ClearRecord):
            self._suspects.pop(record.fingerprint, None)
        else:
            self._suspects.pop(record.fingerprint, None)
            self._quarantined.pop(record.fingerprint, None)

    def suspicion(self, fingerprint: str) -> Suspicion:
        """Return whether a fingerprint is a suspect or quarantined."""
        if fingerprint in self._quarantined:
            return Suspicion.QUARANTINED
        if fingerprint in self._suspects:
            return Suspicion.SUSPECT
        return Suspicion.NONE

    def admit(self, target: str, fingerprint: str) -> BatchAdmission:
        """Decide whether a request may join the batch of a target now."""
        suspicion = self.suspicion(fingerprint)
        if suspicion is Suspicion.QUARANTINED:
            return BatchAdmission.QUARANTINED
        if suspicion is Suspicion.SUSPECT and self._is_running_suspect(target):
            return BatchAdmission.HOLD
        return BatchAdmission.RUN

    def started(self, target: str, fingerprint: str) -> None:
        """Note that a request joined the batch of one of this agent's targets."""
        self._running.setdefault(target, Counter())[fingerprint] += 1

    def ended(self, target: str, fingerprint: str, *, finished: bool) -> bool:
        """Note that a request left the batch.

        Return True if a ClearRecord must be appended for it.
        """
        running = self._running.get(target, Counter())
        running[fingerprint] -= 1
        if running[fingerprint] <= 0:
            del running[fingerprint]
        return finished and self.suspicion(fingerprint) is Suspicion.SUSPECT

    def crashed(self, target: str, engine_incarnation: str) -> CrashRecord | None:
        """Empty the batch of a crashed target; return the record to append, if any."""
        running = self._running.pop(target, None)
        if not running:
            return None
        return CrashRecord(target, engine_incarnation, tuple(sorted(running)))

    def quarantined(self) -> list[Quarantined]:
        """Return all quarantined fingerprints, oldest first."""
        return list(self._quarantined.values())

    def suspects(self) -> list[str]:
        """Return all suspect fingerprints, oldest first."""
        return list(self._suspects)

    def _apply_crash(self, record: CrashRecord, offset: int) -> None:
        """Quarantine the only suspect of the batch, else make all of it suspects."""
        crash = (record.target, record.engine_incarnation)
        if crash in self._crashes:
            return
        self._crashes[crash] = None
        if len(self._crashes) > MAX_REMEMBERED_CRASHES:
            self._crashes.popitem(last=False)
        batch = [f for f in record.fingerprints if f not in self._quarantined]
        suspects = [f for f in batch if f in self._suspects]
        if len(suspects) == 1:
            self._quarantine(suspects[0], record.target, offset)
            return
        for fingerprint in batch:
            self._suspects[fingerprint] = self._log_time_ms
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > self._max_suspects:
            self._suspects.popitem(last=False)

    def _quarantine(self, fingerprint: str, target: str, offset: int) -> None:
        del self._suspects[fingerprint]
        self._quarantined[fingerprint] = Quarantined(
            fingerprint, target, offset, self._log_time_ms
        )
        while len(self._quarantined) > self._max_quarantined:
            self._quarantined.popitem(last=False)

    def _is_running_suspect(self, target: str) -> bool:
        running = self._running.get(target, Counter())
        return any(fingerprint in self._suspects for fingerprint in running)

    def _expire(self) -> None:
        while self._suspects:
            fingerprint, time_ms = next(iter(self._suspects.items()))
            if self._log_time_ms - time_ms <= SUSPECT_LIFETIME_MS:
                break
            del self._suspects[fingerprint]
        while self._quarantined:
            fingerprint, entry = next(iter(self._quarantined.items()))
            if self._log_time_ms - entry.time_ms <= QUARANTINE_LIFETIME_MS:
                break
            del self._quarantined[fingerprint]
