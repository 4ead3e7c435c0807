"""Claims on idempotency keys: at most one execution for each key.

Every entry applies the records of stream ``claims`` in offset order and so reaches the
same result: of the claims on a key that were not abandoned, the one with the lowest
offset wins. Claims expire one by one by the times of the log records, so that a table
built from a truncated stream agrees with one built from the whole stream.
"""

from __future__ import annotations

import hashlib
import struct
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

KEY_LIFETIME_MS = 24 * 3600 * 1000
# The retention of the log must exceed the key lifetime by this much.
RETENTION_MARGIN_MS = 10 * 60 * 1000
MAX_RECORDED_BODY_BYTES = 64 * 1024
# Outcomes evicted from the cache are read from the log again by their offset.
MAX_CACHED_BYTES = 4 * 1024 * 1024
_BUCKETS_PER_LIFETIME = 8


class ClaimRecord(msgspec.Struct, frozen=True, tag="claim"):
    """An entry claims a key and binds the claim to a target and an agent incarnation.

    ``body_digest`` is a hash of what the request asks, to detect another request under
    the same key. ``agent_incarnation`` identifies one lifetime of the agent's process.
    """

    team: str
    key: str
    body_digest: bytes
    claim_id: str
    target: str
    agent: str
    agent_incarnation: str


class OutcomeRecord(msgspec.Struct, frozen=True, tag="outcome"):
    """The outcome of a claim; ``executed`` is ``yes`` or ``unknown``.

    ``status``, ``content_type`` and ``body`` are the answer. ``body`` is None if it is
    too long to record; the agent may still keep it.
    """

    team: str
    key: str
    claim_id: str
    executed: str
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class AbandonRecord(msgspec.Struct, frozen=True, tag="abandon"):
    """A claim that was not executed and never will be."""

    team: str
    key: str
    claim_id: str


class SettleRecord(msgspec.Struct, frozen=True, tag="settle"):
    """An operator's decision on a claim with unknown outcome.

    ``executed`` is ``yes`` or ``no``.
    """

    team: str
    key: str
    claim_id: str
    executed: str
    operator: str


ClaimStreamRecord = ClaimRecord | OutcomeRecord | AbandonRecord | SettleRecord


@dataclass(frozen=True, slots=True)
class Free:
    """No claim holds the key."""


@dataclass(frozen=True, slots=True)
class Open:
    """The claim holds the key and has no outcome yet."""

    claim_id: str
    target: str
    agent: str
    agent_incarnation: str
    offset: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The claim was executed.

    If ``outcome`` is None, it is not cached and has to be read from the log at
    ``outcome_offset``.
    """

    claim_id: str
    target: str
    agent: str
    agent_incarnation: str
    outcome_offset: int
    outcome: OutcomeRecord | None


@dataclass(frozen=True, slots=True)
class Unknown:
    """The claim may have been executed; an operator has to settle it."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class SettledExecuted:
    """An operator found that the claim was executed; its answer is not known."""

    claim_id: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The key is held by the claim of a request with another body."""

    claim_id: str


ClaimStatus = Free | Open | Finished | Unknown | SettledExecuted | Conflict

_OPEN, _FINISHED, _UNKNOWN, _SETTLED = range(4)
# Packed claim: offset, log time in ms, outcome offset, number of the binding, state and
# body digest, followed by the claim id. It takes about 100 bytes, an object with the
# same fields about 400.
_PACKED = struct.Struct("<QQQIB16s")


@dataclass(slots=True)
class _Bucket:
    """Claims made in one span of log time by key hash, and ids abandoned in it.

    ``claims`` has one packed claim for a key, or a tuple of several. The bucket is
    removed one key lifetime after ``last_time_ms``, when all its claims have expired.
    """

    last_time_ms: int
    claims: dict[bytes, bytes | tuple[bytes, ...]] = field(default_factory=dict)
    abandoned: set[bytes] = field(default_factory=set)


class ClaimTable:
    """The claims on all keys, as of the last applied offset.

    A binding is the triple of target, agent and agent incarnation of a claim. Claims
    refer to it by number, since few bindings are shared by many claims.
    """

    def __init__(
        self,
        *,
        key_lifetime_ms: int = KEY_LIFETIME_MS,
        max_cached_bytes: int = MAX_CACHED_BYTES,
    ) -> None:
        """Create an empty table; a key expires by the log time of its claim."""
        self._lifetime_ms = key_lifetime_ms
        self._bucket_width_ms = max(1, key_lifetime_ms // _BUCKETS_PER_LIFETIME)
        self._max_cached_bytes = max_cached_bytes
        self._buckets: OrderedDict[int, _Bucket] = OrderedDict()
        self._binding_numbers: dict[tuple[str, str, str], int] = {}
        self._bindings: list[tuple[str, str, str]] = []
        self._cache: OrderedDict[int, OutcomeRecord] = OrderedDict()
        self._cached_bytes = 0
        self._log_time_ms = 0
        self._next_offset = 0

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record to apply."""
        return self._next_offset

    def apply(self, record: ClaimStreamRecord, offset: int, time_ms: int) -> None:
        """Apply a record with its offset and its log time in milliseconds.

        A record below ``next_offset`` was applied before and is ignored.
        """
        if offset < self._next_offset:
            return
        self._next_offset = offset + 1
        self._log_time_ms = max(self._log_time_ms, time_ms)
        self._expire()
        key_hash = _key_hash(record.team, record.key)
        if isinstance(record, ClaimRecord):
            self._apply_claim(key_hash, record, offset)
        elif isinstance(record, AbandonRecord):
            self._apply_abandon(key_hash, record.claim_id.encode())
        elif isinstance(record, OutcomeRecord):
            self._apply_outcome(key_hash, record, offset)
        else:
            self._apply_settle(key_hash, record)

    def status(self, team: str, key: str, body_digest: bytes) -> ClaimStatus:
        """Return the status of a key for a request with the given body."""
        claims = self._unexpired(_key_hash(team, key))
        if claims and _PACKED.unpack_from(claims[0])[5] != _short_digest(body_digest):
            return Conflict(_claim_id(claims[0]).decode())
        return self._status(claims)

    def status_for_any_body(self, team: str, key: str) -> ClaimStatus:
        """Return the status of a key without comparing the body; for operators."""
        return self._status(self._unexpired(_key_hash(team, key)))

    def _status(self, claims: list[bytes]) -> ClaimStatus:
        if not claims:
            return Free()
        offset, _, outcome_offset, binding, state, _ = _PACKED.unpack_from(claims[0])
        claim_id = _claim_id(claims[0]).decode()
        target, agent, incarnation = self._bindings[binding]
        if state == _OPEN:
            return Open(claim_id, target, agent, incarnation, offset)
        if state == _FINISHED:
            outcome = self._cache.get(outcome_offset)
            return Finished(
                claim_id, target, agent, incarnation, outcome_offset, outcome
            )
        return Unknown(claim_id) if state == _UNKNOWN else SettledExecuted(claim_id)

    def __len__(self) -> int:
        """Return the number of keys in memory, including expired ones.

        A key with claims in several buckets counts once for each of them.
        """
        return sum(len(bucket.claims) for bucket in self._buckets.values())

    def _apply_claim(self, key_hash: bytes, record: ClaimRecord, offset: int) -> None:
        claim_id = record.claim_id.encode()
        if any(claim_id in bucket.abandoned for bucket in self._buckets.values()):
            # The append is repeated, or reached the log after the claim was abandoned.
            return
        unexpired = self._unexpired(key_hash)
        if any(_claim_id(packed) == claim_id for packed in unexpired):
            return
        binding = self._binding_number(record)
        digest = _short_digest(record.body_digest)
        times = (offset, self._log_time_ms, 0)
        packed = _PACKED.pack(*times, binding, _OPEN, digest) + claim_id
        claims = self._current_bucket().claims
        claims[key_hash] = _add_packed(claims.get(key_hash), packed)

    def _apply_abandon(self, key_hash: bytes, claim_id: bytes) -> None:
        self._current_bucket().abandoned.add(claim_id)
        for bucket, packed in self._find(key_hash, claim_id):
            state = _PACKED.unpack_from(packed)[4]
            if state in {_OPEN, _UNKNOWN}:
                _replace_packed(bucket, key_hash, packed, None)

    def _apply_outcome(
        self, key_hash: bytes, record: OutcomeRecord, offset: int
    ) -> None:
        is_executed = record.executed == "yes"
        for bucket, packed in self._find(key_hash, record.claim_id.encode()):
            state = _PACKED.unpack_from(packed)[4]
            if state == _FINISHED or (not is_executed and state != _OPEN):
                continue
            new_state = _FINISHED if is_executed else _UNKNOWN
            _replace_packed(
                bucket, key_hash, packed, _with_state(packed, new_state, offset)
            )
            if is_executed:
                self._cache_outcome(offset, record)

    def _apply_settle(self, key_hash: bytes, record: SettleRecord) -> None:
        for bucket, packed in self._find(key_hash, record.claim_id.encode()):
            if _PACKED.unpack_from(packed)[4] not in {_OPEN, _UNKNOWN}:
                continue
            if record.executed == "yes":
                _replace_packed(
                    bucket, key_hash, packed, _with_state(packed, _SETTLED, 0)
                )
            else:
                self._current_bucket().abandoned.add(record.claim_id.encode())
                _replace_packed(bucket, key_hash, packed, None)

    def _unexpired(self, key_hash: bytes) -> list[bytes]:
        """Return the unexpired claims on a key, lowest offset first."""
        found: list[bytes] = []
        for bucket in self._buckets.values():
            value = bucket.claims.get(key_hash)
            if value is not None:
                found += [
                    packed
                    for packed in _iter_packed(value)
                    if self._is_unexpired(packed)
                ]
        return found

    def _find(self, key_hash: bytes, claim_id: bytes) -> list[tuple[_Bucket, bytes]]:
        return [
            (bucket, packed)
            for bucket in self._buckets.values()
            for packed in _iter_packed(bucket.claims.get(key_hash, ()))
            if _claim_id(packed) == claim_id and self._is_unexpired(packed)
        ]

    def _is_unexpired(self, packed: bytes) -> bool:
        time_ms: int = _PACKED.unpack_from(packed)[1]
        return self._log_time_ms - time_ms <= self._lifetime_ms

    def _current_bucket(self) -> _Bucket:
        number = self._log_time_ms // self._bucket_width_ms
        bucket = self._buckets.get(number)
        if bucket is None:
            last_time_ms = (number + 1) * self._bucket_width_ms - 1
            bucket = self._buckets[number] = _Bucket(last_time_ms)
        return bucket

    def _expire(self) -> None:
        while self._buckets:
            number, bucket = next(iter(self._buckets.items()))
            if self._log_time_ms - bucket.last_time_ms <= self._lifetime_ms:
                return
            del self._buckets[number]

    def _binding_number(self, record: ClaimRecord) -> int:
        binding = (record.target, record.agent, record.agent_incarnation)
        number = self._binding_numbers.get(binding)
        if number is None:
            number = self._binding_numbers[binding] = len(self._bindings)
            self._bindings.append(binding)
        return number

    def _cache_outcome(self, offset: int, record: OutcomeRecord) -> None:
        self._cache[offset] = record
        self._cached_bytes += len(record.body or b"")
        while self._cached_bytes > self._max_cached_bytes:
            _, evicted = self._cache.popitem(last=False)
            self._cached_bytes -= len(evicted.body or b"")


def executed_outcome(
    team: str,
    key: str,
    claim_id: str,
    *,
    status: int,
    content_type: str,
    body: bytes,
) -> OutcomeRecord:
    """Return the outcome of an executed claim, without a body too long to record."""
    recorded = body if len(body) <= MAX_RECORDED_BODY_BYTES else None
    return OutcomeRecord(team, key, claim_id, "yes", status, content_type, recorded)


def _key_hash(team: str, key: str) -> bytes:
    text = f"{team}\n{key}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(text, digest_size=16).digest()


def _short_digest(body_digest: bytes) -> bytes:
    return body_digest[:16].ljust(16, b"\0")


def _claim_id(packed: bytes) -> bytes:
    return packed[_PACKED.size :]


def _with_state(packed: bytes, state: int, outcome_offset: int) -> bytes:
    offset, time_ms, _, binding, _, digest = _PACKED.unpack_from(packed)
    head = _PACKED.pack(offset, time_ms, outcome_offset, binding, state, digest)
    return head + _claim_id(packed)


def _iter_packed(value: bytes | tuple[bytes, ...]) -> Iterator[bytes]:
    if isinstance(value, bytes):
        yield value
    else:
        yield from value


def _add_packed(
    value: bytes | tuple[bytes, ...] | None, packed: bytes
) -> bytes | tuple[bytes, ...]:
    return packed if value is None else (*_iter_packed(value), packed)


def _replace_packed(
    bucket: _Bucket, key_hash: bytes, old: bytes, new: bytes | None
) -> None:
    """Replace a packed claim of a key, or remove it if ``new`` is None."""
    value = bucket.claims[key_hash]
    replaced = [new if packed is old else packed for packed in _iter_packed(value)]
    remaining = tuple(packed for packed in replaced if packed is not None)
    if not remaining:
        del bucket.claims[key_hash]
    else:
        bucket.claims[key_hash] = remaining[0] if len(remaining) == 1 else remaining
