"""What the platform clients share: pools, and what a failed call means."""

from __future__ import annotations

import urllib3

_CONNECTIONS = 8


def new_pool() -> urllib3.PoolManager:
    """Return a pool that makes each request once and reports every failure."""
    return urllib3.PoolManager(retries=False, maxsize=_CONNECTIONS)


def may_have_arrived(error: Exception) -> bool:
    """Return whether the request may have reached the server before the failure."""
    never_connected = (
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.LocationValueError,
    )
    return not isinstance(error, never_connected)


def retry_after_s(answer: urllib3.BaseHTTPResponse) -> float | None:
    """Return the seconds of a ``Retry-After`` header, or None if there are none."""
    try:
        return max(0.0, float(answer.headers.get("Retry-After", "")))
    except ValueError:
        return None
