"""Steps for the quarantine."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.quarantine import (
    BatchAdmission,
    ClearRecord,
    CrashRecord,
    LiftRecord,
    Quarantine,
)
from lentiltally.ids import content_fingerprint


def _record(word, arguments):
    if word == "crash":
        target, incarnation, *fingerprints = arguments
        return CrashRecord(target, incarnation, tuple(fingerprints))
    return LiftRecord(arguments[0], "op") if word == "lift" else ClearRecord(*arguments)


@given("quarantine after {history}")
def quarantine_after(context, history):
    context.quarantine = Quarantine(max_suspects=3)
    for offset, event in enumerate(history.split(", ")):
        minute, word, *arguments = event.split()
        record = _record(word, arguments)
        context.quarantine.apply(record, offset, int(minute) * 60_000)


@then("quarantine has suspects {suspects} and quarantined {quarantined}")
def quarantine_has(context, suspects, quarantined):
    found = [entry.fingerprint for entry in context.quarantine.quarantined()]
    assert (" ".join(context.quarantine.suspects()) or "-") == suspects
    assert (" ".join(found) or "-") == quarantined


@then("quarantine admits {fingerprint} to {target} as {admission}")
def quarantine_admits(context, fingerprint, target, admission):
    found = context.quarantine.admit(target, fingerprint)
    assert found.name == admission, found
    if found is BatchAdmission.RUN:
        context.quarantine.started(target, fingerprint)


@then("quarantine requires a clear record when {fingerprint} finishes on {target}")
def quarantine_requires_clear(context, fingerprint, target):
    assert context.quarantine.ended(target, fingerprint, finished=True)


@then("quarantine requires no clear record when {fingerprint} {what} {target}")
def quarantine_requires_no_clear(context, fingerprint, what, target):
    is_finished = what == "finishes on"
    target = target.removesuffix(" unfinished")
    context.quarantine.started(target, fingerprint)
    assert not context.quarantine.ended(target, fingerprint, finished=is_finished)


@then("quarantine names equal requests of two teams, and of two adapters, differently")
def quarantine_names(context):
    names = {content_fingerprint(t, a, b"{}") for t in ("x", "y") for a in ("p", "q")}
    assert len(names) == 4


@then("quarantine stops one crashing request among others after two crashes")
def quarantine_property(context):
    batches = st.lists(st.sets(st.sampled_from("abcd"), max_size=4), min_size=6)

    @for_all(batches)
    def check(companions):
        quarantine, crashes, offset = Quarantine(), 0, 0
        for incarnation, batch in enumerate(companions):
            target = f"x{incarnation % 3}"
            for fingerprint in ["bad", *sorted(batch)]:
                if quarantine.admit(target, fingerprint) is BatchAdmission.RUN:
                    quarantine.started(target, fingerprint)
            if quarantine.admit(target, "bad") is BatchAdmission.QUARANTINED:
                continue
            record = quarantine.crashed(target, str(incarnation))
            assert record is not None
            assert "bad" in record.fingerprints
            offset += 1
            quarantine.apply(record, offset, offset)
            crashes += 1
        found = [entry.fingerprint for entry in quarantine.quarantined()]
        assert crashes == 2
        assert found == ["bad"], found

    check()
