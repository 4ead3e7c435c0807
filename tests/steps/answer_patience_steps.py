"""Steps for the patience with a target."""

from behave import then

from lentiltally.decisions.answer_patience import Patience, PatienceSettings


@then(
    "patience of objective {objective_s:g} s, pause {pause_s:g} s and {left_s:g} s left"
    " is {first_s:g} s, then {gap_s:g} s"
)
def patience_is(context, objective_s, pause_s, left_s, first_s, gap_s):
    patience = Patience.of_route(objective_s, pause_s, left_s, PatienceSettings())
    assert abs(patience.first_s - first_s) < 1e-9, patience
    assert abs(patience.gap_s - gap_s) < 1e-9, patience
