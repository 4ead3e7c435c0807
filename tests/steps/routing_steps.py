"""Steps for the target directory."""

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


def _target_state(number, sequence, status):
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
        context.directory.apply_state(_target_state(number, 1, "live"))


def _expected_choice(context):
    return context.directory.expected_choice(PlacementRequest("m", 1))


@when("directory has contact with its agents {seconds:d} s after reading its host list")
def directory_host_list_stale(context, seconds):
    assert _expected_choice(context) is not None
    context.clock.advance(timedelta(seconds=seconds))
    for number in (1, 2):
        context.directory.record_contact(f"agent-{number}")


@then("directory finds a target")
def directory_target(context):
    assert _expected_choice(context) is not None
    assert _expected_choice(context) is not None


@when("directory receives reports that both targets are draining")
def directory_draining(context):
    for number in (1, 2):
        context.directory.apply_state(_target_state(number, 2, "leaving"))


@then("directory finds no target")
def directory_no_target(context):
    assert _expected_choice(context) is None
