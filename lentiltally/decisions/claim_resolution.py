"""State machine by which an entry resolves one request with a caller-chosen key.

The code that drives it reports events and carries out the returned actions in order.
The claim id is also the id of the only attempt that may run under the claim, so an
agent that has refused the claim also refuses a delayed ``Execute`` of it.
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

# The entry whose claim has won needs some time to dispatch it. An agent that is queried
# before that refuses the claim, so two repetitions of a request could keep having each
# other's claims refused.
FIRST_QUERY_DELAY_S = 0.2
QUERY_INTERVAL_S = 0.5
MAX_CLAIMS = 3


class ClaimState(enum.Enum):
    """State of a claim as reported by the agent to which it is bound."""

    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CreateClaim:
    """Choose a target and a new claim id, then call ``claim`` or ``no_target``."""


@dataclass(frozen=True, slots=True)
class AppendClaim:
    """Append the claim, then call ``appended`` or ``append_failed``."""

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class AppendAbandon:
    """Append the record; if the log is unavailable, retry later.

    It has no effect to append the record more than once.
    """

    record: AbandonRecord


@dataclass(frozen=True, slots=True)
class AppendOutcome:
    """Append the outcome; send ``Release`` only after the append took effect.

    Until then, the answer of a repeated request may have to come from the agent.
    """

    record: OutcomeRecord


@dataclass(frozen=True, slots=True)
class WaitForOffset:
    """Call ``offset_applied`` once the claim table has applied the offset."""

    offset: int


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the attempt whose id is the claim id, and report how it ends.

    The target may have started to drain since the claim was made. If it is no longer
    eligible, send nothing and call ``attempt_refused(True)``.
    """

    record: ClaimRecord


@dataclass(frozen=True, slots=True)
class QueryAgent:
    """Query the agent of a claim after a delay, if the claim is still open then."""

    claim: Open
    delay_s: float


@dataclass(frozen=True, slots=True)
class Replay:
    """Return the recorded answer; read it from the log if ``outcome`` is None."""

    finished: Finished


@dataclass(frozen=True, slots=True)
class ReplayFromAgent:
    """Return the answer that the agent of the claim has sent, and append its outcome.

    The entry that dispatched the claim may have crashed before it appended one.
    """

    claim_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request; ``executed`` is ``no``, ``yes`` or ``unknown``.

    ``status`` is the HTTP status and ``reason`` the text for the caller.
    """

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
    """One request with an idempotency key, until its final action."""

    def __init__(self, team: str, key: str, max_claims: int = MAX_CLAIMS) -> None:
        """Start without a claim; at most ``max_claims`` are made for the request."""
        self._team = team
        self._key = key
        self._claims_left = max_claims
        self._own_claim: ClaimRecord | None = None
        self._is_appended = False
        self._is_dispatched = False
        self._queried_claim_id: str | None = None
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Return whether the final action was returned."""
        return self._is_over

    @property
    def own_claim_id(self) -> str | None:
        """Return the id of this request's claim, None without one or if abandoned."""
        return None if self._own_claim is None else self._own_claim.claim_id

    def start(self, status: ClaimStatus) -> Actions:
        """Start with the status of the key in the entry's claim table."""
        return self._evaluate(status)

    def claim(self, record: ClaimRecord) -> Actions:
        """Continue with the claim that ``CreateClaim`` asked for."""
        assert self._own_claim is None
        self._claims_left -= 1
        self._own_claim = record
        self._is_appended = False
        return [AppendClaim(record)]

    def no_target(self, reason: str) -> Actions:
        """End the request because ``CreateClaim`` found no target for it."""
        return self._end(Refuse("no", 503, reason))

    def appended(self, offset: int) -> Actions:
        """Wait until the claim table has applied this request's claim."""
        if self._is_over or self._own_claim is None:
            return []
        return [WaitForOffset(offset)]

    def append_failed(self) -> Actions:
        """Refuse the request and abandon its claim, whose append may still take effect.

        The claim id is never used again, so the request is not executed in either case.
        """
        if self._is_over or self._own_claim is None or self._is_dispatched:
            return []
        return self._end(Refuse("no", 503, "the log of claims is not available"))

    def offset_applied(self, status: ClaimStatus) -> Actions:
        """Continue when the table has applied the request's claim or a later record."""
        if self._is_over or self._is_dispatched:
            return []
        self._is_appended = self._own_claim is not None
        return self._evaluate(status)

    def status_changed(self, status: ClaimStatus) -> Actions:
        """Continue after a record on the key, while another request's claim is open."""
        if self._is_over or self._is_dispatched or self._queried_claim_id is None:
            return []
        if isinstance(status, Open) and status.claim_id == self._queried_claim_id:
            return []
        return self._evaluate(status)

    def agent_reported(self, claim_id: str, state: ClaimState, status: Open) -> Actions:
        """Apply the reply of an agent to the query of a claim.

        ``status`` is the open claim, which is queried again while it is running.
        """
        if self._is_over or claim_id != self._queried_claim_id:
            return []
        if state is ClaimState.RUNNING:
            return [QueryAgent(status, QUERY_INTERVAL_S)]
        if state is ClaimState.FINISHED:
            return self._end(ReplayFromAgent(claim_id))
        if state is ClaimState.REFUSED:
            # ``status_changed`` continues once the record has been applied.
            return [AppendAbandon(AbandonRecord(self._team, self._key, claim_id))]
        return self._end_unknown(claim_id)

    def agent_incarnation_ended(self, claim_id: str) -> Actions:
        """End the request because the agent incarnation of the queried claim has ended.

        That is certain once the process at its address has answered as another
        incarnation. A state report of another incarnation is not enough, because that
        one may be the older: a claim declared unknown too early could be settled as not
        executed and then be executed.
        """
        if self._is_over or claim_id != self._queried_claim_id:
            return []
        return self._end_unknown(claim_id)

    def attempt_refused(self, was_not_executed: bool) -> Actions:
        """Continue after this request's attempt got a refusal instead of an answer."""
        if self._is_over or self._own_claim is None:
            return []
        if not was_not_executed:
            return self._end_unknown(self._own_claim.claim_id)
        abandon = self._abandon_own()
        self._is_dispatched = False
        return [*abandon, *self._new_claim()]

    def answered(self, status: int, content_type: str, body: bytes) -> Actions:
        """End the request after its attempt got a complete answer."""
        if self._is_over or self._own_claim is None:
            return []
        self._is_over = True
        claim_id = self._own_claim.claim_id
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
        if self._is_dispatched or self._queried_claim_id is not None:
            return self._end(Refuse("unknown", 504, "deadline while the claim is open"))
        return self._end(Refuse("no", 504, "deadline before the claim was decided"))

    def _evaluate(self, status: ClaimStatus) -> Actions:
        match status:
            case Free():
                self._queried_claim_id = None
                return [*self._abandon_own(), *self._new_claim()]
            case Open() if status.claim_id == self.own_claim_id:
                return self._dispatch_if_appended()
            case Open():
                self._queried_claim_id = status.claim_id
                return [QueryAgent(status, FIRST_QUERY_DELAY_S)]
            case _:
                return self._end(_final_action(status))

    def _dispatch_if_appended(self) -> Actions:
        assert self._own_claim is not None
        if not self._is_appended:
            return []
        self._queried_claim_id = None
        self._is_dispatched = True
        return [Dispatch(self._own_claim)]

    def _new_claim(self) -> Actions:
        if self._claims_left <= 0:
            return self._end(Refuse("no", 503, "every claimed target refused"))
        return [CreateClaim()]

    def _end_unknown(self, claim_id: str) -> Actions:
        record = OutcomeRecord(self._team, self._key, claim_id, "unknown")
        refuse = Refuse("unknown", 409, "the agent that may have run it is gone")
        return [AppendOutcome(record), *self._end(refuse)]

    def _abandon_own(self) -> Actions:
        """Abandon this request's claim; it is never dispatched after that."""
        own, self._own_claim = self._own_claim, None
        if own is None:
            return []
        return [AppendAbandon(AbandonRecord(self._team, self._key, own.claim_id))]

    def _end(self, action: ResolutionAction) -> Actions:
        self._is_over = True
        # A claim that was dispatched is resolved by its outcome, not by abandoning it.
        abandon = [] if self._is_dispatched else self._abandon_own()
        return [*abandon, action]


def _final_action(
    status: Finished | Conflict | Unknown | SettledExecuted,
) -> ResolutionAction:
    """Return the final action for a key whose claim is no longer open."""
    match status:
        case Finished():
            return Replay(status)
        case Conflict():
            return Refuse("no", 422, "the key has another body")
        case Unknown():
            return Refuse("unknown", 409, "the claim needs an operator")
        case SettledExecuted():
            return Refuse("yes", 409, "an operator found it executed")
