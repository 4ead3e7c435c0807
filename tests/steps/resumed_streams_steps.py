"""Steps for streams that an engine continues, on the product's own interface."""

from __future__ import annotations

import re

from behave import given, then, when

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.engine_run import MAX_STREAM_RESUMES, EngineAttempt
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.clock import SystemClock
from lentiltally.wire import AnswerEnd, AnswerEvents, CompleteAnswer
from tests.steps.agent_cut_answers_steps import RawServer
from tests.steps.engine_run_steps import execute_message

LIMIT_S = 5.0
NESTED = b"[" * 100_000 + b"]" * 100_000


def answer(status, content_type, body):
    lines = b"HTTP/1.1 %s\r\nContent-Type: %s\r\n\r\n" % (status, content_type)
    return lines + body


def stream(body, content_type=b"text/event-stream; charset=utf-8"):
    return answer(b"200 OK", content_type, body)


def event(number):
    # The text is no id, although it looks like one.
    origin = b'{"model":"t/a@1","system_fingerprint":"i1","text":"id: 9"}'
    return b"id: %s\ndata: %s\n\n" % (str(number).encode(), origin)


DONE = b"id: 4\ndata: [DONE]\n\n"
JSON = b"application/json"
RESUMED = {
    "an error 500": answer(b"500 Failed", JSON, b'{"error": 1}'),
    "an error 404": answer(b"404 Not Found", JSON, b'{"error": 1}'),
    "a JSON document": stream(b'{"error": 1}\n\n', JSON),
    "a JSON document and a mark of the end": stream(b'{"error": 1}\n\n' + DONE, JSON),
    "a plain text of events": stream(event(3) + DONE, b"text/plain"),
    "a head that is cut off": b"HTTP/1.1 200 OK\r\nContent-Type: text/event",
    "no answer": b"",
    "events from the first on": stream(event(1) + event(2) + event(3) + DONE),
    "events after a gap": stream(DONE),
    "an event without an id": stream(b"data: failed\n\n" + event(3) + DONE),
    "an id of 5000 digits": stream(event("9" * 5000) + DONE),
    "data nested 100000 deep": stream(b'id: 3\ndata: {"a":' + NESTED + b"}\n\n"),
    "the next events": stream(event(3) + DONE),
}
LISTS = {
    "an entry without an id": b'{"data":[{"name":"m"}]}',
    "entries of null": b'{"data":null}',
    "an entry of null": b'{"data":[null]}',
    "data nested 100000 deep": b'{"data":[],"more":' + NESTED + b"}",
    "a number out of range": b'{"data":[],"more":1e400,"data":1}',
    "invalid UTF-8": b'{"data":[{"id":"\xff"}]}',
}


@given("engine attempt whose stream breaks within event 3")
def breaks(context):
    context.first = stream(event(1) + event(2) + b"id: 3\nda")


@given("engine attempt gets {kind} when it resumes")
def gets_when_resumed(context, kind):
    server = RawServer(context.first, *[RESUMED[kind]] * MAX_STREAM_RESUMES)
    context.add_cleanup(server.close)
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    context.emitted = []
    context.attempt = EngineAttempt(
        EngineClient(server.url, "engine", 4, LIMIT_S, LIMIT_S),
        execute_message(True),
        "i1",
        context.emitted.append,
        reader=reader,
        silence_timeout_s=LIMIT_S,
        has_time_left=lambda: True,
    )


@when("engine attempt runs")
def runs(context):
    context.error = None
    try:
        context.attempt.run()
    except Exception as error:
        context.error = error


def emitted_events(context):
    blocks = [m.data for m in context.emitted if isinstance(m, AnswerEvents)]
    return b"".join(blocks)


@then("engine attempt has emitted the events {first:d} to {last:d} and no end")
def emitted_no_end(context, first, last):
    expected = b"".join(event(number) for number in range(first, last + 1))
    assert emitted_events(context) == expected, emitted_events(context)[:500]
    ends = [m for m in context.emitted if isinstance(m, AnswerEnd | CompleteAnswer)]
    assert not ends, ends


@then("engine attempt has emitted the events {first:d} to {last:d} and the end")
def emitted_and_end(context, first, last):
    ids = re.findall(rb"id: (\d+)\n", emitted_events(context))
    assert ids == [b"%d" % number for number in range(first, last + 1)], ids
    assert isinstance(context.emitted[-1], AnswerEnd), context.emitted[-1]
    assert context.error is None, context.error


@then("engine attempt reports that the request may have run")
def reports_may_have_run(context):
    assert isinstance(context.error, TargetError), repr(context.error)
    assert context.error.may_have_run


@when("engine client reads a list of adapters with {odd}")
def reads_list(context, odd):
    server = RawServer(answer(b"200 OK", JSON, LISTS[odd]))
    context.add_cleanup(server.close)
    context.error = None
    try:
        EngineClient(server.url, "engine", 2, LIMIT_S, LIMIT_S).list_adapters()
    except Exception as error:
        context.error = error


@then("engine client reports an error")
def reports_list_error(context):
    assert isinstance(context.error, TargetError), repr(context.error)
