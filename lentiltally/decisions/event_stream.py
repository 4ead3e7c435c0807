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
EVENT_END = b"\n\n"
DATA = b"data"
# An id fits 64 bits, so a header can name it.
MAX_ID_DIGITS = 18


@dataclass(frozen=True, slots=True)
class StreamBroken(Exception):  # noqa: N818 - says what happened
    """The stream can't be continued.

    An event is missing or repeated, or its id is too long.
    """

    detail: str


class EventStream:
    """The part of a stream that one target produces.

    Events that say nothing are held back until one that does: a faulty target may send
    them without end, and a stream that has begun with them can't be answered
    otherwise any more. These are comments, and in a stream that another target may
    continue (``needs_ids``) all events without an id. ``checked_events`` counts the
    events of the last data.
    """

    __slots__ = (
        "_buffer",
        "_held",
        "_last_id",
        "_needs_ids",
        "_size",
        "checked_events",
        "complete_events",
    )

    def __init__(self, resume_after: int | None, *, needs_ids: bool = False) -> None:
        """Start after the last event that the caller has received, if any."""
        self._buffer = bytearray()
        self._held = bytearray()
        self._last_id = resume_after
        self._needs_ids = needs_ids
        self._size = MessageSize(EVENT_LIMITS)
        self.checked_events = 0
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
        """Return how much is kept until an event is complete that says something."""
        return len(self._buffer) + len(self._held)

    @property
    def held_back(self) -> bytes:
        """Return the complete events that no other event has followed yet."""
        return bytes(self._held)

    def received(self, data: bytes) -> bytes:
        """Add bytes from the target and return the events that they complete.

        Raises MessageTooLargeError if an event is too large, also with what is held
        back before it, and StreamBroken if its id is too long or does not follow the
        last one.
        """
        # An event may come in many pieces, so what was searched is not searched again.
        searched_bytes = max(0, len(self._buffer) - 1)
        self._buffer += data
        self.checked_events = 0
        end = self._buffer.rfind(EVENT_END, searched_bytes)
        if end < 0:
            self._size.add(len(data))
            return b""
        complete = bytes(self._buffer[: end + len(EVENT_END)])
        del self._buffer[: end + len(EVENT_END)]
        told_bytes = self._check_events(complete)
        if not told_bytes:
            self._held += complete
            self._size.add(len(data), self.checked_events)
            return b""
        events = bytes(self._held) + complete[:told_bytes]
        self._held[:] = complete[told_bytes:]
        self._size = MessageSize(EVENT_LIMITS)
        self._size.add(self.partial_bytes)
        return events

    def _check_events(self, events: bytes) -> int:
        """Check complete events; return where the last one ends that says something."""
        told_bytes = start = 0
        while (end := events.find(EVENT_END, start)) >= 0:
            self.checked_events += 1
            if self._says_something(events[start:end]):
                told_bytes = end + len(EVENT_END)
            start = end + len(EVENT_END)
        return told_bytes

    def _says_something(self, event: bytes) -> bool:
        number = _parse_event_id(event)
        if number is None:
            has_data = event.startswith(DATA) or b"\n" + DATA in event
            return has_data and not self._needs_ids
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamBroken(f"event {number} follows event {self._last_id}")
        self._last_id = number
        self.complete_events += 1
        return True


def _parse_event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            if value.isdigit() and len(value) > MAX_ID_DIGITS:
                raise StreamBroken(f"an event id exceeds {MAX_ID_DIGITS} digits")
            return int(value) if value.isdigit() else None
    return None
