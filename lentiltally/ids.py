"""Identifiers of process incarnations and attempts, and hashes of content."""

from __future__ import annotations

import itertools
import secrets

import xxhash


def new_incarnation() -> str:
    """Return a random id for one run of a process or one request (64 bits, hex)."""
    return secrets.token_hex(8)


class AttemptIds:
    """Issues attempt ids: the incarnation of the entry and a sequence number.

    Because the ids of an entry are in sequence, an agent can forget the oldest attempts
    that it has refused, and still refuse copies of their messages that arrive late.
    """

    def __init__(self, incarnation: str) -> None:
        """Start at sequence number 1 for an entry incarnation."""
        self._incarnation = incarnation
        self._sequence_numbers = itertools.count(1)

    def next(self) -> str:
        """Return the next id; safe to call from several threads."""
        return f"{self._incarnation}-{next(self._sequence_numbers)}"


def split_attempt_id(attempt_id: str) -> tuple[str, int]:
    """Return the entry incarnation and the sequence number of an attempt id.

    Raises ValueError if the text is not an attempt id.
    """
    incarnation, _, number = attempt_id.rpartition("-")
    if not incarnation:
        raise ValueError(f"not an attempt id: {attempt_id!r}")
    return incarnation, int(number)


def adapter_hash(team: str, adapter: str, version: str) -> int:
    """Return the 64-bit hash that identifies an adapter version in state messages."""
    return adapter_name_hash(f"{team}/{adapter}@{version}")


def adapter_name_hash(name: str) -> int:
    """Return the 64-bit hash of an adapter version, ``team/adapter@version``."""
    return xxhash.xxh3_64_intdigest(name.encode())


def content_fingerprint(team: str, adapter: str, body: bytes) -> str:
    """Return the hash by which a repeated request is recognised (128 bits, hex)."""
    return xxhash.xxh3_128_hexdigest(f"{team}/{adapter}\n".encode() + body)
