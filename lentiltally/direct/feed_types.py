"""What a feed reads from a topic of the store, and whom it tells."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lentiltally.errors import LentiltallyError

__all__ = [
    "EndRead",
    "FeedError",
    "FeedListener",
    "FeedPage",
    "FeedRecord",
    "FeedRestoredError",
    "FeedTruncatedError",
    "KeyedTopic",
]


class FeedError(LentiltallyError):
    """The topic can't be read at the moment."""


class FeedTruncatedError(FeedError):
    """The store has deleted the records before ``first_offset``."""

    first_offset: int = 0


class FeedRestoredError(FeedError):
    """The store has come back from an older copy since the position was read."""


@dataclass(frozen=True, slots=True)
class FeedRecord:
    """One record; ``value`` is None if the key was removed.

    ``offset`` is its position in the topic, with the era of the store.
    """

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """The records of one read; ``next_offset`` is where the next read starts.

    After a read of the newest records, ``next_offset`` may be before ``end``, the end
    of the topic after it: a record that was appended while they were collected is read
    next.
    """

    end: int
    records: tuple[FeedRecord, ...]
    next_offset: int = 0


@dataclass(frozen=True, slots=True)
class EndRead:
    """A read that reached the end of the topic, and whose records were passed on.

    ``sent_s`` is when it was sent, on a clock that counts suspensions, and
    ``suspended_s`` the suspensions until then. ``next_offset`` is the end of the topic.
    """

    sent_s: float
    suspended_s: float
    next_offset: int


class KeyedTopic(Protocol):
    """Reads a keyed topic."""

    async def newest(self) -> FeedPage:
        """Return the newest record of each key; raises FeedError."""
        ...

    async def read(self, offset: int, wait_s: float) -> FeedPage:
        """Return the records from an offset on; raises FeedError.

        If there are none, the read waits up to ``wait_s`` for one (a long poll).
        """
        ...


class FeedListener(Protocol):
    """Receives the records of a feed."""

    def on_record(self, record: FeedRecord) -> None:
        """Process one record."""
        ...

    def on_snapshot_keys(self, keys: set[str], end: int) -> None:
        """Process the complete set of keys, after the newest record of each.

        ``end`` is the end of the topic after the set was read: all that it lacks has
        been removed by a record before that.
        """
        ...

    def on_store_recovered(self) -> None:
        """Note that the topic can be read again after an outage."""
        ...
