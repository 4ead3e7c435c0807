"""The answer to one caller, which several targets may contribute to."""

from __future__ import annotations

from collections.abc import Callable

from lentiltally.clock import Clock
from lentiltally.decisions.event_stream import EventStream
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.request import AnswerHead

__all__ = ["AnswerPart", "CallerAnswer"]


class CallerAnswer:
    """Writes a stream event by event, or a complete answer at once.

    The head of a stream is sent with the first complete event. If a target fails before
    that, the caller has received nothing yet and can still get another answer.
    ``last_event_id`` is the last event that the caller has, also from an earlier
    connection, None if it has none.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_head",
        "_last_at_s",
        "delivered_events",
        "first_at_s",
        "is_aborted",
        "is_complete",
        "is_started",
        "last_event_id",
        "longest_gap_s",
    )

    def __init__(
        self, connection: CallerConnection, clock: Clock, resume_after: int | None
    ) -> None:
        """Answer on a connection; a stream continues after event ``resume_after``."""
        self._connection = connection
        self._clock = clock
        self._last_at_s = 0.0
        self.first_at_s: float | None = None
        self.longest_gap_s = 0.0
        self._head: AnswerHead | None = None
        self.last_event_id = resume_after
        self.delivered_events = 0
        self.is_started = False
        self.is_complete = False
        self.is_aborted = False

    def can_continue_with(self, head: AnswerHead) -> bool:
        """Return whether an answer may follow what the caller has received.

        To a stream that has begun, only one of the same kind can add events. Any other
        answer would end up in the middle of the stream, or end it as if it were whole.
        """
        first = self._head
        if not self.is_started or first is None:
            return True
        return (head.status, head.media_type) == (first.status, first.media_type)

    async def send_events(self, head: AnswerHead, events: bytes) -> None:
        """Forward complete events; they begin with the head if they are the first."""
        self._send_head(head)
        self._record_event_times()
        self._connection.send_data(events)
        await self._connection.drain()

    def end_stream(self, head: AnswerHead, last_events: bytes) -> None:
        """Complete the stream."""
        self._send_head(head)
        if last_events:
            self._connection.send_data(last_events)
        self._connection.end_answer()
        self.is_complete = True

    def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Write an answer that was received completely."""
        self._connection.send_answer(head.status, list(head.headers), body)
        self.is_started = self.is_complete = True

    def abort(self) -> None:
        """Abort the connection, so that the caller sees an incomplete stream."""
        self._connection.abort()
        self.is_aborted = True

    def _record_event_times(self) -> None:
        now_s = self._clock.monotonic_s()
        if self.first_at_s is None:
            self.first_at_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_at_s)
        self._last_at_s = now_s

    def _send_head(self, head: AnswerHead) -> None:
        if self.is_started:
            return
        self._head = head
        self.is_started = True
        headers = [*head.headers, (b"Transfer-Encoding", b"chunked")]
        self._connection.start_answer(head.status, headers)


class AnswerPart:
    """What one target contributes to the answer to a caller.

    Several targets may be under way, but only one may write: ``continue_answer`` is
    called right before each write, and ends the attempts at all others.
    """

    __slots__ = ("_answer", "_continue_answer", "_stream")

    def __init__(
        self,
        answer: CallerAnswer,
        continue_answer: Callable[[], None],
        *,
        is_resumable: bool,
    ) -> None:
        """Continue the answer after what the caller has received so far.

        A stream that ``is_resumable`` needs an id in each event.
        """
        self._answer = answer
        self._continue_answer = continue_answer
        self._stream = EventStream(answer.last_event_id, needs_ids=is_resumable)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the target has sent an event only in part."""
        return self._stream.has_partial_event

    @property
    def partial_bytes(self) -> int:
        """Return how much is kept until an event is complete that says something."""
        return self._stream.partial_bytes

    @property
    def checked_events(self) -> int:
        """Return how many events the last data had."""
        return self._stream.checked_events

    def can_continue_with(self, head: AnswerHead) -> bool:
        """Return whether the target's answer may follow what the caller has."""
        return self._answer.can_continue_with(head)

    async def data_received(self, head: AnswerHead, data: bytes) -> bool:
        """Forward complete events; return whether one of them says something."""
        events_before = self._stream.complete_events
        events = self._stream.received(data)
        if not events:
            return False
        self._continue_answer()
        answer = self._answer
        answer.last_event_id = self._stream.last_event_id
        answer.delivered_events += self._stream.complete_events - events_before
        await answer.send_events(head, events)
        return True

    def end_stream(self, head: AnswerHead) -> None:
        """Complete the stream."""
        self._continue_answer()
        self._answer.end_stream(head, self._stream.held_back)

    def send_whole(self, head: AnswerHead, body: bytes) -> None:
        """Write an answer that was received completely."""
        self._continue_answer()
        self._answer.send_whole(head, body)
