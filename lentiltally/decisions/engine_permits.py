"""Which requests may be sent to an engine that names a limit, at its agent."""

from __future__ import annotations

from lentiltally.decisions.permit_bucket import PermitBucket

__all__ = ["EnginePermits"]


class EnginePermits:
    """The permits of one engine; all are free while it names no limit.

    A request keeps its permit until it is released: its grant may be asked for again.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self._bucket: PermitBucket | None = None
        self._permitted: set[str] = set()

    @property
    def rate_per_s(self) -> float | None:
        """Return the limit, None if there is none."""
        return None if self._bucket is None else self._bucket.rate_per_s

    def set_limit(self, rate_per_s: float | None, now_s: float) -> bool:
        """Apply what the engine names now; return whether it has changed."""
        if rate_per_s == self.rate_per_s:
            return False
        if rate_per_s is None:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = PermitBucket(rate_per_s, now_s)
        else:
            self._bucket.set_rate(rate_per_s, now_s)
        return True

    def wait_s(self, request_id: str, now_s: float, ahead: int) -> float:
        """Return the time to a request's permit, behind ``ahead`` others."""
        if self._bucket is None or request_id in self._permitted:
            return 0.0
        return self._bucket.wait_s(now_s, ahead)

    def take(self, request_id: str, now_s: float) -> bool:
        """Take a permit for a request; return whether there is one now."""
        if self._bucket is None or request_id in self._permitted:
            return True
        if self._bucket.reserve(now_s, 0.0) is None:
            return False
        self._permitted.add(request_id)
        return True

    def release(self, request_id: str) -> None:
        """Forget a request."""
        self._permitted.discard(request_id)
