"""Steps of the system tests: answers while engines fail."""

from __future__ import annotations

import json

import urllib3
from behave import then, when

from standins.engine_answers import ChatMessage, chat_prompt
from tests.fakes.system import PATH, TEAM, TIMEOUT_S, text_of

CHAT = "/v1/chat/completions"
LONG = 60
HOLDS = f"/services/{TEAM}/shelf/holds"


@when("system gets a {kind} request")
def gets_kind(context, kind):
    system = context.system
    context.tokens = 5
    fields = {"stream": True} if "streamed" in kind else {}
    path, context.expected = PATH, text_of(context.prompt, "drafts", 5)
    context.body = system.body(context.prompt, **fields)
    if "chat" in kind:
        path = CHAT
        document = json.loads(context.body)
        prompt = document.pop("prompt")
        document["messages"] = [{"role": "user", "content": prompt}]
        context.body = json.dumps(document).encode()
        context.expected = text_of(
            chat_prompt([ChatMessage("user", prompt)]), "drafts", context.tokens
        )
    context.reply = system.send(context.body, path=path)


def stream_parts(data):
    """Return the documents and ids of a stream that ended with [DONE]."""
    lines = data.decode().splitlines()
    assert lines and "data: [DONE]" in lines[-2:], data[-500:]
    ids = [int(line[4:]) for line in lines if line.startswith("id: ")]
    texts = [line[6:] for line in lines if line.startswith("data: {")]
    return [json.loads(text) for text in texts], ids


def content(documents):
    assert all(document["model"] == f"{TEAM}/drafts@1" for document in documents)
    choices = [document["choices"][0] for document in documents]
    return "".join(
        c.get("text") or c.get("delta", {}).get("content", "") for c in choices
    )


@then("system answered with the whole text and its headers")
def answered_whole(context):
    reply = context.reply
    assert reply.status == 200, reply
    headers = reply.headers
    assert headers["Lentiltally-Adapter"] == f"{TEAM}/drafts@1", reply
    assert headers["Lentiltally-Target"] in {"engine-1", "engine-2"}, reply
    assert int(headers["Lentiltally-Config-Offset"]) >= 0, reply
    if headers["Content-Type"].startswith("text/event-stream"):
        assert content(stream_parts(reply.data)[0]) == context.expected, reply
        return
    choice = reply.json()["choices"][0]
    text = choice["text"] if "text" in choice else choice["message"]["content"]
    assert text == context.expected, reply


@then("the system's engines ran it {count:d} time")
def ran(context, count):
    runs = context.system.executions(context.body)
    assert len(runs) == count, runs


@when("system gets a long stream and its first events")
def long_stream(context):
    system = context.system
    context.body = system.body(context.prompt, tokens=LONG, stream=True)
    context.answer = urllib3.request(
        "POST",
        system.deployment.entry_urls["entry-1"] + PATH,
        body=context.body,
        timeout=TIMEOUT_S,
        preload_content=False,
        retries=False,
    )
    context.data = context.answer.read1(200)
    assert context.data, context.answer.status


@then("the system's engines still run it")
def still_run(context):
    assert context.system.running(context.body), context.system.executions(context.body)


@when("system's caller reads the stream to its end")
def read_stream(context):
    context.data += context.answer.read()


@then("system's stream was whole and without repetition")
def stream_was_whole(context):
    documents, ids = stream_parts(context.data)
    assert ids == list(range(1, len(ids) + 1)), ids
    assert content(documents) == text_of(context.prompt, "drafts", LONG), context.data


@then("system's stream has only text of its adapter")
def stream_has_own_text(context):
    whole = text_of(context.prompt, "drafts", LONG)
    lines = context.data.decode().splitlines()
    events = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    documents = [event for event in events if "choices" in event]
    text = content(documents)
    assert whole.startswith(text), text
    # A stream without its end has to say so.
    if text != whole:
        assert "event: error" in lines and "data: [DONE]" not in lines, lines[-6:]


@when("the system's engines have silent connections")
def silent(context):
    context.system.engines(silent_connections=True)


@when("the system's engines restart empty")
def restart_empty(context):
    context.system.engines(restart_empty=True)


@when("the system's engines fall back to the base model")
def fall_back(context):
    context.system.engines(base_model_fallback=True)


@when("the system's engines lose {count:d} answer")
def lose(context, count):
    for name in context.system.deployment.engine_urls:
        lose_below(context.system, name, count, "/v1/completions")


@when("system gets requests until engine-1 has lost an answer")
def until_lost(context):
    system = context.system
    lose_below(system, "engine-1", 1, "/v1/completions")
    context.pending = []

    def is_lost():
        prompt = f"{context.prompt} {len(context.pending)}"
        body = system.body(prompt)
        context.pending.append((prompt, "drafts", system.later(body)))
        context.pending[-1][2].result()
        return system.switches("engine-1")["lose_answers"] == 0

    system.wait(is_lost)


@when("the system's engines lose {count:d} answer below {path}")
def lose_path(context, count, path):
    for name in context.system.deployment.engine_urls:
        lose_below(context.system, name, count, path)


def lose_below(system, name, count, path):
    system.fault(name, lose_answers=count, lose_path=path)


@when("the system's engines fail {count:d} load")
def fail_loads(context, count):
    context.system.engines(fail_loads=count)


@when("the system's service loses {count:d} answer")
def service_loses(context, count):
    lose_below(context.system, "shelf", count, "/holds")


def book(context, entry="entry-1", tokens=5):
    context.key = context.prompt
    context.body = context.system.body(context.prompt, "bookings", tokens)
    return context.system.send(context.body, entry, context.key)


@when("system gets a booking")
def gets_booking(context):
    context.reply = book(context)
    context.replies = [context.reply]


@when("system gets the booking again at each entry")
def gets_booking_again(context):
    names = context.system.deployment.entry_urls
    context.replies = [
        context.system.send(context.body, name, context.key) for name in names
    ]


@when("system gets a hold")
def gets_hold(context):
    context.calls = len(context.system.journal("shelf")["calls"])
    gets_hold_again(context)


@when("system gets the hold again")
def gets_hold_again(context):
    body = json.dumps({"item": context.prompt}).encode()
    context.replies = [
        context.system.send(body, name, context.prompt, path=HOLDS)
        for name in ("entry-1", "entry-2")
    ]


@then("the system's service ran the hold {count:d} time")
def ran_hold(context, count):
    calls = context.system.journal("shelf")["calls"][context.calls :]
    assert len(calls) == count, calls


@then("system refused the booking as unknown")
def refused_unknown(context):
    for reply in context.replies:
        assert reply.status >= 400 and reply.executed == "unknown", reply


@when("system gets {count:d} requests at once")
def gets_many(context, count):
    prompts = [f"{context.prompt} {number}" for number in range(count)]
    _ask(context, [(prompt, "drafts") for prompt in prompts])


@when("system gets {count:d} requests for a new adapter at once")
def gets_new(context, count):
    # No other scenario of the feature uses these versions.
    adapter = {"an": "notes", "a": "brief"}[context.prompt.split()[0]]
    _ask(context, [(f"{context.prompt} {n}", adapter) for n in range(count)])


@when("system gets {count:d} requests for as many adapters at once")
def gets_for_many(context, count):
    _ask(context, [(f"{context.prompt} {n}", f"extra-{n}") for n in range(count)])


def _ask(context, asked):
    system = context.system
    entries = ("entry-1", "entry-2")
    context.pending = [
        (prompt, adapter, system.later(system.body(prompt, adapter), entry=entry))
        for (prompt, adapter), entry in zip(asked, entries * len(asked), strict=False)
    ]


@then("system answered them all")
def answered_all(context):
    replies = [(p, a, pending.result()) for p, a, pending in context.pending]
    for prompt, adapter, reply in replies:
        assert reply.status == 200, reply
        text = reply.json()["choices"][0]["text"]
        assert text == text_of(prompt, adapter, 5), (adapter, reply)
        assert reply.headers["Lentiltally-Adapter"] == f"{TEAM}/{adapter}@1", reply


@when("system has a long one-shot request under way")
def long_under_way(context):
    context.tokens = LONG
    context.body = context.system.body(context.prompt, tokens=LONG)
    context.later = context.system.later(context.body)
    context.engine = context.system.wait_running(context.body)


@when("system has a booking under way")
def booking_under_way(context):
    context.key, context.tokens = context.prompt, LONG
    context.body = context.system.body(context.prompt, "bookings", LONG)
    context.later = context.system.later(context.body, key=context.key)
    context.engine = context.system.wait_running(context.body)


@then("system answers it whole")
def answers_it_whole(context):
    reply = context.later.result()
    assert reply.status == 200, reply
    adapter = reply.headers["Lentiltally-Adapter"].split("/")[1].split("@")[0]
    expected = text_of(context.prompt, adapter, context.tokens)
    assert reply.json()["choices"][0]["text"] == expected, reply


@then("system answers it as unknown")
def answers_it_unknown(context):
    context.replies = [context.later.result()]
    refused_unknown(context)


@then("the system's engines saw no unload of an adapter in use")
def no_violation(context):
    assert not context.system.violations(), context.system.violations()
