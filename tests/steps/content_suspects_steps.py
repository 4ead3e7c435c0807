"""Steps for the refusal of contents of requests that crash targets."""

from __future__ import annotations

from behave import then, when

from lentiltally.decisions.content_suspects import ContentSuspects

CONTENT = 7


@when('content suspects get the events "{events}"')
def gets_events(context, events):
    """Apply events: "TIME crash START" or "TIME finish"."""
    if not hasattr(context, "contents"):
        context.contents = ContentSuspects()
    for event in events.split(", "):
        at, what, *start = event.split()
        if what == "finish":
            context.contents.finished(CONTENT, float(at))
        else:
            context.contents.record_crash(CONTENT, start[0], float(at))


@then('content suspects let requests through at times "{times}"')
def lets_through(context, times):
    check(context.contents, times, frozenset())


@then(
    'content suspects let requests through at times "{times}" if "{starts}" are '
    "explained"
)
def lets_explained_through(context, times, starts):
    check(context.contents, times, frozenset(starts.split()))


def check(contents, times, explained):
    for text in times.split(", "):
        at, expected = text.split()
        assert passes(contents, float(at), explained) == (expected == "yes"), text


def passes(contents, now_s, explained=frozenset()):
    """Return whether a request with the content is sent, as a trial or freely."""
    if contents.begin_trial(CONTENT, now_s, explained):
        return True
    return contents.refused_for_s(CONTENT, now_s, explained) is None
