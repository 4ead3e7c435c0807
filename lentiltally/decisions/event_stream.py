"""Splits a target's event stream into whole events and checks their ids.

A stream is delivered event by event. If it breaks, it can go on at another target after
the last delivered event; an event that is missing or repeated must never reach the
caller, so ids have to follow each other.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EventStream", "StreamBroken"]


@dataclass(frozen=True, slots=True)
class StreamBroken(Exception):  # noqa: N818 - the usual word for it
    """The target's bytes can't be continued: an id is missing, repeated or absent."""

    detail: str


class EventStream:
    """The state of one stream towards its caller, over all targets that run it."""

    __slots__ = ("_buffer", "_last_id", "delivered_events")

    def __init__(self, resume_after: int | None) -> None:
        """Start after an event, if the caller wants the stream to go on there."""
        self._buffer = bytearray()
        self._last_id = resume_after
        self.delivered_events = 0

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that was delivered or asked to follow."""
        return self._last_id

    @property
    def has_partial_event(self) -> bool:
        """Return whether the target has sent a part of an event only."""
        return bool(self._buffer)

    def received(self, data: bytes) -> bytes:
        """Take bytes of the target and return the whole events among them.

        Raises StreamBroken if an event's id does not follow the last one.
        """
        self._buffer += data
        end = self._buffer.rfind(b"\n\n")
        if end < 0:
            return b""
        whole = bytes(self._buffer[: end + 2])
        del self._buffer[: end + 2]
        for event in whole.split(b"\n\n"):
            if event.strip():
                self._check(event)
        return whole

    def discard_partial_event(self) -> None:
        """Forget a part of an event, because another target goes on."""
        self._buffer.clear()

    def _check(self, event: bytes) -> None:
        number = _event_id(event)
        if number is None:
            # Comments and notices carry no id and are passed on as they are.
            return
        if self._last_id is not None and number != self._last_id + 1:
            raise StreamBroken(f"event {number} follows event {self._last_id}")
        self._last_id = number
        self.delivered_events += 1


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
