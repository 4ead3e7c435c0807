"""In which crashes the parts of prompts were, within bounds of memory."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["EvidenceChange", "PartCrashes", "PartEvidence"]

MAX_REPEATED = 2_000
# Parts that were in one crash only. Dozens of requests may run at a target that ends,
# and the head of each has room for over a thousand parts.
MAX_SEEN_ONCE = 8_000
MAX_CRASHES_OF_PART = 64
MAX_CONTENTS_OF_PART = 16


class EvidenceChange(enum.Enum):
    """What a crash adds to what is known of a part."""

    NONE = "none"
    NEW_CONTENT = "new content"
    NEW_START = "new start"


@dataclass(slots=True)
class PartCrashes:
    """Crashes of one part by target start, and their requests' contents.

    Both are in the order in which they became known.
    """

    at_s: dict[str, float] = field(default_factory=dict)
    contents: tuple[int, ...] = ()

    def add(self, content: int, target_start: str, now_s: float) -> EvidenceChange:
        """Note a crash with a content; forget the first crash beyond the limit."""
        has_room = len(self.contents) < MAX_CONTENTS_OF_PART
        is_new_content = has_room and content not in self.contents
        if is_new_content:
            self.contents = (*self.contents, content)
        if target_start in self.at_s:
            if is_new_content:
                return EvidenceChange.NEW_CONTENT
            return EvidenceChange.NONE
        self.at_s[target_start] = now_s
        if len(self.at_s) > MAX_CRASHES_OF_PART:
            del self.at_s[next(iter(self.at_s))]
        return EvidenceChange.NEW_START


class PartEvidence:
    """Parts with their crashes since the last answer that cleared them.

    Parts that were in one crash are kept apart: sound ones that pass by must not
    displace one that comes back.
    """

    def __init__(self) -> None:
        """Start without parts."""
        self._repeated: OrderedDict[int, PartCrashes] = OrderedDict()
        self._seen_once: OrderedDict[int, PartCrashes] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of parts."""
        return len(self._repeated) + len(self._seen_once)

    def get(self, part: int) -> PartCrashes | None:
        """Return the crashes of a part, None if there were none."""
        return self._repeated.get(part) or self._seen_once.get(part)

    def repeated(self) -> Iterable[tuple[int, PartCrashes]]:
        """Return the parts that were in several crashes."""
        return self._repeated.items()

    def forget(self, part: int) -> bool:
        """Forget a part; return whether it was in a crash."""
        was_once = self._seen_once.pop(part, None) is not None
        return self._repeated.pop(part, None) is not None or was_once

    def record(
        self, part: int, content: int, target_start: str, now_s: float
    ) -> EvidenceChange:
        """Note that a target start ended while it ran a content with the part."""
        crashes = self.get(part) or PartCrashes()
        change = crashes.add(content, target_start, now_s)
        if len(crashes.at_s) == 1:
            _keep_newest(self._seen_once, part, crashes, MAX_SEEN_ONCE)
        else:
            self._seen_once.pop(part, None)
            _keep_newest(self._repeated, part, crashes, MAX_REPEATED)
        return change


def _keep_newest(
    kept: OrderedDict[int, PartCrashes], part: int, crashes: PartCrashes, limit: int
) -> None:
    """Keep the crashes of a part as the newest; drop the oldest beyond the limit."""
    kept[part] = crashes
    kept.move_to_end(part)
    while len(kept) > limit:
        kept.popitem(last=False)
