"""Steps for the directory of targets."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from behave import given, then, when

from lentiltally.clock import ManualClock
from lentiltally.decisions.placement import PlacementRequest
from lentiltally.routing.targets import TargetDirectory
from lentiltally.wire import Hello, TargetCounts, TargetState


class FakeHostList:
    def fetch(self):
        return ()


class FakeOutboxes:
    def put(self, address, message):
        pass


def _state(number, sequence, status):
    return TargetState(
        agent=f"agent-{number}",
        agent_address=f"tcp://127.0.0.1:{number}",
        agent_incarnation=f"run-{number}",
        sequence=sequence,
        target=f"engine-{number}",
        kind="engine",
        base_model="m",
        failure_domain="d",
        status=status,
        reason="",
        engine_incarnation="e",
        counts=TargetCounts(0, 0, 8),
        batch_places=16,
        adapter_slots=8,
        resident=(),
    )


@given("directory with two live targets and a host list")
def directory_start(context):
    context.clock = ManualClock(datetime(2026, 1, 1, tzinfo=UTC), 100.0)
    context.directory = TargetDirectory(
        hello=Hello("entry", "run", "tcp://127.0.0.1:9", "d"),
        seeds=(),
        outboxes=FakeOutboxes(),
        host_list=FakeHostList(),
        poll_s=3600.0,
        clock=context.clock,
        on_agent_restart=lambda incarnation: None,
    )
    context.directory.start()
    context.add_cleanup(context.directory.stop)
    for number in (1, 2):
        context.directory.agent_said(_state(number, 1, "live"))


def _place(context):
    return context.directory.outlook(PlacementRequest("m", 1))


@when("directory is asked for a place after a pause of {seconds:d} s with no reading")
def directory_pause(context, seconds):
    assert _place(context) is not None
    context.clock.advance(timedelta(seconds=seconds))
    for number in (1, 2):
        context.directory.heard(f"agent-{number}")


@then("directory has a place")
def directory_place(context):
    assert _place(context) is not None
    assert _place(context) is not None


@when("directory hears that both targets leave")
def directory_leave(context):
    for number in (1, 2):
        context.directory.agent_said(_state(number, 2, "leaving"))


@then("directory has no place")
def directory_no_place(context):
    assert _place(context) is None
