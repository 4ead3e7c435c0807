"""The steps by which an entry resolves one request with a caller-chosen key.

The caller of this code reports events and carries out the returned actions in order.
The claim id is also the attempt id of the only attempt that may run under the claim, so
the agent's table of attempts refuses a claim and a delayed ``Execute`` alike.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

from lentiltally.decisions.claims import (
    AbandonRecord,
    ClaimRecord,
    ClaimStatus,
    Conflict,
    Finished,
    Free,
    Open,
    OutcomeRecord,
    SettledExecuted,
    Unknown,
    executed_outcome,
)

# A winner needs a moment to dispatch. Asking its agent at once would refuse the claim,
# and two resends could go on refusing each other's claims.
FIRST_QUERY_DELAY_S = 0.2
QUERY_INTERVAL_S = 0.5
MAX_CLAIMS = 3


class ClaimState(enum.Enum):
    """What the bound agent says of a claim."""

    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CreateClaim:
    """Choose a target and a new claim id, then call ``claim``."""


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append the claim, then call ``appended`` or ``append_failed``."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class AppendAbandon:
    """Append the record, also later if the log is down; repeats do no harm."""

    record: AbandonRecord


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """Append the outcome; send ``Release`` only after the append took effect.

    Until then a resend may have to fetch the answer from the agent.
    """

    record: OutcomeRecord


@dataclass(frozen=True, slots=True)
class WaitForOffset:
    """Call ``followed`` once the table has applied the stream up to the offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the attempt whose id is the claim id, and report how it ends.

    The target may have begun to leave since the claim was made. If it is not eligible
    any more, send nothing and call ``attempt_refused(True)``.
    """

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class QueryAgent:
    """Ask the bound agent about a claim after a delay, if it is still open then."""

    claim: Open
    delay_s: float


@dataclass(frozen=True, slots=True)
class Replay:
    """Give the recorded answer; read it from the log if ``outcome`` is not at hand."""

    finished: Finished


@dataclass(frozen=True, slots=True)
class ReplayFromAgent:
    """Give the answer that the bound agent has returned, and append its outcome.

    The entry that dispatched the claim may have died before it could append one.
    """

    claim_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request; ``executed`` is ``no``, ``yes`` or ``unknown``."""

    executed: str
    status: int
    reason: str


ResolutionAction = (
    CreateClaim
    | AppendClaim
    | AppendAbandon
    | AppendOutcome
    | WaitForOffset
    | Dispatch
    | QueryAgent
    | Replay
    | ReplayFromAgent
    | Refuse
)
Actions = list[ResolutionAction]


class ClaimResolution:
    """One keyed request, from its first look at the claims to its end."""

    def __init__(self, team: str, key: str, max_claims: int = MAX_CLAIMS) -> None:
        """Start without a claim; at most ``max_claims`` are made for the request."""
        self._team = team
        self._key = key
        self._claims_left = max_claims
        self._own: ClaimRecord | None = None
        self._is_appended = False
        self._is_dispatched = False
        self._asked: str | None = None
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Return whether the request has its final action."""
        return self._is_over

    @property
    def own_claim_id(self) -> str | None:
        """Return the id of the claim that is in force for this request."""
        return None if self._own is None else self._own.claim_id

    def start(self, status: ClaimStatus) -> Actions:
        """Begin with the status of the key in the local table."""
        return self._evaluate(status)

    def claim(self, record: ClaimRecord) -> Actions:
        """Take the claim that was made after ``NeedClaim``."""
        assert self._own is None
        self._claims_left -= 1
        self._own = record
        self._is_appended = False
        return [AppendClaim(record)]

    def no_target(self, reason: str) -> Actions:
        """End the request because no target can take it after ``NeedClaim``."""
        return self._end(Refuse("no", 503, reason))

    def appended(self, offset: int) -> Actions:
        """Note the offset of the own claim; the result is known after following it."""
        if self._is_over or self._own is None:
            return []
        return [WaitForOffset(offset)]

    def append_failed(self) -> Actions:
        """Give the claim up for good; it may still reach the log.

        The claim id is never used again, so the refusal is true even if the append
        took effect.
        """
        if self._is_over or self._own is None or self._is_dispatched:
            return []
        return self._end(Refuse("no", 503, "the log of claims is not available"))

    def offset_applied(self, status: ClaimStatus) -> Actions:
        """Go on after the table has applied the own claim or a later record."""
        if self._is_over or self._is_dispatched:
            return []
        self._is_appended = self._own is not None
        return self._evaluate(status)

    def status_changed(self, status: ClaimStatus) -> Actions:
        """Go on after any record on the key, while waiting for another claim."""
        if self._is_over or self._is_dispatched or self._asked is None:
            return []
        if isinstance(status, Open) and status.claim_id == self._asked:
            return []
        return self._evaluate(status)

    def agent_reported(self, claim_id: str, state: ClaimState, status: Open) -> Actions:
        """Apply the bound agent's answer about the claim that was asked for.

        ``status`` is the open claim, to ask for it again while it runs.
        """
        if self._is_over or claim_id != self._asked:
            return []
        if state is ClaimState.RUNNING:
            return [QueryAgent(status, QUERY_INTERVAL_S)]
        if state is ClaimState.FINISHED:
            return self._end(ReplayFromAgent(claim_id))
        if state is ClaimState.REFUSED:
            # The next status comes with the record in the stream.
            return [AppendAbandon(AbandonRecord(self._team, self._key, claim_id))]
        return self._end_unknown(claim_id)

    def agent_run_ended(self, claim_id: str) -> Actions:
        """End the request because the bound agent run no longer exists.

        The run is gone once the process at its address has answered as another run. A
        state of another run is not enough, because that run may be the older one; a
        claim declared unknown too early could be settled as not run and then run.
        """
        if self._is_over or claim_id != self._asked:
            return []
        return self._end_unknown(claim_id)

    def attempt_refused(self, status_is_no: bool) -> Actions:
        """Go on after the own attempt got a refusal instead of an answer."""
        if self._is_over or self._own is None:
            return []
        if not status_is_no:
            return self._end_unknown(self._own.claim_id)
        abandon = self._drop_own()
        self._is_dispatched = False
        return [*abandon, *self._new_claim()]

    def answered(self, status: int, content_type: str, body: bytes) -> Actions:
        """End the request after its own attempt was answered whole."""
        if self._is_over or self._own is None:
            return []
        self._is_over = True
        claim_id = self._own.claim_id
        outcome = executed_outcome(
            self._team,
            self._key,
            claim_id,
            status=status,
            content_type=content_type,
            body=body,
        )
        return [AppendOutcome(outcome)]

    def timed_out(self) -> Actions:
        """End the request at its deadline."""
        if self._is_over:
            return []
        if self._is_dispatched or self._asked is not None:
            return self._end(Refuse("unknown", 504, "deadline while the claim is open"))
        return self._end(Refuse("no", 504, "deadline before the claim was decided"))

    def _evaluate(self, status: ClaimStatus) -> Actions:
        match status:
            case Free():
                self._asked = None
                return [*self._drop_own(), *self._new_claim()]
            case Open() if status.claim_id == self.own_claim_id:
                return self._won()
            case Open():
                self._asked = status.claim_id
                return [QueryAgent(status, FIRST_QUERY_DELAY_S)]
            case _:
                return self._end(_closed(status))

    def _won(self) -> Actions:
        assert self._own is not None
        if not self._is_appended:
            return []
        self._asked = None
        self._is_dispatched = True
        return [Dispatch(self._own)]

    def _new_claim(self) -> Actions:
        if self._claims_left <= 0:
            return self._end(Refuse("no", 503, "every claimed target refused"))
        return [CreateClaim()]

    def _end_unknown(self, claim_id: str) -> Actions:
        record = OutcomeRecord(self._team, self._key, claim_id, "unknown")
        refuse = Refuse("unknown", 409, "the agent that may have run it is gone")
        return [AppendOutcome(record), *self._end(refuse)]

    def _drop_own(self) -> Actions:
        """Abandon the own claim for good; it is not dispatched after that."""
        own, self._own = self._own, None
        if own is None:
            return []
        return [AppendAbandon(AbandonRecord(self._team, self._key, own.claim_id))]

    def _end(self, action: ResolutionAction) -> Actions:
        self._is_over = True
        # A claim that was sent to its agent is resolved by its outcome.
        abandon = [] if self._is_dispatched else self._drop_own()
        return [*abandon, action]


def _closed(
    status: Finished | Conflict | Unknown | SettledExecuted,
) -> ResolutionAction:
    """Return the final action for a key that needs no more resolving."""
    match status:
        case Finished():
            return Replay(status)
        case Conflict():
            return Refuse("no", 422, "the key has another body")
        case Unknown():
            return Refuse("unknown", 409, "the claim needs an operator")
        case SettledExecuted():
            return Refuse("yes", 409, "an operator found it executed")
