"""cheroot connections whose own error answers are problem documents."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest

from lentiltally.problems import CONTENT_TYPE, Executed, Refusal, problem_body

STEP = "receive"
HTTP_SERVER_ERROR = 500


class CallerRequestReader(HTTPRequest):
    """Reads one request; answers malformed requests with a problem document."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that can't be read, and close the connection.

        The end of the request is not known, so later bytes on the connection can't be
        parsed as a new request. ``status`` begins with the three-digit code.
        """
        self.close_connection = True
        code = int(str(status)[:3])
        phrase = HTTPStatus(code).phrase
        # If the application failed after it had the request, a target may have run it.
        may_have_run = self.ready and code >= HTTP_SERVER_ERROR
        executed: Executed = "unknown" if may_have_run else "no"
        refusal = Refusal(
            code, "not-read", str(msg) or phrase, step=STEP, executed=executed
        )
        body = problem_body(refusal)
        head = (
            f"{self.server.protocol} {code} {phrase}\r\n"
            f"Content-Type: {CONTENT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        try:
            self.conn.wfile.write(head.encode("ascii") + body)
        except OSError:
            # The caller has closed the connection.
            return

    def send_headers(self) -> None:
        """Send the head, and close the connection later if the head says so.

        The base class sends a ``Connection: close`` header of the application but goes
        on reading requests from the connection.
        """
        for name, value in self.outheaders:
            if name.lower() == b"connection" and value.lower() == b"close":
                self.close_connection = True
        super().send_headers()


class CallerConnection(HTTPConnection):
    """A connection of a caller or an operator."""

    RequestHandlerClass: Any = CallerRequestReader
