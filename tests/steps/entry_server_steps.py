"""Steps for the HTTP listeners of an entry."""

from __future__ import annotations

import logging
import threading

import urllib3
from behave import given, then, when

from lentiltally.entry.server import new_server
from tests.steps.dispatch_steps import RecordingHandler

CAUSE = "the application failed"


def _fail(environ, start_response):
    raise RuntimeError(CAUSE)


@given("entry server whose application fails")
def failing_server(context):
    server = new_server(
        "127.0.0.1:0",
        _fail,
        2,
        certificate=None,
        key=None,
        read_timeout_s=5.0,
        max_header_bytes=8192,
        max_body_bytes=8192,
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    context.add_cleanup(server.stop)
    context.url = f"http://127.0.0.1:{server.bind_addr[1]}/x"


@when("entry server receives a request")
def receives_request(context):
    handler = RecordingHandler()
    logger = logging.getLogger("lentiltally.entry.server")
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    context.records = handler.records
    context.answer = urllib3.request("GET", context.url, timeout=20.0, retries=False)


@then("entry server has answered with {status:d}")
def has_answered(context, status):
    assert context.answer.status == status, context.answer.status


@then('entry server has logged "{line}" with the cause')
def has_logged(context, line):
    (record,) = [r for r in context.records if r.getMessage() == line]
    assert CAUSE in record.error, record.__dict__
    assert record.exc_info[0] is RuntimeError, record.exc_info
