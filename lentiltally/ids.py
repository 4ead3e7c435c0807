"""Identifiers of process incarnations, attempts and content."""

from __future__ import annotations

import itertools
import secrets

import xxhash


def new_incarnation() -> str:
    """Return a random id for one run of a process (64 bits, hexadecimal)."""
    return secrets.token_hex(8)


class AttemptIds:
    """Issues attempt ids: the incarnation of the entry and a sequence number.

    The sequence number lets an agent forget old refusals in order and still refuse
    delayed copies of them.
    """

    def __init__(self, incarnation: str) -> None:
        """Start numbering at 1 for one entry incarnation."""
        self._incarnation = incarnation
        self._numbers = itertools.count(1)

    def next(self) -> str:
        """Return the next id; safe to call from several threads."""
        return f"{self._incarnation}-{next(self._numbers)}"


def split_attempt_id(attempt_id: str) -> tuple[str, int]:
    """Return the entry incarnation and the sequence number of an attempt id.

    Raises ValueError if the text is not an attempt id.
    """
    incarnation, _, number = attempt_id.rpartition("-")
    if not incarnation:
        raise ValueError(f"not an attempt id: {attempt_id!r}")
    return incarnation, int(number)


def adapter_hash(team: str, adapter: str, version: str) -> int:
    """Return the 64-bit hash that stands for an adapter version in state messages."""
    return adapter_name_hash(f"{team}/{adapter}@{version}")


def adapter_name_hash(name: str) -> int:
    """Return the hash of an adapter version in the form ``team/adapter@version``."""
    return xxhash.xxh3_64_intdigest(name.encode())


def content_fingerprint(team: str, adapter: str, body: bytes) -> str:
    """Return the hash by which a resent request is recognised (128 bits, hex)."""
    return xxhash.xxh3_128_hexdigest(f"{team}/{adapter}\n".encode() + body)
