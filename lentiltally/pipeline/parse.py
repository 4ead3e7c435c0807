"""Checks method, path, idempotency key and JSON body of a caller's request."""

from __future__ import annotations

from typing import Any

import msgspec

from lentiltally.exchange import Answer, Exchange, Handler
from lentiltally.problems import Refusal

STEP = "parse"
COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
SERVICE_PREFIX = "/services/"
SERVICE_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})

_decoder = msgspec.json.Decoder(dict[str, Any])


class ParseFilter:
    """Refuses malformed requests before any later filter reads them."""

    def __init__(self, max_key_bytes: int) -> None:
        """``max_key_bytes`` is the largest allowed length of an Idempotency-Key."""
        self._max_key_bytes = max_key_bytes

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on with its JSON document and idempotency key."""
        request = exchange.request
        key = self._checked_key(request.headers.get("idempotency-key", ""))
        if request.path in COMPLETION_PATHS:
            _require_method(request.method, "POST")
            document = _decode_document(request.body)
            _check_document(document, request.path)
            exchange = msgspec.structs.replace(exchange, document=document, key=key)
        elif request.path.startswith(SERVICE_PREFIX):
            _require_method(request.method, *sorted(SERVICE_METHODS))
            exchange = msgspec.structs.replace(exchange, key=key, body=request.body)
        elif request.path == "/v1/models":
            _require_method(request.method, "GET")
        else:
            raise Refusal(404, "no-such-path", "there is no such path", step=STEP)
        return next_handler(exchange)

    def _checked_key(self, key: str) -> str:
        if len(key.encode("latin-1", "replace")) > self._max_key_bytes:
            raise Refusal(
                400,
                "key-too-long",
                f"Idempotency-Key is longer than {self._max_key_bytes} bytes",
                step=STEP,
            )
        if not key.isprintable():
            raise Refusal(
                400, "bad-key", "Idempotency-Key has control characters", step=STEP
            )
        return key


def _require_method(method: str, *allowed: str) -> None:
    if method not in allowed:
        raise Refusal(
            405,
            "method",
            f"{method} is not allowed here",
            step=STEP,
            headers=(("Allow", ", ".join(allowed)),),
        )


def _decode_document(body: bytes) -> dict[str, Any]:
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise Refusal(
            400, "malformed-json", f"the body is not a JSON object: {error}", step=STEP
        ) from error


def _check_document(document: dict[str, Any], path: str) -> None:
    _require_type(document, "model", str, required=True)
    _require_type(document, "stream", bool)
    _require_type(document, "max_tokens", int)
    if document.get("max_tokens") is not None and document["max_tokens"] < 1:
        raise Refusal(400, "bad-field", "max_tokens must be at least 1", step=STEP)
    if path == "/v1/chat/completions":
        _require_type(document, "messages", list, required=True)
    elif not isinstance(document.get("prompt"), (str, list)):
        raise Refusal(
            400, "bad-field", "prompt must be a string or an array", step=STEP
        )


def _require_type(
    document: dict[str, Any], name: str, expected_type: type, *, required: bool = False
) -> None:
    value = document.get(name)
    if value is None and not required:
        return
    if not isinstance(value, expected_type) or (
        expected_type is int and isinstance(value, bool)
    ):
        raise Refusal(
            400,
            "bad-field",
            f"{name} must be of type {expected_type.__name__}",
            step=STEP,
        )
