"""The interface of the log service that the configuration uses."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from lentiltally.platform.log_client import AppendResult, LogBounds, LogPage, LogRecord

PAGE_RECORDS = 500


class Log(Protocol):
    """An append-only log with streams, offsets and limited retention.

    Every method may raise LogUnavailable or LogRefused, and then has had no effect.
    ``append`` may raise LogAnswerLost, and then the values may or may not have been
    written; ``read`` may raise LogTruncated below the first retained offset.
    """

    def append(self, stream: str, values: Sequence[object]) -> AppendResult:
        """Append the values together, in order, and return their offsets."""
        ...

    def read(
        self, stream: str, offset: int, limit: int = ..., wait_ms: int = ...
    ) -> LogPage:
        """Return up to ``limit`` records from an offset on.

        Waits up to ``wait_ms`` if there is none yet.
        """
        ...

    def bounds(self, stream: str) -> LogBounds:
        """Return the first retained offset and the offset of the next append."""
        ...


def read_range(log: Log, stream: str, start: int, end: int) -> Iterator[LogRecord]:
    """Yield the records from offset ``start`` up to, but not including, ``end``."""
    offset = start
    while offset < end:
        limit = min(PAGE_RECORDS, end - offset)
        records = log.read(stream, offset, limit, 0).records
        if not records:
            return
        yield from records
        offset = records[-1].offset + 1
