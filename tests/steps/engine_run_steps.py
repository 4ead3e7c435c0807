"""Steps for the check of who answered, with the engine stand-in over real sockets."""

from __future__ import annotations

import json

from behave import given, then

from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.engine_run import EngineMismatchError, EngineRun
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.clock import SystemClock
from lentiltally.wire import AnswerEvents, CompleteAnswer, Execute
from standins.engine import EngineStandIn
from standins.engine_state import EngineSettings

MODEL = "t/a@1"
PATH = "/v1/completions"


def body_of(stream):
    body = {"model": MODEL, "prompt": "x", "max_tokens": 3, "stream": stream}
    return json.dumps(body).encode()


@given("engine run of a {kind} request that was pinned in {pinned} engine run")
def pinned_run(context, kind, pinned):
    engine = EngineStandIn("127.0.0.1", 0, settings=EngineSettings(token_s=0.002))
    engine.start()
    context.add_cleanup(engine.stop)
    client = EngineClient(engine.url, "engine", 4, 10.0, 10.0)
    client.load_adapter(MODEL, "a/1", 1)
    reader = StreamReader(SystemClock())
    reader.start()
    context.add_cleanup(reader.stop)
    present = client.complete(PATH, body_of(False), "first").incarnation
    incarnation = present if pinned == "this" else "an older one"
    context.emitted = []
    context.run = EngineRun(
        client,
        execute(kind == "streamed"),
        incarnation,
        context.emitted.append,
        reader=reader,
        silence_timeout_s=10.0,
    )


@then("engine run passes on the answer")
def passes_on(context):
    context.run.run()
    kinds = {type(message) for message in context.emitted}
    assert kinds & {CompleteAnswer, AnswerEvents}, context.emitted


@then("engine run refuses the answer")
def refuses(context):
    try:
        context.run.run()
    except EngineMismatchError as error:
        assert error.may_have_run
    else:
        raise AssertionError("the answer of another engine run was passed on")
    assert not context.emitted, context.emitted


def execute(stream):
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
        body=body_of(stream),
        stream=stream,
        priority=0,
        idempotent=True,
        fingerprint="",
        deadline_left_s=10.0,
        config_offset=0,
    )
