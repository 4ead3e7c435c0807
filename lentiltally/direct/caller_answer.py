"""The answer to one caller, which several targets may contribute to."""

from __future__ import annotations

from collections.abc import Callable

from lentiltally.clock import Clock
from lentiltally.decisions.event_stream import EventStream
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.request import AnswerHead

__all__ = ["CallerAnswer"]


class CallerAnswer:
    """Writes a stream event by event, or a complete answer at once.

    The head of a stream is sent with the first complete event. If a target fails before
    that, the caller has received nothing yet and can still get another answer.
    ``on_started`` is called when the head of a stream is sent.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_head",
        "_last_at_s",
        "first_at_s",
        "is_aborted",
        "is_complete",
        "is_started",
        "longest_gap_s",
        "on_started",
        "stream",
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
        self.stream = EventStream(resume_after)
        self.is_started = False
        self.is_complete = False
        self.is_aborted = False
        self.on_started: Callable[[], None] = lambda: None

    def head_received(self, head: AnswerHead) -> None:
        """Keep the head of the first target; others continue the same answer."""
        if not self.is_started:
            self._head = head
        self.stream.discard_partial_event()

    def can_continue_with(self, head: AnswerHead) -> bool:
        """Return whether an answer may follow what the caller has received.

        To a stream that has begun, only one of the same kind can add events. Any other
        answer would end up in the middle of the stream, or end it as if it were whole.
        """
        first = self._head
        if not self.is_started or first is None:
            return True
        return (head.status, head.media_type) == (first.status, first.media_type)

    async def data_received(self, data: bytes) -> bool:
        """Forward the complete events in the data; return whether there were any."""
        events = self.stream.received(data)
        if not events:
            return False
        self._send_head()
        self._record_event_times()
        self._connection.send_data(events)
        await self._connection.drain()
        return True

    def end_stream(self) -> None:
        """Complete the stream."""
        self._send_head()
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

    def _send_head(self) -> None:
        if not self.is_started and self._head is not None:
            self.is_started = True
            self.on_started()
            headers = list(self._head.headers)
            headers.append((b"Transfer-Encoding", b"chunked"))
            self._connection.start_answer(self._head.status, headers)
