"""Asks agents what became of claims."""

from __future__ import annotations

import logging
import queue
import threading

from lentiltally.decisions.claims import Open
from lentiltally.ids import AttemptIds
from lentiltally.routing.targets import TargetDirectory
from lentiltally.wire import ChannelError, ClaimAnswer, ClaimQuery, Outboxes

_log = logging.getLogger(__name__)


class ClaimQueries:
    """Sends claim queries and waits for their answers; safe for several threads."""

    def __init__(
        self,
        outboxes: Outboxes,
        directory: TargetDirectory,
        reply_address: str,
        ids: AttemptIds,
    ) -> None:
        """``ids`` numbers the queries; any series that never repeats will do."""
        self._outboxes = outboxes
        self._directory = directory
        self._reply_address = reply_address
        self._ids = ids
        self._waiting: dict[str, queue.SimpleQueue[ClaimAnswer]] = {}
        self._lock = threading.Lock()

    def ask(self, claim: Open, timeout_s: float) -> ClaimAnswer | None:
        """Return the bound agent's answer, or None if it gave none in time."""
        address = self._directory.agent_address(claim.agent)
        if address is None:
            return None
        query_id = self._ids.next()
        answers: queue.SimpleQueue[ClaimAnswer] = queue.SimpleQueue()
        with self._lock:
            self._waiting[query_id] = answers
        try:
            self._outboxes.put(
                address,
                ClaimQuery(
                    query_id,
                    self._reply_address,
                    claim.agent_incarnation,
                    claim.claim_id,
                ),
            )
            return answers.get(timeout=timeout_s)
        except (ChannelError, queue.Empty) as error:
            _log.info("claim query not answered", extra={"error": repr(error)})
            return None
        finally:
            with self._lock:
                del self._waiting[query_id]

    def deliver(self, answer: ClaimAnswer) -> None:
        """Hand an answer to its query; a late one is dropped."""
        with self._lock:
            waiting = self._waiting.get(answer.query_id)
        if waiting is not None:
            waiting.put(answer)
