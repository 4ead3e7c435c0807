"""The agent's client of a model engine (OpenAI-compatible HTTP, adapter orders)."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any
from urllib.parse import urlsplit

import msgspec
import urllib3

from lentiltally.agent._http import (
    JSON_HEADERS,
    PLAIN_HEADERS,
    TargetError,
    new_pool,
    target_error,
)

CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 10.0
REPORT_TIMEOUT_S = 2.0
READ_BYTES = 65_536
EVENT_END = b"\n\n"
LINE_END = b"\r\n"
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404


class EngineListing(msgspec.Struct, frozen=True):
    """What the engine says it has loaded, and the incarnation that says so."""

    incarnation: str
    adapters: tuple[str, ...]


class EngineAnswer(msgspec.Struct, frozen=True):
    """A whole answer, with the model and incarnation that it names."""

    status: int
    content_type: str
    body: bytes
    model: str
    incarnation: str


class EventBlock(msgspec.Struct, frozen=True):
    """Consecutive server-sent events, in their encoded form."""

    count: int
    data: bytes
    last_id: str


class OrderRefusedError(TargetError):
    """The engine refused an order; ``status`` is its HTTP status."""

    def __init__(self, message: str, *, step: str, peer: str, status: int) -> None:
        """Keep the status beside the message."""
        super().__init__(message, step=step, peer=peer, may_have_run=False)
        self.status = status


class _Envelope(msgspec.Struct):
    """The part of an answer that names who ran it."""

    model: str = ""
    system_fingerprint: str | None = None


_envelope_decoder = msgspec.json.Decoder(_Envelope)


class EngineClient:
    """Speaks to one engine; safe to use from several threads."""

    def __init__(
        self,
        url: str,
        name: str,
        connections: int,
        first_byte_timeout_s: float,
        silence_timeout_s: float,
    ) -> None:
        """Open no connection yet; ``name`` is the target's name, used in errors."""
        self._prefix = urlsplit(url).path.rstrip("/")
        self._name = name
        self._pool = new_pool(url, connections)
        self._first = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=first_byte_timeout_s
        )
        self._silence = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=silence_timeout_s
        )

    def complete(self, path: str, body: bytes, request_id: str) -> EngineAnswer:
        """Run a request and return its whole answer; raises TargetError."""
        headers = {**JSON_HEADERS, "X-Request-Id": request_id}
        response = self._request(
            "POST",
            path,
            body=body,
            headers=headers,
            timeout=self._first,
            step="run",
            preload=True,
        )
        envelope = _envelope(response.data) if response.status == 200 else _Envelope()
        return EngineAnswer(
            response.status,
            response.headers.get("Content-Type", "application/json"),
            response.data,
            envelope.model,
            envelope.system_fingerprint or "",
        )

    def stream(
        self, path: str, body: bytes, request_id: str, last_id: str = ""
    ) -> EngineStream:
        """Start a streamed request, or resume one after the event ``last_id``."""
        headers = {**JSON_HEADERS, "X-Request-Id": request_id}
        if last_id:
            headers["Last-Event-ID"] = last_id
        response = self._request(
            "POST",
            path,
            body=body,
            headers=headers,
            timeout=self._silence,
            step="stream",
            preload=False,
        )
        return EngineStream(response, self._name)

    def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; raises TargetError."""
        self._request(
            "POST",
            f"/v1/cancel/{request_id}",
            body=b"",
            headers=PLAIN_HEADERS,
            timeout=urllib3.Timeout(REPORT_TIMEOUT_S),
            step="cancel",
            preload=True,
        )

    def listing(self) -> EngineListing:
        """Return what the engine has loaded; raises TargetError."""
        document = self._report("/v1/models")
        models = [str(entry["id"]) for entry in document.get("data", [])]
        adapters = tuple(model for model in models if "@" in model)
        return EngineListing(str(document.get("system_fingerprint", "")), adapters)

    def load_report(self) -> dict[str, Any]:
        """Return the engine's lagging load report; raises TargetError."""
        return self._report("/load")

    def load_adapter(self, adapter: str, source: str, token: int) -> None:
        """Order a load; raises OrderRefusedError or TargetError.

        An adapter that is loaded already counts as done.
        """
        body = {"lora_name": adapter, "lora_path": source}
        self._order("/v1/load_lora_adapter", body, token, HTTP_CONFLICT)

    def unload_adapter(self, adapter: str, token: int) -> None:
        """Order an unload; raises OrderRefusedError or TargetError.

        An adapter that is not loaded counts as done.
        """
        body = {"lora_name": adapter}
        self._order("/v1/unload_lora_adapter", body, token, HTTP_NOT_FOUND)

    def _order(
        self, path: str, body: dict[str, str], token: int, done_status: int
    ) -> None:
        headers = {**JSON_HEADERS, "Fencing-Token": str(token)}
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ORDER_TIMEOUT_S)
        response = self._request(
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers=headers,
            timeout=timeout,
            step="order",
            preload=True,
        )
        if response.status not in (200, done_status):
            raise OrderRefusedError(
                f"{path} answered {response.status}",
                step="order",
                peer=self._name,
                status=response.status,
            )

    def _report(self, path: str) -> dict[str, Any]:
        timeout = urllib3.Timeout(REPORT_TIMEOUT_S)
        response = self._request(
            "GET",
            path,
            body=None,
            headers=PLAIN_HEADERS,
            timeout=timeout,
            step="report",
            preload=True,
        )
        try:
            document = msgspec.json.decode(response.data)
        except msgspec.MsgspecError as error:
            raise target_error(error, "report", self._name) from error
        if response.status != 200 or not isinstance(document, dict):
            raise TargetError(
                f"{path} answered {response.status}",
                step="report",
                peer=self._name,
                may_have_run=False,
            )
        return document

    def _request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
        step: str,
        preload: bool,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.urlopen(
                method,
                self._prefix + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=preload,
                decode_content=False,
                redirect=False,
                retries=False,
                assert_same_host=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, step, self._name) from error


class EngineStream:
    """One connection that carries the events of a streamed answer."""

    def __init__(self, response: urllib3.BaseHTTPResponse, name: str) -> None:
        """Wrap the response; nothing is read yet."""
        self._response = response
        self._name = name
        self._rest = b""
        self.status = response.status
        self.content_type = response.headers.get("Content-Type", "text/event-stream")

    def body(self) -> bytes:
        """Return the whole body, for an answer that is not a stream."""
        try:
            return self._response.read()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, "stream", self._name) from error

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return self._response.fileno()

    def has_more(self) -> bool:
        """Return whether bytes can be read without waiting.

        The library returns one chunk at a time and has no call that tells whether
        another one is buffered, so the buffer below it is looked at.
        """
        connection = self._response.connection
        raw = getattr(self._response, "_fp", None)
        buffer = getattr(raw, "fp", None)
        sock = getattr(connection, "sock", None)
        if buffer is None or sock is None:
            return False
        timeout_s = sock.gettimeout()
        sock.settimeout(0.0)
        try:
            # The line end behind the last chunk is still buffered; it is no data.
            return len(buffer.peek(1)) > len(LINE_END)
        except (OSError, ValueError):
            return False
        finally:
            sock.settimeout(timeout_s)

    def available(self) -> Iterator[EventBlock | None]:
        """Yield the events that have arrived, and None at the end of the body.

        To be called when the connection is readable; waits only for the rest of a
        chunk of which a part has arrived. Raises TargetError if the connection breaks.
        """
        is_ended = False
        has_more = True
        while has_more and not is_ended:
            data = self._read()
            is_ended = not data
            self._rest += data
            has_more = not is_ended and self.has_more()
            end = self._rest.rfind(EVENT_END)
            if end >= 0 and not (has_more and len(self._rest) < READ_BYTES):
                whole, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
                yield EventBlock(whole.count(EVENT_END), whole, _last_id(whole))
        if is_ended:
            yield None

    def error(self, cause: Exception) -> TargetError:
        """Return the error for a connection that broke or fell silent."""
        return target_error(cause, "stream", self._name)

    def close(self) -> None:
        """Close the connection, which also tells the engine that nobody reads."""
        self._response.close()

    def finish(self) -> None:
        """Read the end of the body, so that the connection can be used again."""
        try:
            self._response.drain_conn()
        except (urllib3.exceptions.HTTPError, OSError):
            self._response.close()

    def _read(self) -> bytes:
        try:
            return self._response.read1(READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, "stream", self._name) from error


def event_envelope(data: bytes) -> tuple[str, str] | None:
    """Return model and incarnation of the first event with content, if there is one."""
    for line in data.split(b"\n"):
        if line.startswith(b"data: {"):
            envelope = _envelope(line[6:])
            return envelope.model, envelope.system_fingerprint or ""
    return None


def _last_id(data: bytes) -> str:
    start = data.rfind(b"id: ")
    if start < 0:
        return ""
    return data[start + 4 : data.index(b"\n", start)].decode("ascii", "replace")


def _envelope(body: bytes) -> _Envelope:
    try:
        return _envelope_decoder.decode(body)
    except msgspec.MsgspecError:
        return _Envelope()
