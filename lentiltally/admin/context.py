"""The call that a handler of the administration API gets, and its dependencies."""

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

MAX_RECORDED_CHARACTERS = 500


class TreeSource(Protocol):
    """Provides the configuration in force; FollowerThread implements it."""

    @property
    def tree(self) -> ConfigTree | None:
        """Return the configuration, or None before it has been read."""
        ...


class ChangePublisher(Protocol):
    """Publishes configuration changes; Publisher implements it."""

    def publish(self, record: ChangeRecord) -> PublishResult:
        """Append a record and wait until it has been accepted or refused."""
        ...


class HistorySource(Protocol):
    """Provides earlier values of paths; ChangeHistory implements it."""

    def entries(self, path: str) -> list[HistoryEntry]:
        """Return the retained changes of a path, oldest first."""
        ...


class StatusSource(Protocol):
    """Provides the document of ``GET /status``."""

    def status(self) -> dict[str, Any]:
        """Return a document that can be encoded as JSON."""
        ...


class Operations(Protocol):
    """The claims and the quarantine as read from the log, and changes to them."""

    def claim(self, team: str, key: str) -> ClaimStatus:
        """Return the state of the claim on an idempotency key."""
        ...

    def settle(self, record: SettleRecord) -> None:
        """Append an operator's finding whether the work ran; raises LogError."""
        ...

    def quarantined(self) -> list[Quarantined]:
        """Return the quarantined requests."""
        ...

    def lift(self, record: LiftRecord) -> None:
        """Append a record that lifts a quarantine; raises LogError."""
        ...


@dataclass(frozen=True, slots=True)
class Dependencies:
    """The parts of the process that the API reads and writes."""

    tree_source: TreeSource
    publisher: ChangePublisher
    audit: AuditLog
    status_source: StatusSource
    history: HistorySource
    clock: Clock
    operations: Operations | None = None

    def tree(self) -> ConfigTree:
        """Return the configuration; raises ProblemError before it has been read."""
        tree = self.tree_source.tree
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
    """One authenticated request, and what a handler needs to answer it."""

    request: Request
    token: Token
    dependencies: Dependencies

    def require(self, access: Literal["read", "write"], path: str) -> None:
        """Raise ProblemError unless the token allows the access; record a refusal."""
        if self.token.allows(access, path):
            return
        self.record_audit("unauthorised", path, reason=f"no {access} scope")
        problem = ProblemError(
            HTTPStatus.FORBIDDEN, f"the token has no {access} scope for {path[:200]}"
        )
        problem.is_audited = True
        raise problem

    def parse_path(self, text: str) -> str:
        """Return a valid configuration path; raises ProblemError."""
        try:
            return str(parse_path(text))
        except ConfigInvalidError as error:
            raise ProblemError(
                HTTPStatus.NOT_FOUND, str(error.problems[0].reason), path=text[:200]
            ) from None

    def record_audit(
        self, outcome: Outcome, path: str, *, reason: str = "", after: object = None
    ) -> None:
        """Queue an audit record of a request that published no configuration change."""
        tree = self.dependencies.tree_source.tree
        self.dependencies.audit.record(
            AuditRecord(
                at=self.dependencies.clock.now(),
                actor=self.token.actor,
                source_address=self.request.source_address,
                action=self.request.method,
                path=path[:200],
                outcome=outcome,
                config_offset=tree.offset if tree is not None else 0,
                after=None if after is None else repr(after)[:MAX_RECORDED_CHARACTERS],
                reason=reason[:MAX_RECORDED_CHARACTERS],
            )
        )
