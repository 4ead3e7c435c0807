"""HTTP helpers shared by the platform clients: pools, failures and retry delays."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import urllib3

from lentiltally.http_bodies import read_body
from lentiltally.http_responses import CheckedConnection, CheckedTlsConnection

_MAX_IDLE_CONNECTIONS = 8


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = CheckedConnection


class _TlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = CheckedTlsConnection


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A response with its complete body."""

    status: int
    headers: urllib3.HTTPHeaderDict
    data: bytes


def new_pool() -> urllib3.PoolManager:
    """Return a connection pool that sends each request once, without retries."""
    pool = urllib3.PoolManager(retries=False, maxsize=_MAX_IDLE_CONNECTIONS)
    pool.pool_classes_by_scheme = {"http": _Pool, "https": _TlsPool}
    return pool


def call(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    *,
    max_bytes: int,
    max_s: float,
    **more: Any,
) -> HttpAnswer:
    """Make a request and read its body within limits.

    Raises an HTTPError of urllib3 or OSError.
    """
    answer = pool.request(method, url, preload_content=False, redirect=False, **more)
    data = read_body(answer, max_bytes, max_s)
    return HttpAnswer(answer.status, answer.headers, data)


def may_have_arrived(error: Exception) -> bool:
    """Return whether the request may have reached the server before the failure."""
    never_connected = (
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.LocationValueError,
    )
    return not isinstance(error, never_connected)


def retry_after_s(answer: HttpAnswer) -> float | None:
    """Return the seconds of the ``Retry-After`` header, None without a valid one."""
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "")))
    except ValueError:
        return None
