"""Steps for the progress of a target's answer."""

from __future__ import annotations

import math
import re

from behave import given, then, when

from lentiltally.decisions.answer_progress import AnswerProgress
from lentiltally.decisions.event_stream import EventStream
from lentiltally.decisions.message_size import MessageTooLargeError
from lentiltally.decisions.target_timeouts import TargetTimeouts

START_S = 100.0


@given("answer progress with {first_s:g} s to the first event and gaps of {gap_s:g} s")
def progress(context, first_s, gap_s):
    context.progress = AnswerProgress(TargetTimeouts(first_s, gap_s), START_S)


@given("answer progress without timeouts")
def no_timeouts(context):
    context.progress = AnswerProgress(TargetTimeouts(), START_S)


@when("answer progress gets {what} every {pause_s:g} s for {seconds:g} s")
def gets(context, what, pause_s, seconds):
    size_bytes = re.match(r"\d+", what)
    now_s = START_S
    context.stalled_after_s = seconds
    while (now_s := now_s + pause_s) < START_S + seconds:
        stalled_at_s = context.progress.stalled_at_s
        if stalled_at_s is not None and now_s > stalled_at_s:
            context.stalled_after_s = stalled_at_s - START_S
            return
        if what == "an event":
            context.progress.event_completed(now_s)
        elif size_bytes:
            context.progress.body_received(int(size_bytes[0]), now_s)


@then("answer progress is stalled after {seconds:g} s")
def stalled_after(context, seconds):
    assert math.isclose(context.stalled_after_s, seconds), context.stalled_after_s


@then("event stream is broken by an event of 2 MB and takes 1000 events of 4 kB")
def event_size(context):
    stream = EventStream(None)
    for number in range(1, 1001):
        assert stream.received(b"id: %d\ndata: %s\n\n" % (number, b"a" * 4000))
    received_bytes = 0
    try:
        while received_bytes < 2_000_000:
            stream.received(b"a" * 1000)
            received_bytes += 1000
    except MessageTooLargeError:
        return
    raise AssertionError(f"kept {received_bytes} bytes of one event")


# Events by letter: a number, data without an id, a comment, a blank one.
EVENTS = {
    "1": b"id: 1\ndata: a\n\n",
    "2": b"id: 2\ndata: b\n\n",
    "d": b"data: d\n\n",
    "c": b": comment\n\n",
    "b": b"\n\n",
}


@given("event stream that {needs} ids")
def stream_with_ids(context, needs):
    context.stream = EventStream(None, needs_ids=needs == "needs")


@when("event stream gets the events {letters}")
def gets_events(context, letters):
    received = [context.stream.received(EVENTS[letter]) for letter in letters.split()]
    context.passed_on = [data for data in received if data]


@then("event stream has passed on {parts} and holds {rest} back")
def has_passed_on(context, parts, rest):
    expected = [b"".join(EVENTS[letter] for letter in part) for part in parts.split()]
    assert context.passed_on == expected, context.passed_on
    held = b"" if rest == "none" else b"".join(EVENTS[letter] for letter in rest)
    assert context.stream.held_back == held, context.stream.held_back
    assert not context.stream.has_partial_event


@then("event stream is broken by {events} before it has got {count:d} of them")
def broken_by(context, events, count):
    event = {
        "comments": EVENTS["c"],
        "blank lines": EVENTS["b"],
        "data without ids": EVENTS["d"],
        "1000 bytes without ids": b"data: " + b"a" * 1000 + b"\n\n",
    }[events]
    try:
        for _ in range(count // 10):
            context.stream.received(event * 10)
    except MessageTooLargeError:
        return
    raise AssertionError(f"kept {context.stream.partial_bytes} bytes")
