"""Stand-in for a plain service that is no model engine, such as a booking system."""

from __future__ import annotations

import threading

import msgspec
import xxhash

from standins._http import Request, Response, StandIn, json_response


class CallEntry(msgspec.Struct, frozen=True):
    """One executed call; ``count`` is its number, from 1."""

    method: str
    path: str
    count: int
    body_digest: str
    request_id: str
    idempotency_key: str


class ServiceCore:
    """Executes every call by recording it; safe to use from several threads."""

    def __init__(self) -> None:
        """Start without calls."""
        self._lock = threading.Lock()
        self.calls: list[CallEntry] = []

    def call(
        self, method: str, path: str, body: bytes, request_id: str, key: str
    ) -> CallEntry:
        """Record a call and return its entry."""
        digest = xxhash.xxh3_128_hexdigest(body)
        with self._lock:
            count = len(self.calls) + 1
            entry = CallEntry(method, path, count, digest, request_id, key)
            self.calls.append(entry)
        return entry


class PlainServiceStandIn(StandIn):
    """Executes any method on any path and returns its entry after ``service_s``."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        service_s: float = 0.0,
    ) -> None:
        """Create a service without calls."""
        super().__init__(host, port)
        self._service_s = service_s
        self.core = ServiceCore()

    def handle(self, request: Request) -> Response:
        """Execute one call and return its entry."""
        if request.path == "/health":
            return json_response({})
        entry = self.core.call(
            request.method,
            request.path,
            request.body,
            request.header("X_REQUEST_ID") or "",
            request.header("IDEMPOTENCY_KEY") or "",
        )
        self.pause(self._service_s * self.faults.switches.slow_factor)
        return json_response(entry)

    def journal(self) -> object:
        """Return all executed calls."""
        return {"calls": self.core.calls}
