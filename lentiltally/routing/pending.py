"""The entry's open attempts and the routing of agents' messages to them."""

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

# Why an attempt fails that is open when the time of a stop is over.
ENTRY_STOPPED = "entry-stopped"

AttemptMessage = AnswerHead | AnswerEvents | AnswerEnd | CompleteAnswer | Refused


class PendingAttempt:
    """The message queue of one attempt that has not been answered completely.

    The inbox thread puts messages; the thread of the request gets them.
    """

    def __init__(self, attempt_id: str, agent_incarnation: str) -> None:
        """Start with an empty queue."""
        self.attempt_id = attempt_id
        self.agent_incarnation = agent_incarnation
        self.must_request_resume = False
        self.is_ended = False
        self._messages: queue.SimpleQueue[AttemptMessage | int | None] = (
            queue.SimpleQueue()
        )

    def put(self, message: AttemptMessage) -> None:
        """Queue a message of the attempt."""
        self._messages.put(message)

    def get(self, timeout_s: float) -> AttemptMessage | int | None:
        """Return the next message; None after the timeout or an agent restart.

        An integer is the index of the next event at the agent, from a progress message.
        """
        try:
            return self._messages.get(timeout=max(0.0, timeout_s))
        except queue.Empty:
            return None

    def get_nowait(self) -> AttemptMessage | int | None:
        """Return the next message, or None if there is none."""
        try:
            return self._messages.get_nowait()
        except queue.Empty:
            return None

    def put_progress(self, next_index: int) -> None:
        """Queue the index of the attempt's next event, as the agent reports it."""
        self._messages.put(next_index)

    def on_agent_restart(self) -> None:
        """Request a resume, as the attempt's agent incarnation seems to have ended.

        The state report that indicates a restart may be a delayed one from an earlier
        incarnation, so the process that listens at the agent's address has to answer.
        """
        self.must_request_resume = True
        self._messages.put(None)

    def end(self) -> None:
        """End the attempt once the messages that have arrived are read."""
        self.is_ended = True
        self._messages.put(None)


class PendingAttempts:
    """All open attempts of the entry, by attempt id."""

    def __init__(self) -> None:
        """Start without attempts."""
        self._by_id: dict[str, PendingAttempt] = {}
        self._is_ended = False
        self._lock = threading.Lock()

    def open(self, attempt_id: str, agent_incarnation: str) -> PendingAttempt:
        """Register an attempt before it is sent."""
        pending = PendingAttempt(attempt_id, agent_incarnation)
        with self._lock:
            pending.is_ended = self._is_ended
            self._by_id[attempt_id] = pending
        return pending

    def close(self, attempt_id: str) -> None:
        """Remove an attempt; later messages of it are dropped."""
        with self._lock:
            self._by_id.pop(attempt_id, None)

    def deliver(self, message: AttemptMessage) -> None:
        """Pass a message to its attempt, or drop it if the attempt is closed."""
        pending = self._by_id.get(message.attempt_id)
        if pending is not None:
            pending.put(message)

    def deliver_progress(self, message: Progress) -> None:
        """Pass an agent's progress report to the attempts that it lists."""
        for attempt_id, next_index in message.attempts.items():
            pending = self._by_id.get(attempt_id)
            if pending is not None:
                pending.put_progress(next_index)

    def agent_restarted(self, old_incarnation: str) -> None:
        """Notify the attempts sent to the agent incarnation that has ended."""
        with self._lock:
            affected = [
                pending
                for pending in self._by_id.values()
                if pending.agent_incarnation == old_incarnation
            ]
        for pending in affected:
            pending.on_agent_restart()

    def end_all(self) -> None:
        """End all attempts, and those that are opened later: the process stops."""
        with self._lock:
            self._is_ended = True
            for pending in self._by_id.values():
                pending.end()

    def count(self) -> int:
        """Return the number of open attempts."""
        return len(self._by_id)
