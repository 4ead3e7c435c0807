"""How an entry's listeners answer requests that cheroot can't pass on."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from cheroot.server import HTTPConnection, HTTPRequest

from lentiltally.problems import CONTENT_TYPE, Executed, Refusal, problem_body

STEP = "receive"
HTTP_SERVER_ERROR = 500


class CallerRequestReader(HTTPRequest):
    """Reads one request; its own answers are problem documents, as all others are."""

    def simple_response(self, status: str, msg: str = "") -> None:
        """Answer a request that can't be read, and close the connection.

        Whatever follows on the connection can't be told from the rest of the request.
        """
        self.close_connection = True
        code = int(str(status)[:3])
        phrase = HTTPStatus(code).phrase
        # The application may have handed the request on before it failed.
        is_open = self.ready and code >= HTTP_SERVER_ERROR
        executed: Executed = "unknown" if is_open else "no"
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
            # The caller is gone; there is nobody to tell.
            return

    def send_headers(self) -> None:
        """Send the head, and close the connection afterwards if the head says so.

        The base class sends such a header but goes on reading from the connection.
        """
        for name, value in self.outheaders:
            if name.lower() == b"connection" and value.lower() == b"close":
                self.close_connection = True
        super().send_headers()


class CallerConnection(HTTPConnection):
    """A connection of a caller or an operator."""

    RequestHandlerClass: Any = CallerRequestReader
