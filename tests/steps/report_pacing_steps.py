"""Steps for how often an agent reads the report of its engine."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.decisions.report_pacing import ReportPacing


@given("report pacing of an engine that loads an adapter for {load_s:g} s")
def engine(context, load_s):
    context.load_s = load_s
    context.pacing = ReportPacing()
    context.pacing.was_read("loading", 0.0)


@when("report pacing is asked every {step_s:g} s until it sees the end of the load")
def asked(context, step_s):
    context.reads = 0
    for step in range(1, 10_000):
        now_s = step * step_s
        if not context.pacing.is_due(now_s, has_work=True):
            continue
        context.reads += 1
        context.pacing.was_read("loading", now_s)
        if now_s >= context.load_s:
            context.late_s = now_s - context.load_s
            return


@then("report pacing saw it after {late_s:g} s at most and took at most {most:d} reads")
def saw(context, late_s, most):
    assert context.late_s <= late_s + 1e-9, context.late_s
    assert context.reads <= most, context.reads


@then("report pacing reads {reads:d} times in 1 s while nothing is awaited")
def idle(context, reads):
    count = 0
    for step in range(1, 1001):
        if context.pacing.is_due(step / 1000, has_work=False):
            context.pacing.was_read("loading", step / 1000)
            count += 1
    assert abs(count - reads) <= 1, count
