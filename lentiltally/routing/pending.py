"""The entry's open attempts, and the delivery of agents' messages to them."""

from __future__ import annotations

import queue
import threading

from lentiltally.wire import (
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    CompleteAnswer,
    Progress,
    Refused,
)

AttemptMessage = AnswerHead | AnswerEvents | AnswerEnd | CompleteAnswer | Refused


class PendingAttempt:
    """One attempt that waits for its answer.

    The inbox thread puts messages in; the request's own thread takes them out.
    """

    def __init__(self, attempt_id: str, agent_incarnation: str) -> None:
        """Start with no message."""
        self.attempt_id = attempt_id
        self.agent_incarnation = agent_incarnation
        self.must_ask = False
        self._messages: queue.SimpleQueue[AttemptMessage | int | None] = (
            queue.SimpleQueue()
        )

    def put(self, message: AttemptMessage) -> None:
        """Deliver a message of the attempt."""
        self._messages.put(message)

    def take(self, timeout_s: float) -> AttemptMessage | int | None:
        """Return the next message, or None after the timeout or a wake-up.

        A number is the agent's next index, from a progress message.
        """
        try:
            return self._messages.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None

    def take_now(self) -> AttemptMessage | int | None:
        """Return the next message if there is one."""
        try:
            return self._messages.get_nowait()
        except queue.Empty:
            return None

    def progressed(self, next_index: int) -> None:
        """Deliver the agent's word that it works on the attempt, and where it is."""
        self._messages.put(next_index)

    def agent_gone(self) -> None:
        """Note that the agent run which had the attempt seems to have ended.

        The state that says so may be an earlier run's, so the process that listens at
        the agent's address is asked.
        """
        self.must_ask = True
        self._messages.put(None)


class PendingAttempts:
    """All open attempts of the entry, by attempt id."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_id: dict[str, PendingAttempt] = {}
        self._lock = threading.Lock()

    def open(self, attempt_id: str, agent_incarnation: str) -> PendingAttempt:
        """Register an attempt before it is sent."""
        pending = PendingAttempt(attempt_id, agent_incarnation)
        with self._lock:
            self._by_id[attempt_id] = pending
        return pending

    def close(self, attempt_id: str) -> None:
        """Forget an attempt; later messages of it are dropped."""
        with self._lock:
            self._by_id.pop(attempt_id, None)

    def deliver(self, message: AttemptMessage) -> None:
        """Hand a message to its attempt, or drop it if the attempt is closed."""
        pending = self._by_id.get(message.attempt_id)
        if pending is not None:
            pending.put(message)

    def progress(self, message: Progress) -> None:
        """Note which attempts their agent still works on."""
        for attempt_id, next_index in message.attempts.items():
            pending = self._by_id.get(attempt_id)
            if pending is not None:
                pending.progressed(next_index)

    def agent_restarted(self, old_incarnation: str) -> None:
        """Tell the attempts of an agent run that has ended."""
        with self._lock:
            affected = [
                pending
                for pending in self._by_id.values()
                if pending.agent_incarnation == old_incarnation
            ]
        for pending in affected:
            pending.agent_gone()

    def count(self) -> int:
        """Return how many attempts are open."""
        return len(self._by_id)
