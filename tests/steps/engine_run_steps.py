"""Steps for attempts on an engine, with the engine stand-in over real sockets."""

from __future__ import annotations

import json

from behave import given, then

from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.engine_run import EngineAttempt, EngineMismatchError
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.clock import SystemClock
from lentiltally.wire import AnswerEvents, CompleteAnswer, Execute
from standins.engine import EngineStandIn
from standins.engine_state import EngineSettings

MODEL = "t/a@1"
PATH = "/v1/completions"


def request_body(stream):
    body = {"model": MODEL, "prompt": "x", "max_tokens": 3, "stream": stream}
    return json.dumps(body).encode()


@given("engine attempt of a {kind} request pinned on {pinned} engine incarnation")
def pinned_attempt(context, kind, pinned):
    engine = EngineStandIn("127.0.0.1", 0, settings=EngineSettings(token_s=0.002))
    engine.start()
    context.add_cleanup(engine.stop)
    client = EngineClient(engine.url, "engine", 4, 10.0, 10.0)
    client.load_adapter(MODEL, "a/1", 1)
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    current = client.complete(PATH, request_body(False), "first").incarnation
    expected = current if pinned == "the current" else "an older one"
    context.emitted = []
    context.attempt = EngineAttempt(
        client,
        execute_message(kind == "streamed"),
        expected,
        context.emitted.append,
        reader=reader,
        silence_timeout_s=10.0,
        has_time_left=lambda: True,
    )


@then("engine attempt forwards the answer")
def forwards_answer(context):
    context.attempt.run()
    kinds = {type(message) for message in context.emitted}
    assert kinds & {CompleteAnswer, AnswerEvents}, context.emitted


@then("engine attempt refuses the answer")
def refuses_answer(context):
    try:
        context.attempt.run()
    except EngineMismatchError as error:
        assert error.may_have_run
    else:
        raise AssertionError("the answer of another engine incarnation was forwarded")
    assert not context.emitted, context.emitted


def execute_message(stream):
    return Execute(
        attempt_id="a1",
        reply_address="",
        agent_incarnation="",
        target="engine",
        team="t",
        adapter="a",
        version="1",
        source="a/1",
        method="POST",
        path=PATH,
        content_type="application/json",
        body=request_body(stream),
        stream=stream,
        priority=0,
        idempotent=True,
        fingerprint="",
        deadline_left_s=10.0,
        config_offset=0,
    )
