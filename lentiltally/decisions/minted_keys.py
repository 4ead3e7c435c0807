"""Signed idempotency keys, which an entry mints for one agent incarnation.

A minted key needs no record in the log: only the agent incarnation that it names
accepts it, and that incarnation remembers the keys that it has received. If the
incarnation has ended, it is unknown whether a request with the key was executed.
"""

from __future__ import annotations

import base64
import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

PREFIX = "lt1"
_MAC_BYTES = 16
# 50,000 keys of about 300 bytes are 15 MB of the agent's 64 MB.
MAX_KEYS = 50_000
KEY_LIFETIME_S = 24 * 3600.0


@dataclass(frozen=True, slots=True)
class MintedKey:
    """The content of a key with a valid signature."""

    agent: str
    agent_incarnation: str
    nonce: str


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """The key was not used before; run the attempt."""


@dataclass(frozen=True, slots=True)
class JoinAttempt:
    """The key was used before by the named attempt, whose answer is to be returned."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class KeyConflict:
    """The key was used before with a different body."""


@dataclass(frozen=True, slots=True)
class TableFull:
    """The table has no room to remember the key, so the attempt must not run."""


KeyResult = RunAttempt | JoinAttempt | KeyConflict | TableFull


def mint(secret: bytes, agent: str, agent_incarnation: str, nonce: str) -> str:
    """Return a signed key for one agent incarnation; ``nonce`` must never repeat."""
    fields = [_encode(part.encode()) for part in (agent, agent_incarnation, nonce)]
    text = ".".join([PREFIX, *fields])
    return f"{text}.{_signature(secret, text)}"


def verify(secrets: Sequence[bytes], key: str) -> MintedKey | None:
    """Return the content of a key signed with one of the secrets, else None.

    Several secrets are accepted so that keys stay valid while a secret is rotated.
    """
    text, _, signature = key.rpartition(".")
    given = signature.encode("utf-8", "surrogatepass")
    is_signed = False
    for secret in secrets:
        expected = _signature(secret, text).encode()
        is_signed = hmac.compare_digest(expected, given) or is_signed
    parts = text.split(".")
    if not is_signed or len(parts) != 4 or parts[0] != PREFIX:
        return None
    return MintedKey(*(_decode(part).decode() for part in parts[1:]))


class MintedKeyTable:
    """The minted keys that one agent incarnation has received."""

    def __init__(
        self, *, max_keys: int = MAX_KEYS, lifetime_s: float = KEY_LIFETIME_S
    ) -> None:
        """Create an empty table; a key expires ``lifetime_s`` after its first use."""
        self._max_keys = max_keys
        self._lifetime_s = lifetime_s
        self._keys: OrderedDict[str, tuple[float, bytes, str]] = OrderedDict()

    def offer(
        self, nonce: str, body_digest: bytes, attempt_id: str, now_s: float
    ) -> KeyResult:
        """Decide whether an attempt with a key of this agent incarnation may run."""
        self._expire(now_s)
        known = self._keys.get(nonce)
        if known is None:
            if len(self._keys) >= self._max_keys:
                return TableFull()
            self._keys[nonce] = (now_s, body_digest, attempt_id)
            return RunAttempt()
        _, digest, first_attempt_id = known
        if digest != body_digest:
            return KeyConflict()
        return JoinAttempt(first_attempt_id)

    def replace(self, nonce: str, refused_attempt_id: str, attempt_id: str) -> bool:
        """Bind a key to a new attempt after the attempt table refused the first one.

        Return False if the key is unknown or bound to another attempt.
        """
        known = self._keys.get(nonce)
        if known is None or known[2] != refused_attempt_id:
            return False
        self._keys[nonce] = (known[0], known[1], attempt_id)
        return True

    def __len__(self) -> int:
        """Return the number of remembered keys."""
        return len(self._keys)

    def _expire(self, now_s: float) -> None:
        while self._keys:
            nonce, (first_used_at_s, _, _) = next(iter(self._keys.items()))
            if now_s - first_used_at_s <= self._lifetime_s:
                return
            del self._keys[nonce]


def _signature(secret: bytes, text: str) -> str:
    data = text.encode("utf-8", "surrogatepass")
    return _encode(hmac.new(secret, data, hashlib.sha256).digest()[:_MAC_BYTES])


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
