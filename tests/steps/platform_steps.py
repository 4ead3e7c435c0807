"""Steps for the clients of the platform."""

from __future__ import annotations

import json
import threading

import urllib3
from behave import given, then, when

from lentiltally.clock import SystemClock
from lentiltally.platform.host_list import HostListClient, HostListError
from lentiltally.platform.log_client import LogClient, LogError, LogUnavailable
from standins import Host, HostListStandIn, LogSettings, LogStandIn

WAIT_S = 20.0
STREAM = "team/stream"


def run_log(context, **settings):
    context.log = LogStandIn(settings=LogSettings(**settings))
    context.log.start()
    context.add_cleanup(context.log.stop)
    context.client = LogClient(context.log.url, WAIT_S, SystemClock())


def call(context, action):
    context.error = None
    try:
        context.result = action()
    except (LogError, HostListError) as error:
        context.error = error


@given("log client of a running log")
def log_runs(context):
    run_log(context)


@given("log client of a log that loses 1 answer")
def log_loses(context):
    url = context.log.url + "/faults"
    urllib3.request("PUT", url, json={"lose_answers": 1})


@given("log client whose log has stopped")
def log_stopped(context):
    context.log.stop()


@given("log client of a log whose rate limit allows 1 append")
def log_limited(context):
    # A second append is not allowed within the duration of the scenario.
    run_log(context, appends_per_s=1e-6, append_burst=1.0)


@given("log client of a log that retains 1 record")
def log_retains(context):
    run_log(context, max_records=1)


@when("log client appends {first} and {second}")
def log_client_appends(context, first, second):
    values = [first.encode(), json.loads(second)]
    call(context, lambda: context.client.append(STREAM, values))


@when("log client waits for a record while another client appends {value}")
def log_client_waits(context, value):
    other = LogClient(context.log.url, WAIT_S, SystemClock())
    timer = threading.Timer(0.1, lambda: other.append(STREAM, [json.loads(value)]))
    timer.start()
    call(context, lambda: context.client.read(STREAM, 0, wait_ms=30_000))
    timer.join()


@then(
    "log client's append returns the first offset {first:d} and the next offset {end:d}"
)
def append_returns(context, first, end):
    assert context.error is None, context.error
    found = (context.result.first_offset, context.result.next_offset)
    assert found == (first, end), found


@then("log client reads from offset {start:d} the record {offset:d} with {value}")
def log_client_reads(context, start, offset, value):
    call(context, lambda: context.client.read(STREAM, start))
    log_client_received(context, offset, value)


@then("log client received the record {offset:d} with {value}")
def log_client_received(context, offset, value):
    [record] = context.result.records
    assert record.offset == offset
    assert json.loads(bytes(record.value)) == json.loads(value)


@then("log client sees the bounds {first:d} to {end:d} and no record at offset {at:d}")
def log_client_sees_bounds(context, first, end, at):
    bounds = context.client.bounds(STREAM)
    assert (bounds.first_offset, bounds.next_offset) == (first, end), bounds
    page = context.client.read(STREAM, at)
    assert page.records == () and page.next_offset == end, page


@then("log client reports {kind}")
def log_client_reports(context, kind):
    assert type(context.error).__name__ == kind, context.error


@then("log client's LogUnavailable error has a retry delay")
def error_has_retry_delay(context):
    assert isinstance(context.error, LogUnavailable), context.error
    assert context.error.retry_after_s > 0


@then("log client's read reports {kind}")
def read_reports(context, kind):
    call(context, lambda: context.client.read(STREAM, 0))
    log_client_reports(context, kind)


@then("log client's read from offset {start:d} reports LogTruncated with {first:d}")
def read_reports_truncation(context, start, first):
    call(context, lambda: context.client.read(STREAM, start))
    log_client_reports(context, "LogTruncated")
    assert context.error.first_offset == first


def run_host_list(context):
    hosts = [
        Host("h1", "127.0.0.1:1", "agent", "r", "f1"),
        Host("h2", "127.0.0.1:2", "entry", "r", "f2", "leaving"),
    ]
    context.hosts = HostListStandIn(hosts=hosts)
    context.hosts.start()
    context.add_cleanup(context.hosts.stop)
    context.client = HostListClient(context.hosts.url, WAIT_S)


@given("host list client of a list with a live host and a draining host")
def host_list_runs(context):
    run_host_list(context)


@given("host list client whose list has stopped")
def host_list_stopped(context):
    run_host_list(context)
    context.hosts.stop()


@then("host list client fetches {hosts}")
def client_fetches_hosts(context, hosts):
    found = ", ".join(f"{h.host} {h.status}" for h in context.client.fetch())
    assert found == hosts, found


@then("host list client reports HostListError")
def client_reports_error(context):
    call(context, context.client.fetch)
    assert isinstance(context.error, HostListError), context.error
