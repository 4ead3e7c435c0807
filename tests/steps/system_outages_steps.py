"""Steps of the system tests: outages of the platform's services."""

from __future__ import annotations

import urllib3
from behave import then, when

from tests.fakes.system import COMPLETIONS_PATH, TEAM, TIMEOUT_S, expected_text
from tests.steps.system_answers_steps import send_booking, stream_parts

# The engine stand-ins take about 4 s for this answer.
LONG_TOKENS = 100
ADAPTER_PATH = f"/teams/{TEAM}/adapters/"


@when("the system's log goes down")
def log_down(context):
    context.system.set_faults("log", down=True)


@when("the system's log is up again")
def log_up(context):
    context.system.set_faults("log", down=False)


@when("the system's weight store goes down")
def weights_down(context):
    context.system.set_faults("weights", down=True)


@when("the system's weight store is up again")
def weights_up(context):
    context.system.set_faults("weights", down=False)


@when('system receives a request for adapter "{adapter}"')
def receives_for_adapter(context, adapter):
    context.replies = [send(context, adapter)]


@then("system refused the booking as not executed")
@then("system refused it as not executed")
def refused_not_executed(context):
    for reply in context.replies:
        assert reply.status >= 400 and reply.executed == "no", reply


@then("system answers the booking eventually")
def answers_booking(context):
    context.system.wait_until(lambda: send_booking(context).status == 200)


@then('system answers a request for adapter "{adapter}" eventually')
def answers_adapter(context, adapter):
    context.system.wait_until(lambda: send(context, adapter).status == 200)


@when('system receives a long stream of adapter "{adapter}" and its first events')
def long_stream(context, adapter):
    system = context.system
    body = system.body(context.prompt, adapter, tokens=LONG_TOKENS, stream=True)
    url = system.deployment.entry_urls["entry-1"] + COMPLETIONS_PATH
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


@then('system refuses new requests for version 1 of adapter "{adapter}" eventually')
def refuses_version(context, adapter):
    context.system.wait_until(lambda: 400 <= send(context, adapter).status < 500)


@then('system\'s caller receives the complete stream of adapter "{adapter}"')
def receives_complete_stream(context, adapter):
    data = context.data + context.answer.read()
    documents, _ = stream_parts(data)
    text = "".join(document["choices"][0].get("text", "") for document in documents)
    assert text == expected_text(context.prompt, adapter, LONG_TOKENS), data[-500:]


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


@then("no entry of the system sends requests to {engine}")
def sends_nothing_to(context, engine):
    context.system.wait_until(lambda: not any(target_eligibility(context, engine)))
    context.known_runs = len(context.system.journal(engine)["executions"])


@then("the system's {engine} executed none of them")
def executed_none(context, engine):
    assert len(context.system.journal(engine)["executions"]) == context.known_runs


@then("each entry of the system sends requests to every target")
def sends_to_all(context):
    context.system.wait_until(lambda: all(target_eligibility(context)))


def target_eligibility(context, name=""):
    """Return whether each entry sends requests to each target, or to ``name`` only."""
    entries = context.system.deployment.entry_urls
    targets = [target for entry in entries for target in context.system.targets(entry)]
    return [t["eligible"] == "ok" for t in targets if name in ("", t["target"])]


def send(context, adapter):
    return context.system.send(context.system.body(context.prompt, adapter))
