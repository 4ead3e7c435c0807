"""Connection pools and errors of the agent's HTTP clients.

The errors tell whether the target may have acted on a failed call, because only a call
that had no effect can be retried on another target.
"""

from __future__ import annotations

import http.client
from typing import Any

import urllib3
from urllib3.util import SKIP_HEADER

from lentiltally.errors import LentiltallyError

# The default headers of urllib3 are left out: they mean nothing to a target that runs
# beside the agent, and each one costs processor time at both ends.
BASE_HEADERS = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
JSON_HEADERS = {**BASE_HEADERS, "Content-Type": "application/json"}

# More digits than any body has bytes; int() converts no more than 4,300.
MAX_LENGTH_DIGITS = 18


class TargetError(LentiltallyError):
    """A call to a target failed.

    ``may_have_run`` is False only if the target can't have acted on the call. The entry
    gets ``reason`` and ``step`` in the refusal of the attempt.
    """

    reason = "target-failed"

    def __init__(
        self, message: str, *, step: str, peer: str, may_have_run: bool
    ) -> None:
        """Take the message, the step that failed and the target's name as ``peer``."""
        super().__init__(message, step=step, peer=peer)
        self.may_have_run = may_have_run


class _HeadReader:
    """Passes on the lines of a head, and notes whether the connection ended in it."""

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self.is_cut_off = False

    def readline(self, limit: int = -1) -> bytes:
        line: bytes = self._stream.readline(limit)
        self.is_cut_off = not line.endswith(b"\n")
        return line

    def __getattr__(self, name: str) -> Any:
        return getattr(self._stream, name)


class _CheckedResponse(http.client.HTTPResponse):
    """A response whose head is whole and whose length is one number.

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


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_LENGTH_DIGITS


class _Connection(urllib3.connection.HTTPConnection):
    response_class = _CheckedResponse


class _TlsConnection(urllib3.connection.HTTPSConnection):
    response_class = _CheckedResponse


def new_pool(url: str, connections: int) -> urllib3.HTTPConnectionPool:
    """Return a connection pool for one target.

    A ``PoolManager`` would parse the URL again for each request, which costs about a
    tenth of the request's processor time.
    """
    pool = urllib3.connection_from_url(url, maxsize=connections, block=False)
    is_tls = isinstance(pool, urllib3.HTTPSConnectionPool)
    pool.ConnectionCls = _TlsConnection if is_tls else _Connection
    return pool


def target_error(error: Exception, step: str, peer: str) -> TargetError:
    """Return the TargetError for an error of urllib3 or a malformed answer.

    Only a connection that was never established proves that the call had no effect. A
    reused connection that breaks during sending proves nothing.
    """
    was_not_sent = isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )
    return TargetError(
        f"{type(error).__name__}: {error}",
        step=step,
        peer=peer,
        may_have_run=not was_not_sent,
    )
