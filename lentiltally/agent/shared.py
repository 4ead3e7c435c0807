"""What the targets of one agent share."""

from __future__ import annotations

import logging
import threading
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

import msgspec

from lentiltally.agent.kept_answers import KeptAnswer
from lentiltally.agent.reporter import Reporter
from lentiltally.clock import Clock
from lentiltally.decisions.attempts import AttemptTable
from lentiltally.decisions.claims import outcome_of
from lentiltally.decisions.quarantine import Quarantine, QuarantineRecord
from lentiltally.errors import LentiltallyError
from lentiltally.metrics import Metrics
from lentiltally.platform.log_client import LogClient, LogRecord
from lentiltally.wire import Refused, TargetCounts

_log = logging.getLogger(__name__)

QUARANTINE_STREAM = "quarantine"
CLAIMS_STREAM = "claims"
quarantine_decoder = msgspec.json.Decoder(QuarantineRecord)


@dataclass(slots=True)
class AgentState:
    """The agent's tables, guarded by ``lock``, and the services around them."""

    name: str
    incarnation: str
    address: str
    failure_domain: str
    clock: Clock
    metrics: Metrics
    log: LogClient
    attempts: AttemptTable
    quarantine: Quarantine = field(default_factory=Quarantine)
    config_offset: int = 0
    # Grows with each change of any target's state.
    state_sequence: int = 0
    # Team and key of the claims that ran here and whose outcome no entry has recorded.
    claimed: dict[str, tuple[str, str]] = field(default_factory=dict)
    live: dict[str, KeptAnswer] = field(default_factory=dict)
    lock: threading.RLock = field(default_factory=threading.RLock)
    background: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(2, "background")
    )

    def kept(self, attempt_id: str) -> KeptAnswer | None:
        """Return the answer of a live or finished attempt, if it is still kept."""
        kept = self.live.get(attempt_id)
        if kept is None:
            found = self.attempts.answer(attempt_id)
            kept = found if isinstance(found, KeptAnswer) else None
        return kept

    def released(self, attempt_id: str) -> None:
        """Forget an answer that was received, and for a claim also recorded."""
        self.attempts.released(attempt_id)
        self.claimed.pop(attempt_id, None)

    def record_outcomes(self) -> None:
        """Append the outcomes of claims that no entry has recorded.

        Called before the agent ends: the entry that dispatched them may have died.
        """
        with self.lock:
            records = [
                outcome_of(
                    team,
                    key,
                    attempt_id,
                    status=whole.status,
                    content_type=whole.content_type,
                    body=whole.body,
                )
                for attempt_id, (team, key) in self.claimed.items()
                if (kept := self.kept(attempt_id)) and (whole := kept.whole())
            ]
        if not records:
            return
        try:
            self.log.append(CLAIMS_STREAM, records)
        except LentiltallyError as error:
            _log.error("outcomes not recorded", extra={"error": str(error)})

    def record_quarantine(self, record: QuarantineRecord) -> None:
        """Append a quarantine record in the background."""
        self.background.submit(self._append_quarantine, record)

    def apply_quarantine(self, entry: QuarantineRecord, record: LogRecord) -> None:
        """Apply a record of stream ``quarantine``."""
        with self.lock:
            self.quarantine.apply(entry, record.offset, record.time_ms)

    def _append_quarantine(self, record: QuarantineRecord) -> None:
        try:
            self.log.append(QUARANTINE_STREAM, [record])
        except LentiltallyError as error:
            _log.warning("quarantine record not appended", extra={"error": str(error)})


def refuse(
    reporter: Reporter,
    address: str,
    attempt_id: str,
    reason: str,
    peer: str,
    *,
    executed: str = "no",
    step: str = "queue",
    retry_after_s: float = 0.0,
    counts: TargetCounts | None = None,
) -> None:
    """Send a refusal of an attempt, and log it."""
    _log.info(
        "attempt refused",
        extra={
            "attempt": attempt_id,
            "reason": reason,
            "executed": executed,
            "target": peer,
        },
    )
    reporter.send(
        address,
        Refused(
            attempt_id,
            executed,
            reason,
            step,
            peer,
            retry_after_s,
            counts or TargetCounts(),
        ),
    )
