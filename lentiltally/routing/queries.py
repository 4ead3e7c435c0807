"""Queries agents about the state of claims."""

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
    """Sends claim queries and waits for their answers; thread-safe."""

    def __init__(
        self,
        outboxes: Outboxes,
        directory: TargetDirectory,
        reply_address: str,
        ids: AttemptIds,
    ) -> None:
        """``ids`` yields the query ids, which only have to be unique."""
        self._outboxes = outboxes
        self._directory = directory
        self._reply_address = reply_address
        self._ids = ids
        self._pending: dict[str, queue.SimpleQueue[ClaimAnswer]] = {}
        self._lock = threading.Lock()

    def query(self, claim: Open, timeout_s: float) -> ClaimAnswer | None:
        """Return the answer of the agent that the claim is bound to.

        None if the agent's address is not known or it does not answer in time.
        """
        address = self._directory.agent_address(claim.agent)
        if address is None:
            return None
        query_id = self._ids.next()
        answers: queue.SimpleQueue[ClaimAnswer] = queue.SimpleQueue()
        with self._lock:
            self._pending[query_id] = answers
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
            _log.info("claim query failed", extra={"error": repr(error)})
            return None
        finally:
            with self._lock:
                del self._pending[query_id]

    def deliver(self, answer: ClaimAnswer) -> None:
        """Pass an answer to its query, or drop it if the query has timed out."""
        with self._lock:
            pending = self._pending.get(answer.query_id)
        if pending is not None:
            pending.put(answer)
