"""Steps for the assembly of answers."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions import answers
from lentiltally.decisions.answers import AnswerAssembly
from lentiltally.wire import messages


def _events(first, count, present=None):
    numbers = range(first, first + (count if present is None else present))
    data = b"".join(b"data: %d\n\n" % n for n in numbers)
    return messages.AnswerEvents("a", first, count, data)


def _apply(assembly, word, numbers, now_s):
    if word == "tick":
        return assembly.tick(now_s)
    if word == "progress":
        return assembly.progress(numbers[0], now_s)
    message = {
        "head": lambda: messages.AnswerHead("a", 200, "text/event-stream"),
        "events": lambda: _events(*numbers),
        "malformed": lambda: _events(*numbers, present=2),
        "end": lambda: messages.AnswerEnd("a", numbers[0]),
        "whole": lambda: messages.CompleteAnswer("a", 200, "text/plain", b"x"),
        "other-whole": lambda: messages.CompleteAnswer("b", 200, "", b"x"),
        "refused": lambda: messages.Refused("a", "no", "full", "agent", "x", 1.0),
    }[word]()
    return assembly.received(message, now_s)


def _text(action):
    words = [type(action).__name__]
    if isinstance(action, answers.DeliverEvents):
        first, end = action.first_index, action.first_index + action.count
        assert action.data == _events(first, action.count).data
        words.append(f"{first}-{end}")
    words += [str(getattr(action, n)) for n in ("next_index",) if hasattr(action, n)]
    words += [action.executed for _ in [0] if isinstance(action, answers.Failed)]
    return " ".join(words)


@given("answer after {history}")
def answer_after(context, history):
    assembly = AnswerAssembly("a", 0.0)
    for event in history.split(", "):
        at, word, *numbers = event.split()
        actions = _apply(assembly, word, [int(n) for n in numbers], float(at))
    context.answer_actions = actions


@then("answer returns {actions}")
def answer_returns(context, actions):
    found = ", ".join(_text(action) for action in context.answer_actions)
    assert (found or "nothing") == actions, found


@then("answers are delivered completely, in order and once over random channels")
def answers_property(context):
    total = 6
    choices = st.lists(st.integers(0, 30), max_size=40)

    @for_all(choices)
    def check(numbers_drawn):
        assembly, delivered, ended = AnswerAssembly("a", 0.0), b"", 0
        channel = [
            ("head", []),
            ("events", [0, 3]),
            ("events", [3, 3]),
            ("end", [total]),
        ]
        for step, number in enumerate([*numbers_drawn, *[0] * 40]):
            is_tick = not channel or number == 30
            word, numbers = ("tick", []) if is_tick else channel[number % len(channel)]
            if not is_tick and number % 3 == 0:
                del channel[number % len(channel)]
            is_lost = not is_tick and number % 7 == 6
            actions = [] if is_lost else _apply(assembly, word, numbers, 3.0 * step)
            for action in actions:
                if isinstance(action, answers.DeliverEvents):
                    delivered += action.data
                elif isinstance(action, answers.RequestResume):
                    first = action.next_index
                    channel += [("head", [])] if first == 0 else []
                    channel += [("events", [first, total - first]), ("end", [total])]
                ended += isinstance(action, answers.Complete)
            whole = _events(0, total).data
            assert whole.startswith(delivered)
            assert not ended or delivered == whole
        assert ended == 1

    check()
