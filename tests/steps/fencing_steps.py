"""Steps of the system tests with engines that enforce fencing tokens."""

from __future__ import annotations

import urllib3
from behave import given, then, when

from tests.fakes.system import System
from tests.steps.system_steps import use_system

ENGINES = ("engine-1", "engine-2")


@given("fencing system with engines that enforce tokens runs")
def enforcing_system(context):
    use_system(context, lambda: System(1, fencing_engines=ENGINES))


def orders(context, engine):
    return context.system.journal(engine)["orders"]


def newest_token(context, engine):
    return max(order["fencing_token"] for order in orders(context, engine))


@when("fencing system serves the adapters {first:d} to {last:d}")
def serves_adapters(context, first, last):
    system = context.system
    for number in range(first, last + 1):
        body = system.body("a request", adapter=f"extra-{number}")
        reply = system.send(body)
        assert reply.status == 200, reply


@when("fencing system's agents are killed and restarted")
def agents_restart(context):
    system = context.system
    context.former_tokens = {name: newest_token(context, name) for name in ENGINES}
    for name in ENGINES:
        system.kill(system.agent_of(name))
    system.restore()


@then("fencing system's engines refused no order of an agent")
def refused_no_order(context):
    for name in ENGINES:
        refused = [o for o in orders(context, name) if o["status"] == 412]
        assert refused == [], refused
        assert newest_token(context, name) > context.former_tokens[name]


@then("fencing system's engines refuse an order with a token from before the restart")
def refuse_former_token(context):
    for name in ENGINES:
        answer = urllib3.request(
            "POST",
            f"{context.system.deployment.engine_urls[name]}/v1/unload_lora_adapter",
            json={"lora_name": "depot/extra-0@1"},
            headers={"Fencing-Token": str(context.former_tokens[name])},
        )
        assert answer.status == 412, (answer.status, answer.data)
