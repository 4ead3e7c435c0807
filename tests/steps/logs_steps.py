"""Steps for log lines."""

from __future__ import annotations

import io
import json
import logging
import sys
import threading

from behave import given, then, when

from lentiltally import logs
from lentiltally.settings import Secret

TOKEN = "opaque-operator-token"
KEY = "order-4711-retry"
MINTED = 'minted "quoted" secret of 32 bytes'


def _fail():
    raise ValueError(f"idempotency_key={KEY} minted_key_secret='{MINTED}'")


def _configure(context, process, line_format, secrets=()):
    root = logging.getLogger()
    excepthooks = sys.excepthook, threading.excepthook
    handlers, level, raise_exceptions = (
        root.handlers[:],
        root.level,
        logging.raiseExceptions,
    )

    def restore():
        root.handlers[:] = handlers
        root.setLevel(level)
        logging.raiseExceptions = raise_exceptions
        logging.captureWarnings(False)
        sys.excepthook, threading.excepthook = excepthooks

    context.add_cleanup(restore)
    context.stream = io.StringIO()
    logs.configure("info", line_format, process, secrets=secrets, stream=context.stream)
    context.logger = logging.getLogger("lentiltally.test")


@given('logs of process "{process}" in {line_format} with a minted secret')
def logs_with_secret(context, process, line_format):
    context.secret = Secret(MINTED.encode())
    _configure(context, process, line_format, [context.secret])


@given('logs of process "{process}" in {line_format:w}')
def logs_plain(context, process, line_format):
    _configure(context, process, line_format)


@when('logs receive "{message}" with team "{team}", target "{target}", {rest}')
def logs_fields(context, message, team, target, rest):
    context.logger.info(
        message, extra={"team": team, "target": target, "config_offset": 7}
    )


@when("logs receive secrets in messages, fields, headers and a failing thread")
def logs_secrets(context):
    log = context.logger
    log.info("read Authorization: Bearer %s, Accept: text/plain", TOKEN)
    log.info('bad header Idempotency-Key: "%s"', KEY)
    log.info("headers %s", {"Idempotency-Key": KEY, "Authorization": f"Bearer {TOKEN}"})
    log.info("fields", extra={"idempotency_key": KEY, "token": TOKEN})
    log.info("nested", extra={"headers": {"idempotency-key": KEY}, "parts": [MINTED]})
    log.info("secret %r %s", context.secret, MINTED)
    thread = threading.Thread(target=_fail)
    thread.start()
    thread.join()


@when("logs receive a message with a line break")
def logs_line_break(context):
    context.logger.info("body\n2026-01-01 info entry-1 forged")


@then(
    'logs contain an object with process "{process}", team "{team}", target "{target}"'
)
def logs_object(context, process, team, target):
    line = json.loads(context.stream.getvalue())
    expected = {
        "process": process,
        "team": team,
        "target": target,
        "config_offset": 7,
        "level": "info",
        "message": "dispatched",
    }
    assert expected.items() <= line.items(), line


@then("logs contain {number:d} records and no secret")
def logs_no_secret(context, number):
    text = context.stream.getvalue()
    assert text.count("entry-1") == number, text
    for secret in (TOKEN, KEY, MINTED, json.dumps(MINTED)[1:-1]):
        assert secret not in text, text


@then("logs contain {number:d} line")
def logs_lines(context, number):
    assert context.stream.getvalue().count("\n") == number, context.stream.getvalue()
