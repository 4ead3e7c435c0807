"""Client accounts of one version of the desired state, by the digests of their keys.

The table is packed: 100,000 accounts with two keys each take 44 MB as Python objects,
and an old and a new table exist side by side while one is replaced.
"""

from __future__ import annotations

import hashlib
import itertools
import secrets
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import msgspec

from lentiltally.direct.model import AccountLimit, ClientAccount, LimitUnit

__all__ = ["AccountTable"]

DIGEST_BYTES = 16
NUMBER_BYTES = 4
ENTRY_BYTES = DIGEST_BYTES + NUMBER_BYTES
# A configuration with more keys in two accounts names only this many pairs of accounts.
MAX_SHARED_KEYS = 8
# Drawn at each start, so digests of one process are of no use elsewhere.
_DIGEST_SECRET = secrets.token_bytes(32)

# Name and rank, then rate, burst, whether the limit counts tokens, and default cost.
_PackedLimit = tuple[float, float, bool, int]
_PackedAccount = tuple[str, int | None, _PackedLimit | None]
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_PackedAccount)


class AccountTable:
    """Finds the client account that holds a key; the keys themselves are not kept.

    ``ranks`` has the ranks of all accounts. ``shared_key_count`` is how many keys are
    listed in two accounts; ``shared_keys`` names the account that holds the key and the
    other one, for the first few of them.
    """

    __slots__ = (
        "_accounts",
        "_ends",
        "_entries",
        "ranks",
        "shared_key_count",
        "shared_keys",
    )

    def __init__(self, accounts: Iterable[tuple[ClientAccount, Iterable[str]]]) -> None:
        """Index accounts by their keys; the first account with a key holds it."""
        packed: list[bytes] = []
        entries: list[bytes] = []
        ranks: set[int] = set()
        for number, (account, keys) in enumerate(accounts):
            packed.append(_pack(account))
            if account.rank is not None:
                ranks.add(account.rank)
            suffix = number.to_bytes(NUMBER_BYTES, "big")
            entries += [_digest(key.encode()) + suffix for key in keys]
        # Entries with the same digest are in the order of the accounts.
        entries.sort()
        self._entries = b"".join(entries)
        self._accounts = b"".join(packed)
        self._ends = array("L", itertools.accumulate(map(len, packed)))
        self.ranks = frozenset(ranks)
        shared = _shared_numbers(entries)
        self.shared_key_count = len(shared)
        self.shared_keys = tuple(
            (self._account(holder).name, self._account(other).name)
            for holder, other in shared[:MAX_SHARED_KEYS]
        )

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._ends)

    def find(self, key: bytes) -> ClientAccount | None:
        """Return the account that holds a key, None if none does."""
        digest = _digest(key)
        count = len(self._entries) // ENTRY_BYTES
        position = bisect_left(range(count), digest, key=self._digest_at)
        if position == count or self._digest_at(position) != digest:
            return None
        end = (position + 1) * ENTRY_BYTES
        number = int.from_bytes(self._entries[end - NUMBER_BYTES : end], "big")
        return self._account(number)

    def named(self, name: str) -> ClientAccount | None:
        """Return the account with a name, None if there is none.

        It reads all accounts, so it is for operators' questions only.
        """
        accounts = (self._account(number) for number in range(len(self)))
        return next((account for account in accounts if account.name == name), None)

    def _digest_at(self, position: int) -> bytes:
        start = position * ENTRY_BYTES
        return self._entries[start : start + DIGEST_BYTES]

    def _account(self, number: int) -> ClientAccount:
        start = self._ends[number - 1] if number else 0
        return _unpack(self._accounts[start : self._ends[number]])


def _shared_numbers(entries: Sequence[bytes]) -> list[tuple[int, int]]:
    """Return the numbers of the accounts that list the same key, the holder first."""
    shared: list[tuple[int, int]] = []
    holder = b""
    for entry in entries:
        if entry[:DIGEST_BYTES] != holder[:DIGEST_BYTES]:
            holder = entry
        elif entry != holder:
            numbers = (int.from_bytes(e[DIGEST_BYTES:], "big") for e in (holder, entry))
            shared.append((next(numbers), next(numbers)))
    return shared


def _digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_DIGEST_SECRET).digest()


def _pack(account: ClientAccount) -> bytes:
    limit = account.limit
    packed = limit and (
        limit.rate_per_s,
        limit.burst,
        limit.unit is LimitUnit.TOKENS,
        limit.default_cost,
    )
    return _ENCODER.encode((account.name, account.rank, packed))


def _unpack(data: bytes) -> ClientAccount:
    name, rank, packed = _DECODER.decode(data)
    if packed is None:
        return ClientAccount(name, rank)
    rate_per_s, burst, counts_tokens, default_cost = packed
    unit = LimitUnit.TOKENS if counts_tokens else LimitUnit.REQUESTS
    return ClientAccount(
        name, rank, AccountLimit(rate_per_s, burst, unit, default_cost)
    )
