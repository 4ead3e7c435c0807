"""The status of an entry and of the targets that it knows, for operators."""

from __future__ import annotations

from typing import Any

from lentiltally.config import FollowerThread
from lentiltally.entry.quarantine_log import QuarantineLog
from lentiltally.routing.pending import PendingAttempts
from lentiltally.routing.targets import TargetDirectory
from lentiltally.settings import EntrySettings


class EntryStatus:
    """Builds the document of ``GET /status``."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        *,
        config: FollowerThread,
        directory: TargetDirectory,
        pending: PendingAttempts,
        quarantine: QuarantineLog,
    ) -> None:
        """Take the parts of the entry whose state is shown."""
        self._settings = settings
        self._incarnation = incarnation
        self._config = config
        self._directory = directory
        self._pending = pending
        self._quarantine = quarantine

    def status(self) -> dict[str, Any]:
        """Return the document, ready to be encoded as JSON."""
        follower = self._config.follower
        process = self._settings.process
        return {
            "process": {
                "role": process.role,
                "name": process.name,
                "region": process.region,
                "failure_domain": process.failure_domain,
                "incarnation": self._incarnation,
                "open_attempts": self._pending.count(),
            },
            "configuration": {
                "offset": follower.offset,
                "lag_records": follower.lag,
                "state": follower.state.value,
                "unread_s": follower.staleness_s(),
            },
            "targets": [
                {
                    "target": state.target,
                    "kind": state.kind,
                    "agent": state.agent,
                    "agent_incarnation": state.agent_incarnation,
                    "engine_incarnation": state.engine_incarnation,
                    "failure_domain": state.failure_domain,
                    "status": state.status,
                    "eligible": reason,
                    "queued": state.counts.queued,
                    "running": state.counts.running,
                    "free_slots": state.counts.free_slots,
                    "resident_adapters": len(state.resident),
                    "config_offset": self._directory.config_offset(state.agent),
                }
                for state, reason in self._directory.states()
            ],
            "quarantined": [
                {"fingerprint": request.fingerprint, "target": request.target}
                for request in self._quarantine.quarantined()
            ],
        }
