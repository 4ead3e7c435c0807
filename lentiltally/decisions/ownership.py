"""Fencing token and lease of one target.

The lease stream orders all owners of a target. Each owner's token is higher than the
token of the owner before it and than the last token the engine has accepted. An owner
that was paused for longer than the lease checks again before its next order (idea:
fencing tokens as in M. Burrows, "The Chubby lock service", OSDI 2006, section 2.4).
"""

from __future__ import annotations

import msgspec

LEASE_S = 10.0
_REMEMBERED_OWNERS = 256


class LeaseRecord(msgspec.Struct, frozen=True, tag="lease"):
    """An agent run takes over a target; a record of stream ``leases``.

    ``min_token`` is one above the engine's last token at the time of the append.
    """

    target: str
    agent: str
    agent_incarnation: str
    min_token: int


class Ownership:
    """Whether this agent run may send orders to one target, and with which token."""

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
        self._seen_s = now_s
        self._check_after_s = now_s
        self._checked_at_s: float | None = None
        self._stream_token = 0
        self._own_token: int | None = None
        self._provisional_token: int | None = None
        self._engine_token: int | None = None
        self._owner: str | None = None
        self._past_owners: dict[str, None] = {}
        self._is_superseded = False
        self._was_paused = False
        self._is_log_down = False

    @property
    def token(self) -> int | None:
        """Return the fencing token, or None while there is none."""
        if self._is_superseded:
            return None
        return self._own_token if self._own_token else self._provisional_token

    @property
    def is_superseded(self) -> bool:
        """Return whether another agent run has taken the target over."""
        return self._is_superseded

    @property
    def needs_check(self) -> bool:
        """Return whether ownership must be checked before the next order."""
        checked_at_s = self._checked_at_s
        return checked_at_s is None or checked_at_s < self._check_after_s

    @property
    def needs_lease_record(self) -> bool:
        """Return whether a (new) lease record must be appended."""
        if self._is_superseded:
            return False
        if self._own_token is None:
            return True
        # A higher token at the engine may be that of a new owner, so the stream is
        # checked before this run claims the target again.
        return not self.needs_check and self._own_token < (self._engine_token or 0)

    def record(self) -> LeaseRecord:
        """Return the record by which this run takes the target over."""
        known = max(self._engine_token or 0, self._provisional_token or 0)
        return LeaseRecord(
            self._target, self._agent, self._agent_incarnation, known + 1
        )

    def apply(self, record: LeaseRecord, offset: int) -> None:
        """Apply a record of the stream; records come in offset order."""
        incarnation = record.agent_incarnation
        if record.target != self._target or incarnation in self._past_owners:
            # A run that was superseded once never owns the target again.
            return
        if self._owner is not None and incarnation != self._owner:
            self._past_owners[self._owner] = None
            if len(self._past_owners) > _REMEMBERED_OWNERS:
                del self._past_owners[next(iter(self._past_owners))]
        self._owner = incarnation
        # Two owners that read the same last token of the engine must not get the same
        # token, so each record's token is also above the one before it.
        self._stream_token = max(offset, record.min_token, self._stream_token + 1)
        if incarnation == self._agent_incarnation:
            self._own_token = self._stream_token
        elif self._own_token is not None:
            self._is_superseded = True

    def stream_read(self, asked_at_s: float, now_s: float) -> None:
        """Note that the stream was read to its end by a read begun at ``asked_at_s``.

        A read that began before a pause does not cover the time after it.
        """
        self._notice(now_s)
        self._is_log_down = False
        self._checked(asked_at_s)
        self._was_paused = self._was_paused and self.needs_check

    def log_unavailable(self, now_s: float) -> None:
        """Note that the log can't be read; the engine's last token is used instead."""
        self._notice(now_s)
        self._is_log_down = True
        self._take_provisional_token()

    def engine_reported(self, last_token: int, asked_at_s: float, now_s: float) -> None:
        """Apply the engine's last accepted token, read or told in a refusal."""
        self._notice(now_s)
        self._engine_token = max(last_token, self._engine_token or 0)
        self._take_provisional_token()
        token = self.token
        # After a pause only the stream can tell that nobody else took the target over,
        # because a new owner may not have sent an order yet.
        is_enough = self._is_log_down and not self._was_paused
        if is_enough and token is not None and last_token <= token:
            self._checked(asked_at_s)

    def may_order(self, now_s: float) -> bool:
        """Return whether an order may be sent at this moment."""
        self._notice(now_s)
        return self.token is not None and not self.needs_check

    def _take_provisional_token(self) -> None:
        is_missing = self.token is None and not self._is_superseded
        if self._is_log_down and is_missing and self._engine_token is not None:
            self._provisional_token = self._engine_token + 1

    def _checked(self, asked_at_s: float) -> None:
        if self._checked_at_s is None or asked_at_s > self._checked_at_s:
            self._checked_at_s = asked_at_s

    def _notice(self, now_s: float) -> None:
        if now_s - self._seen_s > self._lease_s:
            self._check_after_s = now_s
            self._was_paused = True
        self._seen_s = max(self._seen_s, now_s)
