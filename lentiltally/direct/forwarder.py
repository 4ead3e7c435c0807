"""Handles a caller's request from its arrival to its answer.

The steps are: decode the request, match its route, and refuse it if it is a crash
suspect. Then choose a target, acquire the adapter there, send the request and read the
answer; these are repeated at further targets as far as the outcome of the last attempt
allows a retry.
"""

from __future__ import annotations

import logging

from lentiltally.direct.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
)
from lentiltally.direct.failure_log import FailureLog
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.handling import RequestHandling
from lentiltally.direct.model import Route, Service
from lentiltally.direct.raw_request import RawRequest
from lentiltally.direct.request import CallerRequest
from lentiltally.problems import Executed, Refusal, internal_error

__all__ = ["Forwarder"]

_log = logging.getLogger(__name__)


class Forwarder:
    """Handles the requests of one entry."""

    def __init__(self, context: ForwardingContext) -> None:
        """Forward requests with the entry's shared components."""
        self._context = context
        self._state = context.state
        self._is_closed = False
        self._failures = FailureLog(_log, context.clock)

    def stop_accepting(self) -> None:
        """Refuse every further request, because the process is about to end."""
        self._is_closed = True

    async def handle(self, raw: RawRequest, connection: CallerConnection) -> None:
        """Answer one request."""
        request_id = ""
        handling: RequestHandling | None = None
        executed: Executed = "no"
        try:
            request = self._context.header_codec.decode_request(
                raw.method, raw.path, raw.headers, raw.body, raw.arrived_s
            )
            request_id = connection.request_id = request.request_id
            self._check_open()
            route, service = self._route(request)
            handling = RequestHandling(
                self._context, request, route, service, connection
            )
            executed = "unknown"
            await handling.run()
        except Refusal as refusal:
            account = handling.account_name if handling is not None else ""
            self.refuse(refusal, connection, request_id, account)
        except CallerDisconnectedError:
            raise
        except Exception:
            self._failures.log("request handler failed", request_id, step="serve")
            # The connection breaks off an answer that has begun.
            if not connection.has_begun_answer:
                self._refuse_failed(internal_error(executed), connection, request_id)

    def refuse(
        self,
        refusal: Refusal,
        connection: CallerConnection,
        request_id: str,
        account: str = "",
    ) -> None:
        """Answer a request with a refusal, log it and count it.

        ``account`` is the name of the caller's account, empty if it is unknown.
        """
        self._record_refusal(refusal, request_id, account)
        connection.refuse(refusal, request_id)

    def _refuse_failed(
        self, refusal: Refusal, connection: CallerConnection, request_id: str
    ) -> None:
        """Refuse a request whose handling failed; the connection closes after it."""
        self._record_refusal(refusal, request_id, "")
        connection.refuse_and_close(refusal, request_id)

    def _record_refusal(self, refusal: Refusal, request_id: str, account: str) -> None:
        self._context.metrics.refused(refusal.status, refusal.reason)
        if account:
            self._context.metrics.account_refused(account, refusal.reason)
        _log.info(
            "request refused",
            extra={
                "request": request_id,
                "account": account,
                "status": refusal.status,
                "reason": refusal.reason,
                "executed": refusal.executed,
                "detail": refusal.message,
                "step": refusal.step,
                "peer": refusal.peer,
                "retry_after_s": refusal.retry_after_s,
            },
        )

    def _check_open(self) -> None:
        if self._is_closed:
            raise self._context.stopping_refusal("accept")

    def _route(self, request: CallerRequest) -> tuple[Route, Service]:
        table = self._state.table
        if table is None:
            raise Refusal(
                503,
                "no-configuration",
                "this entry knows no configuration yet",
                step="route",
                retry_after_s=self._context.retry_after_s(),
            )
        if not self._state.peer_versions.is_usable:
            raise Refusal(
                503,
                "configuration-unconfirmed",
                "the store may have lost a newer configuration than it has",
                step="route",
                retry_after_s=self._context.retry_after_s(),
            )
        route = table.match(request.host, request.route_path)
        if route is None:
            raise Refusal(404, "no-route", "no route matches", step="route")
        service = table.state.services.get(table.service(route, request.request_id))
        if service is None:
            raise Refusal(
                503,
                "no-service",
                "the route's service is not configured",
                step="route",
                retry_after_s=self._context.retry_after_s(),
            )
        return route, service
