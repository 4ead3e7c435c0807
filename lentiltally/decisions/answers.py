"""Assembly of one answer at the entry from the messages of its attempt.

Messages can be lost, delayed, duplicated or reordered. The caller gets each event once
and in order, and the answer is complete only when every event was delivered.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lentiltally.wire.messages import (
    AnswerEnd,
    AnswerEvents,
    AnswerHead,
    CompleteAnswer,
    Refused,
)

# The agent sends Progress once a second, so three in a row are missing after 3 s.
AGENT_TIMEOUT_S = 3.0
# Without this interval between equal Resume messages, each message that is in flight
# when a gap is found would cause another one.
RESUME_INTERVAL_S = 0.5
_EVENT_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class DeliverHead:
    """Send status and content type to the caller."""

    status: int
    content_type: str


@dataclass(frozen=True, slots=True)
class DeliverEvents:
    """Send ``count`` encoded events to the caller, the first with ``first_index``."""

    data: bytes
    first_index: int
    count: int


@dataclass(frozen=True, slots=True)
class DeliverCompleteAnswer:
    """Send an answer that arrived in one message to the caller."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Complete:
    """The whole answer was delivered; end the response and send ``Release``."""


@dataclass(frozen=True, slots=True)
class RequestResume:
    """Ask the agent with ``Resume`` for the events from ``next_index``."""

    next_index: int


@dataclass(frozen=True, slots=True)
class Reconnect:
    """Open a new connection to the agent; the present one may be dead."""


@dataclass(frozen=True, slots=True)
class Failed:
    """The answer can't be completed; ``executed`` is ``no`` or ``unknown``."""

    executed: str
    reason: str
    retry_after_s: float


AnswerAction = (
    DeliverHead
    | DeliverEvents
    | DeliverCompleteAnswer
    | Complete
    | RequestResume
    | Reconnect
    | Failed
)
AnswerMessage = AnswerHead | AnswerEvents | AnswerEnd | CompleteAnswer | Refused


class AnswerAssembly:
    """The answer of one attempt, as far as it was delivered to the caller."""

    def __init__(self, attempt_id: str, now_s: float) -> None:
        """Start without any message of the attempt."""
        self._attempt_id = attempt_id
        self._last_message_at_s = now_s
        self._last_answer_message_at_s = now_s
        self._last_resume_at_s = now_s
        self._has_gap = False
        self._last_resume_index = -1
        self._has_head = False
        self._next_index = 0
        self._total: int | None = None
        self._is_over = False

    @property
    def is_over(self) -> bool:
        """Return whether the answer is complete or has failed."""
        return self._is_over

    @property
    def has_delivered(self) -> bool:
        """Return whether any part of the answer was delivered."""
        return self._has_head

    @property
    def next_index(self) -> int:
        """Return the index of the next event to deliver."""
        return self._next_index

    def received(self, message: AnswerMessage, now_s: float) -> list[AnswerAction]:
        """Apply a message; those of other attempts or after the end are ignored."""
        if message.attempt_id != self._attempt_id or self._is_over:
            return []
        self._last_message_at_s = self._last_answer_message_at_s = now_s
        self._has_gap = False
        match message:
            case AnswerHead():
                return self._head(message, now_s)
            case AnswerEvents():
                return self._events(message, now_s)
            case AnswerEnd():
                self._total = message.total
                return self._check_end(now_s)
            case CompleteAnswer():
                return self._complete_answer(message)
            case Refused():
                return self._refused(message)

    def progress(self, next_index: int, now_s: float) -> list[AnswerAction]:
        """Apply the agent's report of the index of the next event that it will send.

        If the index is beyond the delivered events, those between may still be in
        flight. If no message has arrived by the next report either, they are lost.
        """
        self._last_message_at_s = now_s
        had_gap, self._has_gap = self._has_gap, next_index > self._next_index
        if self._is_over or not (had_gap and self._has_gap):
            return []
        return self._resume(now_s)

    def tick(self, now_s: float) -> list[AnswerAction]:
        """Check the timeouts; called about once a second.

        Without any message from the agent the connection is replaced. If the agent only
        reports progress, the end of the answer may be lost and is requested again.
        """
        if self._is_over:
            return []
        if now_s - self._last_message_at_s >= AGENT_TIMEOUT_S:
            self._last_message_at_s = self._last_resume_at_s = now_s
            return [Reconnect(), RequestResume(self._next_index)]
        since_answer_s = now_s - max(
            self._last_answer_message_at_s, self._last_resume_at_s
        )
        return self._resume(now_s) if since_answer_s >= AGENT_TIMEOUT_S else []

    def agent_incarnation_ended(self) -> list[AnswerAction]:
        """End the answer because the agent incarnation that sent it has ended.

        That is certain once the process at its address has answered as another
        incarnation. A state report of another incarnation is not enough, because that
        one may be the older.
        """
        return self._fail("unknown", "the agent run is gone", 0.0)

    def _head(self, message: AnswerHead, now_s: float) -> list[AnswerAction]:
        if self._has_head:
            return []
        self._has_head = True
        head = DeliverHead(message.status, message.content_type)
        return [head, *self._check_end(now_s)]

    def _events(self, message: AnswerEvents, now_s: float) -> list[AnswerAction]:
        end = message.first_index + message.count
        if end <= self._next_index:
            return []
        if not self._has_head or message.first_index > self._next_index:
            return self._resume(now_s)
        data = _skip_events(message, self._next_index - message.first_index)
        if data is None:
            return self._resume(now_s)
        first_index, self._next_index = self._next_index, end
        delivery = DeliverEvents(data, first_index, end - first_index)
        return [delivery, *self._check_end(now_s)]

    def _check_end(self, now_s: float) -> list[AnswerAction]:
        if self._total is None:
            return []
        if self._next_index > self._total:
            return self._fail("unknown", "the answer is longer than announced", 0.0)
        if not self._has_head or self._next_index < self._total:
            return self._resume(now_s)
        self._is_over = True
        return [Complete()]

    def _complete_answer(self, message: CompleteAnswer) -> list[AnswerAction]:
        if self._has_head:
            return self._fail("unknown", "two kinds of answer to one attempt", 0.0)
        self._has_head = True
        self._is_over = True
        answer = DeliverCompleteAnswer(
            message.status, message.content_type, message.body
        )
        return [answer, Complete()]

    def _refused(self, message: Refused) -> list[AnswerAction]:
        # A part of the answer was delivered, so the attempt may have been executed,
        # whatever the refusal says.
        executed = "unknown" if self._has_head else message.executed
        return self._fail(executed, message.reason, message.retry_after_s)

    def _fail(
        self, executed: str, reason: str, retry_after_s: float
    ) -> list[AnswerAction]:
        if self._is_over:
            return []
        self._is_over = True
        return [Failed(executed, reason, retry_after_s)]

    def _resume(self, now_s: float) -> list[AnswerAction]:
        is_repeat = self._last_resume_index == self._next_index
        if is_repeat and now_s - self._last_resume_at_s < RESUME_INTERVAL_S:
            return []
        self._last_resume_at_s = now_s
        self._last_resume_index = self._next_index
        return [RequestResume(self._next_index)]


def split_events(data: bytes) -> Sequence[bytes]:
    """Return the encoded events in ``data``, each with the blank line that ends it."""
    return [part + _EVENT_END for part in data.split(_EVENT_END) if part]


def _skip_events(message: AnswerEvents, skipped: int) -> bytes | None:
    """Return the data after ``skipped`` events, or None if it is malformed."""
    if skipped == 0:
        return message.data
    events = split_events(message.data)
    if len(events) != message.count:
        return None
    return b"".join(events[skipped:])
