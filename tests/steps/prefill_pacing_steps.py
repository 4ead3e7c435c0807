"""Steps for the prompts that one engine reads at a time."""

from __future__ import annotations

from behave import given, then, when

from lentiltally.decisions.prefill_pacing import PrefillPacing, PrefillPacingSettings

NOW_S = 100.0


@given("prompt pacing of {tokens:d} tokens at a time")
def pacing(context, tokens):
    context.pacing = PrefillPacing(PrefillPacingSettings(max_tokens=tokens))
    context.now_s = NOW_S


@given("prompt pacing let through prompts of {sizes} tokens")
def let_through(context, sizes):
    tokens = [int(size) for size in sizes.split(",") if int(size)]
    for number, size in enumerate(tokens):
        context.pacing.started(f"r{number}", size, context.now_s)


@when("prompt pacing sees that the prompt was read")
def was_read(context):
    context.pacing.read("r0", context.now_s + 0.1)


@when("prompt pacing sees the end of the request")
def ended(context):
    context.pacing.ended("r0")


@when("prompt pacing sees nothing for 1.5 s")
def silence(context):
    context.now_s += 1.5


@when("prompt pacing sees that the engine started anew")
def started_anew(context):
    context.pacing.clear()


@when(
    "prompt pacing sees {count:d} prompts of {tokens:d} tokens read in {each:f} s each"
)
def reads(context, count, tokens, each):
    for number in range(count):
        context.pacing.started(f"r{number}", tokens, context.now_s)
        context.now_s += each
        context.pacing.read(f"r{number}", context.now_s)


@then("prompt pacing has room for {tokens:d} tokens: {room}")
def has_room(context, tokens, room):
    assert context.pacing.has_room(tokens, context.now_s) == (room == "yes")


@then("prompt pacing expects {tokens:d} tokens to take {least:f} to {most:f} s")
def expects(context, tokens, least, most):
    expected_s = context.pacing.expected_s(tokens)
    assert least <= expected_s <= most, expected_s
