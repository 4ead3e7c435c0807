"""HTTP client of a model engine.

The engine has an OpenAI-compatible interface for requests, and calls that load and
unload adapters. Adapters are named ``team/adapter@version``.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, TypeVar
from urllib.parse import urlsplit

import msgspec
import urllib3

from lentiltally.agent._http import (
    BASE_HEADERS,
    JSON_HEADERS,
    TargetError,
    new_pool,
    target_error,
)
from lentiltally.decisions.message_size import (
    MessageLimits,
    MessageSize,
    MessageTooLargeError,
)
from lentiltally.http_bodies import read_body

_Document = TypeVar("_Document")

CONNECT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 10.0
REPORT_TIMEOUT_S = 2.0
MAX_READ_BYTES = 65_536
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Reports and answers to orders; an engine has some ten adapters.
MAX_CONTROL_BYTES = 1024 * 1024
MAX_CONTROL_S = 10.0
# A body that nobody gets is only read to use the connection again.
MAX_UNUSED_BYTES = 64 * 1024
MAX_UNUSED_S = 1.0
# An event is kept until it is complete; a faulty engine may send bytes without end.
EVENT_LIMITS = MessageLimits(max_bytes=1024 * 1024)
# Chunks that are read before the reader goes on with other streams. A chunk may have a
# single byte.
MAX_READS_PER_TURN = 64
EVENT_END = b"\n\n"
LINE_END = b"\r\n"
HTTP_CONFLICT = 409
HTTP_NOT_FOUND = 404


class AdapterListing(msgspec.Struct, frozen=True):
    """The adapters that an engine incarnation has loaded, by name."""

    incarnation: str
    adapters: tuple[str, ...]


class EngineAnswer(msgspec.Struct, frozen=True):
    """An answer that was not streamed, with the model and incarnation it names."""

    status: int
    content_type: str
    body: bytes
    model: str
    incarnation: str


class EventBlock(msgspec.Struct, frozen=True):
    """Consecutive server-sent events, in their encoded form.

    ``first_id`` is the id of the first event, empty if it has none. ``last_id`` is the
    id of the last event that has one; empty if none has.
    """

    count: int
    data: bytes
    first_id: str
    last_id: str


class OrderRefusedError(TargetError):
    """The engine answered an order with an error; ``status`` is the HTTP status."""

    def __init__(self, message: str, *, step: str, peer: str, status: int) -> None:
        """Take the message and the status; the order had no effect."""
        super().__init__(message, step=step, peer=peer, may_have_run=False)
        self.status = status


class _ListedModel(msgspec.Struct):
    id: str


class _ModelList(msgspec.Struct):
    data: list[_ListedModel] = []
    system_fingerprint: str | None = None


class _AnswerOrigin(msgspec.Struct):
    """The fields of an answer that name the model and the engine incarnation."""

    model: str = ""
    system_fingerprint: str | None = None


_origin_decoder = msgspec.json.Decoder(_AnswerOrigin)


class EngineClient:
    """Makes the calls to one engine; safe to use from several threads."""

    def __init__(
        self,
        url: str,
        name: str,
        connections: int,
        first_byte_timeout_s: float,
        silence_timeout_s: float,
    ) -> None:
        """Open no connection yet; ``name`` is the target's name, used in errors.

        ``first_byte_timeout_s`` limits the wait for an answer that is not streamed,
        ``silence_timeout_s`` the wait for the next bytes of a streamed one.
        """
        self._prefix = urlsplit(url).path.rstrip("/")
        self._name = name
        self._pool = new_pool(url, connections)
        self._first_byte_timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT_S, read=first_byte_timeout_s
        )
        self._silence_timeout = urllib3.Timeout(
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
            timeout=self._first_byte_timeout,
            step="run",
        )
        data = self._read(response, "run", MAX_ANSWER_BYTES)
        origin = _decode_origin(data) if response.status == 200 else _AnswerOrigin()
        return EngineAnswer(
            response.status,
            response.headers.get("Content-Type", "application/json"),
            data,
            origin.model,
            origin.system_fingerprint or "",
        )

    def stream(
        self, path: str, body: bytes, request_id: str, last_id: str = ""
    ) -> EngineStream:
        """Start a streamed request, or resume one after the event with ``last_id``.

        Raises TargetError.
        """
        headers = {**JSON_HEADERS, "X-Request-Id": request_id}
        if last_id:
            headers["Last-Event-ID"] = last_id
        response = self._request(
            "POST",
            path,
            body=body,
            headers=headers,
            timeout=self._silence_timeout,
            step="stream",
        )
        return EngineStream(response, self._name)

    def cancel(self, request_id: str) -> None:
        """Ask the engine to cancel a request; raises TargetError."""
        response = self._request(
            "POST",
            f"/v1/cancel/{request_id}",
            body=b"",
            headers=BASE_HEADERS,
            timeout=urllib3.Timeout(REPORT_TIMEOUT_S),
            step="cancel",
        )
        self._read(response, "cancel", MAX_CONTROL_BYTES, MAX_CONTROL_S)

    def list_adapters(self) -> AdapterListing:
        """Return the loaded adapters; raises TargetError."""
        listed = self._get_document("/v1/models", _ModelList)
        # The base model is listed too; its name has no version.
        adapters = tuple(model.id for model in listed.data if "@" in model.id)
        return AdapterListing(listed.system_fingerprint or "", adapters)

    def load_report(self) -> dict[str, Any]:
        """Return the engine's load report; raises TargetError.

        Its figures lag behind the engine's state.
        """
        return self._get_document("/load", dict[str, Any])

    def load_adapter(self, adapter: str, source: str, fencing_token: int) -> None:
        """Load an adapter from ``source``; does nothing if it is loaded already.

        Raises OrderRefusedError or TargetError.
        """
        body = {"lora_name": adapter, "lora_path": source}
        self._send_order("/v1/load_lora_adapter", body, fencing_token, HTTP_CONFLICT)

    def unload_adapter(self, adapter: str, fencing_token: int) -> None:
        """Unload an adapter; does nothing if it is not loaded.

        Raises OrderRefusedError or TargetError.
        """
        body = {"lora_name": adapter}
        self._send_order("/v1/unload_lora_adapter", body, fencing_token, HTTP_NOT_FOUND)

    def _send_order(
        self,
        path: str,
        body: dict[str, str],
        fencing_token: int,
        already_done_status: int,
    ) -> None:
        headers = {**JSON_HEADERS, "Fencing-Token": str(fencing_token)}
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=ORDER_TIMEOUT_S)
        response = self._request(
            "POST",
            path,
            body=msgspec.json.encode(body),
            headers=headers,
            timeout=timeout,
            step="order",
        )
        self._read(response, "order", MAX_CONTROL_BYTES, MAX_CONTROL_S)
        if response.status not in (200, already_done_status):
            raise OrderRefusedError(
                f"{path} answered {response.status}",
                step="order",
                peer=self._name,
                status=response.status,
            )

    def _get_document(self, path: str, kind: type[_Document]) -> _Document:
        timeout = urllib3.Timeout(REPORT_TIMEOUT_S)
        response = self._request(
            "GET",
            path,
            body=None,
            headers=BASE_HEADERS,
            timeout=timeout,
            step="report",
        )
        data = self._read(response, "report", MAX_CONTROL_BYTES, MAX_CONTROL_S)
        if response.status != 200:
            raise TargetError(
                f"{path} answered {response.status}",
                step="report",
                peer=self._name,
                may_have_run=False,
            )
        try:
            return msgspec.json.decode(data, type=kind)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise target_error(error, "report", self._name) from error

    def _request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None,
        headers: dict[str, str],
        timeout: urllib3.Timeout,
        step: str,
    ) -> urllib3.BaseHTTPResponse:
        try:
            return self._pool.urlopen(
                method,
                self._prefix + path,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                decode_content=False,
                redirect=False,
                retries=False,
                assert_same_host=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, step, self._name) from error

    def _read(
        self,
        response: urllib3.BaseHTTPResponse,
        step: str,
        max_bytes: int,
        max_s: float | None = None,
    ) -> bytes:
        try:
            return read_body(response, max_bytes, max_s)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, step, self._name) from error


class EngineStream:
    """The events of a streamed answer, as they arrive on one connection.

    ``has_more`` says that the last turn of ``read_events`` has left bytes that need not
    make the connection readable.
    """

    def __init__(self, response: urllib3.BaseHTTPResponse, name: str) -> None:
        """Read nothing yet; ``name`` is the target's name, used in errors."""
        self._response = response
        self.name = name
        self._buffer = bytearray()
        # Where the last complete event in the buffer ends, 0 without one.
        self._events_end = 0
        self._event_size = MessageSize(EVENT_LIMITS)
        self.has_more = False
        self.status = response.status
        self.content_type = response.headers.get("Content-Type", "text/event-stream")

    def read_body(self) -> bytes:
        """Return the body of an answer that is not a stream; raises TargetError."""
        try:
            return read_body(self._response, MAX_ANSWER_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, "stream", self.name) from error

    def fileno(self) -> int:
        """Return the file descriptor of the connection."""
        return self._response.fileno()

    def has_buffered_data(self) -> bool:
        """Return whether bytes can be read without waiting.

        urllib3 returns one chunk at a time and has no call that tells whether another
        one is buffered, so this looks into the buffer of http.client below it. The
        socket is taken from there, too: a connection that ends with the body has given
        it away.
        """
        raw = getattr(self._response, "_fp", None)
        buffer = getattr(raw, "fp", None)
        sock = getattr(getattr(buffer, "raw", None), "_sock", None)
        if buffer is None or sock is None:
            return False
        timeout_s = sock.gettimeout()
        sock.settimeout(0.0)
        try:
            # The line end after the last chunk is still buffered, but it is not data.
            return len(buffer.peek(1)) > len(LINE_END)
        except (OSError, ValueError):
            return False
        finally:
            sock.settimeout(timeout_s)

    def read_events(self) -> Iterator[EventBlock | None]:
        """Yield the events that have arrived, and None at the end of the body.

        To be called when the connection is readable or ``has_more`` is set; it waits
        only for the rest of a chunk that has arrived in part. Events that have arrived
        together are yielded together, in blocks of about ``MAX_READ_BYTES``. It ends
        after ``MAX_READS_PER_TURN`` chunks. Raises TargetError if the connection breaks
        or an event has no end.
        """
        self.has_more = False
        for _ in range(MAX_READS_PER_TURN):
            data = self._read_chunk()
            self._add(data)
            self.has_more = bool(data) and self.has_buffered_data()
            is_block_full = len(self._buffer) >= MAX_READ_BYTES
            if self._events_end and (is_block_full or not self.has_more):
                yield self._take_events()
            if not data:
                yield None
            if not self.has_more:
                return
        if self._events_end:
            yield self._take_events()

    def _add(self, data: bytes) -> None:
        """Add bytes to the buffer; only they are searched for the end of an event."""
        searched_bytes = max(0, len(self._buffer) - 1)
        self._buffer += data
        end = self._buffer.rfind(EVENT_END, searched_bytes)
        size_bytes = len(data)
        if end >= 0:
            self._events_end = end + len(EVENT_END)
            self._event_size = MessageSize(EVENT_LIMITS)
            size_bytes = len(self._buffer) - self._events_end
        try:
            self._event_size.add(size_bytes)
        except MessageTooLargeError as error:
            raise self.wrap_error(error) from error

    def _take_events(self) -> EventBlock:
        events = bytes(self._buffer[: self._events_end])
        del self._buffer[: self._events_end]
        self._events_end = 0
        return EventBlock(
            events.count(EVENT_END),
            events,
            _last_id(events[: events.index(EVENT_END) + len(EVENT_END)]),
            _last_id(events),
        )

    def wrap_error(self, cause: Exception) -> TargetError:
        """Return the TargetError for a connection that broke or timed out."""
        return target_error(cause, "stream", self.name)

    def close(self) -> None:
        """Close the connection, which also tells the engine that nobody reads it."""
        self._response.close()

    def finish(self) -> None:
        """Read the body to its end, so that the connection can be used again."""
        try:
            read_body(self._response, MAX_UNUSED_BYTES, MAX_UNUSED_S)
        except (urllib3.exceptions.HTTPError, OSError):
            self._response.close()

    def _read_chunk(self) -> bytes:
        try:
            return self._response.read1(MAX_READ_BYTES)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise target_error(error, "stream", self.name) from error


def first_event_origin(data: bytes) -> tuple[str, str] | None:
    """Return the model and engine incarnation that the first JSON event names.

    None if there is no such event.
    """
    for line in data.split(b"\n"):
        if line.startswith(b"data: {"):
            origin = _decode_origin(line[6:])
            return origin.model, origin.system_fingerprint or ""
    return None


def _last_id(data: bytes) -> str:
    # Only at the start of a line: the text of an event may look like an id.
    start = data.rfind(b"\nid: ") + 1
    if start == 0 and not data.startswith(b"id: "):
        return ""
    return data[start + 4 : data.index(b"\n", start)].decode("ascii", "replace")


def _decode_origin(body: bytes) -> _AnswerOrigin:
    try:
        return _origin_decoder.decode(body)
    except (msgspec.MsgspecError, RecursionError):
        return _AnswerOrigin()
