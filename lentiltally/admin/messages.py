"""Requests, responses and problems of the administration API."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import msgspec

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_PATH_CHARACTERS = 1024
MAX_QUERY_CHARACTERS = 4096

JSON_TYPE = "application/json"
TOML_TYPE = "application/toml"
PROBLEM_TYPE = "application/problem+json"

WsgiEnvironment = Mapping[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]


class Response(msgspec.Struct, frozen=True):
    """A response with an encoded body."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = {}

    def send(self, start_response: StartResponse, *, has_body: bool) -> Iterable[bytes]:
        """Start the response and return its body, as WSGI expects (PEP 3333)."""
        headers = [(name, value) for name, value in self.headers.items()]
        headers.append(("Content-Length", str(len(self.body))))
        headers.append(("Cache-Control", "no-store"))
        if self.body:
            headers.append(("Content-Type", self.content_type))
        status = HTTPStatus(self.status)
        start_response(f"{status.value} {status.phrase}", headers)
        return [self.body] if has_body else []


class ProblemError(Exception):
    """Ends the handling of a request with a problem document (RFC 9457)."""

    def __init__(
        self,
        status: int,
        detail: str,
        *,
        headers: dict[str, str] | None = None,
        **members: object,
    ) -> None:
        """Take the status, the detail and extension members of the document."""
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.headers = headers or {}
        self.members = members
        #: Whether an audit record of the refusal has been queued already.
        self.is_audited = False

    def response(self) -> Response:
        """Return the document as a response."""
        document = {
            "type": "about:blank",
            "title": HTTPStatus(self.status).phrase,
            "status": self.status,
            "detail": self.detail,
            **self.members,
        }
        return Response(self.status, encode_json(document), PROBLEM_TYPE, self.headers)


class Request(msgspec.Struct, frozen=True):
    """A request with decoded path and query; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    source_address: str

    @classmethod
    def from_environment(cls, environment: WsgiEnvironment) -> Request:
        """Read a request; raises ProblemError if it is malformed or too large."""
        path = _decode_text(environment.get("PATH_INFO", ""), "path")
        query_text = environment.get("QUERY_STRING", "")
        if len(path) > MAX_PATH_CHARACTERS or len(query_text) > MAX_QUERY_CHARACTERS:
            raise ProblemError(HTTPStatus.REQUEST_URI_TOO_LONG, "the URI is too long")
        headers = {
            name[5:].replace("_", "-").lower(): str(value)
            for name, value in environment.items()
            if name.startswith("HTTP_")
        }
        if environment.get("CONTENT_TYPE"):
            headers["content-type"] = environment["CONTENT_TYPE"]
        return cls(
            environment.get("REQUEST_METHOD", "GET"),
            path,
            _parse_query(query_text),
            headers,
            _read_body(environment, headers),
            str(environment.get("REMOTE_ADDR", "")),
        )

    @property
    def config_path(self) -> str:
        """Return the configuration path in the URL; without one, the URL's path."""
        return self.path.removeprefix("/config") if self._has_config_path else self.path

    @property
    def _has_config_path(self) -> bool:
        return self.path.startswith("/config/")

    def flag(self, name: str) -> bool:
        """Return whether a query parameter is 1; raises ProblemError unless 0 or 1."""
        value = self.query.get(name, "0")
        if value not in {"0", "1"}:
            raise ProblemError(HTTPStatus.BAD_REQUEST, f"{name} must be 0 or 1")
        return value == "1"

    def number(self, name: str, default: int, maximum: int) -> int:
        """Return a query parameter from 1 to a maximum; raises ProblemError."""
        text = self.query.get(name)
        if text is None:
            return default
        if not (text.isascii() and text.isdigit() and len(text) < 10):
            raise ProblemError(HTTPStatus.BAD_REQUEST, f"{name} must be a number")
        if not 1 <= int(text) <= maximum:
            detail = f"{name} must be from 1 to {maximum}"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
        return int(text)


def encode_json(value: object) -> bytes:
    """Return a value as JSON."""
    return msgspec.json.encode(value)


def _decode_text(text: str, name: str) -> str:
    """Decode a text as UTF-8, which the WSGI server has decoded as Latin-1."""
    try:
        return text.encode("latin-1").decode("utf-8")
    except UnicodeError:
        detail = f"the {name} is not valid UTF-8"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None


def _parse_query(text: str) -> dict[str, str]:
    try:
        fields = parse_qs(
            text, keep_blank_values=True, errors="strict", max_num_fields=20
        )
    except ValueError:
        detail = "the query is malformed or has too many parameters"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None
    for name, values in fields.items():
        if len(values) > 1:
            detail = f"parameter {name[:40]} is given twice"
            raise ProblemError(HTTPStatus.BAD_REQUEST, detail)
    return {name: values[0] for name, values in fields.items()}


def _read_body(environment: WsgiEnvironment, headers: dict[str, str]) -> bytes:
    length = environment.get("CONTENT_LENGTH") or ""
    if length and not (length.isascii() and length.isdigit()):
        raise ProblemError(HTTPStatus.BAD_REQUEST, "Content-Length is malformed")
    is_chunked = "chunked" in headers.get("transfer-encoding", "").lower()
    if not length and not is_chunked:
        return b""
    # int() raises on thousands of digits, so the length of the text is checked first.
    too_large = len(length) > 12 or (length and int(length) > MAX_BODY_BYTES)
    read_bytes = int(length) if length and not too_large else MAX_BODY_BYTES + 1
    body = b"" if too_large else environment["wsgi.input"].read(read_bytes)
    if too_large or len(body) > MAX_BODY_BYTES:
        detail = f"the body is longer than {MAX_BODY_BYTES} bytes"
        raise ProblemError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, detail)
    if length and len(body) < int(length):
        raise ProblemError(HTTPStatus.BAD_REQUEST, "the body is cut off")
    return bytes(body)
