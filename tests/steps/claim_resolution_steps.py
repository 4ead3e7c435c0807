"""Steps for the resolution of one request with a caller-chosen key."""

from __future__ import annotations

from behave import given, then

from lentiltally.decisions import claims
from lentiltally.decisions.claim_resolution import ClaimResolution, ClaimState

BOUND = ("x", "agent", "run")
STATUS = {
    "free": claims.Free(),
    "me": claims.Open("me", *BOUND, 1),
    "it": claims.Open("it", *BOUND, 0),
    "finished": claims.Finished("it", *BOUND, 2, None),
    "conflict": claims.Conflict("it"),
    "unknown": claims.Unknown("it"),
    "settled": claims.SettledExecuted("it"),
}


def _apply(resolution, word, argument):
    calls = {
        "start": lambda: resolution.start(STATUS[argument]),
        "claim": lambda: resolution.claim(
            claims.ClaimRecord("t", "k", b"d", "me", *BOUND)
        ),
        "appended": lambda: resolution.appended(1),
        "append-failed": resolution.append_failed,
        "applied": lambda: resolution.offset_applied(STATUS[argument]),
        "changed": lambda: resolution.status_changed(STATUS[argument]),
        "reported": lambda: resolution.agent_reported(
            "it", ClaimState(argument), STATUS["it"]
        ),
        "incarnation-ended": lambda: resolution.agent_incarnation_ended("it"),
        "refused": lambda: resolution.attempt_refused(argument == "no"),
        "answered": lambda: resolution.answered(200, "text/plain", b"answer"),
        "timeout": resolution.timed_out,
        "no-target": lambda: resolution.no_target("none"),
    }
    return calls[word]()


def _text(action):
    words = [type(action).__name__]
    record = getattr(action, "record", None)
    if isinstance(record, claims.AbandonRecord):
        words.append(record.claim_id)
    words += [str(getattr(action, n)) for n in ("delay_s",) if hasattr(action, n)]
    words += [x.executed for x in (action, record) if hasattr(x, "executed")]
    return " ".join(words)


@given("resolution after {history}")
def resolution_after(context, history):
    resolution = ClaimResolution("t", "k")
    for event in history.split(", "):
        word, _, argument = event.partition(" ")
        context.actions = _apply(resolution, word, argument)


@then("resolution returns {actions}")
def resolution_returns(context, actions):
    found = ", ".join(_text(action) for action in context.actions) or "nothing"
    assert found == actions, found
