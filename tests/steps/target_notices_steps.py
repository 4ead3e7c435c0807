"""Steps for what targets say of themselves."""

from __future__ import annotations

from behave import then, when

from lentiltally.decisions.target_notices import TargetNotices
from lentiltally.direct.model import TargetRecord, TargetStage

ATTEMPT_INTERVAL_S = 0.02


def notices_of(context):
    if "notices" not in context:
        context.notices = TargetNotices()
    return context.notices


def record(name, started_ms=1):
    address = "127.0.0.1:1"
    stage = TargetStage.READY
    return TargetRecord(name, "plain", address, "z1", 8, stage, started_ms, 1)


@when('target notices learn that "{name}" of start {start:d} leaves')
def learn_leaving(context, name, start):
    assert notices_of(context).leaves(record(name, start))


@when(
    'target notices learn at {now_s:g} s that "{name}" wants no work for {pause_s:g} s'
)
def learn_pause(context, now_s, name, pause_s):
    notices_of(context).pauses(record(name), now_s + pause_s)


@then(
    'target notices let no request to "{name}" of start {start:d} through at '
    "{now_s:g} s"
)
def let_none_through(context, name, start, now_s):
    assert not notices_of(context).may_get_work(record(name, start), now_s)


@then(
    'target notices let a request to "{name}" of start {start:d} through at {now_s:g} s'
)
def let_one_through(context, name, start, now_s):
    assert notices_of(context).may_get_work(record(name, start), now_s)


@then(
    "target notices let {count:d} requests through in the first second after {at_s:g} s"
)
def let_through(context, count, at_s):
    """Try to send a request every 20 ms for a second."""
    notices = notices_of(context)
    sent = 0
    for number in range(int(1 / ATTEMPT_INTERVAL_S)):
        now_s = at_s + number * ATTEMPT_INTERVAL_S
        if notices.may_get_work(record("t1"), now_s):
            notices.sent(record("t1"), now_s)
            sent += 1
    assert sent == count, sent


@then('target notices open "{names}" in {wait_s:g} s at {now_s:g} s')
def open_in(context, names, wait_s, now_s):
    records = [record(name) for name in names.split(", ")]
    assert notices_of(context).opens_in_s(records, now_s) == wait_s
