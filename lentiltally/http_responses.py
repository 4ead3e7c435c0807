"""Connections of urllib3 that take only whole and valid responses for answers."""

from __future__ import annotations

import http.client
import re
from typing import Any

import urllib3

__all__ = ["CheckedConnection", "CheckedTlsConnection"]

# The only statuses of answers are 200 to 599; 1xx are interim responses before one.
_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] ([1-5][0-9]{2})[ \r\n]")
_SWITCHING_PROTOCOLS = 101
MAX_INTERIM_RESPONSES = 16
MAX_INTERIM_LINES = 100
# More digits than any body has bytes; int() converts no more than 4,300.
MAX_LENGTH_DIGITS = 18


class _HeadReader:
    """Passes on the lines of a head, and notes whether the connection ended in it.

    Interim responses before it are skipped. http.client skips ``100`` only, and takes
    other ones for the answer; the answer would then be that of the next request.
    """

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._has_status = False
        self.is_cut_off = False

    def readline(self, limit: int = -1) -> bytes:
        if self._has_status:
            return self._line(limit)
        self._has_status = True
        return self._status_line(limit)

    def _status_line(self, limit: int) -> bytes:
        """Return the status line of the answer; raises http.client.HTTPException."""
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            line = self._line(limit)
            if self.is_cut_off or _status(line) >= 200:
                return line
            self._skip_head(limit)
        raise http.client.HTTPException("interim responses without end")

    def _skip_head(self, limit: int) -> None:
        for _ in range(MAX_INTERIM_LINES):
            if self._line(limit) in (b"\r\n", b"\n", b""):
                return
        raise http.client.HTTPException("interim response without end")

    def _line(self, limit: int) -> bytes:
        line: bytes = self._stream.readline(limit)
        self.is_cut_off = not line.endswith(b"\n")
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class _CheckedResponse(http.client.HTTPResponse):
    """A response with a valid status, a whole head and one number as its length.

    http.client takes the end of the connection for the end of a head, and ignores a
    length that is no number. The body would then end with the connection, too, so a
    response that was cut off would look whole.
    """

    def begin(self) -> None:
        """Read the head; raises http.client.HTTPException if it is not valid."""
        if self.headers is not None:
            return
        stream = self.fp
        reader = _HeadReader(stream)
        self.fp = reader
        try:
            super().begin()
        finally:
            # The base class closes it and sets None if there is no body.
            if self.fp is not None:
                self.fp = stream
        if reader.is_cut_off:
            raise http.client.IncompleteRead(b"")
        lengths = set(self.headers.get_all("Content-Length", []))
        if len(lengths) > 1 or not all(_is_length(length) for length in lengths):
            raise http.client.HTTPException("invalid Content-Length")


def _status(line: bytes) -> int:
    """Return the status of a status line; raises http.client.HTTPException."""
    match = _STATUS_LINE.match(line)
    if match is None or int(match[1]) == _SWITCHING_PROTOCOLS:
        raise http.client.BadStatusLine(repr(line[:100]))
    return int(match[1])


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS


class CheckedConnection(urllib3.connection.HTTPConnection):
    """A connection of urllib3 whose responses are checked."""

    response_class = _CheckedResponse


class CheckedTlsConnection(urllib3.connection.HTTPSConnection):
    """The same with TLS."""

    response_class = _CheckedResponse
