"""Steps for bodies without end on the own interface."""

from __future__ import annotations

import socket
import threading
from unittest.mock import patch

import urllib3
from behave import given, then, when

from lentiltally import http_bodies
from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.service_client import ServiceClient
from lentiltally.clock import SystemClock
from lentiltally.errors import LentiltallyError
from lentiltally.http_bodies import BodyMemory, BodyTooLargeError
from lentiltally.platform.host_list import HostListClient
from lentiltally.platform.log_client import LogClient

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
BLOCK = b"a" * 65_536


class EndlessPeer:
    """Answers each request with a body that ends when the caller closes."""

    def __init__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.url = f"http://127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._send, args=(connection,), daemon=True).start()

    @staticmethod
    def _send(connection):
        with connection:
            try:
                connection.recv(65_536)
                connection.sendall(HEAD)
                while True:
                    connection.sendall(BLOCK)
            except OSError:
                return

    def close(self):
        self._listener.close()


@given("body reader beside a peer that sends a body without end")
def peer(context):
    context.peer = EndlessPeer()
    context.add_cleanup(context.peer.close)


def make(name, url):
    engine = EngineClient(url, "e1", 1, 5.0, 5.0)
    log = LogClient(url, 5.0, SystemClock())
    calls = {
        "engine request": lambda: engine.complete("/v1/completions", b"{}", "r1"),
        "engine report": engine.load_report,
        "engine order": lambda: engine.load_adapter("t/a@1", "s", 1),
        "engine cancel": lambda: engine.cancel("r1"),
        "engine stream": lambda: engine.stream("/v1/completions", b"", "r").read_body(),
        "service request": lambda: ServiceClient(url, "s", 1, 5.0).call(
            "GET", "/", "", b"", "r1"
        ),
        "log read": lambda: log.read("s", 0),
        "log append": lambda: log.append("s", [1]),
        "host list": HostListClient(url, 5.0).fetch,
    }
    return calls[name]()


@when("body reader's client makes the {name}")
def makes(context, name):
    context.read_bytes = 0
    read = urllib3.HTTPResponse.read

    def count(response, *arguments, **more):
        data = read(response, *arguments, **more)
        context.read_bytes += len(data)
        return data

    context.failure = None
    with patch.object(urllib3.HTTPResponse, "read", count):
        try:
            make(name, context.peer.url)
        except LentiltallyError as error:
            context.failure = error


@then("body reader's client fails and has read at most {limit_mb:d} MB")
def fails(context, limit_mb):
    assert "a body of more than" in str(context.failure), context.failure
    assert 0 < context.read_bytes <= limit_mb * 2**20, context.read_bytes


class ScriptedResponse:
    """Returns blocks, and waits for ``may_go_on`` after the first ones."""

    def __init__(self, blocks, block, may_go_on):
        self._left = blocks
        self._block = block
        self._may_go_on = may_go_on
        self.has_closed = False

    def read(self, size_bytes):
        assert size_bytes == http_bodies.BLOCK_BYTES
        if self._left == 0:
            self._may_go_on.wait(10.0)
        self._left -= 1
        return self._block

    def close(self):
        self.has_closed = True


@given("body reader with room for {limit_mb:d} MB in all bodies")
def memory(context, limit_mb):
    context.limit_bytes = limit_mb * 2**20
    context.memory = BodyMemory(context.limit_bytes)


@when("body reader reads {count:d} bodies of {size_mb:d} MB without end at once")
def reads_many(context, count, size_mb):
    may_go_on = threading.Event()
    blocks = size_mb * 2**20 // len(BLOCK)
    context.failures = []
    context.sums = []
    responses = [ScriptedResponse(blocks, BLOCK, may_go_on) for _ in range(count)]

    def read(response):
        try:
            context.memory.read(response, 2 * size_mb * 2**20, None)
        except BodyTooLargeError as error:
            context.failures.append(str(error))
            assert response.has_closed

    threads = [threading.Thread(target=read, args=(r,)) for r in responses]
    for thread in threads:
        thread.start()
    for _ in range(20):
        context.sums.append(context.memory._held.bytes)
        threading.Event().wait(0.01)
    may_go_on.set()
    for thread in threads:
        thread.join(10.0)
    context.given_up = context.failures.count("the largest of too many bodies")


@then("body reader has given up {count:d} of them or more and kept its bound")
def gave_up(context, count):
    assert context.given_up >= count, context.failures
    assert max(context.sums) <= context.limit_bytes, max(context.sums)


@when("body reader reads a body of single bytes for at most {limit_s:g} s")
def reads_slowly(context, limit_s):
    pause = threading.Event()

    class SlowResponse(ScriptedResponse):
        def read(self, size_bytes):
            pause.wait(0.01)
            return b"a"

    context.failure = None
    try:
        context.memory.read(SlowResponse(0, b"a", pause), 10_000, limit_s)
    except BodyTooLargeError as error:
        context.failure = error


@then("body reader fails because the body takes longer")
def takes_longer(context):
    assert "takes longer" in str(context.failure), context.failure
