"""Steps for the adapter slots of one target."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.adapter_slots import (
    AdapterSlots,
    OrderKind,
    OrderOutcome,
    Pinned,
)

OUTCOMES = {
    "done": OrderOutcome.DONE,
    "fail": OrderOutcome.FAILED,
    "no-answer": OrderOutcome.ANSWER_LOST,
    "fenced": OrderOutcome.FENCED,
}


class _Case:
    """Applies the events of a history to the slots.

    ``need`` takes the next order while work waits for these adapters. ``done``,
    ``fail``, ``no-answer`` and ``fenced`` are its outcomes; ``load`` is ``need`` and
    ``done``. ``stale-list`` is a list requested at the last ``request-list``.
    """

    def __init__(self, enforces_fencing):
        self.slots = AdapterSlots(2, "run-1", enforces_fencing=enforces_fencing)
        self.pins, self.order, self.requested_at = {}, None, 0
        if not enforces_fencing:
            self.slots.set_fencing_token(1)
            self.slots.engine_listed("run-1", [])

    def do(self, word, names):
        slots, first = self.slots, (names or [""])[0]
        if word == "need":
            self.order = slots.next_order(names)
        elif word in OUTCOMES:
            slots.order_answered(self.order.order_id, OUTCOMES[word])
        elif word == "load":
            self.do("need", names)
            self.do("done", [])
        elif word == "pin":
            self.pins[first] = slots.pin(first)
        elif word == "unpin":
            slots.unpin(self.pins[first])
        elif word == "retire":
            slots.retire(first)
        elif word == "request-list":
            self.requested_at = slots.listing_started()
        elif word == "token":
            slots.set_fencing_token(int(first))
        elif word == "restart":
            slots.engine_restarted("run-2")
        else:
            requested_at = self.requested_at if word == "stale-list" else None
            adapters = [name for name in names if name != "-"]
            slots.engine_listed(slots.engine_incarnation, adapters, requested_at)


@given("slots after {history}")
def slots_after(context, history):
    events = [event.split() for event in history.split(", ")]
    context.case = _Case(enforces_fencing=events[0] == ["enforces-fencing"])
    for word, *names in events:
        if word != "enforces-fencing":
            context.case.do(word, names)


@then("slots show {result}")
def slots_show(context, result):
    case, words = context.case, result.split()
    if words[0] == "order":
        order = case.order
        found = f"{order.kind.value} {order.adapter}" if order else "none"
        assert found == " ".join(words[1:]), found
    elif words[0] == "pin":
        assert type(case.slots.pin(words[1])).__name__ == words[2]
    else:
        assert case.slots.state(words[0]).value == words[1]


@then("slots never unload a pinned adapter, pin an absent one or exceed the limit")
def slots_property(context):
    words = st.sampled_from(["order", "answer", "pin", "unpin", "request-list", "list"])
    events = st.lists(
        st.tuples(words, st.sampled_from("abcd"), st.integers(0, 9)), max_size=80
    )

    @for_all(events)
    def check(history):
        slots = AdapterSlots(2, "run")
        slots.set_fencing_token(1)
        loaded, pins, orders = set(), [], []
        requested_at, listed = slots.listing_started(), frozenset()
        for word, name, dice in history:
            if word == "order" and (order := slots.next_order([name])):
                orders.append((order, dice))
                if order.kind is OrderKind.UNLOAD:
                    assert not slots.pins(order.adapter), "unloads an adapter in use"
                if dice > 1:
                    is_load = order.kind is OrderKind.LOAD
                    (loaded.add if is_load else loaded.discard)(order.adapter)
                assert len(loaded) <= 2
            elif word == "answer" and orders:
                order, order_dice = orders.pop(0)
                outcome = OrderOutcome.DONE if order_dice > 1 else OrderOutcome.FAILED
                is_lost = dice < 2
                slots.order_answered(
                    order.order_id, OrderOutcome.ANSWER_LOST if is_lost else outcome
                )
            elif word == "pin" and isinstance(pin := slots.pin(name), Pinned):
                assert name in loaded, "pins an absent adapter"
                pins.append(pin)
            elif word == "unpin" and pins:
                slots.unpin(pins.pop())
            elif word == "request-list":
                requested_at, listed = slots.listing_started(), frozenset(loaded)
            elif word == "list":
                slots.engine_listed("run", listed, requested_at)

    check()
