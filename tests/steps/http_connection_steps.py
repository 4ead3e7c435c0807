"""Steps for client connections of the direct path."""

from __future__ import annotations

import asyncio

from behave import given, then, when

from lentiltally.direct import http_connection
from lentiltally.direct.http_connection import open_connection
from lentiltally.direct.settings import SocketAddress

ADDRESSES = {
    "port 65536": SocketAddress("127.0.0.1", 65_536),
    "port -1": SocketAddress("127.0.0.1", -1),
    "a host of 80 digits": SocketAddress("9" * 80 + ".0.0.1", 80),
    "a host with a NUL": SocketAddress("127.0.0.1\0", 80),
    "a host not in UTF-8": SocketAddress("\udc80", 80),
}
REQUESTS = {
    "a path with a space": (b"/a b", []),
    "a header with a line break": (b"/", [(b"X-Id", b"a\r\nX-Other: b")]),
    "a header name with a space": (b"/", [(b"X Id", b"a")]),
}


@when("HTTP connection is opened to {kind}")
def opened(context, kind):
    context.failure = None
    try:
        asyncio.run(open_connection(ADDRESSES[kind], 1.0))
    except Exception as error:
        context.failure = error


@given("HTTP connection to a server")
def to_server(context):
    context.can_reuse = False


@when("HTTP connection sends a request with {kind}")
def sends(context, kind):
    path, headers = REQUESTS[kind]

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()

    async def act():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_connection(SocketAddress("127.0.0.1", port), 1.0)
        host = [(b"Host", b"h")]
        try:
            connection.send(b"GET", path, host + headers, b"")
        except Exception as error:
            context.failure = error
        connection.send(b"GET", b"/", host, b"")
        async with asyncio.timeout(2.0):
            head = await connection.next_event()
        context.can_reuse = head.status_code == 200
        connection.close()
        server.close()
        # Lets the server's side end before the loop does.
        await asyncio.sleep(0.01)

    context.failure = None
    asyncio.run(act())


@then("HTTP connection raises {kind}")
def raises(context, kind):
    expected = getattr(http_connection, kind)
    assert isinstance(context.failure, expected), repr(context.failure)


@then("HTTP connection can be used again")
def can_be_used(context):
    assert context.can_reuse
