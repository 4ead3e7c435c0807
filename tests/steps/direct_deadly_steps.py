"""Steps for requests that crash each target that runs them."""

from __future__ import annotations

from behave import then, when

from tests.fakes.deadly_play import Play


@when("direct path plays deadly requests beside other trouble with seed {seed:d}")
def plays(context, seed):
    context.play = Play(seed).run()


@then("direct path sent at most {allowed:d} late copies of each deadly request")
def sent_few(context, allowed):
    late = context.play.late_sends
    assert max(late.values()) <= allowed, "\n".join([str(late), *context.play.log])
