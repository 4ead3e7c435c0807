"""Decodes the client accounts of the operators' configuration."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from lentiltally.decisions.account_table import AccountTable
from lentiltally.direct.model import AccountLimit, ClientAccount, LimitUnit
from lentiltally.platform._json import Count, Rank

__all__ = ["decode_accounts"]

_TOKEN_UNIT = "token_routing"  # noqa: S105 - a unit
# The name is sent to targets as the value of a header, and in datagrams.
_Name = Annotated[
    str,
    Meta(
        max_length=200,
        pattern=r"\A[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z",
    ),
]
# Far more than any account needs; the values are sent in messages.
_Amount = Annotated[float, Meta(ge=0.0, le=1e12)]


class _Tenant(Struct, rename="camel", gc=False):
    name: _Name
    api_keys: list[str] = []
    priority: Rank | None = None
    unit: str = ""
    plain_tokens: Count = 1
    rate_per_s: _Amount = 0.0
    burst: _Amount = 0.0


_NULL = b"null"
_LIST_DECODER = msgspec.json.Decoder(list[msgspec.Raw])
_TENANT_DECODER = msgspec.json.Decoder(_Tenant)


class _TableCache:
    """The table that was decoded last, with a digest of its document.

    Most versions of the configuration have the accounts of the one before, and
    decoding 100,000 accounts takes over half a second of a core.
    """

    def __init__(self) -> None:
        # Without a secret, a short list could be guessed from its digest.
        self._secret = secrets.token_bytes(32)
        self._digest = b""
        self._table: AccountTable | None = None

    def table(self, document: msgspec.Raw) -> AccountTable:
        digest = hashlib.blake2b(document, key=self._secret).digest()
        if self._table is None or digest != self._digest:
            self._table = AccountTable(_accounts(document))
            self._digest = digest
        return self._table


_cache = _TableCache()


def decode_accounts(document: msgspec.Raw) -> AccountTable | None:
    """Decode the list of accounts; raises msgspec.MsgspecError if it is malformed.

    Returns None if there is no list. With an empty one, no key is known.
    """
    if len(memoryview(document)) <= len(_NULL) and bytes(document) in (b"", _NULL):
        return None
    return _cache.table(document)


def _accounts(document: msgspec.Raw) -> Iterator[tuple[ClientAccount, list[str]]]:
    """Decode one account after the other, which takes less memory than all at once."""
    for item in _LIST_DECODER.decode(document):
        tenant = _TENANT_DECODER.decode(item)
        yield _to_account(tenant), tenant.api_keys


def _to_account(tenant: _Tenant) -> ClientAccount:
    limit = None
    if tenant.rate_per_s > 0.0:
        limit = AccountLimit(
            rate_per_s=tenant.rate_per_s,
            burst=tenant.burst,
            unit=LimitUnit.TOKENS if tenant.unit == _TOKEN_UNIT else LimitUnit.REQUESTS,
            default_cost=tenant.plain_tokens,
        )
    return ClientAccount(tenant.name, tenant.priority, limit)
