"""Steps for the metrics."""

from __future__ import annotations

from behave import given, then, when
from statsd import StatsClient

from lentiltally.metrics import MetricError, Metrics


class _Receiver:
    """Stands in for the client's socket and keeps the packets."""

    def __init__(self, fails=False):
        self.packets = []
        self.fails = fails

    def sendto(self, data, address):
        if self.fails:
            raise OSError("network is unreachable")
        self.packets.append(data.decode())

    def close(self):
        pass


def _metrics(context, process, receiver):
    context.receiver = receiver
    client = StatsClient("127.0.0.1", 9, "lt.entry", maxudpsize=1432)
    client._sock.close()
    client._sock = receiver
    context.metrics = Metrics(client, process)


def _lines(context):
    return [line for packet in context.receiver.packets for line in packet.split("\n")]


@given('metrics for process "{process}" with a receiver')
def metrics_with_receiver(context, process):
    _metrics(context, process, _Receiver())


@given('metrics for process "{process}" with a receiver that fails')
def metrics_with_failing_receiver(context, process):
    _metrics(context, process, _Receiver(fails=True))


@given('metrics for process "{process}" without a receiver')
def metrics_without_receiver(context, process):
    context.metrics = Metrics(None, process)


@when('metrics count "{name}" {times:d} times for "{label}"')
def metrics_count(context, name, times, label):
    for _ in range(times):
        context.metrics.count(name, label=label)


@when('metrics count "{name}" for {number:d} invented teams')
def metrics_count_invented(context, name, number):
    for team in range(number):
        context.metrics.count(name, label=f"team-{team}")


@when('metrics set gauge "{name}" to {value:d}')
def metrics_gauge(context, name, value):
    context.metrics.gauge(name, value)


@when('metrics time "{name}" {times:d} times')
def metrics_time(context, name, times):
    for _ in range(times):
        context.metrics.timing(name, 0.25)


@when("metrics are flushed")
def metrics_flush(context):
    context.metrics.flush()


@when("metrics are closed")
def metrics_close(context):
    context.metrics.close()


@when("metrics try {call}")
def metrics_try(context, call):
    try:
        eval(f"metrics.{call}", {"metrics": context.metrics})
    except MetricError as error:
        context.error = error
    else:
        raise AssertionError("the use was accepted")


@then("metrics sent {number:d} packet")
def metrics_packets(context, number):
    assert len(context.receiver.packets) == number, context.receiver.packets


@then('metrics sent "{line}"')
def metrics_sent(context, line):
    assert line in _lines(context), _lines(context)


@then("metrics sent between {lowest:d} and {highest:d} timings")
def metrics_timings(context, lowest, highest):
    assert lowest <= len(_lines(context)) <= highest, len(_lines(context))


@then("metrics sent the first timing without a rate and the last with one")
def metrics_rates(context):
    lines = _lines(context)
    assert lines[0] == "lt.entry.queue_wait:250.000000|ms", lines[0]
    assert "|@0." in lines[-1], lines[-1]


@then('metrics sent at most {number:d} series of "{name}"')
def metrics_series(context, number, name):
    series = {line.partition(":")[0] for line in _lines(context)}
    assert len([s for s in series if f".{name}." in s]) <= number, len(series)


@then('metrics report "{reason}"')
def metrics_report(context, reason):
    assert reason in str(context.error), context.error


@then("metrics raised nothing")
def metrics_quiet(context):
    assert context.receiver.packets == []
