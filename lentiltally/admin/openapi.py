"""The OpenAPI document of the administration API.

The docstrings of the handlers are the summaries of the operations, and the docstrings
of the value types, of AuditRecord and of HistoryEntry the descriptions of the schemas.
"""

from __future__ import annotations

from typing import Any

import msgspec

from lentiltally.admin.audit import AuditRecord
from lentiltally.admin.routes import ROUTES, Route
from lentiltally.config.history import HistoryEntry
from lentiltally.config.schema import VALUE_TYPES

_JSON = "application/json"
_TOML = "application/toml"
_REF = "#/components/schemas/{name}"
_NOTE = ("note", "string", "Why the change is made; kept in the history.")
_DRY_RUN = ("dry_run", "integer", "1 checks the change without making it.")
# Query parameters by operation id: name, type and description.
_QUERY: dict[str, tuple[tuple[str, str, str], ...]] = {
    "get_value": (
        ("list", "integer", "1 lists the paths at and below the given one."),
        ("history", "integer", "1 returns the retained changes of the path."),
        ("limit", "integer", "The most entries of a list."),
        ("after", "string", "The last path of the page before."),
    ),
    "put_value": (_DRY_RUN, _NOTE),
    "delete_value": (_DRY_RUN, _NOTE),
    "post_batch": (_DRY_RUN,),
    "post_rollback": (_DRY_RUN,),
    "get_audit": (
        ("path", "string", "Only records of this path and below."),
        ("actor", "string", "Only records of this actor."),
        ("since", "string", "Only records from this time on."),
        ("until", "string", "Only records before this time."),
        ("limit", "integer", "The most records; the newest are returned."),
    ),
    "get_status": (),
    "get_claim": (
        ("team", "string", "The team that uses the key."),
        ("key", "string", "The Idempotency-Key."),
    ),
    "post_settle": (),
    "get_quarantine": (),
    "post_lift": (),
}
# Request headers by operation id.
_HEADERS = {
    "get_value": ("If-None-Match",),
    "put_value": ("If-Match", "If-None-Match", "Change-Id"),
    "delete_value": ("If-Match", "Change-Id"),
    "post_batch": ("Change-Id",),
    "post_rollback": ("Change-Id",),
}
_CHANGE_ERRORS = (400, 401, 403, 404, 412, 413, 415, 422, 503, 504)
# Status codes of problem documents by operation id.
_ERRORS = {
    "get_value": (400, 401, 403, 404, 503),
    "put_value": (*_CHANGE_ERRORS, 428),
    "delete_value": (400, 401, 403, 404, 412, 428, 503, 504),
    "post_batch": _CHANGE_ERRORS,
    "post_rollback": _CHANGE_ERRORS,
    "get_audit": (400, 401, 503),
    "get_status": (401,),
    "get_claim": (400, 401, 403, 404, 422),
    "post_settle": (400, 401, 403, 404, 409, 413, 415, 422, 503),
    "get_quarantine": (401, 403, 404),
    "post_lift": (400, 401, 403, 404, 413, 415, 422, 503),
}
_REVISION = {"type": "integer", "minimum": 0}
_TABLE = {"type": "object"}
_EXPECTED = {"oneOf": [_REVISION, {"const": "any"}]}


def openapi_document() -> dict[str, Any]:
    """Return the document for all routes."""
    paths: dict[str, dict[str, Any]] = {}
    for route in ROUTES:
        path = f"{route.path}/{{path}}" if route.has_path else route.path
        paths.setdefault(path, {})[route.method.lower()] = _operation(route)
    paths["/openapi.json"] = {"get": _openapi_operation()}
    return {
        "openapi": "3.1.0",
        "info": {
            "title": "lentiltally administration API",
            "version": "1",
            "description": "Configuration, audit trail and status.",
        },
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
            "schemas": _schemas(),
        },
    }


def _operation(route: Route) -> dict[str, Any]:
    operation_id = route.operation_id
    parameters: list[dict[str, Any]] = [
        {"name": key, "in": "query", "schema": {"type": kind}, "description": text}
        for key, kind, text in _QUERY[operation_id]
    ]
    parameters += [
        {"name": header, "in": "header", "schema": {"type": "string"}}
        for header in _HEADERS.get(operation_id, ())
    ]
    if route.has_path:
        parameters.append(
            {
                "name": "path",
                "in": "path",
                "required": True,
                "schema": {"type": "string"},
                "description": "A configuration path without its first slash; its"
                " slashes are not escaped.",
            }
        )
    operation: dict[str, Any] = {
        "operationId": operation_id,
        "summary": (route.handler.__doc__ or "").strip(),
        "parameters": parameters,
        "responses": {"200": _success(operation_id)},
    }
    for status in _ERRORS[operation_id]:
        operation["responses"][str(status)] = _problem()
    if operation_id == "get_value":
        operation["responses"]["304"] = {"description": "Not modified."}
    if operation_id in _BODIES:
        operation["requestBody"] = _content(_BODIES[operation_id], _JSON, _TOML)
    return operation


def _openapi_operation() -> dict[str, Any]:
    return {
        "operationId": "get_openapi",
        "summary": "Return this document.",
        "security": [],
        "responses": {"200": {"description": "The document."}},
    }


def _success(operation_id: str) -> dict[str, Any]:
    response = {
        "description": "Done.",
        **_content(_RESULTS.get(operation_id, _TABLE), _JSON),
    }
    if operation_id in {"get_value", "put_value"}:
        tag = {"schema": {"type": "string"}, "description": "The quoted revision."}
        response["headers"] = {"ETag": tag}
    return response


def _problem() -> dict[str, Any]:
    schema = {"$ref": _REF.format(name="Problem")}
    return {"description": "Problem.", **_content(schema, "application/problem+json")}


def _content(schema: dict[str, Any], *media_types: str) -> dict[str, Any]:
    return {"content": {media_type: {"schema": schema} for media_type in media_types}}


def _object(required: list[str], **properties: object) -> dict[str, Any]:
    return {"type": "object", "required": required, "properties": properties}


def _schemas() -> dict[str, Any]:
    types = [*VALUE_TYPES.values(), AuditRecord, HistoryEntry]
    _, schemas = msgspec.json.schema_components(types, ref_template=_REF)
    schemas["Problem"] = _object(
        ["type", "title", "status", "detail"],
        type={"type": "string"},
        title={"type": "string"},
        status={"type": "integer"},
        detail={"type": "string"},
        executed={"enum": ["no", "unknown"]},
    )
    return {name: _with_ecma_anchors(schema) for name, schema in schemas.items()}


def _with_ecma_anchors(schema: Any) -> Any:
    r"""Replace ``\Z`` at the end of patterns by ``$``, as in ECMA-262."""
    if isinstance(schema, dict):
        return {key: _with_ecma_anchors(value) for key, value in schema.items()}
    if isinstance(schema, list):
        return [_with_ecma_anchors(item) for item in schema]
    if isinstance(schema, str) and schema.endswith("\\Z"):
        return schema[:-2] + "$"
    return schema


_VALUE = {
    "oneOf": [
        {"$ref": _REF.format(name=value_type.__name__)}
        for value_type in VALUE_TYPES.values()
    ]
}
_BODIES = {
    "put_value": _VALUE,
    "post_batch": _object(
        ["changes"],
        changes={
            "type": "array",
            "items": _object(
                ["path", "expected_revision"],
                path={"type": "string"},
                expected_revision=_EXPECTED,
                value=_VALUE,
                delete={"type": "boolean"},
            ),
        },
        note={"type": "string"},
    ),
    "post_rollback": _object(
        ["path", "to_revision", "expected_revision"],
        path={"type": "string"},
        to_revision=_REVISION,
        expected_revision=_REVISION,
        note={"type": "string"},
    ),
}
_CHANGE_RESULT = _object(
    ["change_id", "offset", "revisions", "warnings"],
    change_id={"type": "string"},
    offset={"type": "integer"},
    revisions={"type": "object", "additionalProperties": _REVISION},
    warnings={"type": "array", "items": {"type": "string"}},
)
_RESULTS = {
    "put_value": _CHANGE_RESULT,
    "delete_value": _CHANGE_RESULT,
    "post_batch": _CHANGE_RESULT,
    "post_rollback": _CHANGE_RESULT,
    "get_audit": _object(
        ["entries", "omitted"],
        entries={
            "type": "array",
            "items": {"$ref": _REF.format(name="AuditRecord")},
        },
        omitted={"type": "integer"},
    ),
}
