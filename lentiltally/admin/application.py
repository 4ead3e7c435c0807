"""The administration API as a WSGI application."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from http import HTTPStatus

from lentiltally.admin.audit import AuditLog, AuditRecord
from lentiltally.admin.bodies import encode_document
from lentiltally.admin.context import (
    Call,
    ChangePublisher,
    Dependencies,
    HistorySource,
    Operations,
    StatusSource,
    TreeSource,
)
from lentiltally.admin.messages import (
    ProblemError,
    Request,
    Response,
    StartResponse,
    WsgiEnvironment,
)
from lentiltally.admin.openapi import openapi_document
from lentiltally.admin.routes import dispatch
from lentiltally.admin.tokens import Token, Tokens
from lentiltally.clock import Clock
from lentiltally.platform.log_client import LogError

_WRITE_METHODS = {"PUT", "DELETE", "POST"}
_log = logging.getLogger(__name__)


class AdminApplication:
    """The administration API; all requests but ``/openapi.json`` need a bearer token.

    Tokens, headers and bodies are never logged.
    """

    def __init__(
        self,
        tree_source: TreeSource,
        publisher: ChangePublisher,
        audit: AuditLog,
        tokens: Tokens,
        *,
        status_source: StatusSource,
        clock: Clock,
        history: HistorySource,
        operations: Operations | None = None,
    ) -> None:
        """Take the parts of the process that the API reads and writes.

        Without ``operations``, the paths of claims and quarantine answer 404.
        """
        self._dependencies = Dependencies(
            tree_source,
            publisher,
            audit,
            status_source,
            history,
            clock,
            operations,
        )
        self._tokens = tokens
        self._openapi = openapi_document()

    def __call__(
        self, environ: WsgiEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request (PEP 3333)."""
        try:
            response = self._answer(environ)
        except ProblemError as problem:
            response = problem.response()
        except LogError:
            response = _log_unavailable().response()
        except Exception:
            _log.exception("administration request failed")
            detail = "the request could not be handled"
            response = ProblemError(HTTPStatus.INTERNAL_SERVER_ERROR, detail).response()
        has_body = environ.get("REQUEST_METHOD") != "HEAD"
        return response.send(start_response, has_body=has_body)

    def _answer(self, environ: WsgiEnvironment) -> Response:
        request = Request.from_environment(environ)
        if request.path == "/openapi.json" and request.method in {"GET", "HEAD"}:
            return encode_document(self._openapi)
        token = self._authenticate(request)
        call = Call(request, token, self._dependencies)
        try:
            return dispatch(call)
        except ProblemError as problem:
            is_write = (
                request.method in _WRITE_METHODS and "dry_run" not in request.query
            )
            if is_write and not problem.is_audited:
                call.record_audit("refused", request.config_path, reason=problem.detail)
            raise

    def _authenticate(self, request: Request) -> Token:
        dependencies = self._dependencies
        header = request.headers.get("authorization", "")
        token = self._tokens.find(header, dependencies.clock.now())
        if token is not None:
            return token
        tree = dependencies.tree_source.tree
        dependencies.audit.record(
            AuditRecord(
                at=dependencies.clock.now(),
                actor="",
                source_address=request.source_address,
                action=request.method[:20],
                path=request.config_path[:200],
                outcome="unauthorised",
                config_offset=tree.offset if tree is not None else 0,
                reason="token missing, unknown or expired",
            )
        )
        raise ProblemError(
            HTTPStatus.UNAUTHORIZED,
            "a valid bearer token is required",
            headers={"WWW-Authenticate": 'Bearer realm="lentiltally"'},
        )


def _log_unavailable() -> ProblemError:
    return ProblemError(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the log can't be read now",
        headers={"Retry-After": "1"},
        executed="no",
        step="read",
        peer="log",
    )
