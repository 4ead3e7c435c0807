"""HTTP client of a plain service."""

from __future__ import annotations

from urllib.parse import urlsplit

import msgspec
import urllib3

from lentiltally.agent._http import BASE_HEADERS, new_pool, target_error
from lentiltally.http_bodies import read_body

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024


class ServiceAnswer(msgspec.Struct, frozen=True):
    """The answer of a service to one call."""

    status: int
    content_type: str
    body: bytes


class ServiceClient:
    """Makes the calls to one plain service; safe to use from several threads."""

    def __init__(self, url: str, name: str, connections: int, timeout_s: float) -> None:
        """Open no connection yet; ``name`` is the target's name, used in errors.

        ``timeout_s`` limits each wait for data of the answer.
        """
        self._prefix = urlsplit(url).path.rstrip("/")
        self._name = name
        self._pool = new_pool(url, connections)
        self._timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s)

    def call(
        self, method: str, path: str, content_type: str, body: bytes, request_id: str
    ) -> ServiceAnswer:
        """Send a request once and return its answer; raises TargetError."""
        headers = {**BASE_HEADERS, "X-Request-Id": request_id}
        if content_type:
            headers["Content-Type"] = content_type
        try:
            response = self._pool.urlopen(
                method,
                self._prefix + path,
                body=body or None,
                headers=headers,
                timeout=self._timeout,
                redirect=False,
                retries=False,
                assert_same_host=False,
                preload_content=False,
            )
            data = read_body(response, MAX_ANSWER_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, "call", self._name) from error
        return ServiceAnswer(
            response.status,
            response.headers.get("Content-Type", "application/octet-stream"),
            data,
        )
