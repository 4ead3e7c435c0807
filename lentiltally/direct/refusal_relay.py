"""Keeps what entries refuse, for entries that subscribe to an agent anew."""

from __future__ import annotations

from collections import OrderedDict

from lentiltally.direct.message_chunks import chunks
from lentiltally.direct.messages import (
    MAX_REFUSALS_PER_MESSAGE,
    ContentsCleared,
    Message,
    PartsSurvived,
    RefusedContents,
    RefusedParts,
)

__all__ = ["RefusalRelay"]

# Entries tell of refused parts about once a second in total, by different agents.
PARTS_RETENTION_S = 10.0
MAX_PARTS = 2_000
# A content is refused until it is tried, which may be much later; entries repeat it now
# and then.
CONTENTS_RETENTION_S = 600.0
MAX_CONTENTS = 2_000


class RefusalRelay:
    """The refusals that entries have told of lately."""

    def __init__(self) -> None:
        """Start without refusals."""
        # For each part the time of its trial, the wait before it in ms, and when it was
        # told.
        self._parts: OrderedDict[int, tuple[float, int, float]] = OrderedDict()
        # For each content the time of its trial, its trials, and when it was told.
        self._contents: OrderedDict[int, tuple[float, int, float]] = OrderedDict()

    def received(self, message: Message, now_s: float) -> None:
        """Keep the refusals of a message; other messages are ignored."""
        if isinstance(message, RefusedParts):
            for part, left_ms, wait_ms in message.parts:
                self._parts[part] = now_s + left_ms / 1000, wait_ms, now_s
                self._parts.move_to_end(part)
            while len(self._parts) > MAX_PARTS:
                self._parts.popitem(last=False)
        elif isinstance(message, PartsSurvived):
            for part in message.parts:
                self._parts.pop(part, None)
        elif isinstance(message, RefusedContents):
            for content, left_ms, trials in message.contents:
                self._contents[content] = now_s + left_ms / 1000, trials, now_s
                self._contents.move_to_end(content)
            while len(self._contents) > MAX_CONTENTS:
                self._contents.popitem(last=False)
        elif isinstance(message, ContentsCleared):
            for content in message.contents:
                self._contents.pop(content, None)

    def messages(self, now_s: float) -> list[Message]:
        """Return the messages for an entry that has subscribed anew."""
        parts = [
            (part, int(1000 * (trial_at_s - now_s)), wait_ms)
            for part, (trial_at_s, wait_ms, told_at_s) in self._parts.items()
            if now_s - told_at_s < PARTS_RETENTION_S and trial_at_s > now_s
        ]
        contents = [
            (content, max(0, int(1000 * (trial_at_s - now_s))), trials)
            for content, (trial_at_s, trials, told_at_s) in self._contents.items()
            if now_s - told_at_s < CONTENTS_RETENTION_S
        ]
        size = MAX_REFUSALS_PER_MESSAGE
        messages: list[Message] = [RefusedParts(some) for some in chunks(parts, size)]
        messages += [RefusedContents(some) for some in chunks(contents, size)]
        return messages
