"""Steps for the order of adapter loads and the estimates of answer lengths."""

from __future__ import annotations

import random

from behave import given, then

from lentiltally.decisions.answer_lengths import AnswerLengthEstimates
from lentiltally.decisions.load_order import LoadOrder
from lentiltally.decisions.work_queue import AdapterDemand


def demand(text):
    adapter, waiting, kind, *rest = text.split()
    since_s = float(rest[1]) if rest else 0.0
    return AdapterDemand(adapter, int(waiting), since_s, 2 if kind != "waiting" else 1)


@given("load order has demands {first} and {second}")
def order_demands(context, first, second):
    context.demands = [demand(first), demand(second)]


@then("load order picks {chosen}")
def order_picks(context, chosen):
    order = LoadOrder(random.Random(1))
    assert order.next(context.demands, (), 10.0) == chosen


@then("load order skips adapters in flight and failed ones until their retry")
def order_skips(context):
    order = LoadOrder(random.Random(1))
    demands = [AdapterDemand("a", 5, 0.0, 1), AdapterDemand("b", 1, 0.0, 1)]
    assert order.next(demands, {"a"}, 1.0) == "b"
    assert order.next(demands, {"a", "b"}, 1.0) is None
    retry_s = order.failed("a", 1.0)
    assert 1.0 < retry_s <= 2.0
    assert order.next(demands, (), (1.0 + retry_s) / 2) == "b"
    assert order.next(demands, (), retry_s) == "a"
    for _ in range(20):
        assert order.failed("a", 5.0) <= 20.0


@then("length estimates change little after one long answer and double while running")
def lengths_follow(context):
    lengths = AnswerLengthEstimates()
    for tokens in (300, 320, 280, 6000):
        lengths.finished("a", tokens)
    assert 300 < lengths.expected("a") < 700
    assert lengths.expected("a", 1000) == 2000
    assert lengths.expected("unknown") == 256
