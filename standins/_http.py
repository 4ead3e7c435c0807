"""HTTP server that the stand-ins share, with fault switches and a journal.

The control paths ``/faults`` and ``/journal`` work under every fault.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

from standins._connections import (
    CloseWithoutAnswerError,
    ConnectionTable,
    SilentConnectionSink,
    StandInConnection,
)
from standins.faults import Faults, FaultSwitches

_STATUS_PHRASES = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found"}
_INITIAL_THREADS = 16
_SPARE_THREADS = 8
_MAX_THREADS = 1000
_CONTROL_PATHS = ("/faults", "/journal")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Request:
    """One received HTTP request."""

    __slots__ = ("_environ", "body", "method", "path")

    def __init__(self, environ: Mapping[str, Any]) -> None:
        """Read the request, with its body, from a WSGI environment."""
        self._environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.body: bytes = b""
        if "CONTENT_LENGTH" in environ or environ["wsgi.input_terminated"]:
            self.body = environ["wsgi.input"].read()

    def header(self, name: str) -> str | None:
        """Return a header by its WSGI name, for example ``X_REQUEST_ID``."""
        value: str | None = self._environ.get("HTTP_" + name)
        return value

    def int_parameter(self, name: str, default: int) -> int:
        """Return an integer parameter of the query string."""
        values = parse_qs(self._environ["QUERY_STRING"]).get(name)
        return int(values[0]) if values else default


class Response(msgspec.Struct):
    """An HTTP response; a streamed one has ``events`` in place of ``body``."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = []
    content_type: str = "application/json"
    events: Iterable[bytes] | None = None


def json_response(value: object, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(status, msgspec.json.encode(value))


def error_response(status: int, message: str, **fields: object) -> Response:
    """Return an error response in the format of OpenAI-compatible servers."""
    error = {"message": message, "code": status}
    return json_response({"error": error, **fields}, status)


class _Gateway(wsgi.Gateway_10):  # type: ignore[misc,unused-ignore]
    def get_environ(self) -> Any:
        environ = super().get_environ()  # type: ignore[no-untyped-call]
        environ["standins.connection"] = self.req.conn
        return environ


class _Server(wsgi.Server):  # type: ignore[misc,unused-ignore]
    ConnectionClass = StandInConnection
    keep_alive_conn_limit = None  # type: ignore[assignment]
    # The server checks for a stop request once per interval, in seconds.
    expiration_interval = 0.1

    def __init__(self, address: tuple[str, int], app: Any) -> None:
        # A closed idle connection looks to a client like a lost answer, so idle
        # connections stay open for longer than any test.
        super().__init__(
            address,
            app,
            numthreads=_INITIAL_THREADS,
            request_queue_size=256,
            timeout=600,
        )
        self.gateway = _Gateway
        self.table = ConnectionTable()

    def process_conn(self, conn: Any) -> None:
        """Queue a connection for the workers, and add a worker if too few are idle.

        Each stream and each long poll occupies a worker, and the fault switches can't
        be reached while no worker is idle. Spare workers are needed because a worker
        still counts as idle for a moment after it took a connection.
        """
        pool = self.requests
        is_short = pool.qsize + _SPARE_THREADS > pool.idle
        if is_short and len(pool._threads) < _MAX_THREADS:
            pool._threads.append(pool._spawn_worker())
        super().process_conn(conn)

    @staticmethod
    def bind_socket(socket_: Any, bind_addr: Any) -> Any:
        """Bind, and set SO_REUSEADDR only then.

        The option lets a later start use the port while old connections are still in
        TIME_WAIT. It is set after binding, because a port that the system chooses
        could otherwise be one that another process is about to listen on.
        """
        socket_.bind(bind_addr)
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return socket_

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log errors only; lower levels report connections that faults closed."""
        if level >= 40:
            super().error_log(msg, level, traceback)


class StandIn:
    """A small HTTP server with fault switches; subclasses implement ``handle()``."""

    #: A request that contains the text of ``crash_on`` restarts the stand-in at once.
    crashes_on_receipt = True

    def __init__(self, host: str, port: int) -> None:
        """Prepare a server for the address; with port 0 the system chooses a port."""
        self.faults = Faults()
        self.stopping = threading.Event()
        self._address = (host, port)
        self._server: _Server | None = None
        self._thread: threading.Thread | None = None
        self._silent_sink = SilentConnectionSink()

    @property
    def url(self) -> str:
        """Return the base URL; valid after start()."""
        host, port = self._address
        return f"http://{host}:{port}"

    @property
    def port(self) -> int:
        """Return the port; valid after start()."""
        return self._address[1]

    def start(self) -> None:
        """Listen and serve in a background thread; possible again after stop()."""
        self.stopping.clear()
        self._silent_sink = SilentConnectionSink()
        self._server = _Server(self._address, self._wsgi_app)
        self._server.prepare()
        self._address = self._server.bind_addr
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Close all connections and stop serving; keep the state and the port."""
        self.stopping.set()
        self.interrupt_waiting()
        if self._server is not None:
            for connection in self._server.table.all():
                connection.shut_down(even_silent=True)
            self._server.stop()
        if self._thread is not None:
            self._thread.join()
        self._silent_sink.stop()

    def handle(self, request: Request) -> Response:
        """Answer one request.

        Raises CloseWithoutAnswerError to close the connection without an answer.
        """
        raise NotImplementedError

    def interrupt_waiting(self) -> None:
        """Make waiting handlers return; called by stop() after ``stopping`` is set."""

    def journal(self) -> object:
        """Return the document that ``GET /journal`` answers with."""
        return {}

    def restart_empty(self) -> None:
        """Drop the state that a restart of the real service loses."""

    def on_faults_changed(self, switches: FaultSwitches) -> None:
        """Apply new switch values; called before ``PUT /faults`` is answered."""

    def close_connections(self) -> None:
        """Close all connections that are neither silent nor for control."""
        if self._server is not None:
            for connection in self._server.table.fault_subjects():
                connection.shut_down()

    def pause(self, duration_s: float) -> None:
        """Sleep, or return early when the stand-in stops."""
        if duration_s > 0:
            self.stopping.wait(duration_s)

    def _wsgi_app(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        connection: StandInConnection = environ["standins.connection"]
        request = Request(environ)
        connection.is_control = request.path in _CONTROL_PATHS
        if connection.is_control:
            response = self._handle_control(request)
        else:
            response = self._handle_with_faults(request, connection)
        return _start_response(response, start_response)

    def _handle_with_faults(
        self, request: Request, connection: StandInConnection
    ) -> Response:
        switches = self.faults.switches
        self.pause(switches.delay_s)
        if switches.down:
            connection.shut_down()
            raise CloseWithoutAnswerError
        crash_text = switches.crash_on.encode()
        if crash_text and crash_text in request.body and self.crashes_on_receipt:
            self.restart_empty()
            self.close_connections()
            raise CloseWithoutAnswerError
        try:
            response = self.handle(request)
        except (msgspec.MsgspecError, ValueError) as error:
            return error_response(400, str(error))
        except CloseWithoutAnswerError:
            connection.shut_down()
            raise
        if self.faults.take_lost_answer(request.method, request.path):
            connection.shut_down()
            raise CloseWithoutAnswerError
        return response

    def _handle_control(self, request: Request) -> Response:
        if request.path == "/journal":
            return json_response(self.journal())
        if request.method == "PUT":
            try:
                switches = self.faults.update(request.body)
            except msgspec.MsgspecError as error:
                return error_response(400, str(error))
            self._apply_switches(switches)
        return json_response(self.faults.switches)

    def _apply_switches(self, switches: FaultSwitches) -> None:
        self.on_faults_changed(switches)
        if switches.silent_connections and self._server is not None:
            for connection in self._server.table.fault_subjects():
                connection.make_silent(self._silent_sink)
        if switches.restart_empty:
            self.restart_empty()
        if switches.restart_empty or switches.down:
            self.close_connections()


def _start_response(
    response: Response, start_response: StartResponse
) -> Iterable[bytes]:
    headers = [("Content-Type", response.content_type), *response.headers]
    if response.events is None:
        headers.append(("Content-Length", str(len(response.body))))
    phrase = _STATUS_PHRASES.get(response.status, "Status")
    start_response(f"{response.status} {phrase}", headers)
    return (response.body,) if response.events is None else response.events
