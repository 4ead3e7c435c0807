"""HTTP helpers shared by the platform clients: pools, failures and retry delays."""

from __future__ import annotations

import urllib3

_MAX_IDLE_CONNECTIONS = 8


def new_pool() -> urllib3.PoolManager:
    """Return a connection pool that sends each request once, without retries."""
    return urllib3.PoolManager(retries=False, maxsize=_MAX_IDLE_CONNECTIONS)


def may_have_arrived(error: Exception) -> bool:
    """Return whether the request may have reached the server before the failure."""
    never_connected = (
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.LocationValueError,
    )
    return not isinstance(error, never_connected)


def retry_after_s(answer: urllib3.BaseHTTPResponse) -> float | None:
    """Return the seconds of the ``Retry-After`` header, None without a valid one."""
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "")))
    except ValueError:
        return None
