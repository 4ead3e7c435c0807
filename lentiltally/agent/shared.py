"""State and services that the targets of one agent share."""

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
from lentiltally.decisions.claims import executed_outcome
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
    """The agent's identity, its tables and the services that its targets use.

    ``lock`` guards all tables, also those inside ``attempts`` and ``quarantine``.
    ``address`` is the agent's channel address. ``open_answers`` has the answers of
    queued and running attempts by attempt id; those of finished attempts are in
    ``attempts``. ``background`` runs appends to the log that nothing waits for.
    """

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
    # Incremented with each change of any target's state.
    state_sequence: int = 0
    # Team and idempotency key, by attempt id, of claims that ran here and whose
    # outcome is not known to be in the log.
    unrecorded_claims: dict[str, tuple[str, str]] = field(default_factory=dict)
    open_answers: dict[str, KeptAnswer] = field(default_factory=dict)
    lock: threading.RLock = field(default_factory=threading.RLock)
    background: ThreadPoolExecutor = field(
        default_factory=lambda: ThreadPoolExecutor(2, "background")
    )

    def find_answer(self, attempt_id: str) -> KeptAnswer | None:
        """Return the answer of an open or finished attempt; None if it is not kept."""
        answer = self.open_answers.get(attempt_id)
        if answer is None:
            found = self.attempts.answer(attempt_id)
            answer = found if isinstance(found, KeptAnswer) else None
        return answer

    def release_answer(self, attempt_id: str) -> None:
        """Drop an answer that its entry has received.

        For a claim the entry has also recorded the outcome in the log.
        """
        self.attempts.released(attempt_id)
        self.unrecorded_claims.pop(attempt_id, None)

    def record_outcomes(self) -> None:
        """Append the outcomes of claims that no entry has released.

        Called before the agent exits, because the entry that dispatched a claim may
        have crashed before it recorded the outcome.
        """
        with self.lock:
            records = [
                executed_outcome(
                    team,
                    key,
                    attempt_id,
                    status=complete.status,
                    content_type=complete.content_type,
                    body=complete.body,
                )
                for attempt_id, (team, key) in self.unrecorded_claims.items()
                if (answer := self.find_answer(attempt_id))
                and (complete := answer.as_complete_answer())
            ]
        if not records:
            return
        try:
            self.log.append(CLAIMS_STREAM, records)
        except LentiltallyError as error:
            _log.error("could not record claim outcomes", extra={"error": str(error)})

    def record_quarantine(self, record: QuarantineRecord) -> None:
        """Append a quarantine record without waiting for the log."""
        self.background.submit(self._append_quarantine, record)

    def apply_quarantine(self, entry: QuarantineRecord, record: LogRecord) -> None:
        """Apply a record of stream ``quarantine``."""
        with self.lock:
            self.quarantine.apply(entry, record.offset, record.time_ms)

    def _append_quarantine(self, record: QuarantineRecord) -> None:
        try:
            self.log.append(QUARANTINE_STREAM, [record])
        except LentiltallyError as error:
            _log.warning(
                "could not append quarantine record", extra={"error": str(error)}
            )


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
    """Log the refusal of an attempt and send it to the entry at ``address``.

    ``executed`` is ``no`` if the attempt has not run and never will, else ``unknown``.
    ``peer`` is the target that refuses, or the agent if the refusal concerns no target.
    ``step`` is the stage at which the attempt failed.
    """
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
