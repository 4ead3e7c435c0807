"""The HTTP listeners of an entry, on cheroot."""

from __future__ import annotations

import logging
import math
import threading
from collections import deque
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any

from cheroot import wsgi
from cheroot.errors import MaxSizeExceeded
from cheroot.ssl.builtin import BuiltinSSLAdapter

from lentiltally.clock import Clock
from lentiltally.entry._connections import STEP, CallerConnection
from lentiltally.exchange import Answer, CallerRequest, Exchange, Handler
from lentiltally.ids import new_incarnation
from lentiltally.metrics import Metrics
from lentiltally.pipeline.refusals import refusal_answer
from lentiltally.problems import Refusal
from lentiltally.settings import CallerSettings

_log = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]
TEXT_TYPE = "text/plain; charset=utf-8"
CLOSE_HEADERS = (("Connection", "close"),)
HEADER_PREFIX = "HTTP_"


class CallerApplication:
    """The WSGI application for callers: requests, ``/healthz`` and ``/readyz``."""

    def __init__(
        self,
        handler: Handler,
        settings: CallerSettings,
        clock: Clock,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        """Take the pipeline as ``handler``; ``is_ready`` answers ``/readyz``."""
        self._handler = handler
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._is_ready = is_ready
        self._active_requests = 0
        self._lock = threading.Lock()
        self.is_draining = False

    @property
    def active_requests(self) -> int:
        """Return how many requests are being served."""
        return self._active_requests

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        path = environ["PATH_INFO"]
        if path in ("/healthz", "/readyz"):
            return self._answer_health(path, start_response)
        with self._lock:
            self._active_requests += 1
        try:
            answer = self._answer(environ)
            return self._respond(answer, start_response)
        except BaseException:
            self._request_ended()
            raise

    def _answer_health(
        self, path: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        is_ok = path == "/healthz" or (self._is_ready() and not self.is_draining)
        status = HTTPStatus.OK if is_ok else HTTPStatus.SERVICE_UNAVAILABLE
        body = b"ok\n" if is_ok else b"not ready\n"
        headers = [("Content-Type", TEXT_TYPE), ("Content-Length", str(len(body)))]
        start_response(f"{status.value} {status.phrase}", headers)
        return [body]

    def _answer(self, environ: dict[str, Any]) -> Answer:
        request_id = new_incarnation()
        try:
            request = self._read_request(environ)
        except Refusal as refusal:
            return refusal_answer(refusal, request_id)
        return self._handler(Exchange(request, request_id))

    def _read_request(self, environ: dict[str, Any]) -> CallerRequest:
        received_s = self._clock.monotonic_s()
        headers = {
            name[len(HEADER_PREFIX) :].lower().replace("_", "-"): value
            for name, value in environ.items()
            if name.startswith(HEADER_PREFIX)
        }
        headers["content-type"] = environ.get("CONTENT_TYPE", "")
        return CallerRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=headers,
            body=self._read_body(environ),
            received_s=received_s,
        )

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        limit = self._settings.max_body_bytes
        length_text = environ.get("CONTENT_LENGTH") or ""
        is_chunked = "chunked" in environ.get("HTTP_TRANSFER_ENCODING", "").lower()
        if not length_text and not is_chunked:
            return b""
        length = int(length_text) if length_text.isdigit() else limit + 1
        if length_text and length > limit:
            raise self._too_large()
        if length_text and is_chunked:
            # With both, it is ambiguous where the body ends, and what follows the end
            # that is chosen would be parsed as another request.
            raise _unreadable("two-lengths", "the body has a length and is chunked")
        stream = environ["wsgi.input"]
        try:
            body: bytes = stream.read(length if length_text else limit + 1)
            if is_chunked and len(body) <= limit:
                # Trailers that are not read would be parsed as the next request.
                deque(stream.read_trailer_lines(), maxlen=0)
        except MaxSizeExceeded as error:
            raise self._too_large() from error
        except (OSError, ValueError) as error:
            raise _unreadable(
                "body-not-read", f"the body can't be read: {error}"
            ) from error
        if len(body) > limit:
            raise self._too_large()
        if length_text and len(body) < length:
            raise _unreadable("body-cut", "the body is shorter than announced")
        return body

    def _too_large(self) -> Refusal:
        return Refusal(
            413,
            "body-too-large",
            f"the body is larger than {self._settings.max_body_bytes} bytes",
            step=STEP,
            headers=CLOSE_HEADERS,
        )

    def _respond(
        self, answer: Answer, start_response: StartResponse
    ) -> Iterable[bytes]:
        headers = list(answer.headers)
        if self.is_draining:
            headers.append(("Connection", "close"))
        if isinstance(answer.body, bytes):
            headers.append(("Content-Length", str(len(answer.body))))
        start_response(_status_line(answer.status), headers)
        if isinstance(answer.body, bytes):
            return _ResponseBody(iter([answer.body]), self._request_ended)
        return _ResponseBody(answer.body, self._request_ended)

    def _request_ended(self) -> None:
        with self._lock:
            self._active_requests -= 1


class _ResponseBody:
    """A response body that calls ``on_close`` when the server closes it."""

    def __init__(self, chunks: Any, on_close: Callable[[], None]) -> None:
        self._chunks = chunks
        self._on_close = on_close

    def __iter__(self) -> Any:
        return self._chunks

    def close(self) -> None:
        """Close a stream, which cancels its unfinished work, and call ``on_close``."""
        try:
            if hasattr(self._chunks, "close"):
                self._chunks.close()
        finally:
            self._on_close()


def _unreadable(reason: str, detail: str) -> Refusal:
    """Return the refusal of a body whose end is not known; it closes the connection."""
    return Refusal(400, reason, detail, step=STEP, headers=CLOSE_HEADERS)


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


class _Server(wsgi.Server):
    """A server that logs why it ended a connection; cheroot writes that to stderr."""

    def error_log(
        self, msg: object = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        _log.log(
            level, "HTTP server error", exc_info=traceback, extra={"error": str(msg)}
        )


def new_server(
    listen: str,
    application: Any,
    threads: int,
    *,
    certificate: str | None,
    key: str | None,
    read_timeout_s: float,
    max_header_bytes: int,
    max_body_bytes: int,
) -> wsgi.Server:
    """Return an HTTP server that is not bound yet; ``listen`` is ``host:port``."""
    host, _, port = listen.rpartition(":")
    server = _Server(
        (host.strip("[]"), int(port)),
        application,
        numthreads=threads,
        server_name="lentiltally",
        timeout=math.ceil(read_timeout_s),
        request_queue_size=128,
    )
    server.ConnectionClass = CallerConnection
    server.max_request_header_size = max_header_bytes
    # The application refuses bodies over max_body_bytes with a problem document. This
    # limit only bounds how much of a body without Content-Length is read.
    server.max_request_body_size = 2 * max_body_bytes
    if certificate is not None and key is not None:
        server.ssl_adapter = BuiltinSSLAdapter(certificate, key)
    return server
