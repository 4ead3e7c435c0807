"""Lease and fencing token of one target.

The lease stream orders all owners of a target, which are agent incarnations. The token
of each owner is higher than that of the previous owner and than the last token that the
engine has accepted. An owner that was paused for longer than the lease checks its
ownership again before the next order (fencing tokens as in M. Burrows, "The Chubby lock
service", OSDI 2006, section 2.4).
"""

from __future__ import annotations

import msgspec

LEASE_S = 10.0
_MAX_PAST_OWNERS = 256


class LeaseRecord(msgspec.Struct, frozen=True, tag="lease"):
    """An agent incarnation becomes the owner of a target.

    The record is in stream ``leases``. ``min_token`` is one above the last token that
    the engine had accepted when the record was appended.
    """

    target: str
    agent: str
    agent_incarnation: str
    min_token: int


class Ownership:
    """Whether this agent incarnation may send a target orders, and with which token."""

    def __init__(
        self,
        target: str,
        agent: str,
        agent_incarnation: str,
        now_s: float,
        lease_s: float = LEASE_S,
    ) -> None:
        """Start without a token; ``now_s`` and ``lease_s`` are monotonic seconds."""
        self._target = target
        self._agent = agent
        self._agent_incarnation = agent_incarnation
        self._lease_s = lease_s
        self._last_call_s = now_s
        self._check_required_since_s = now_s
        self._last_check_s: float | None = None
        self._stream_token = 0
        self._own_token: int | None = None
        self._provisional_token: int | None = None
        self._engine_token: int | None = None
        self._owner_incarnation: str | None = None
        self._past_owners: dict[str, None] = {}
        self._is_superseded = False
        self._was_paused = False
        self._is_log_down = False

    @property
    def token(self) -> int | None:
        """Return the fencing token, or None without one."""
        if self._is_superseded:
            return None
        return self._own_token if self._own_token else self._provisional_token

    @property
    def is_superseded(self) -> bool:
        """Return whether another agent incarnation has become the owner."""
        return self._is_superseded

    @property
    def needs_check(self) -> bool:
        """Return whether ownership must be checked before the next order."""
        last_check_s = self._last_check_s
        return last_check_s is None or last_check_s < self._check_required_since_s

    @property
    def needs_lease_record(self) -> bool:
        """Return whether this incarnation must append a lease record.

        It may be its first record or another one.
        """
        if self._is_superseded:
            return False
        if self._own_token is None:
            return True
        # A higher token at the engine may belong to a new owner, so the stream is
        # checked before this incarnation appends another record.
        return not self.needs_check and self._own_token < (self._engine_token or 0)

    def record(self) -> LeaseRecord:
        """Return the record that makes this incarnation the owner."""
        known = max(self._engine_token or 0, self._provisional_token or 0)
        return LeaseRecord(
            self._target, self._agent, self._agent_incarnation, known + 1
        )

    def apply(self, record: LeaseRecord, offset: int) -> None:
        """Apply a record of the stream; records must come in offset order."""
        incarnation = record.agent_incarnation
        if record.target != self._target or incarnation in self._past_owners:
            # An incarnation that was superseded once never owns the target again.
            return
        if (
            self._owner_incarnation is not None
            and incarnation != self._owner_incarnation
        ):
            self._past_owners[self._owner_incarnation] = None
            if len(self._past_owners) > _MAX_PAST_OWNERS:
                del self._past_owners[next(iter(self._past_owners))]
        self._owner_incarnation = incarnation
        # Two owners that read the same last token from the engine must not get equal
        # tokens, so the token of a record is also above that of the previous record.
        self._stream_token = max(offset, record.min_token, self._stream_token + 1)
        if incarnation == self._agent_incarnation:
            self._own_token = self._stream_token
        elif self._own_token is not None:
            self._is_superseded = True

    def stream_read(self, requested_at_s: float, now_s: float) -> None:
        """Note that a read begun at ``requested_at_s`` has reached the stream's end.

        A read that began before a pause does not cover the time after the pause.
        """
        self._detect_pause(now_s)
        self._is_log_down = False
        self._note_check(requested_at_s)
        self._was_paused = self._was_paused and self.needs_check

    def log_unavailable(self, now_s: float) -> None:
        """Note that the log can't be read; a provisional token may be used then."""
        self._detect_pause(now_s)
        self._is_log_down = True
        self._take_provisional_token()

    def engine_reported(
        self, last_token: int, requested_at_s: float, now_s: float
    ) -> None:
        """Apply the last token that the engine has accepted.

        It was queried, or is part of a refusal by the engine. ``requested_at_s`` is
        when the query or the refused order was sent.
        """
        self._detect_pause(now_s)
        self._engine_token = max(last_token, self._engine_token or 0)
        self._take_provisional_token()
        token = self.token
        # After a pause, only the stream can prove that there is no new owner: a new
        # owner may not have sent an order to the engine yet.
        is_engine_sufficient = self._is_log_down and not self._was_paused
        if is_engine_sufficient and token is not None and last_token <= token:
            self._note_check(requested_at_s)

    def may_order(self, now_s: float) -> bool:
        """Return whether an order may be sent at this moment."""
        self._detect_pause(now_s)
        return self.token is not None and not self.needs_check

    def _take_provisional_token(self) -> None:
        """Without log and token, use a token one above the engine's last one."""
        is_missing = self.token is None and not self._is_superseded
        if self._is_log_down and is_missing and self._engine_token is not None:
            self._provisional_token = self._engine_token + 1

    def _note_check(self, requested_at_s: float) -> None:
        """Note a check whose request was sent at ``requested_at_s``."""
        if self._last_check_s is None or requested_at_s > self._last_check_s:
            self._last_check_s = requested_at_s

    def _detect_pause(self, now_s: float) -> None:
        """Require a check if no call came for longer than the lease."""
        if now_s - self._last_call_s > self._lease_s:
            self._check_required_since_s = now_s
            self._was_paused = True
        self._last_call_s = max(self._last_call_s, now_s)
