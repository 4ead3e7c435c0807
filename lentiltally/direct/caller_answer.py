"""The answer to one caller, over all targets that take part in it."""

from __future__ import annotations

from lentiltally.clock import Clock
from lentiltally.decisions.event_stream import EventStream
from lentiltally.direct.caller_connection import CallerConnection
from lentiltally.direct.request import AnswerHead

__all__ = ["CallerAnswer"]


class CallerAnswer:
    """Writes a stream event by event, or a whole answer.

    The head of a stream is held until the first whole event, so that a target that
    fails before it leaves the caller's answer unbegun.
    """

    __slots__ = (
        "_clock",
        "_connection",
        "_head",
        "_last_at_s",
        "first_at_s",
        "is_broken_off",
        "is_complete",
        "is_started",
        "longest_gap_s",
        "stream",
    )

    def __init__(
        self, connection: CallerConnection, clock: Clock, resume_after: int | None
    ) -> None:
        """Answer on the connection."""
        self._connection = connection
        self._clock = clock
        self._last_at_s = 0.0
        self.first_at_s: float | None = None
        self.longest_gap_s = 0.0
        self._head: AnswerHead | None = None
        self.stream = EventStream(resume_after)
        self.is_started = False
        self.is_complete = False
        self.is_broken_off = False

    def head_received(self, head: AnswerHead) -> None:
        """Keep the head of the first target; later ones go on in the same answer."""
        if not self.is_started:
            self._head = head
        self.stream.discard_partial_event()

    async def data_received(self, data: bytes) -> bool:
        """Pass on the whole events in the data; return whether there were any."""
        events = self.stream.received(data)
        if not events:
            return False
        self._start()
        self._time_events()
        self._connection.send_data(events)
        await self._connection.drain()
        return True

    def end_stream(self) -> None:
        """Complete the stream."""
        self._start()
        self._connection.end_answer()
        self.is_complete = True

    def whole(self, head: AnswerHead, body: bytes) -> None:
        """Write an answer that was received whole."""
        self._connection.whole_answer(head.status, list(head.headers), body)
        self.is_started = self.is_complete = True

    def break_off(self) -> None:
        """End an unfinished stream so that the caller sees that it is unfinished."""
        self._connection.abort()
        self.is_broken_off = True

    def _time_events(self) -> None:
        now_s = self._clock.monotonic_s()
        if self.first_at_s is None:
            self.first_at_s = now_s
        else:
            self.longest_gap_s = max(self.longest_gap_s, now_s - self._last_at_s)
        self._last_at_s = now_s

    def _start(self) -> None:
        if not self.is_started and self._head is not None:
            self.is_started = True
            headers = list(self._head.headers)
            headers.append((b"Transfer-Encoding", b"chunked"))
            self._connection.start_answer(self._head.status, headers)
