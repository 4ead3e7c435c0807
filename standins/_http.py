"""The HTTP layer that all stand-ins share."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import parse_qs

import msgspec
from cheroot import wsgi

from standins._connections import (
    ConnectionCutError,
    ConnectionTable,
    SilentHolder,
    StandInConnection,
)
from standins.faults import Faults, FaultSwitches

_REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found"}
_FIRST_THREADS = 16
_SPARE_THREADS = 8
_MAX_THREADS = 1000
_CONTROL_PATHS = ("/faults", "/journal")

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Request:
    """One received request."""

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

    def number(self, name: str, default: int) -> int:
        """Return a whole number from the query string."""
        values = parse_qs(self._environ["QUERY_STRING"]).get(name)
        return int(values[0]) if values else default


class Response(msgspec.Struct):
    """An answer; ``events`` replaces the body of a streamed one."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = []
    content_type: str = "application/json"
    events: Iterable[bytes] | None = None


def json_response(value: object, status: int = 200) -> Response:
    """Return an answer with a JSON body."""
    return Response(status, msgspec.json.encode(value))


def error_response(status: int, message: str, **fields: object) -> Response:
    """Return an error in the form that OpenAI-compatible servers use."""
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
    # The server looks for a stop request once per interval.
    expiration_interval = 0.1

    def __init__(self, address: tuple[str, int], app: Any) -> None:
        # A closed idle connection looks to a client like a lost answer, so idle
        # connections stay open for longer than any test.
        super().__init__(
            address, app, numthreads=_FIRST_THREADS, request_queue_size=256, timeout=600
        )
        self.gateway = _Gateway
        self.table = ConnectionTable()

    def process_conn(self, conn: Any) -> None:
        """Hand a connection to a worker, and add one if all are occupied.

        Streams and waiting reads occupy a worker each. Without a free one the fault
        switches would be out of reach. Some stay spare, because a worker counts as
        idle for a moment after it took a connection.
        """
        pool = self.requests
        short = pool.qsize + _SPARE_THREADS > pool.idle
        if short and len(pool._threads) < _MAX_THREADS:
            pool._threads.append(pool._spawn_worker())
        super().process_conn(conn)

    @staticmethod
    def bind_socket(socket_: Any, bind_addr: Any) -> Any:
        """Bind, and let a later start use the port while old connections linger.

        The option is set after binding, because a system-chosen port could
        otherwise be one that another process is about to listen on.
        """
        socket_.bind(bind_addr)
        socket_.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return socket_

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Report errors only; broken connections are what the faults produce."""
        if level >= 40:
            super().error_log(msg, level, traceback)


class StandIn:
    """A small HTTP server with fault switches; subclasses answer the requests."""

    #: A request that holds the marker of ``crash_on`` restarts the stand-in at once.
    crashes_on_receipt = True

    def __init__(self, host: str, port: int) -> None:
        """Prepare a server for the address; port 0 lets the system choose."""
        self.faults = Faults()
        self.stopping = threading.Event()
        self._address = (host, port)
        self._server: _Server | None = None
        self._thread: threading.Thread | None = None
        self._holder = SilentHolder()

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
        """Listen and serve in the background; also again after stop()."""
        self.stopping.clear()
        self._holder = SilentHolder()
        self._server = _Server(self._address, self._app)
        self._server.prepare()
        self._address = self._server.bind_addr
        self._thread = threading.Thread(target=self._server.serve, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Cut all connections and stop serving; the state and the port are kept."""
        self.stopping.set()
        self.wake()
        if self._server is not None:
            for connection in self._server.table.all():
                connection.cut(even_silent=True)
            self._server.stop()
        if self._thread is not None:
            self._thread.join()
        self._holder.stop()

    def handle(self, request: Request) -> Response:
        """Answer one request; raises ConnectionCutError to close without an answer."""
        raise NotImplementedError

    def wake(self) -> None:
        """Make all waiting handlers look at ``stopping``."""

    def journal(self) -> object:
        """Return what GET /journal answers."""
        return {}

    def restart_empty(self) -> None:
        """Lose the state that a restart of the real service loses."""

    def faults_changed(self, switches: FaultSwitches) -> None:
        """Note new switch values; called before they are answered."""

    def cut_connections(self) -> None:
        """Close all connections except those of the test equipment."""
        if self._server is not None:
            for connection in self._server.table.affected():
                connection.cut()

    def pause(self, duration_s: float) -> None:
        """Wait, or return early when the stand-in stops."""
        if duration_s > 0:
            self.stopping.wait(duration_s)

    def _app(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        connection: StandInConnection = environ["standins.connection"]
        request = Request(environ)
        connection.is_control = request.path in _CONTROL_PATHS
        if connection.is_control:
            response = self._control(request)
        else:
            response = self._handle_with_faults(request, connection)
        return _send(response, start_response)

    def _handle_with_faults(
        self, request: Request, connection: StandInConnection
    ) -> Response:
        switches = self.faults.switches
        self.pause(switches.delay_s)
        if switches.down:
            connection.cut()
            raise ConnectionCutError
        marker = switches.crash_on.encode()
        if marker and marker in request.body and self.crashes_on_receipt:
            self.restart_empty()
            self.cut_connections()
            raise ConnectionCutError
        try:
            response = self.handle(request)
        except (msgspec.MsgspecError, ValueError) as error:
            return error_response(400, str(error))
        except ConnectionCutError:
            connection.cut()
            raise
        if self.faults.take_lost_answer(request.method, request.path):
            connection.cut()
            raise ConnectionCutError
        return response

    def _control(self, request: Request) -> Response:
        if request.path == "/journal":
            return json_response(self.journal())
        if request.method == "PUT":
            try:
                switches = self.faults.update(request.body)
            except msgspec.MsgspecError as error:
                return error_response(400, str(error))
            self._act(switches)
        return json_response(self.faults.switches)

    def _act(self, switches: FaultSwitches) -> None:
        self.faults_changed(switches)
        if switches.silent_connections and self._server is not None:
            for connection in self._server.table.affected():
                connection.silence(self._holder)
        if switches.restart_empty:
            self.restart_empty()
        if switches.restart_empty or switches.down:
            self.cut_connections()


def _send(response: Response, start_response: StartResponse) -> Iterable[bytes]:
    headers = [("Content-Type", response.content_type), *response.headers]
    if response.events is None:
        headers.append(("Content-Length", str(len(response.body))))
    reason = _REASONS.get(response.status, "Status")
    start_response(f"{response.status} {reason}", headers)
    return (response.body,) if response.events is None else response.events
