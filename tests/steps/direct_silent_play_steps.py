"""Steps for targets that fall silent beside planned changes."""

from __future__ import annotations

from behave import then, when

from tests.fakes.silent_play import Play


@when(
    "direct path plays silent targets beside planned changes with seed {seed:d} "
    "for {length_s:g} s"
)
def plays(context, seed, length_s):
    context.play = Play(seed, length_s=length_s).run()


@then("direct path served at least {least:d} requests of the play, and broke no rule")
def broke_no_rule(context, least):
    play = context.play
    assert not play.broken, play.summary()
    assert play.counts["served"] >= least, play.summary()
