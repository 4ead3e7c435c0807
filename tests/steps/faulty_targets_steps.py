"""Steps for faulty answers of targets on the direct path."""

from __future__ import annotations

from behave import given, then, when

LONG_NUMBER = "9" * 5000


@given('direct path targets answer with "{header}" of {number}')
def answer_with(context, header, number):
    value = number.replace("timeout and ", "timeout=")
    value = value.replace("5000 digits", LONG_NUMBER)
    for engine in context.direct.engines.values():
        engine.answer_headers[header] = value


def views(context):
    return context.direct.entry._state.choice._views.values()


@then("direct path counts {count:d} answers without end")
def counts_endless(context, count):
    counted = sum(view.endless_answers for view in views(context))
    assert counted == count, counted


@then("direct path counts {count:d} failure of a target")
def counts_failures(context, count):
    failed = [view.failure_rate for view in views(context) if view.failure_rate]
    assert len(failed) == count, failed


@when('direct path gets a GET to "{path}" whose caller leaves after {after_s:g} s')
def caller_leaves(context, path, after_s):
    context.direct.send(path, disconnect_after_s=after_s)


@then("direct path delivered nothing but these events")
def nothing_else(context):
    events = context.answer.body.split(b"\n\n")
    ids = context.answer.event_ids()
    assert len(events) == len(ids) + 1 and events[-1] == b"", events[:10]


@then("direct path delivered a comment at the end")
def comment_at_end(context):
    assert context.answer.body.endswith(b"\n\n: the end\n\n"), context.answer.body[-80:]
