"""The agent's memory of claims: which ran here, and which never will."""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum

# About 200 bytes each; beyond it the oldest are dropped.
MAX_CLAIMS = 100_000
_REFUSED = ""


class ClaimState(Enum):
    """What the agent knows of a claim."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class ClaimJournal:
    """Claims seen or refused by one agent run.

    A claim is accepted for one attempt only. A claim that was asked about before it
    was seen is refused for good, so that "never seen" stays true.
    """

    def __init__(self, max_claims: int = MAX_CLAIMS) -> None:
        """Start without claims; ``max_claims`` bounds the memory."""
        self._max_claims = max_claims
        self._attempts: OrderedDict[str, str] = OrderedDict()
        self._has_dropped = False

    def offer(self, claim_id: str, attempt_id: str) -> bool:
        """Accept a claim for an attempt; False if it was refused or used before."""
        known = self._attempts.get(claim_id)
        if known is not None:
            return known == attempt_id
        self._remember(claim_id, attempt_id)
        return True

    def withdraw(self, claim_id: str) -> None:
        """Refuse a claim for good whose attempt was refused without running."""
        if claim_id in self._attempts:
            self._attempts[claim_id] = _REFUSED

    def query(self, claim_id: str) -> tuple[ClaimState, str]:
        """Return the state of a claim and its attempt; refuse it if never seen.

        Once old claims were dropped, an unknown one may be one of those.
        """
        attempt_id = self._attempts.get(claim_id)
        if attempt_id:
            return ClaimState.ACCEPTED, attempt_id
        if attempt_id == _REFUSED:
            return ClaimState.REFUSED, ""
        if self._has_dropped:
            return ClaimState.UNKNOWN, ""
        self._remember(claim_id, _REFUSED)
        return ClaimState.REFUSED, ""

    def _remember(self, claim_id: str, attempt_id: str) -> None:
        self._attempts[claim_id] = attempt_id
        if len(self._attempts) > self._max_claims:
            self._attempts.popitem(last=False)
            self._has_dropped = True
