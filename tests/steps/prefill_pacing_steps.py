"""Steps for the prefill pacing of one engine."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.decisions.prefill_pacing import PrefillPacing, PrefillPacingSettings

NOW_S = 100.0


@given("prefill pacing of at most {tokens:d} tokens")
def pacing(context, tokens):
    context.pacing = PrefillPacing(PrefillPacingSettings(max_tokens=tokens))
    context.now_s = NOW_S


@given("prefill pacing admitted prompts of {sizes} tokens")
def admitted(context, sizes):
    tokens = [int(size) for size in sizes.split(",") if int(size)]
    for number, size in enumerate(tokens):
        context.pacing.started(f"r{number}", size, context.now_s)


@when("prefill pacing sees the end of the prefill")
def prefill_finished(context):
    context.pacing.finished("r0", context.now_s + 0.1)


@when("prefill pacing sees the end of the request")
def request_ended(context):
    context.pacing.ended("r0")


@when("prefill pacing sees nothing for 1.5 s")
def time_passes(context):
    context.now_s += 1.5


@when("prefill pacing sees a restart of the engine")
def engine_restarted(context):
    context.pacing.clear()


@when(
    "prefill pacing sees {count:d} prefills of {tokens:d} tokens that take {each:f} s "
    "each"
)
def prefills(context, count, tokens, each):
    for number in range(count):
        context.pacing.started(f"r{number}", tokens, context.now_s)
        context.now_s += each
        context.pacing.finished(f"r{number}", context.now_s)


@then("prefill pacing has room for {tokens:d} tokens: {room}")
def has_room(context, tokens, room):
    assert context.pacing.has_room(tokens, context.now_s) == (room == "yes")


@then("prefill pacing expects {tokens:d} tokens to take {least:f} to {most:f} s")
def expects(context, tokens, least, most):
    expected_s = context.pacing.expected_s(tokens)
    assert least <= expected_s <= most, expected_s
