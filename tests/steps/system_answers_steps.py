"""Steps of the system tests: answers while engines fail."""

from __future__ import annotations

import json

import urllib3
from behave import then, when

from standins.engine_answers import ChatMessage, chat_prompt
from tests.fakes.system import COMPLETIONS_PATH, TEAM, TIMEOUT_S, expected_text

CHAT_PATH = "/v1/chat/completions"
LONG_TOKENS = 60
HOLDS_PATH = f"/services/{TEAM}/shelf/holds"


@when("system receives a {kind} request")
def receives_kind(context, kind):
    system = context.system
    context.tokens = 5
    fields = {"stream": True} if "streamed" in kind else {}
    path, context.expected = (
        COMPLETIONS_PATH,
        expected_text(context.prompt, "drafts", 5),
    )
    context.body = system.body(context.prompt, **fields)
    if "chat" in kind:
        path = CHAT_PATH
        document = json.loads(context.body)
        prompt = document.pop("prompt")
        document["messages"] = [{"role": "user", "content": prompt}]
        context.body = json.dumps(document).encode()
        context.expected = expected_text(
            chat_prompt([ChatMessage("user", prompt)]), "drafts", context.tokens
        )
    context.reply = system.send(context.body, path=path)


def stream_parts(data):
    """Return the JSON documents and the ids of a stream that ended with [DONE]."""
    lines = data.decode().splitlines()
    assert lines and "data: [DONE]" in lines[-2:], data[-500:]
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    texts = [line[6:] for line in lines if line.startswith("data: {")]
    return [json.loads(text) for text in texts], ids


def text_of_documents(documents):
    assert all(document["model"] == f"{TEAM}/drafts@1" for document in documents)
    choices = [document["choices"][0] for document in documents]
    return "".join(
        c.get("text") or c.get("delta", {}).get("content", "") for c in choices
    )


@then("system answered with the complete text and its headers")
def answered_completely(context):
    reply = context.reply
    assert reply.status == 200, reply
    headers = reply.headers
    assert headers["Lentiltally-Adapter"] == f"{TEAM}/drafts@1", reply
    assert headers["Lentiltally-Target"] in {"engine-1", "engine-2"}, reply
    assert int(headers["Lentiltally-Config-Offset"]) >= 0, reply
    if headers["Content-Type"].startswith("text/event-stream"):
        assert text_of_documents(stream_parts(reply.data)[0]) == context.expected, reply
        return
    choice = reply.json()["choices"][0]
    text = choice["text"] if "text" in choice else choice["message"]["content"]
    assert text == context.expected, reply


@then("the system's engines executed it {count:d} time")
def engines_executed(context, count):
    runs = context.system.executions(context.body)
    assert len(runs) == count, runs


@when("system receives a long stream and its first events")
def long_stream(context):
    system = context.system
    context.body = system.body(context.prompt, tokens=LONG_TOKENS, stream=True)
    context.answer = urllib3.request(
        "POST",
        system.deployment.entry_urls["entry-1"] + COMPLETIONS_PATH,
        body=context.body,
        timeout=TIMEOUT_S,
        preload_content=False,
        retries=False,
    )
    context.data = context.answer.read1(200)
    assert context.data, context.answer.status


@then("the system's engines still execute it")
def still_execute(context):
    assert context.system.running_executions(context.body), context.system.executions(
        context.body
    )


@when("system's caller reads the stream to its end")
def read_stream(context):
    context.data += context.answer.read()


@then("system's stream was complete and without repetition")
def stream_was_complete(context):
    documents, ids = stream_parts(context.data)
    assert ids == list(range(1, len(ids) + 1)), ids
    assert text_of_documents(documents) == expected_text(
        context.prompt, "drafts", LONG_TOKENS
    ), context.data


@then("system's stream contains only text of its adapter")
def stream_has_own_text(context):
    complete_text = expected_text(context.prompt, "drafts", LONG_TOKENS)
    lines = context.data.decode().splitlines()
    events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    documents = [event for event in events if "choices" in event]
    text = text_of_documents(documents)
    assert complete_text.startswith(text), text
    # An incomplete stream must end with an error event.
    if text != complete_text:
        assert "event: error" in lines and "data: [DONE]" not in lines, lines[-6:]


@when("the system's engines make their connections silent")
def silence_connections(context):
    context.system.set_engine_faults(silent_connections=True)


@when("the system's engines restart empty")
def restart_empty(context):
    context.system.set_engine_faults(restart_empty=True)


@when("the system's engines fall back to the base model")
def fall_back_to_base_model(context):
    context.system.set_engine_faults(base_model_fallback=True)


@when("the system's engines lose {count:d} answer")
def engines_lose_answers(context, count):
    for name in context.system.deployment.engine_urls:
        lose_answers_below(context.system, name, count, "/v1/completions")


@when("system receives requests until engine-1 has lost an answer")
def receives_until_lost(context):
    system = context.system
    lose_answers_below(system, "engine-1", 1, "/v1/completions")
    context.pending_replies = []

    def is_answer_lost():
        prompt = f"{context.prompt} {len(context.pending_replies)}"
        body = system.body(prompt)
        context.pending_replies.append((prompt, "drafts", system.send_async(body)))
        context.pending_replies[-1][2].result()
        return system.fault_switches("engine-1")["lose_answers"] == 0

    system.wait_until(is_answer_lost)


@when("the system's engines lose {count:d} answer below {path}")
def engines_lose_answers_below(context, count, path):
    for name in context.system.deployment.engine_urls:
        lose_answers_below(context.system, name, count, path)


def lose_answers_below(system, name, count, path):
    system.set_faults(name, lose_answers=count, lose_path=path)


@when("the system's engines fail {count:d} load")
def fail_loads(context, count):
    context.system.set_engine_faults(fail_loads=count)


@when("the system's service loses {count:d} answer")
def service_loses(context, count):
    lose_answers_below(context.system, "shelf", count, "/holds")


def send_booking(context, entry="entry-1", tokens=5):
    context.key = context.prompt
    context.body = context.system.body(context.prompt, "bookings", tokens)
    return context.system.send(context.body, entry, context.key)


@when("system receives a booking")
def receives_booking(context):
    context.reply = send_booking(context)
    context.replies = [context.reply]


@when("system receives the booking again at each entry")
def receives_booking_again(context):
    names = context.system.deployment.entry_urls
    context.replies = [
        context.system.send(context.body, name, context.key) for name in names
    ]


@when("system receives a hold")
def receives_hold(context):
    context.calls = len(context.system.journal("shelf")["calls"])
    receives_hold_again(context)


@when("system receives the hold again")
def receives_hold_again(context):
    body = json.dumps({"item": context.prompt}).encode()
    context.replies = [
        context.system.send(body, name, context.prompt, path=HOLDS_PATH)
        for name in ("entry-1", "entry-2")
    ]


@then("the system's service executed the hold {count:d} time")
def service_executed_hold(context, count):
    calls = context.system.journal("shelf")["calls"][context.calls :]
    assert len(calls) == count, calls


@then("system refused the booking with an unknown outcome")
def refused_unknown(context):
    for reply in context.replies:
        assert reply.status >= 400 and reply.executed == "unknown", reply


@when("system receives {count:d} requests at once")
def receives_many(context, count):
    prompts = [f"{context.prompt} {number}" for number in range(count)]
    _send_requests(context, [(prompt, "drafts") for prompt in prompts])


@when("system receives {count:d} requests for a new adapter at once")
def receives_for_new_adapter(context, count):
    # The adapter depends on the first word of the scenario's title. No other scenario
    # of the feature uses these adapters.
    adapter = {"an": "notes", "a": "brief"}[context.prompt.split()[0]]
    _send_requests(context, [(f"{context.prompt} {n}", adapter) for n in range(count)])


@when("system receives {count:d} requests for as many adapters at once")
def receives_for_many_adapters(context, count):
    _send_requests(
        context, [(f"{context.prompt} {n}", f"extra-{n}") for n in range(count)]
    )


def _send_requests(context, prompts_and_adapters):
    system = context.system
    entries = ("entry-1", "entry-2")
    context.pending_replies = [
        (prompt, adapter, system.send_async(system.body(prompt, adapter), entry=entry))
        for (prompt, adapter), entry in zip(
            prompts_and_adapters, entries * len(prompts_and_adapters), strict=False
        )
    ]


@then("system answered them all")
def answered_all(context):
    replies = [(p, a, pending.result()) for p, a, pending in context.pending_replies]
    for prompt, adapter, reply in replies:
        assert reply.status == 200, reply
        text = reply.json()["choices"][0]["text"]
        assert text == expected_text(prompt, adapter, 5), (adapter, reply)
        assert reply.headers["Lentiltally-Adapter"] == f"{TEAM}/{adapter}@1", reply


@when("system has a long one-shot request in progress")
def long_request_in_progress(context):
    context.tokens = LONG_TOKENS
    context.body = context.system.body(context.prompt, tokens=LONG_TOKENS)
    context.pending_reply = context.system.send_async(context.body)
    context.engine = context.system.wait_until_running(context.body)


@when("system has a booking in progress")
def booking_in_progress(context):
    context.key, context.tokens = context.prompt, LONG_TOKENS
    context.body = context.system.body(context.prompt, "bookings", LONG_TOKENS)
    context.pending_reply = context.system.send_async(context.body, key=context.key)
    context.engine = context.system.wait_until_running(context.body)


@then("system answers it completely")
def answers_completely(context):
    reply = context.pending_reply.result()
    assert reply.status == 200, reply
    adapter = reply.headers["Lentiltally-Adapter"].split("/")[1].split("@")[0]
    expected = expected_text(context.prompt, adapter, context.tokens)
    assert reply.json()["choices"][0]["text"] == expected, reply


@then("system answers it with an unknown outcome")
def answers_it_unknown(context):
    context.replies = [context.pending_reply.result()]
    refused_unknown(context)


@then("the system's engines saw no unload of an adapter in use")
def no_violation(context):
    assert not context.system.violations(), context.system.violations()
