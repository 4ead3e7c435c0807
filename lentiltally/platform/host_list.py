"""Client of the platform's host list, which names live and draining hosts."""

from __future__ import annotations

import msgspec
import urllib3

from lentiltally.errors import LentiltallyError
from lentiltally.platform._http import call, new_pool
from lentiltally.platform._json import decode_json

MAX_LIST_BYTES = 16 * 1024 * 1024
MAX_LIST_S = 30.0


class HostListError(LentiltallyError):
    """The host list could not be read; the copy read last stays in use."""


class HostRecord(msgspec.Struct, frozen=True):
    """One host of the list, whose entries may be out of date.

    ``status`` is ``live``, or ``leaving`` while the host drains.
    """

    host: str
    address: str
    role: str
    region: str
    failure_domain: str
    status: str


class HostListClient:
    """Reads the host list; safe to use from several threads."""

    def __init__(self, base_url: str, timeout_s: float) -> None:
        """Prepare the client; it connects on the first call.

        ``timeout_s`` bounds connecting, and the wait for an answer.
        """
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._pool = new_pool()

    def fetch(self) -> tuple[HostRecord, ...]:
        """Return all hosts of the list; raises HostListError."""
        try:
            answer = call(
                self._pool,
                "GET",
                self._base_url + "/hosts",
                max_bytes=MAX_LIST_BYTES,
                max_s=MAX_LIST_S,
                timeout=self._timeout_s,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise self._error(f"no answer: {error}") from error
        if answer.status != 200:
            raise self._error(f"answered {answer.status}")
        try:
            return decode_json(answer.data, tuple[HostRecord, ...])
        except msgspec.MsgspecError as error:
            raise self._error(f"malformed answer: {error}") from error

    def _error(self, message: str) -> HostListError:
        return HostListError(message, step="host list", peer=self._base_url)
