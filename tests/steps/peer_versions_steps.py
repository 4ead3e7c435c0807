"""Steps for what agents know of the configuration."""

from __future__ import annotations

import random

from behave import given, then, when

from lentiltally.decisions.peer_versions import PeerVersions


def judge(context, now_s, version=3, sent_s=0.0, *, is_newest_applied=True):
    context.versions.judge(version, sent_s, now_s, is_newest_applied=is_newest_applied)
    return "usable" if context.versions.is_usable else "unusable"


@given("peer versions of a process that starts, with {agents:d} agents")
def starting(context, agents):
    context.versions = PeerVersions(random.Random(1))
    context.versions.started()
    hosts = {f"10.0.{n // 250}.{n % 250}" for n in range(agents)}
    context.asked = context.versions.agents_to_ask(hosts, 0.0)


@given("peer versions of a process in service")
def in_service(context):
    context.versions = PeerVersions(random.Random(1))


@when(
    "peer versions get answers of {count:d} agents with version {version:d}, settled "
    "in {settles_in_s:g} s"
)
def answers(context, count, version, settles_in_s):
    for agent in context.asked[:count]:
        context.versions.answered(agent, version, settles_in_s, 0.1)


@when("peer versions hear of version {version:d} at {now_s:g} s")
def hear(context, version, now_s):
    context.versions.named(version, now_s)


@when("peer versions learn that the store was never restored")
def never_restored(context):
    context.versions.never_restored()


@when("peer versions begin a check after a restore")
def check_begins(context):
    context.versions.restored()


@then("peer versions make version 3 {before} at 0.2 s, and {after} at {late_s:g} s")
def usable_before_and_after(context, before, after, late_s):
    assert judge(context, 0.2) == before
    assert judge(context, late_s) == after


@then(
    "peer versions make version 3 {what} after a read that was sent at {sent_s:g} s "
    "{found}"
)
def usable_after_read(context, what, sent_s, found):
    is_newest_applied = found == "and found it"
    assert judge(context, 2.0, 3, sent_s, is_newest_applied=is_newest_applied) == what


@then("peer versions let {which} read of version {version:d} be proof")
def is_proof(context, which, version):
    assert context.versions.is_proof(version, 2.0) == (which == "a")
