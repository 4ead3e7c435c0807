"""HTTP stand-in for the platform's append-only log service."""

from __future__ import annotations

import msgspec

from lentiltally.clock import Clock, SystemClock
from standins._http import (
    Request,
    Response,
    StandIn,
    error_response,
    json_response,
)
from standins.log_core import LogCore, LogSettings, RateExceededError, TruncatedError

_MAX_WAIT_MS = 30_000
_MAX_LIMIT = 10_000


class LogStandIn(StandIn):
    """Serves a LogCore; records are durable, so no fault loses them."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        settings: LogSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Create an empty log."""
        super().__init__(host, port)
        self.core = LogCore(settings or LogSettings(), clock or SystemClock())

    def start(self) -> None:
        """Listen; records appended before an earlier stop() are kept."""
        self.core.set_closed(False)
        super().start()

    def handle(self, request: Request) -> Response:
        """Answer the paths that section 10 of docs/design.md lists for the log."""
        parts = request.path.split("/")
        if len(parts) < 3 or parts[1] != "streams":
            return error_response(404, "unknown path")
        name = parts[2]
        if len(parts) == 3:
            first, next_offset = self.core.bounds(name)
            return json_response({"first_offset": first, "next_offset": next_offset})
        if request.method == "POST":
            return self._append(name, request.body)
        return self._read(name, request)

    def journal(self) -> object:
        """Return the bounds and append counts of all streams."""
        return self.core.summary()

    def interrupt_waiting(self) -> None:
        """End all long polls."""
        self.core.set_closed(True)

    def _append(self, name: str, body: bytes) -> Response:
        values = msgspec.json.decode(body, type=list[msgspec.Raw])
        try:
            first, next_offset = self.core.append(name, values)
        except RateExceededError as error:
            response = error_response(429, str(error))
            response.headers = [("Retry-After", f"{error.retry_after_s:.3f}")]
            return response
        return json_response({"first_offset": first, "next_offset": next_offset})

    def _read(self, name: str, request: Request) -> Response:
        offset = request.int_parameter("offset", 0)
        limit = min(request.int_parameter("limit", 1000), _MAX_LIMIT)
        wait_ms = min(request.int_parameter("wait_ms", 0), _MAX_WAIT_MS)
        try:
            records, first, next_offset = self.core.read(
                name, offset, limit, wait_ms / 1000
            )
        except TruncatedError as error:
            return error_response(410, str(error), first_offset=error.first_offset)
        return json_response(
            {
                "records": records,
                "first_offset": first,
                "next_offset": next_offset,
            }
        )
