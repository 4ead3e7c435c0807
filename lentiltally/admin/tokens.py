"""Bearer tokens of operators, and what each may do."""

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
        stem = self.prefix.rstrip("/")
        return not stem or path == stem or path.startswith(f"{stem}/")


class Token(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A token as kept in the settings: its SHA-256 digest (hex), never its text."""

    actor: str
    sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    scopes: tuple[Scope, ...]
    expires_at: Annotated[datetime, Meta(tz=True)] | None = None

    def may(self, access: Literal["read", "write"], path: str) -> bool:
        """Return whether the token allows an access to a path."""
        return any(
            scope.covers(path) and scope.access in {access, "write"}
            for scope in self.scopes
        )


class Tokens:
    """Recognises the tokens of the settings."""

    def __init__(self, tokens: Sequence[Token]) -> None:
        """Take the tokens; the tuple is not changed afterwards."""
        self._tokens = tuple(tokens)

    def find(self, authorization: str, now: datetime) -> Token | None:
        """Return the token of an Authorization header, or None if it is not valid.

        All digests are compared, so that the time taken does not depend on which one
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
