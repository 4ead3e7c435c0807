"""Steps for the pace of engine states."""

from __future__ import annotations

from behave import then

from lentiltally.decisions.state_pacing import StatePace, state_interval_s


def pace_of(engines):
    return StatePace(state_interval_s(engines))


@then(
    "state pacing of {engines:d} engines makes an entry take {least:d} to {most:d} "
    "states a second"
)
def states_a_second(context, engines, least, most):
    pause_s = pace_of(engines).pause_s(is_urgent=False, load_changed=True)
    assert least <= engines / pause_s <= most + 1e-6, engines / pause_s


@then("state pacing of {engines:d} engines uses a state for at least 3 of its repeats")
def max_age(context, engines):
    pace = pace_of(engines)
    repeat_s = pace.pause_s(is_urgent=False, load_changed=False)
    assert pace.max_age_s >= 3 * repeat_s, (pace.max_age_s, repeat_s)


@then(
    "state pacing of {engines:d} engines sends a change of adapters after at most "
    "{seconds:g} s"
)
def adapters_first(context, engines, seconds):
    pace = pace_of(engines)
    pause_s = pace.pause_s(is_urgent=True, load_changed=True)
    assert pause_s <= seconds, pause_s
    assert pause_s < pace.pause_s(is_urgent=False, load_changed=True)
