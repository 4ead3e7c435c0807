"""Steps for the stand-ins over HTTP, in-process and as processes."""

from __future__ import annotations

import re
import signal
import subprocess
import sys

import msgspec
import urllib3
from behave import given, then, when

from standins import (
    ChatMessage,
    EngineSettings,
    EngineStandIn,
    PlainServiceStandIn,
    WeightStoreSettings,
    WeightStoreStandIn,
    answer_text,
    chat_prompt,
)

WAIT_S = 20.0
SILENCE_S = 0.3
CONNECTION_BROKEN = urllib3.exceptions.ProtocolError


def run(context, standin):
    context.standin = standin
    standin.start()
    context.add_cleanup(standin.stop)
    context.http = urllib3.PoolManager(retries=False, maxsize=4, timeout=WAIT_S)
    context.add_cleanup(context.http.clear)


def call(context, method, path, body=None, *, stream=False, headers=None):
    """Send a request and keep its answer in the context.

    The answer is None if the connection was closed without one.
    """
    url = context.standin.url + path
    try:
        context.answer = context.http.request(
            method, url, json=body, headers=headers, preload_content=not stream
        )
    except CONNECTION_BROKEN:
        context.answer = None
    return context.answer


@when("standin gets the faults {patch}")
def standin_faults(context, patch):
    # Use a separate connection, because faults spare the one that sets them.
    answer = urllib3.request("PUT", context.standin.url + "/faults", body=patch)
    assert answer.status == 200, answer.data


@given("standin engine runs")
def engine_runs(context):
    settings = EngineSettings(token_s=0.001, load_s=0.0, batch_places=64)
    run(context, EngineStandIn(settings=settings))


@given("standin engine runs with a weight store that allows {count:d} load")
def engine_with_weights(context, count):
    # At this rate no further load can start while the scenario runs.
    settings = WeightStoreSettings(load_s=0.0, starts_per_s=1e-6, burst=count)
    store = WeightStoreStandIn(settings=settings)
    run(context, store)
    run(context, EngineStandIn(settings=EngineSettings(weights_url=store.url)))


@when(
    "standin engine streams {count:d} tokens from {path}, loses its caller after event "
    "{last:d} and resumes"
)
def engine_streams(context, count, path, last):
    message = ChatMessage("user", "hello")
    body = {"model": "base", "max_tokens": count, "stream": True, "prompt": "hello"}
    context.prompt = "hello"
    if "chat" in path:
        body["messages"] = [msgspec.to_builtins(message)]
        context.prompt = chat_prompt([message])
    headers = {"X-Request-Id": "s"}
    answer = call(context, "POST", path, body, stream=True, headers=headers)
    data = b""
    while data.count(b"\n\n") < last:
        data += answer.read1()
    answer.close()
    headers["Last-Event-ID"] = str(last)
    rest = call(context, "POST", path, {}, headers=headers).data.decode()
    events = [*data.decode().split("\n\n")[:last], *rest.split("\n\n")[:-1]]
    context.events = events


@when("standin engine is asked to resume an unknown stream")
def engine_resumes_unknown(context):
    headers = {"X-Request-Id": "x", "Last-Event-ID": "1"}
    call(context, "POST", "/v1/completions", {}, headers=headers)


@then("standin engine has sent the events 1 to {last:d} once, with the expected text")
def engine_events(context, last):
    ids = [int(re.match(r"id: (\d+)\n", event)[1]) for event in context.events]
    assert ids == list(range(1, last + 1)), ids
    texts = [re.search(r'"(?:text|content)":"([^"]*)"', e) for e in context.events]
    text = "".join(found[1] for found in texts if found)
    assert text == answer_text("base", context.prompt, last - 2), text


@when("standin engine loads {names}")
def engine_loads(context, names):
    for name in names.split():
        order = {"lora_name": name, "lora_path": name}
        call(context, "POST", "/v1/load_lora_adapter", order)


@when('standin engine is asked for {count:d} tokens of {model} with "{prompt}"')
def engine_asked(context, count, model, prompt):
    context.prompt = prompt
    body = {"model": model, "prompt": prompt, "max_tokens": count}
    call(context, "POST", "/v1/completions", body)


@when("standin engine streams {count:d} endless answers")
def engine_endless(context, count):
    body = {"model": "base", "max_tokens": 10**9, "stream": True}
    for _ in range(count):
        context.endless = call(context, "POST", "/v1/completions", body, stream=True)
        context.endless.read1(1)


@then("standin engine gives status {status}")
def engine_status(context, status):
    found = str(context.answer.status) if context.answer else "nothing"
    assert found == status, found


@then("standin engine answers with {count:d} tokens of {model}")
def engine_answers(context, count, model):
    document = context.answer.json()
    assert document["model"] == model, document
    assert document["system_fingerprint"] == context.standin.core.incarnation
    text = document["choices"][0]["text"]
    assert text == answer_text(model, context.prompt, count), text


@then("standin engine has {count:d} executions")
def engine_executions(context, count):
    assert len(call(context, "GET", "/journal").json()["executions"]) == count


@then("standin engine has closed the endless answer's connection")
def engine_closed(context):
    try:
        while context.endless.read1():
            pass
    except CONNECTION_BROKEN:
        return
    raise AssertionError("the answer ended as if it were complete")


@then("standin engine sends nothing more on the endless answer and keeps it open")
def engine_silent(context):
    connection = context.endless.connection.sock
    connection.settimeout(SILENCE_S)
    silences = 0
    while silences < 2:
        try:
            # Bytes sent before the fault may still arrive, but no end of file.
            assert connection.recv(1 << 20), "the connection was closed"
            assert silences == 0, "bytes arrived after a period without any"
        except TimeoutError:
            silences += 1
    connection.sendall(b"accepted")


@then("standin engine lists the adapters {names}")
def engine_adapters(context, names):
    models = call(context, "GET", "/v1/models").json()["data"]
    expected = [] if names == "nothing" else names.split()
    assert [m["id"] for m in models] == ["base", *expected], models


@given("standin service runs")
def service_runs(context):
    run(context, PlainServiceStandIn())


@when("standin service is called with {calls}")
def service_called(context, calls):
    context.results = []
    for method_and_path in calls.split(", "):
        answer = call(context, *method_and_path.split(), {"n": 1})
        context.results.append("nothing" if answer is None else answer.json()["path"])


@then("standin service has answered {answers} and counts {count:d} calls")
def service_answers(context, answers, count):
    assert context.results == answers.split(", "), context.results
    calls = call(context, "GET", "/journal").json()["calls"]
    assert [entry["count"] for entry in calls] == list(range(1, count + 1)), calls


@then("standin process {kind} prints its URL and ends with {code:d} on SIGTERM")
def process_ends(context, kind, code):
    command = [sys.executable, "-m", "standins", kind, "--port", "0"]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            line = process.stdout.readline()
            assert re.fullmatch(r"ready http://127\.0\.0\.1:\d+\n", line), line
            process.send_signal(signal.SIGTERM)
            assert process.wait(WAIT_S) == code, process.returncode
        finally:
            process.kill()
