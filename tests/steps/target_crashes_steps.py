"""Steps for the requests that were running on a target when it ended."""

from __future__ import annotations

from behave import then, when

from lentiltally.decisions.target_crashes import TargetCrashes, start_name


@when('target crashes get the events "{events}" of target "t"')
def events_of_target(context, events):
    """Apply events, each as "TIME KIND START"."""
    crashes = TargetCrashes()
    context.suspects = []
    for event in events.split(", "):
        at, what, start = event.split()
        if what == "ended":
            ended = crashes.ended("t", int(start), float(at))
            context.suspects += [name for name, _ in ended]
        elif crashes.connection_lost("t", int(start), "request", float(at)):
            context.suspects.append(start_name("t", int(start)))


@then("target crashes name the suspects {names}")
def names_suspects(context, names):
    expected = [] if names == "none" else names.split(",")
    assert context.suspects == expected, context.suspects


@then(
    "target crashes keep at most {losses:d} of {many_losses:d} losses and {starts:d} "
    "of {many_starts:d} ended starts"
)
def keeps_bounded(context, losses, many_losses, starts, many_starts):
    crashes = TargetCrashes()
    for number in range(many_losses):
        crashes.connection_lost(f"t{number % 100}", number, "request", 0.0)
    for number in range(many_starts):
        crashes.ended(f"e{number}", 1, 0.0)
    assert sum(len(kept) for kept in crashes._losses.values()) <= losses
    assert len(crashes._ended) <= starts
