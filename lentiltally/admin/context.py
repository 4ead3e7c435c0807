"""What the handlers of the administration API work with."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Literal, Protocol

from lentiltally.admin.audit import AuditLog, AuditRecord, Outcome
from lentiltally.admin.messages import ProblemError, Request
from lentiltally.admin.tokens import Token
from lentiltally.clock import Clock
from lentiltally.config import ChangeRecord, ConfigInvalidError, ConfigTree, parse_path
from lentiltally.config.history import HistoryEntry
from lentiltally.config.publisher import PublishResult
from lentiltally.decisions.claims import ClaimStatus, SettleRecord
from lentiltally.decisions.quarantine import LiftRecord, Quarantined

MAX_SHOWN_CHARACTERS = 500


class TreeSource(Protocol):
    """Gives the configuration in force, as FollowerThread does."""

    @property
    def tree(self) -> ConfigTree | None:
        """Return the configuration, or None before the start."""
        ...


class ChangePublisher(Protocol):
    """Publishes changes, as Publisher does."""

    def publish(self, record: ChangeRecord) -> PublishResult:
        """Append a record and wait until it is decided."""
        ...


class HistorySource(Protocol):
    """Finds earlier values, as ChangeHistory does."""

    def entries(self, path: str) -> list[HistoryEntry]:
        """Return the changes of a path, oldest first."""
        ...


class StatusSource(Protocol):
    """Gives the status of the process and of what it sees."""

    def status(self) -> dict[str, Any]:
        """Return a document that can be encoded as JSON."""
        ...


class Operations(Protocol):
    """The claims and the quarantine of the process, as it follows them."""

    def claim(self, team: str, key: str) -> ClaimStatus:
        """Return who holds a key and what became of the claim."""
        ...

    def settle(self, record: SettleRecord) -> None:
        """Append an operator's finding; raises LogError."""
        ...

    def quarantined(self) -> list[Quarantined]:
        """Return the quarantined fingerprints."""
        ...

    def lift(self, record: LiftRecord) -> None:
        """Append the end of a quarantine; raises LogError."""
        ...


@dataclass(frozen=True, slots=True)
class Services:
    """The parts of the process that the API reads and writes."""

    trees: TreeSource
    publisher: ChangePublisher
    audit: AuditLog
    status: StatusSource
    history: HistorySource
    clock: Clock
    operations: Operations | None = None

    def tree(self) -> ConfigTree:
        """Return the configuration; raises ProblemError before the start."""
        tree = self.trees.tree
        if tree is None:
            raise ProblemError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                "the configuration has not been read yet",
                headers={"Retry-After": "1"},
                executed="no",
            )
        return tree


@dataclass(frozen=True, slots=True)
class Call:
    """One request with its author's token and the configuration it is read with."""

    request: Request
    token: Token
    services: Services

    def require(self, access: Literal["read", "write"], path: str) -> None:
        """Raise ProblemError unless the token allows the access."""
        if self.token.may(access, path):
            return
        self.record("unauthorised", path, reason=f"no {access} scope")
        problem = ProblemError(
            HTTPStatus.FORBIDDEN, f"the token has no {access} scope for {path[:200]}"
        )
        problem.is_recorded = True
        raise problem

    def parse_path(self, text: str) -> str:
        """Return a valid configuration path; raises ProblemError."""
        try:
            return str(parse_path(text))
        except ConfigInvalidError as error:
            raise ProblemError(
                HTTPStatus.NOT_FOUND, str(error.problems[0].reason), path=text[:200]
            ) from None

    def record(
        self, outcome: Outcome, path: str, *, reason: str = "", after: object = None
    ) -> None:
        """Keep an audit record of something that did not change anything."""
        tree = self.services.trees.tree
        self.services.audit.record(
            AuditRecord(
                at=self.services.clock.now(),
                actor=self.token.actor,
                source_address=self.request.source_address,
                action=self.request.method,
                path=path[:200],
                outcome=outcome,
                config_offset=tree.offset if tree is not None else 0,
                after=None if after is None else repr(after)[:MAX_SHOWN_CHARACTERS],
                reason=reason[:MAX_SHOWN_CHARACTERS],
            )
        )
