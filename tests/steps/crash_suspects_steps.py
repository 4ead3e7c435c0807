"""Steps for the refusal of prompt parts that crash targets."""

from __future__ import annotations

import random

from behave import then, when

from lentiltally.decisions.crash_suspects import CrashSuspects
from lentiltally.decisions.crash_traits import RequestTraits, part_fingerprint
from lentiltally.decisions.recent_answers import SURVIVAL_S

ENGINES = 10
ENGINES_PER_DOMAIN = 3
ENGINE_DOWN_S = 3.0
STEP_S = 0.05
POPULAR_PARTS = ("first", "second")


@when('crash suspects get the events "{events}"')
def gets_events(context, events):
    """Apply events: "TIME crash START REQUEST..." or "TIME answered PARTS"."""
    if not hasattr(context, "suspects"):
        context.suspects = CrashSuspects()
    for event in events.split(", "):
        at, what, *rest = event.split()
        if what == "answered":
            context.suspects.parts_answered(fingerprints(rest[0]), float(at))
            continue
        for request in rest[1:]:
            name, _, parts = request.partition(":")
            traits = RequestTraits(part_fingerprint(name), fingerprints(parts))
            context.suspects.record_crash(traits, rest[0], float(at))
        context.suspects.judge_parts(float(at))


@then('crash suspects refuse at {now_s:g} only the parts "{parts}"')
def refuses_only(context, now_s, parts):
    expected = set(parts.split("+"))
    for part in "fpq":
        refused = context.suspects.refused_part((part_fingerprint(part),), now_s)
        assert (refused is not None) == (part in expected), (part, refused)


@then('crash suspects refuse at {now_s:g} only the parts ""')
def refuses_none(context, now_s):
    refuses_only(context, now_s, "none")


@then('crash suspects {verb} at {now_s:g} the content "{name}"')
def refuses_content(context, verb, now_s, name):
    content = part_fingerprint(name)
    left_s = context.suspects.content_refused_for_s(content, now_s)
    is_refused = left_s is not None
    assert is_refused == (verb == "refuse")


@then('crash suspects let requests with "{parts}" through at times "{times}"')
def lets_through(context, parts, times):
    for text in times.split(", "):
        at, expected = text.split()
        traits = fingerprints(parts)
        on_trial = context.suspects.begin_trials(traits, float(at))
        refused = context.suspects.refused_part(traits, float(at), on_trial)
        assert (refused is None) == (expected == "yes"), (text, refused)


@then(
    'crash suspects of another entry adopt at {now_s:g} the refusal of "{part}" until '
    "{until_s:g}"
)
def adopts(context, now_s, part, until_s):
    other = CrashSuspects()
    parts = fingerprints(part)
    refusals = context.suspects.refusals(now_s)
    assert other.adopt_refusals(refusals, now_s) == (list(parts), [])
    assert other.adopt_refusals(refusals, now_s) == ([], [])
    assert other.refused_part(parts, until_s - 0.1) is not None
    assert other.begin_trials(parts, until_s + 0.1) == list(parts)


@then(
    'crash suspects told at {now_s:g} to refuse "{part}" for {left_s:g} s try it again '
    "at {trial_s:g}"
)
def adopts_bounded(context, now_s, part, left_s, trial_s):
    suspects = CrashSuspects()
    parts = fingerprints(part)
    suspects.adopt_refusals([(parts[0], left_s, left_s)], now_s)
    assert suspects.refused_part(parts, now_s) is not None
    assert suspects.begin_trials(parts, trial_s) == list(parts)


@then(
    'crash suspects of another entry that has completed answers with "{part}" clear it'
)
def refutes(context, part):
    other = CrashSuspects()
    parts = fingerprints(part)
    other.parts_answered(parts, 8.0)
    refusals = context.suspects.refusals(9.0)
    assert other.adopt_refusals(refusals, 9.0) == ([], list(parts))
    assert other.refused_part(parts, 9.0) is None


@then(
    "crash suspects of {count:d} random fleets let at most {limit:d} poisoned requests "
    "through later than {after_s:g} s after the fifth crash"
)
def finds_poisoned_part(context, count, limit, after_s):
    context.fleets = [RandomFleet(seed) for seed in range(count)]
    for fleet in context.fleets:
        fleet.run()
        late = fleet.poisoned_sent_later_than(after_s)
        assert late <= limit, (fleet.seed, late, fleet.crashes_at_s)
    assert any(len(fleet.crashes_at_s) >= 5 for fleet in context.fleets)


@then(
    "crash suspects of {count:d} random fleets never refuse a popular part for over "
    "{limit_s:g} s"
)
def keeps_popular_parts(context, count, limit_s):
    assert len(context.fleets) == count
    for fleet in context.fleets:
        assert fleet.longest_refusal_s <= limit_s, (fleet.seed, fleet.longest_refusal_s)


@then(
    "crash suspects keep at most {parts:d} parts of {many:d}, {crashes:d} crashes of "
    "{many_crashes:d} and {refusals:d} refusals"
)
def keeps_bounded(context, parts, many, crashes, many_crashes, refusals):
    suspects = CrashSuspects()
    for number in range(many):
        for start in range(3):
            traits = RequestTraits(start, (number,))
            suspects.record_crash(traits, f"s{start}", 0.2 * start)
        if number % 500 == 0:
            suspects.judge_parts(1.0)
    for start in range(many_crashes):
        suspects.record_crash(RequestTraits(start, (7,)), f"t{start}", 1.0)
    suspects.judge_parts(1.0)
    assert suspects.suspected_parts <= parts
    assert len(suspects._parts.get(7).at_s) <= crashes
    assert suspects.refused_parts <= refusals


@then("crash suspects keep at most {parts:d} parts of {many:d} that were in one crash")
def keeps_bounded_once(context, parts, many):
    suspects = CrashSuspects()
    for number in range(many):
        suspects.record_crash(RequestTraits(1, (number,)), "s", 1.0)
    assert suspects.suspected_parts <= parts


@when(
    'crash suspects get {crashes:d} crashes of requests with "{part}" beside {many:d} '
    "other parts each"
)
def crashes_beside_others(context, crashes, part, many):
    context.suspects = CrashSuspects()
    for crash in range(crashes):
        others = range(1 + crash * many, 1 + (crash + 1) * many)
        traits = RequestTraits(crash, (part_fingerprint(part), *others))
        context.suspects.record_crash(traits, f"s{crash}", 1.0 + crash)
        context.suspects.judge_parts(1.0 + crash)


def fingerprints(parts):
    return tuple(part_fingerprint(part) for part in parts.split("+"))


class RandomFleet:
    """Engines under sound and poisoned requests, with other failures of engines.

    All requests have a popular first part and one of the popular or rare second parts.
    The poisoned ones have one part more. A request begins its answer some time after it
    was sent, and ends it later; a poisoned one ends its engine in between. A sound one
    counts as answered once its engine has run on for a moment. A failure domain ends at
    a random time.
    """

    def __init__(self, seed):
        self.seed = seed
        self.crashes_at_s = []
        self._poisoned_sent_at_s = []
        self.longest_refusal_s = 0.0
        self._rng = random.Random(seed)
        self._suspects = CrashSuspects(self._rng.random())
        self._down_until_s = [0.0] * ENGINES
        self._starts = [0] * ENGINES
        self._running = [[] for _ in range(ENGINES)]
        self._refused_since_s = {}

    def run(self, for_s=20.0):
        rng = self._rng
        share = rng.choice((0.02, 0.05, 0.15))
        requests_per_step = rng.choice((0.5, 1.5, 3.0))
        begins_s = rng.choice((0.0, 2.0))
        self._longest_answer_s = rng.choice((0.0, 0.5, 2.0))
        failure_s = rng.uniform(0.0, for_s)
        now_s = 0.0
        while now_s < for_s:
            now_s += STEP_S
            if failure_s <= now_s:
                failure_s = for_s
                first = rng.randrange(ENGINES)
                for number in range(ENGINES_PER_DOMAIN):
                    self._end((first + number) % ENGINES, now_s)
            for _ in range(int(requests_per_step + rng.random())):
                is_poisoned = now_s > begins_s and rng.random() < share
                self._send(is_poisoned, now_s)
            for engine in range(ENGINES):
                self._end_answers(engine, now_s)
            self._note_refusals(now_s)

    def poisoned_sent_later_than(self, after_s):
        """Count poisoned requests sent ``after_s`` after the fifth crash by them."""
        if len(self.crashes_at_s) < 5:
            return 0
        since_s = self.crashes_at_s[4] + after_s
        return sum(at_s > since_s for at_s in self._poisoned_sent_at_s)

    def _send(self, is_poisoned, now_s):
        rng = self._rng
        second = rng.choice(("second", "second", f"rare{rng.randrange(40)}"))
        parts = ("first", second, "poisoned") if is_poisoned else ("first", second)
        traits = RequestTraits(
            rng.getrandbits(60), tuple(part_fingerprint(part) for part in parts)
        )
        on_trial = self._suspects.begin_trials(traits.parts, now_s)
        if self._suspects.refused_part(traits.parts, now_s, on_trial) is not None:
            return
        up = [n for n in range(ENGINES) if self._down_until_s[n] <= now_s]
        if up:
            if is_poisoned:
                self._poisoned_sent_at_s.append(now_s)
            done_at_s = now_s + rng.uniform(0.1, 0.6)
            done_at_s += rng.uniform(0.0, self._longest_answer_s)
            done_at_s += 0.0 if is_poisoned else SURVIVAL_S
            self._running[rng.choice(up)].append((done_at_s, is_poisoned, traits))

    def _end_answers(self, engine, now_s):
        due = [entry for entry in self._running[engine] if entry[0] <= now_s]
        for entry in sorted(due, key=lambda entry: entry[0]):
            _, is_poisoned, traits = entry
            if is_poisoned:
                self.crashes_at_s.append(now_s)
                self._end(engine, now_s)
                return
            self._running[engine].remove(entry)
            self._suspects.parts_answered(traits.parts, now_s)

    def _end(self, engine, now_s):
        lost, self._running[engine] = self._running[engine], []
        start = f"{engine}@{self._starts[engine]}"
        self._starts[engine] += 1
        self._down_until_s[engine] = now_s + ENGINE_DOWN_S
        for _, _, traits in lost:
            self._suspects.record_crash(traits, start, now_s)
        self._suspects.judge_parts(now_s)

    def _note_refusals(self, now_s):
        for part in POPULAR_PARTS:
            if self._suspects.are_any_refused((part_fingerprint(part),)):
                since_s = self._refused_since_s.setdefault(part, now_s)
                self.longest_refusal_s = max(self.longest_refusal_s, now_s - since_s)
            else:
                self._refused_since_s.pop(part, None)
