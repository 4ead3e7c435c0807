"""Splits the event stream of a target into events and checks their ids.

A stream is delivered event by event. If it breaks, another target can continue it after
the last delivered event. The caller must never miss an event or get one twice, so the
ids have to be consecutive.
"""

from __future__ import annotations

from dataclasses import dataclass

from lentiltally.decisions.message_size import MessageLimits, MessageSize

__all__ = ["EventStream", "StreamBroken"]

# A partial event is kept until it is complete. Events of the engines have some hundred
# bytes, but a faulty engine may send bytes without end.
EVENT_LIMITS = MessageLimits(max_bytes=256 * 1024, small_pieces=1024)
# An id fits 64 bits, so a header can name it.
MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StreamBroken(Exception):  # noqa: N818 - says what happened
    """The stream can't be continued.

    An event is missing or repeated, or its id is too long.
    """

    detail: str


class EventStream:
    """The part of a stream that one target produces."""

    __slots__ = ("_buffer", "_last_id", "_size", "complete_events")

    def __init__(self, resume_after: int | None) -> None:
        """Start after the last event that the caller has received, if any."""
        self._buffer = bytearray()
        self._last_id = resume_after
        self._size = MessageSize(EVENT_LIMITS)
        self.complete_events = 0

    @property
    def last_event_id(self) -> int | None:
        """Return the id of the last complete event, or the one to resume after."""
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Return whether the target has sent an event only in part."""
        return bool(self._buffer)

    @property
    def partial_bytes(self) -> int:
        """Return how much of an event is kept until it is complete."""
        return len(self._buffer)

    def received(self, data: bytes) -> bytes:
        """Add bytes from the target and return the events that they complete.

        Raises MessageTooLargeError if an event is too large, and StreamBroken if its id
        is too long or does not follow the last one.
        """
        # An event may come in many pieces, so what was searched is not searched again.
        searched_bytes = max(0, len(self._buffer) - 1)
        self._buffer += data
        end = self._buffer.rfind(b"\n\n", searched_bytes)
        if end < 0:
            self._size.add(len(data))
            return b""
        complete = bytes(self._buffer[: end + 2])
        del self._buffer[: end + 2]
        self._size = MessageSize(EVENT_LIMITS)
        self._size.add(len(self._buffer))
        for event in complete.split(b"\n\n"):
            if event.strip():
                self._check(event)
        return complete

    def _check(self, event: bytes) -> None:
        number = _parse_event_id(event)
        if number is None:
            # Comments and notices have no id and are passed on unchanged.
            return
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamBroken(f"event {number} follows event {self._last_id}")
        self._last_id = number
        self.complete_events += 1


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if value.isdigit() and len(value) > MAX_ID_DIGITS:
                raise StreamBroken(f"an event id exceeds {MAX_ID_DIGITS} digits")
            return int(value) if value.isdigit() else None
    return None
