"""Decoding of request bodies and encoding of response bodies, as JSON or TOML."""

from __future__ import annotations

import tomllib
from http import HTTPStatus
from typing import Any

import msgspec
import tomlkit

from lentiltally.admin.messages import (
    JSON_TYPE,
    TOML_TYPE,
    ProblemError,
    Request,
    Response,
    encode_json,
)


def decode_table(request: Request) -> dict[str, Any]:
    """Return the table in a request's body; raises ProblemError."""
    content_type = request.headers.get("content-type", JSON_TYPE)
    media_type = content_type.partition(";")[0].strip().lower()
    try:
        if media_type == TOML_TYPE:
            value: object = tomllib.loads(request.body.decode("utf-8"))
        elif media_type == JSON_TYPE:
            value = msgspec.json.decode(request.body)
        else:
            detail = f"the body must be {JSON_TYPE} or {TOML_TYPE}"
            raise ProblemError(HTTPStatus.UNSUPPORTED_MEDIA_TYPE, detail)
    except (ValueError, RecursionError, OverflowError) as error:
        detail = f"the body is not valid {media_type}: {str(error)[:200]}"
        raise ProblemError(HTTPStatus.BAD_REQUEST, detail) from None
    if not isinstance(value, dict):
        detail = "the body must be a table"
        raise ProblemError(HTTPStatus.UNPROCESSABLE_ENTITY, detail)
    return value


def encode_value(request: Request, value: object, headers: dict[str, str]) -> Response:
    """Return a configuration value in the type that the request accepts."""
    if TOML_TYPE in request.headers.get("accept", ""):
        text = tomlkit.dumps(msgspec.to_builtins(value))
        return Response(HTTPStatus.OK, text.encode(), TOML_TYPE, headers)
    return Response(HTTPStatus.OK, encode_json(value), JSON_TYPE, headers)


def encode_document(
    document: object, status: int = HTTPStatus.OK, **headers: str
) -> Response:
    """Return a JSON document; underscores in header names become hyphens."""
    names = {name.replace("_", "-"): value for name, value in headers.items()}
    return Response(status, encode_json(document), JSON_TYPE, names)
