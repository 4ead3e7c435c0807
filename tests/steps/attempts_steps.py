"""Steps for the table of attempts."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions import attempts
from lentiltally.decisions.attempts import AttemptTable


def _call(table, word, attempt_id):
    if word == "run":
        _call(table, "offer", attempt_id)
        _call(table, "start", attempt_id)
        return table.finished(attempt_id, "answer", 10)
    if word == "offer-other-incarnation":
        return table.offer(attempt_id, "other", 0.0)
    if word == "refuse-other-incarnation":
        return table.refuse(attempt_id, addressed_incarnation="other")
    if word == "offer":
        return table.offer(attempt_id, "me", 0.0)
    actions = {"start": "started", "release": "released"}
    return getattr(table, actions.get(word, word))(attempt_id)


@given("attempts after {history}")
def attempts_after(context, history):
    context.attempt_table = AttemptTable("me", max_closed=3, max_answer_bytes=25)
    for event in history.split(", "):
        if event != "nothing":
            _call(context.attempt_table, *event.split())


@then("attempts decide on {word} {attempt_id} with {expected}")
def attempts_decide(context, word, attempt_id, expected):
    result = _call(context.attempt_table, word, attempt_id)
    text = type(result).__name__
    if isinstance(result, attempts.PermanentRefusal):
        text += " unknown" if result.may_have_run else " no"
    elif isinstance(result, attempts.AlreadyKnown) and result.answer:
        text += " answer"
    assert text == expected, result


@then("attempts keep {size:d} bytes of answers")
def attempts_keep(context, size):
    assert context.attempt_table.answer_bytes == size


@then(
    "attempts never run twice, are never reported as not run after they ran,"
    " and stay bounded"
)
def attempts_property(context):
    words = st.sampled_from(["offer", "refuse", "query", "start", "finish", "release"])
    events = st.lists(st.tuples(words, st.integers(1, 12)), max_size=80)

    @for_all(events)
    def check(history):
        table = AttemptTable("me", max_closed=4)
        ran, refused = set(), set()
        for word, number in history:
            attempt_id = f"e-{number}"
            if word == "finish":
                table.finished(attempt_id, "answer", 10)
                continue
            result = _call(table, word, attempt_id)
            if word == "start" and result:
                assert attempt_id not in ran | refused, "runs twice or after refusal"
                ran.add(attempt_id)
            is_refusal = isinstance(result, attempts.Refused) or (
                isinstance(result, attempts.PermanentRefusal)
                and not result.may_have_run
            )
            if is_refusal:
                assert attempt_id not in ran, "reported as not run after it ran"
                refused.add(attempt_id)
        states = [table.state(f"e-{n}") for n in range(1, 13)]
        closed = {"finished", "released", "refused"}
        assert sum(s is not None and s.value in closed for s in states) <= 4

    check()
