"""Steps for outages of the platform over the product's own interface."""

from __future__ import annotations

import urllib3
from behave import then, when

from tests.fakes.system import PATH, TEAM, TIMEOUT_S, text_of
from tests.steps.system_answers_steps import book, stream_parts

# About 4 s at the stand-in's pace.
LONG = 100
ADAPTER_PATH = f"/teams/{TEAM}/adapters/"


@when("the system's log goes down")
def log_down(context):
    context.system.fault("log", down=True)


@when("the system's log is back")
def log_back(context):
    context.system.fault("log", down=False)


@when("the system's weight store goes down")
def weights_down(context):
    context.system.fault("weights", down=True)


@when("the system's weight store is back")
def weights_back(context):
    context.system.fault("weights", down=False)


@when('system gets a request for adapter "{adapter}"')
def gets_adapter(context, adapter):
    context.replies = [send(context, adapter)]


@then("system refused the booking as not executed")
@then("system refused it as not executed")
def refused_not_executed(context):
    for reply in context.replies:
        assert reply.status >= 400 and reply.executed == "no", reply


@then("system answers the booking in the end")
def books(context):
    context.system.wait(lambda: book(context).status == 200)


@then('system answers a request for adapter "{adapter}" in the end')
def answers_adapter(context, adapter):
    context.system.wait(lambda: send(context, adapter).status == 200)


@when('system gets a long stream of adapter "{adapter}" and its first events')
def long_stream(context, adapter):
    system = context.system
    body = system.body(context.prompt, adapter, tokens=LONG, stream=True)
    url = system.deployment.entry_urls["entry-1"] + PATH
    context.answer = urllib3.request(
        "POST",
        url,
        body=body,
        timeout=TIMEOUT_S,
        preload_content=False,
        retries=False,
    )
    context.data = context.answer.read1(200)
    assert context.data, context.answer.status


@when('the operators remove version 1 of adapter "{adapter}"')
def remove_version(context, adapter):
    context.system.remove_version(adapter, "1")


@then('system refuses new requests for version 1 of adapter "{adapter}" in the end')
def refuses_version(context, adapter):
    context.system.wait(lambda: 400 <= send(context, adapter).status < 500)


@then('system\'s caller gets the stream of adapter "{adapter}" whole')
def stream_whole(context, adapter):
    data = context.data + context.answer.read()
    documents, _ = stream_parts(data)
    text = "".join(document["choices"][0].get("text", "") for document in documents)
    assert text == text_of(context.prompt, adapter, LONG), data[-500:]


@when('the system\'s host list says that {agent} is "{status}"')
def host_list_says(context, agent, status):
    deployment = context.system.deployment
    host = {
        "host": agent,
        "address": deployment.agent_addresses[agent],
        "role": "agent",
        "region": "region-1",
        "failure_domain": "domain-a",
        "status": status,
    }
    answer = urllib3.request("PUT", f"{deployment.hosts_url}/hosts", json=[host])
    assert answer.status == 200, answer.data


@then("no entry of the system gives {engine} work")
def gives_no_work(context, engine):
    context.system.wait(lambda: not any(eligible(context, engine)))
    context.known = len(context.system.journal(engine)["executions"])


@then("the system's {engine} ran none of them")
def ran_none(context, engine):
    assert len(context.system.journal(engine)["executions"]) == context.known


@then("each entry of the system gives every target work")
def gives_all_work(context):
    context.system.wait(lambda: all(eligible(context)))


def eligible(context, name=""):
    """Return for each entry and target, or the named target, whether it gets work."""
    entries = context.system.deployment.entry_urls
    targets = [target for entry in entries for target in context.system.targets(entry)]
    return [t["eligible"] == "ok" for t in targets if name in ("", t["target"])]


def send(context, adapter):
    return context.system.send(context.system.body(context.prompt, adapter))
