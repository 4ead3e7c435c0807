"""What counts as progress of a target's answer, and when an answer counts as stalled.

A stalled target may send a byte now and then, so bytes alone are no progress. A stream
makes progress with each complete event, another answer with each kilobyte of its body.
A slow target that makes progress is never cut.
"""

from __future__ import annotations

from lentiltally.decisions.target_timeouts import TargetTimeouts

__all__ = ["AnswerProgress"]

# A body that is shorter has to be complete within one gap.
MIN_BODY_PROGRESS_BYTES = 1024


class AnswerProgress:
    """Follows one answer from its head on.

    ``stalled_at_s`` is when the answer counts as stalled unless it makes progress
    before, in seconds of the caller's clock; None means never, because no other target
    may take over.
    """

    __slots__ = ("_gap_s", "_pending_bytes", "stalled_at_s")

    def __init__(self, timeouts: TargetTimeouts, now_s: float) -> None:
        """Start when the head of the answer has arrived."""
        self._gap_s = timeouts.event_gap_s
        self._pending_bytes = 0
        first_s = timeouts.first_byte_s
        self.stalled_at_s = None if first_s is None else now_s + first_s

    def event_completed(self, now_s: float) -> None:
        """Note that at least one event of a stream is complete."""
        self.stalled_at_s = None if self._gap_s is None else now_s + self._gap_s

    def body_received(self, size_bytes: int, now_s: float) -> None:
        """Note a part of a body that is no stream."""
        self._pending_bytes += size_bytes
        if self._pending_bytes >= MIN_BODY_PROGRESS_BYTES:
            self._pending_bytes = 0
            self.event_completed(now_s)
