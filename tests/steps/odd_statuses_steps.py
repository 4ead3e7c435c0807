"""Steps for statuses of targets that are no answers in the protocol."""

from __future__ import annotations

from behave import given, then, when
from urllib3.exceptions import HTTPError

from lentiltally.platform._http import HttpAnswer, call, may_have_arrived, new_pool
from tests.steps.agent_cut_answers_steps import LIMIT_S, RawServer, call_target

BODY = b"Content-Length: 2\r\n\r\nok"


def handle_next(targets, status):
    for target in targets:
        head = f"HTTP/1.1 {status} Odd\r\nX-Request-Id: REQUEST\r\n"
        target.raw_answer = head.encode() + b"X-Response-Signature: proof\r\n" + BODY
        target.script.append("raw")


@given('odd statuses come from all targets next, as "{status}"')
def all_targets(context, status):
    handle_next(context.direct.engines.values(), status)


@given('odd statuses come from one target next, as "{status}"')
def one_target(context, status):
    handle_next(list(context.direct.engines.values())[:1], status)


@when('odd statuses reach the client of a {kind} as "{statuses}"')
def reach_client(context, kind, statuses):
    *interim, status = statuses.split(", ")
    answer = b"".join(b"HTTP/1.1 %s Odd\r\nX: y\r\n\r\n" % s.encode() for s in interim)
    answer += b"HTTP/1.1 %s Odd\r\n" % status.encode() + BODY
    server = RawServer(answer)
    if kind == "platform":
        call_platform(context, server)
    else:
        call_target(context, kind, server)


def call_platform(context, server):
    context.add_cleanup(server.close)
    context.answer = context.error = None
    try:
        context.answer = call(
            new_pool(), "GET", server.url, max_bytes=100, max_s=LIMIT_S
        )
    except HTTPError as error:
        context.error = error


@then('odd statuses give the client the status {status:d} and the body "{body}"')
def gives(context, status, body):
    assert context.error is None, context.error
    answer = context.answer
    found = answer.data if isinstance(answer, HttpAnswer) else answer.body
    assert (answer.status, found) == (status, body.encode())


@then("odd statuses make the client say that the request may have arrived")
def may_have_been_received(context):
    assert context.error is not None, context.answer
    assert may_have_arrived(context.error)
