"""Steps for odd records in the platform's log."""

from __future__ import annotations

import logging
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

import msgspec
from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.platform.host_list import HostListClient, HostListError
from lentiltally.platform.log_client import LogClient, LogUnavailable
from lentiltally.platform.stream_follower import StreamFollower
from tests.steps.odd_records_steps import LogCounter

LIMIT_S = 5.0
NESTED = b"[" * 100_000 + b"]" * 100_000
ODD = {
    "nested 100000 deep": [NESTED],
    "nested 100000 deep twice": [NESTED, NESTED],
    "of another type": [b'{"n":"x"}'],
    "with a number of 1e400": [b'{"n":1e400}'],
    "with a lone surrogate": [b'{"n":1,"t":"\\udc80"}'],
}


class Value(msgspec.Struct):
    n: int


class OddLog(ThreadingHTTPServer):
    """Serves raw records; ``fixed_answer`` replaces all answers."""

    daemon_threads = True

    def __init__(self, values):
        super().__init__(("127.0.0.1", 0), _Handler)
        self.values = values
        self.fixed_answer = None
        self.url = f"http://127.0.0.1:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def answer(self, path):
        if self.fixed_answer is not None:
            return self.fixed_answer
        parts = urlsplit(path)
        end = len(self.values)
        bounds = b'"next_offset":%d,"first_offset":0' % end
        if not parts.path.endswith("/records"):
            return b"{%s}" % bounds
        query = {name: int(v[0]) for name, v in parse_qs(parts.query).items()}
        offsets = range(end)[query["offset"] : query["offset"] + query["limit"]]
        records = [
            b'{"offset":%d,"time_ms":1,"value":%s}' % (n, self.values[n])
            for n in offsets
        ]
        return b'{"records":[%s],%s}' % (b",".join(records), bounds)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self):
        body = self.server.answer(self.path)
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


@given("odd log with a record {kind} between 5 others")
def odd_log(context, kind):
    others = [b'{"n":%d}' % number for number in range(5)]
    context.log = OddLog(others[:3] + ODD[kind] + others[3:])
    context.odd_records = len(ODD[kind])
    context.add_cleanup(context.log.server_close)
    context.add_cleanup(context.log.shutdown)


@when("odd log is followed")
def followed(context):
    context.log_lines = LogCounter("lentiltally.platform.stream_follower")
    context.add_cleanup(context.log_lines.close)
    context.applied = []
    follower = StreamFollower(
        LogClient(context.log.url, LIMIT_S, SystemClock()),
        "s",
        msgspec.json.Decoder(Value),
        lambda value, record: context.applied.append((record.offset, value.n)),
        SystemClock(),
    )
    follower.start()
    follower.wait_past(len(context.log.values) - 1, 2.0)
    follower.stop()


@then("odd log follower has applied the 5 other records in order")
def applied(context):
    numbers = [number for _, number in context.applied]
    assert numbers == [0, 1, 2, 3, 4], context.applied
    shift = context.odd_records
    offsets = [offset for offset, _ in context.applied]
    assert offsets == [0, 1, 2, 3 + shift, 4 + shift], context.applied


@then("odd log follower logged the record once")
def logged_once(context):
    lines = [r for r in context.log_lines.records if r.levelno >= logging.WARNING]
    assert len(lines) == context.odd_records, [r.getMessage() for r in lines]


@when("odd log is asked for its {what} and answers {document}")
def asked(context, what, document):
    is_nested = document == "nested values"
    context.log.fixed_answer = NESTED if is_nested else b'{"status":"\\udc80"}'
    context.failure = None
    try:
        if what == "hosts":
            HostListClient(context.log.url, LIMIT_S).fetch()
        elif what == "records":
            LogClient(context.log.url, LIMIT_S, SystemClock()).read("s", 0)
        else:
            LogClient(context.log.url, LIMIT_S, SystemClock()).bounds("s")
    except Exception as error:
        context.failure = error


@then("odd log client reports that the log is unavailable")
def reports_unavailable(context):
    assert isinstance(context.failure, LogUnavailable), repr(context.failure)


@then("odd log client reports that the host list can't be read")
def reports_host_list(context):
    assert isinstance(context.failure, HostListError), repr(context.failure)
