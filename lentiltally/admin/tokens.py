"""Bearer tokens of operators, and the scopes of each."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence
from datetime import datetime
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MAX_TOKEN_CHARACTERS = 512


class Scope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A configuration path at and below which a token may read, or also write."""

    prefix: Annotated[str, Meta(pattern=r"^/")]
    access: Literal["read", "write"] = "read"

    def covers(self, path: str) -> bool:
        """Return whether the path is the prefix or below it."""
        prefix = self.prefix.rstrip("/")
        return not prefix or path == prefix or path.startswith(f"{prefix}/")


class Token(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A token of the settings, which hold its SHA-256 digest (hex) but not its text."""

    actor: str
    sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    scopes: tuple[Scope, ...]
    expires_at: Annotated[datetime, Meta(tz=True)] | None = None

    def allows(self, access: Literal["read", "write"], path: str) -> bool:
        """Return whether a scope allows an access to a path; write includes read."""
        return any(
            scope.covers(path) and scope.access in {access, "write"}
            for scope in self.scopes
        )


class Tokens:
    """Finds the token that a request presents among those of the settings."""

    def __init__(self, tokens: Sequence[Token]) -> None:
        """Copy the tokens; later changes of the sequence have no effect."""
        self._tokens = tuple(tokens)

    def find(self, authorization: str, now: datetime) -> Token | None:
        """Return the token of an Authorization header, or None if it is not valid.

        All digests are compared, so that the response time does not reveal which one
        matches.
        """
        scheme, _, text = authorization.partition(" ")
        if scheme.lower() != "bearer" or len(text) > MAX_TOKEN_CHARACTERS:
            return None
        digest = hashlib.sha256(text.strip().encode("utf-8", "replace")).hexdigest()
        found = None
        for token in self._tokens:
            if hmac.compare_digest(token.sha256, digest):
                found = token
        if found is None or (found.expires_at is not None and now >= found.expires_at):
            return None
        return found
