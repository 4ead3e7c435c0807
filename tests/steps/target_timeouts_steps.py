"""Steps for the timeouts at a target."""

from behave import then

from lentiltally.decisions.target_timeouts import TargetTimeouts, TargetTimeoutSettings


@then(
    "target timeouts for an objective of {objective_s:g} s, gaps of {max_gap_s:g} s and"
    " {left_s:g} s left are {first_byte_s:g} s, then {event_gap_s:g} s"
)
def target_timeouts_are(
    context, objective_s, max_gap_s, left_s, first_byte_s, event_gap_s
):
    timeouts = TargetTimeouts.for_route(
        objective_s, max_gap_s, left_s, TargetTimeoutSettings()
    )
    assert abs(timeouts.first_byte_s - first_byte_s) < 1e-9, timeouts
    assert abs(timeouts.event_gap_s - event_gap_s) < 1e-9, timeouts
