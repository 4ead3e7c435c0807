"""Steps of the system tests: processes that end, pause and race."""

from __future__ import annotations

import signal
import socket
import subprocess
import time

import urllib3
from behave import given, then, when

from lentiltally.decisions.ownership import LEASE_S
from tests.fakes.system import expected_text
from tests.steps.system_answers_steps import LONG_TOKENS

AGENT_PAUSE_S = LEASE_S + 1.0


@when("the system's agent that runs the booking is killed")
def agent_killed(context):
    context.system.kill(context.system.agent_of(context.engine))


@when("the system's agent that runs the booking is restarted")
def agent_restarted(context):
    context.pending_reply.result()
    context.system.restore()


@then("system answers {count:d} requests at each entry")
def answers_at_each(context, count):
    system = context.system
    for entry in system.deployment.entry_urls:
        for number in range(count):
            prompt = f"{context.prompt} {entry} {number}"
            reply = system.send(system.body(prompt), entry)
            assert reply.status == 200, reply


def _agent_process(context):
    system = context.system
    return system.processes.process(system.agent_of(context.engine))


@when("the system's agent that runs the booking is paused longer than its lease")
def agent_paused(context):
    _agent_process(context).send_signal(signal.SIGSTOP)
    context.add_cleanup(_agent_process(context).send_signal, signal.SIGCONT)
    time.sleep(AGENT_PAUSE_S)


@then("no other process takes the address of the system's agent")
def address_is_taken(context):
    system = context.system
    name = system.agent_of(context.engine)
    path = system.deployment.folder / f"{name}.toml"
    other = system.processes.start(
        "other", ["lentiltally", "agent", "--settings", path]
    )
    assert other.wait(20) != 0, system.processes.output("other")
    host, _, port = system.deployment.agent_addresses[name][6:].rpartition(":")
    with socket.socket() as probe:
        try:
            probe.bind((host, int(port)))
        except OSError:
            return
    raise AssertionError("the address of the paused agent was free")


@when("the system's agent that runs the booking is resumed")
def agent_resumes(context):
    _agent_process(context).send_signal(signal.SIGCONT)
    context.replies = [context.pending_reply.result()]


@then("system returned the booking's answer each time")
def returned_answer(context):
    expected = expected_text(context.prompt, "bookings", context.tokens)
    for reply in context.replies:
        assert reply.status == 200, reply
        assert reply.json()["choices"][0]["text"] == expected, reply


@when("the system's {name} is killed")
def process_killed(context, name):
    context.system.kill(name)
    context.pending_reply.result()


@when("system receives the booking again at {entry}")
def receives_booking_again_at(context, entry):
    context.replies = [context.system.send(context.body, entry, context.key)]


@when("system receives a booking at both entries at once")
def booking_at_both(context):
    system = context.system
    context.key, context.tokens = context.prompt, 10
    context.body = system.body(context.prompt, "bookings", 10)
    pending = [
        system.send_async(context.body, entry=entry, key=context.key)
        for entry in ("entry-1", "entry-2") * 3
    ]
    context.replies = [one.result() for one in pending]


@when("system receives another booking with its key")
def receives_other_booking(context):
    context.body = context.system.body("another body", "bookings")
    context.reply = context.system.send(context.body, "entry-2", context.key)


@then("the system's engines executed it {count:d} times")
def engines_executed_times(context, count):
    runs = context.system.executions(context.body)
    assert len(runs) == count, runs


@when("the system's entry-1 is told to stop")
def entry_told_to_stop(context):
    context.stopped = context.system.pool.submit(
        context.system.processes.stop, "entry-1"
    )
    context.add_cleanup(context.stopped.result)


@given("the system's entry-1 has a stop time of {seconds:d} s")
def has_stop_time(context, seconds):
    deployment = context.system.deployment
    path = deployment.folder / "entry-1.toml"
    before = path.read_text()
    assert "drain_s = 30.0" in before
    context.stop_time_s = seconds
    context.system.processes.stop("entry-1")
    path.write_text(before.replace("drain_s = 30.0", f"drain_s = {seconds}.0"))
    context.add_cleanup(path.write_text, before)
    context.system.restore()


@given("the system's engines are {factor:d} times slower")
def engines_slower(context, factor):
    context.system.set_engine_faults(slow_factor=float(factor))


@when(
    "the system's entry-1 is told to stop and killed {seconds:d} s after its stop time"
)
def entry_stopped_and_killed(context, seconds):
    process = context.system.processes.process("entry-1")

    def stop():
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(context.stop_time_s + seconds)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()

    stopped = context.system.pool.submit(stop)
    context.add_cleanup(stopped.result)


@then('system answers it with an unknown outcome because of "{reason}"')
def answers_unknown_because(context, reason):
    reply = context.pending_reply.result()
    assert reply.status == 502, reply
    assert reply.executed == "unknown", reply
    assert reply.json()["type"].endswith(f":{reason}"), reply


@when("system's caller keeps a connection to entry-1")
def keeps_connection(context):
    context.url = context.system.deployment.entry_urls["entry-1"]
    context.kept = urllib3.connection_from_url(context.url, maxsize=1)
    context.add_cleanup(context.kept.close)
    assert _models_status(context.kept) == 200


@when("the system's entry-1 is no longer ready")
def entry_not_ready(context):
    context.system.wait_until(lambda: not _is_ready(context.url))


@then("system's entry-1 answers on that connection")
def answers_on_kept(context):
    opened = context.kept.num_connections
    assert _models_status(context.kept) == 200
    assert context.kept.num_connections == opened, "the connection was closed"


@then("system's entry-1 answers on {count:d} new connections")
def answers_on_new(context, count):
    for _ in range(count):
        with urllib3.connection_from_url(context.url) as pool:
            assert _models_status(pool) == 200


def _models_status(pool):
    return pool.request("GET", "/v1/models", timeout=20.0, retries=False).status


def _is_ready(url):
    try:
        answer = urllib3.request("GET", f"{url}/readyz", timeout=20.0, retries=False)
    except (urllib3.exceptions.HTTPError, OSError):
        return False
    return answer.status == 200


@when("the system's agent that runs the stream is told to stop")
def agent_told_to_stop(context):
    system = context.system
    context.engine = system.wait_until_running(context.body)
    process = system.processes.process(system.agent_of(context.engine))
    process.send_signal(signal.SIGTERM)
    # A draining agent announces that it drains; 2 s later no entry sends it new
    # requests.
    time.sleep(2.0)
    context.known_runs = {run["request_id"] for run in _runs_at(context)}
    prompts = [f"{context.prompt} after {number}" for number in range(8)]
    context.pending_replies += [
        (prompt, "drafts", system.send_async(system.body(prompt))) for prompt in prompts
    ]
    context.add_cleanup(process.wait)


def _runs_at(context):
    runs = context.system.executions()
    return [run for run in runs if run["engine"] == context.engine]


@then("the system's draining target received no new requests")
def no_new_requests(context):
    new = [
        run for run in _runs_at(context) if run["request_id"] not in context.known_runs
    ]
    assert not new, new


@when('the system\'s engines crash on "{text}"')
def crashes_on_text(context, text):
    context.incarnations = _incarnations(context)
    context.system.set_engine_faults(crash_on=text)


def _incarnations(context):
    targets = context.system.targets("entry-1")
    return {target["target"]: target["engine_incarnation"] for target in targets}


@when("system has {count:d} unrelated requests in progress")
def unrelated_requests(context, count):
    system = context.system
    prompts = [f"{context.prompt} {number}" for number in range(count)]
    context.unrelated = [
        (prompt, system.send_async(system.body(prompt, tokens=LONG_TOKENS)))
        for prompt in prompts
    ]
    context.pending_replies = []
    system.wait_until(
        lambda: system.running_executions(system.body(prompts[-1], tokens=LONG_TOKENS))
    )


@when('system receives a "{text}" request {count:d} times over both entries')
def sends_crashing_requests(context, text, count):
    system = context.system
    context.body = system.body(text)
    entries = ("entry-1", "entry-2")
    context.replies = []
    for number in range(count):
        context.replies.append(system.send(context.body, entries[number % 2]))


@then("the system's engines crashed at most {count:d} times")
def crashed_at_most(context, count):
    runs = context.system.executions(context.body)
    assert 1 <= len(runs) <= count, runs


@then("system refused the last of them as quarantined")
def refused_as_quarantined(context):
    reply = context.replies[-1]
    assert reply.status == 422, context.replies
    assert reply.json()["type"].endswith("quarantined"), reply
    for prompt, pending in context.unrelated:
        unrelated_reply = pending.result()
        assert unrelated_reply.status == 200, unrelated_reply
        text = unrelated_reply.json()["choices"][0]["text"]
        assert text == expected_text(prompt, "drafts", LONG_TOKENS), unrelated_reply
