"""Steps for admission, retries, hedging and slow targets."""

from __future__ import annotations

import random

from behave import then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions._fair_shares import TeamLimits
from lentiltally.decisions.admission import Admission, AdmissionRequest, Admitted, Shed
from lentiltally.decisions.hedging import HedgeBudget
from lentiltally.decisions.retries import AttemptOutcome, RetryBudget
from lentiltally.decisions.slow_targets import SlowTargets

CLASSES = {"non-idempotent": 0, "interactive": 1, "deferrable": 2}


def request(team="a", criticality=1, wait_s=0.0, **more):
    return AdmissionRequest(team, criticality, 10.0, wait_s, **more)


def admission(**limits):
    return Admission(random.Random(1), limits)


@then(
    "admission of {kind} work with a wait of {wait:g} s in a budget of 10 s"
    " is {outcome}"
)
def admission_by_wait(context, kind, wait, outcome):
    verdict = admission().offer(request(criticality=CLASSES[kind], wait_s=wait), 0.0)
    assert isinstance(verdict, Admitted if outcome == "admitted" else Shed), verdict


@then("admission gives a single team all capacity and two teams about the same")
def admission_shares(context):
    shares, backlog = admission(), 0.0
    taken = {"a": 0, "b": 0}
    for step in range(12_000):
        # The capacity is 5 requests/s. Team a sends 20/s, and later team b 4/s.
        now_s = step / 100
        backlog = max(0.0, backlog - 0.05)
        teams = ["a"] if step % 5 == 0 else []
        teams += ["b"] if step >= 6_000 and step % 25 == 0 else []
        for team in teams:
            verdict = shares.offer(request(team, wait_s=backlog / 5), now_s)
            backlog += isinstance(verdict, Admitted)
            taken[team] += isinstance(verdict, Admitted) and step >= 8_000
        if step == 6_000:
            # In the first minute, team a alone got all of the 300 requests.
            assert backlog > 20, backlog
    assert sum(taken.values()) >= 190, taken
    assert 0.4 <= taken["b"] / sum(taken.values()) <= 0.6, taken


@then("admission with a limit of 2 admits the third request after one has finished")
def admission_limit(context):
    limited = admission(a=TeamLimits(max_concurrent=2))
    verdicts = [limited.offer(request(), 0.0) for _ in range(3)]
    assert [type(verdict) for verdict in verdicts] == [Admitted, Admitted, Shed]
    limited.finished("a", 1.0)
    assert isinstance(limited.offer(request(), 1.0), Admitted)


@then("admission sheds a rarely used adapter before an adapter with many requests")
def admission_cold(context):
    entry = admission()
    for number in range(4):
        cold = request(criticality=0, needs_load=True, adapter=f"old-{number}")
        entry.offer(cold, 0.0)
    entry.load_wait_ended(0, 1.0)
    entry.load_wait_ended(0, 2.0)
    # Two load waits ended, one per second: the next is expected to take about 2.4 s.
    rare = request(needs_load=True, adapter="rare")
    popular = request(needs_load=True, adapter="popular")
    assert isinstance(entry.offer(rare, 2.0), Shed)
    assert isinstance(entry.offer(request(), 2.0), Admitted)
    verdicts = [entry.offer(popular, 2.0) for _ in range(3)]
    assert any(isinstance(verdict, Admitted) for verdict in verdicts), verdicts
    assert isinstance(admission().offer(rare, 2.0), Admitted)


@then("admission delays are within 0.5 and 30 s and grow with the backlog")
def admission_delays(context):
    entry = admission()
    means = []
    for wait_s in (6.1, 12.0, 500.0):
        delays = [
            entry.offer(request(wait_s=wait_s), 0.0).retry_after_s for _ in range(50)
        ]
        assert all(0.5 <= delay <= 30.0 for delay in delays)
        means.append(sum(delays) / len(delays))
    assert means == sorted(means)


@then("retry of {outcome} work that is {kind}, attempt {attempt:d}, is {verdict}")
def retry_cases(context, outcome, kind, attempt, verdict):
    decision = RetryBudget(random.Random(1)).may_retry(
        "a",
        attempt,
        AttemptOutcome(outcome),
        is_idempotent=kind == "idempotent",
        left_s=5.0,
    )
    assert (decision is not None) == (verdict == "made")


@then("retry budget lets 1000 failing requests retry at most 120 times")
def retry_budget(context):
    budget, retried = RetryBudget(random.Random(1)), 0
    for _ in range(1000):
        budget.request_sent("a")
        decision = budget.may_retry(
            "a", 1, AttemptOutcome.NOT_RUN, is_idempotent=True, left_s=5.0
        )
        retried += decision is not None
    assert 100 <= retried <= 120, retried


@then("hedge budget waits for the p95, allows 2 in 100 and no non-idempotent work")
def hedge_budget(context):
    budget = HedgeBudget()
    assert budget.hedge_delay_s(True) is None
    hedges = 0
    for number in range(1000):
        budget.request_sent()
        budget.first_token((number % 100) / 100)
        hedges += budget.take()
    assert hedges == 20, hedges
    assert budget.hedge_delay_s(True) == 0.95
    assert budget.hedge_delay_s(False) is None


def observe_all(slow, names, latency_s, now_s):
    for name in names:
        slow.observed(name, latency_s, now_s)


@then("slow targets ejects a target at 5 times the median and readmits it")
def slow_ejected_and_readmitted(context):
    names = [f"t{number}" for number in range(6)]
    slow = SlowTargets({name: name[-1] > "2" and "x" or "y" for name in names})
    for step in range(20):
        observe_all(slow, names, 0.02, step / 10)
    for step in range(20, 25):
        observe_all(slow, names[1:], 0.02, step / 10)
        slow.observed("t0", 0.1, step / 10)
    assert slow.ejected(2.5) == {"t0"}
    observe_all(slow, names, 0.02, 2.6)
    observe_all(slow, names, 0.02, 2.7)
    assert slow.ejected(2.8) == frozenset()


@then("slow targets never ejects more than a third or a whole domain")
def slow_limits(context):
    domains = {f"t{number}": str(number % 3) for number in range(7)}
    events = st.lists(
        st.tuples(st.sampled_from(sorted(domains)), st.sampled_from([0.02, 0.2])),
        max_size=80,
    )

    @for_all(events)
    def check(steps):
        slow = SlowTargets(domains)
        for number, (name, latency_s) in enumerate(steps):
            slow.observed(name, latency_s, number / 20)
            ejected = slow.ejected(number / 20)
            assert len(ejected) <= 7 / 3
            left = {domains[name] for name in domains if name not in ejected}
            assert left == {"0", "1", "2"}

    check()


@then("admission of 24 cold starts within {within_s:g} s admits {expected}")
def cold_starts_at_once(context, within_s, expected):
    admission = Admission(random.Random(1))
    results = [
        admission.offer(
            AdmissionRequest("t", 1, 20.0, 0.0, needs_load=True, adapter=f"a{number}"),
            100.0 + within_s * number / 24,
        )
        for number in range(24)
    ]
    admitted = sum(isinstance(result, Admitted) for result in results)
    assert (admitted == 24) == (expected == "all"), admitted
