"""The administration API of an entry and its background threads."""

from __future__ import annotations

import random
import threading
from datetime import UTC, datetime

from cheroot import wsgi

from lentiltally.admin import AdminApplication, AuditLog, Scope, Token, Tokens
from lentiltally.admin.context import Operations, StatusSource
from lentiltally.clock import Clock
from lentiltally.config import (
    ChangeHistory,
    FollowerThread,
    PeriodicThread,
    Publisher,
    SnapshotWriter,
)
from lentiltally.decisions.claims import ClaimStatus, SettleRecord
from lentiltally.decisions.quarantine import LiftRecord, Quarantined
from lentiltally.entry.quarantine_log import QuarantineLog
from lentiltally.entry.server import new_server
from lentiltally.platform.log_client import LogClient
from lentiltally.routing.claims import ClaimLog
from lentiltally.settings import EntrySettings, TokenSettings

AUDIT_FLUSH_INTERVAL_S = 0.25
SNAPSHOT_CHECK_INTERVAL_S = 10.0
MAX_BODY_BYTES = 8 * 1024 * 1024
NO_EXPIRY = datetime.max.replace(tzinfo=UTC)


class Administration:
    """The listener of the administration API and its background threads.

    Every entry has one, because there is no separate host for administration.
    """

    def __init__(
        self,
        settings: EntrySettings,
        log: LogClient,
        config: FollowerThread,
        *,
        status: StatusSource,
        operations: Operations,
        clock: Clock,
    ) -> None:
        """Bind the listener; raises OSError if its address is in use."""
        self._audit = AuditLog(log)
        application = AdminApplication(
            config,
            Publisher(log, config, clock),
            self._audit,
            Tokens([_token(token) for token in settings.admin.tokens]),
            status_source=status,
            clock=clock,
            history=ChangeHistory(log, config),
            operations=operations,
        )
        self._server: wsgi.Server = new_server(
            settings.admin.listen,
            application,
            settings.admin.threads,
            certificate=settings.admin.tls_certificate,
            key=settings.admin.tls_key,
            read_timeout_s=settings.callers.read_timeout_s,
            max_header_bytes=settings.callers.max_header_bytes,
            max_body_bytes=MAX_BODY_BYTES,
        )
        self._server.prepare()
        snapshots = SnapshotWriter(
            log, config, clock, settings.log.retention_s / 3, random.Random()
        )
        self._threads = (
            PeriodicThread("audit", self._audit.flush, AUDIT_FLUSH_INTERVAL_S),
            PeriodicThread(
                "snapshots", snapshots.write_if_due, SNAPSHOT_CHECK_INTERVAL_S
            ),
        )

    def start(self) -> None:
        """Start the listener and the threads."""
        threading.Thread(target=self._server.serve, daemon=True).start()
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the listener and the threads, and append the queued audit records."""
        self._server.stop()
        for thread in self._threads:
            thread.stop()
        self._audit.flush()


class EntryOperations:
    """The claims and the quarantine of an entry, for the administration API."""

    def __init__(self, claims: ClaimLog, quarantine: QuarantineLog) -> None:
        """Take the entry's copies of the claims and of the quarantine."""
        self._claims = claims
        self._quarantine = quarantine

    def claim(self, team: str, key: str) -> ClaimStatus:
        """Return the state of the claim on an idempotency key."""
        return self._claims.status_for_any_body(team, key)

    def settle(self, record: SettleRecord) -> None:
        """Append whether an operator found the work executed; raises LogError."""
        self._claims.settle(record)

    def quarantined(self) -> list[Quarantined]:
        """Return the quarantined requests."""
        return self._quarantine.quarantined()

    def lift(self, record: LiftRecord) -> None:
        """Append a record that lifts a quarantine; raises LogError."""
        self._quarantine.lift(record)


def _token(settings: TokenSettings) -> Token:
    """Return a token that may read and write at and below each of its scopes."""
    return Token(
        actor=settings.name,
        sha256=settings.sha256,
        expires_at=settings.expires or NO_EXPIRY,
        scopes=tuple(Scope(prefix, "write") for prefix in settings.scopes),
    )
