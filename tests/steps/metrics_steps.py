"""Steps for metrics over statsd."""

from __future__ import annotations

from behave import given, then, when
from statsd import StatsClient

from lentiltally.metrics import MetricError, Metrics


class _Receiver(list):
    """Replaces the client's socket and stores the packets that are sent."""

    fails = False

    def sendto(self, data, address):
        if self.fails:
            raise OSError("network is unreachable")
        self.append(data.decode())

    def close(self):
        pass


def _lines(context):
    return [line for packet in context.packets for line in packet.split("\n")]


@given("metrics with a receiver that {state}")
def metrics_with_receiver(context, state):
    context.packets = _Receiver()
    context.packets.fails = state == "fails"
    client = StatsClient("127.0.0.1", 9, "lt.entry", maxudpsize=1432)
    client.close()
    client._sock = context.packets
    context.metrics = Metrics(client, "entry-1")


@when('metrics count "{name}" {times:d} times for "{label}"')
def metrics_count(context, name, times, label):
    for number in range(times):
        context.metrics.count(name, label=label.replace("{number}", str(number)))


@when('metrics set gauge "{name}" to {value:d}')
def metrics_gauge(context, name, value):
    context.metrics.gauge(name, value)


@when('metrics time "{name}" {times:d} times')
def metrics_time(context, name, times):
    for _ in range(times):
        context.metrics.timing(name, 0.25)


@when("metrics method {name} is called")
def metrics_call(context, name):
    getattr(context.metrics, name)()


@then('metrics refuse {call} because "{reason}"')
def metrics_refuse(context, call, reason):
    try:
        eval(f"metrics.{call}", {"metrics": context.metrics})
    except MetricError as error:
        assert reason in str(error), error
    else:
        raise AssertionError("the use was accepted")


@then('metrics sent "{line}"')
def metrics_sent(context, line):
    assert line in _lines(context), _lines(context)


@then("metrics sent {lowest:d} to {highest:d} {unit}")
def metrics_amount(context, lowest, highest, unit):
    sent = context.packets if unit == "packets" else _lines(context)
    assert lowest <= len(sent) <= highest, len(sent)


@then("metrics sent the first timing without a rate and the last with one")
def metrics_rates(context):
    first, *_, last = _lines(context)
    assert first == "lt.entry.queue_wait:250.000000|ms", first
    assert "|@0." in last, last
