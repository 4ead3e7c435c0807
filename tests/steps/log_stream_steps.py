"""Steps for the bounded log of the direct path."""

from __future__ import annotations

import json
import logging
import os
import sys
import threading
import time
from datetime import UTC, datetime, timedelta

from behave import then, when

from lentiltally import logs
from lentiltally.clock import ManualClock
from lentiltally.direct.log_stream import BoundedStream, LogRateLimiter


def count_passed(rate, level, count):
    record = logging.LogRecord("t", level, "", 0, "line", None, None)
    return sum(rate.filter(record) for _ in range(count))


@when("log stream gets {count:d} lines that nobody reads")
def unread(context, count):
    reader, writer = os.pipe()
    context.stream = BoundedStream(writer)
    started_s = time.monotonic()
    for _ in range(count):
        context.stream.write("x" * 200 + "\n")
    context.took_s = time.monotonic() - started_s
    # Without a reader, the blocked write of the thread fails and ends.
    os.close(reader)


@then("log stream accepted them within 1 s and dropped some")
def accepted_them(context):
    assert context.took_s < 1.0, context.took_s
    assert context.stream.dropped > 0


@when("log rate of {rate:d} lines a second gets {infos:d} infos and {n:d} warnings")
def gets_lines(context, rate, infos, n):
    context.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC))
    context.rate = LogRateLimiter(context.clock, float(rate))
    context.infos = count_passed(context.rate, logging.INFO, infos)
    context.warnings = count_passed(context.rate, logging.WARNING, n)


@then("log rate passes {infos:d} infos and {n:d} warnings and drops {d:d} lines")
def passed_lines(context, infos, n, d):
    assert (context.infos, context.warnings) == (infos, n)
    assert context.rate.dropped == d


@when("log rate gets {infos:d} infos {later_s:g} s later")
def gets_lines_later(context, infos, later_s):
    context.clock.advance(timedelta(seconds=later_s))
    context.infos = count_passed(context.rate, logging.INFO, infos)


@then("log rate passes {infos:d} more infos")
def passed_more(context, infos):
    assert context.infos == infos


def odd_value(kind):
    if kind == "a lone surrogate":
        return "key \udc80 of a record"
    return "a\0b\r\nc"


@when("log stream gets a line with {kind} and then another one")
def gets_odd_line(context, kind):
    root = logging.getLogger()
    before = (root.handlers[:], root.level, logging.raiseExceptions)
    before_hooks = (sys.excepthook, threading.excepthook)
    reader, writer = os.pipe()
    try:
        logs.configure("info", "json", "p", stream=BoundedStream(writer))
        log = logging.getLogger("odd")
        log.warning("first", extra={"target": odd_value(kind)})
        # Lets the thread write the first line on its own.
        time.sleep(0.2)
        log.warning("second")
        time.sleep(0.2)
    finally:
        root.handlers[:], root.level, logging.raiseExceptions = before
        sys.excepthook, threading.excepthook = before_hooks
        logging.captureWarnings(False)
    os.set_blocking(reader, False)
    try:
        context.written = os.read(reader, 1_000_000)
    except BlockingIOError:
        context.written = b""
    os.close(reader)


@then("log stream has written both lines")
def both_lines(context):
    lines = [json.loads(line) for line in context.written.splitlines()]
    messages = [line["message"] for line in lines]
    assert messages == ["first", "second"], messages
