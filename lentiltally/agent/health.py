"""The agent's HTTP endpoints for liveness and readiness."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from cheroot import wsgi

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
THREADS = 2


class HealthServer:
    """Answers ``GET /healthz`` and ``GET /readyz``."""

    def __init__(self, listen: str, is_ready: Callable[[], bool]) -> None:
        """Prepare to listen on ``host:port``; ``is_ready`` is called for each probe."""
        host, _, port = listen.rpartition(":")
        self._is_ready = is_ready
        self._server = wsgi.Server((host, int(port)), self._respond, numthreads=THREADS)

    def bind(self) -> None:
        """Bind the address; raises OSError if it is taken."""
        self._server.prepare()

    def serve(self) -> None:
        """Serve until stopped, on the calling thread."""
        self._server.serve()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()

    def _respond(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            status, body = "200 OK", b"alive\n"
        elif path == "/readyz" and self._is_ready():
            status, body = "200 OK", b"ready\n"
        elif path == "/readyz":
            status, body = "503 Service Unavailable", b"not ready\n"
        else:
            status, body = "404 Not Found", b"no such path\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]
