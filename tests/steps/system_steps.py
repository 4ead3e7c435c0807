"""Steps of the system tests: deployment and malformed requests."""

from __future__ import annotations

import json
import socket
from urllib.parse import urlsplit

from behave import given, then, when

from tests.fakes.system import COMPLETIONS_PATH, System, expected_text

HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: entry\r\n"
PARTIAL_BODY = b'{"model": "depot/drafts@1"'
LARGE_CHUNK = b"ffff\r\n" + b" " * 0xFFFF + b"\r\n"
# What a caller sends, and whether it then closes its sending side.
RAW_INPUTS = {
    "half a request line, then nothing": (b"POST /v1/comp", False),
    "half a body, then nothing": (
        HEAD + b"Content-Length: 90\r\n\r\n" + PARTIAL_BODY,
        False,
    ),
    "half a body, then end of file": (
        HEAD + b"Content-Length: 90\r\n\r\n" + PARTIAL_BODY,
        True,
    ),
    "a length that is no number": (
        HEAD + b"Content-Length: ten\r\n\r\n" + PARTIAL_BODY,
        False,
    ),
    "a negative length": (HEAD + b"Content-Length: -5\r\n\r\n" + PARTIAL_BODY, False),
    "a broken chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", False),
    "an endless chunked body": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + LARGE_CHUNK * 4,
        False,
    ),
    "a length and chunks": (
        HEAD
        + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\n{\r\n0\r\n\r\n",
        False,
    ),
    "nothing": (b"", False),
}
SOCKET_TIMEOUT_S = 30.0


def use_system(context, make):
    """Use the feature's deployment, without the faults of earlier scenarios.

    The first scenario of a feature starts the deployment with ``make``.
    """
    if not hasattr(context.feature, "system"):
        context.feature.system = make()
        context.add_cleanup(context.feature.system.stop, layer="feature")
    context.system = context.feature.system
    context.system.restore()
    # Each scenario has its own prompt, so that journal entries can be told apart.
    context.prompt = context.scenario.name
    context.runs_before = len(context.system.executions())
    context.calls_before = len(context.system.journal("shelf")["calls"])


@given("system of {count:d} entry runs")
@given("system of {count:d} entries runs")
def system_runs(context, count):
    use_system(context, lambda: System(count))


def _request_body(text):
    bodies = {"nothing": b"", "nested": b"[" * 4000, "oversize": b" " * 9000}
    if text.startswith("model:"):
        document = {"model": text[6:], "prompt": "Book", "max_tokens": 2}
        return json.dumps(document).encode()
    return bodies.get(text, text.encode())


@when('system receives {method} "{path}" with key "{key}" and body {body}')
@when('system receives {method} "{path}" with key "" and body {body}')
def receives_request(context, method, path, body, key=""):
    key = "k" * 200 if key == "long" else key
    context.reply = context.system.send(
        _request_body(body), key=key, path=path, method=method
    )


@then('system refused it with {status:d} at step "{step}", not executed')
def refused(context, status, step):
    reply = context.reply
    assert reply.status == status, reply
    assert reply.headers["Content-Type"] == "application/problem+json", reply
    document = reply.json()
    assert (document["executed"], document["step"]) == ("no", step), document
    assert document["status"] == status, document


@then("no target of the system received anything")
def nothing_executed(context):
    _assert_executed_since(context, 0)


@then("no target of the system received anything else")
def nothing_else_executed(context):
    _assert_executed_since(context, 1)


def _assert_executed_since(context, count):
    runs = len(context.system.executions()) - context.runs_before
    calls = len(context.system.journal("shelf")["calls"]) - context.calls_before
    assert (runs, calls) == (count, 0), (runs, calls)


def _connect(context):
    url = urlsplit(context.system.deployment.entry_urls["entry-1"])
    return socket.create_connection((url.hostname, url.port), SOCKET_TIMEOUT_S)


@when("system has {count:d} connections that send {case}")
def opens_connections(context, count, case):
    sent, is_end = RAW_INPUTS[case]
    context.sockets = [_connect(context) for _ in range(count)]
    for sock in context.sockets:
        context.add_cleanup(sock.close)
        try:
            sock.sendall(sent)
            if is_end:
                sock.shutdown(socket.SHUT_WR)
        except ConnectionError:
            # The entry may close the connection before all bytes are sent.
            continue


def _read_until_closed(sock):
    data = b""
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionError:
        pass
    return data


@then("system closes them all, with a problem document or without an answer")
def closes_all(context):
    for sock in context.sockets:
        data = _read_until_closed(sock)
        if not data:
            continue
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.split()[1][:1] == b"4", data
        assert b"application/problem+json" in head, data
        assert json.loads(body)["executed"] == "no", data


@then("system answers an ordinary request")
def answers_ordinary(context):
    prompt = context.prompt
    reply = context.system.send(context.system.body(prompt))
    assert reply.status == 200, reply
    assert reply.json()["choices"][0]["text"] == expected_text(prompt, "drafts", 5), (
        reply
    )


@when("system receives a chunked body")
def chunked(context):
    body = context.system.body(context.prompt)
    parts = [body[:10], body[10:]]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    with _connect(context) as sock:
        sock.sendall(
            HEAD
            + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            + chunks
            + b"0\r\n\r\n"
        )
        context.data = _read_until_closed(sock)


@then("system answered it completely")
def answered_raw(context):
    assert context.data.startswith(b"HTTP/1.1 200"), context.data
    assert expected_text(context.prompt, "drafts", 5).encode() in context.data, (
        COMPLETIONS_PATH
    )
