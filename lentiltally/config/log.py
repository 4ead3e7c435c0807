"""What the configuration needs of the log service."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Protocol

from lentiltally.platform.log_client import AppendResult, LogBounds, LogPage, LogRecord

PAGE_RECORDS = 500


class Log(Protocol):
    """An append-only log with streams, offsets and limited retention.

    Every method may raise LogUnavailable or LogRefused, and then did nothing.
    ``append`` may raise LogAnswerLost, after which it is not known whether the values
    were written; ``read`` may raise LogTruncated below the first retained offset.
    """

    def append(self, stream: str, values: Sequence[object]) -> AppendResult:
        """Write the values together and return their offsets."""
        ...

    def read(
        self, stream: str, offset: int, limit: int = ..., wait_ms: int = ...
    ) -> LogPage:
        """Return records from an offset on, waiting for the first of them."""
        ...

    def bounds(self, stream: str) -> LogBounds:
        """Return the first retained and the next offset of a stream."""
        ...


def read_range(log: Log, stream: str, start: int, end: int) -> Iterator[LogRecord]:
    """Return the records from ``start`` up to, without, ``end``."""
    offset = start
    while offset < end:
        limit = min(PAGE_RECORDS, end - offset)
        records = log.read(stream, offset, limit, 0).records
        if not records:
            return
        yield from records
        offset = records[-1].offset + 1
