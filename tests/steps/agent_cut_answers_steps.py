"""Steps for answers that are cut off, on the product's own interface."""

from __future__ import annotations

import re
import socket
import struct
import threading
import time

from behave import then, when

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.service_client import ServiceClient

LIMIT_S = 5.0
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "in the status line": b"HTTP/1.1 20",
    "after the status line": HEAD,
    "in a header name": HEAD + b"X-Req",
    "in the value of a header": HEAD + b"X-Request-Id: ab",
    "in a header of an error": b"HTTP/1.1 400 Bad Request\r\nX-Req",
    "after the last header": HEAD + b"X-Request-Id: ab\r\n",
    "before its whole length": HEAD + b"Content-Length: 100\r\n\r\nbody of",
    "without a length": HEAD + b"\r\nbody of",
    "after a length that is no number": HEAD + b"Content-Length: x\r\n\r\nbody of",
    "after a length of 5000 digits": HEAD
    + b"Content-Length: %s\r\n\r\nbody of" % (b"9" * 5000),
    "after two lengths": HEAD
    + b"Content-Length: 7\r\nContent-Length: 9\r\n\r\nbody of",
    "before its last chunk": CHUNKED + b"7\r\nbody of\r\n",
    "in a chunk": CHUNKED + b"9\r\nbody of",
}


def read_request(connection):
    """Read a request wholly: closing with unread bytes would reset the connection."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"(?i)content-length: (\d+)", head)
        if end and len(body) >= int(length[1] if length else 0):
            return data
        data += connection.recv(65_536)


class RawServer:
    """Sends the next of some answers on each connection, and closes it."""

    def __init__(self, *answers, with_reset=False):
        self._answers = list(answers)
        self._with_reset = with_reset
        self.requests = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        for answer in self._answers:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self.requests.append(read_request(connection))
                connection.sendall(answer)
                if self._with_reset:
                    # Otherwise the reset could overtake what was sent.
                    time.sleep(0.02)
                    linger = struct.pack("ii", 1, 0)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self):
        self._listener.close()


@when("target client of a {kind} gets an answer that ends {where}")
def gets_answer(context, kind, where):
    with_reset = where.endswith(" with a reset")
    answer = ANSWERS[where.removesuffix(" with a reset")]
    call_target(context, kind, RawServer(answer, with_reset=with_reset))


def call_target(context, kind, server):
    """Call a server with the client of a service or an engine."""
    context.add_cleanup(server.close)
    context.answer = context.error = None
    try:
        if kind == "service":
            client = ServiceClient(server.url, "target", 2, LIMIT_S)
            context.answer = client.call("POST", "/x", "", b"{}", "r1")
        else:
            client = EngineClient(server.url, "target", 2, LIMIT_S, LIMIT_S)
            context.answer = client.complete("/x", b"{}", "r1")
    except TargetError as error:
        context.error = error


@then("target client reports that the request may have run")
def may_have_run(context):
    assert context.error is not None, context.answer
    assert context.error.may_have_run


@then('target client has the body "{body}"')
def has_body(context, body):
    assert context.error is None, context.error
    assert context.answer.body == body.encode()
