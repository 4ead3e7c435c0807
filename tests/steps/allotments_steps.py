"""Steps for the allotments of accounts at their holders, without a network."""

from __future__ import annotations

import random
from collections import Counter, deque

from behave import given, then, when

from lentiltally.decisions.allotment_holders import allotment_holders
from lentiltally.decisions.allotment_shape import (
    HOLDERS,
    AllotmentShape,
    LimitMargin,
)
from lentiltally.decisions.allotments import AllotmentRequest, Allotments

MARGIN = LimitMargin(window_s=8.0, tolerance=0.1, slack=17_000.0)
# Long enough for a balance to be full.
NOW_S = 1_000.0
COST = 800


def request(grant_id="r", cost=COST, account="a", rate=3000.0, burst=None, version=1):
    burst = rate if burst is None else burst
    return AllotmentRequest(account, grant_id, cost, version, rate, burst)


@given("allotments of an account with 3000 tokens a second and a burst of 3000")
def allotments_of_account(context):
    context.now_s = NOW_S
    context.allotments = Allotments(MARGIN, 0.0)
    probe = context.allotments.request(request("probe", 1), NOW_S)
    context.allotments.give_back("a", "probe", NOW_S)
    assert probe.balance == 999.0
    context.decisions = []


def ask(context, **more):
    decision = context.allotments.request(request(**more), context.now_s)
    context.decisions.append(decision)
    return decision


def balance(context):
    """Return the balance at the present time, without changing it."""
    bucket = context.allotments._buckets["a"]
    bucket.is_full(context.now_s)
    return bucket.balance


@when("allotments get these messages of a request: {messages}")
def get_messages(context, messages):
    age_s = AllotmentShape.of(3000.0, 3000.0, MARGIN).grant_age_s
    # A full bucket would hide tokens that are created.
    context.allotments.request(request("other", 1000), context.now_s)
    context.expected = balance(context)
    for message in messages.split(", "):
        if message == "ask":
            ask(context)
        elif message == "return":
            context.allotments.give_back("a", "r", context.now_s)
        else:
            passed_s = age_s * {"late": 1.01, "soon": 0.6}[message]
            context.now_s += passed_s
            context.expected += passed_s * 1000.0


@then("allotments answered {answers}")
def answered(context, answers):
    expected = []
    for answer in answers.split(", "):
        name, _, count = answer.partition(" x")
        expected += [name == "granted"] * int(count or 1)
    assert [d.is_granted for d in context.decisions] == expected


@then("allotments have given away {cost:d} tokens")
def given_away(context, cost):
    expected = getattr(context, "expected", 1000.0) - cost
    # A balance is cut at its capacity.
    assert abs(balance(context) - min(1000.0, expected)) < 0.01, balance(context)


@when("allotments get a request that costs {cost:d}")
def get_cost(context, cost):
    ask(context, cost=cost)


@then("allotments grant a request of {cost:d} tokens at once")
def grant_at_once(context, cost):
    assert ask(context, grant_id="next", cost=cost).is_granted


@then("allotments grant a request of {cost:d} tokens within {within_s:g} s")
def grant_within(context, cost, within_s):
    refused = ask(context, grant_id="next", cost=cost)
    assert not refused.is_granted
    assert refused.wait_s <= within_s, refused
    context.now_s += refused.wait_s + 0.001
    assert ask(context, grant_id="again", cost=cost).is_granted


@when("allotments learn of {rate:g} tokens a second in version {version:d}")
def learn(context, rate, version):
    ask(context, grant_id="new", cost=1, rate=rate, version=version)
    context.allotments.give_back("a", "new", context.now_s)


@then("allotments have a balance of {expected:g}")
def has_balance(context, expected):
    assert balance(context) == expected, balance(context)


@then(
    "allotments of {rate:d} tokens a second and a burst of {burst:d} grant {share:f} "
    "of the limit in each window under steady load"
)
def grant_share_in_windows(context, rate, burst, share):
    holders = [Allotments(MARGIN, 0.0) for _ in range(HOLDERS)]
    granted = deque()
    windows = 5
    for number in range(int(windows * MARGIN.window_s * 100)):
        now_s = NOW_S + number / 100
        for holder in holders:
            ask_all = request(f"{number}", COST, rate=rate, burst=burst)
            while holder.request(ask_all, now_s).is_granted:
                granted.append((now_s, COST))
                ask_all = request(f"{number}-{len(granted)}", COST, "a", rate, burst)
    limit = rate * MARGIN.window_s + burst
    for window in range(1, windows):
        start_s = NOW_S + window * MARGIN.window_s
        used = sum(c for at, c in granted if 0 <= at - start_s < MARGIN.window_s)
        assert used >= share * limit, f"{used} of {limit} in window {window}"


@then("allotments of greedy callers stay within the bound for {seeds:d} seeds")
def greedy(context, seeds):
    for seed in range(seeds):
        worst = greedy_play(random.Random(seed))
        assert worst <= 1.0, (seed, worst)


def greedy_play(rng):
    """Ask for all that holders give, and start each anew when it has given most."""
    rate = rng.choice((30.0, 1_000.0, 4_200.0, 112_203.0))
    burst = rate * rng.choice((0.0, 0.3, 1.0, 5.0))
    shape = AllotmentShape.of(rate, burst, MARGIN)
    bound = (rate * MARGIN.window_s + burst) * (1 + MARGIN.tolerance) + MARGIN.slack
    costs = [1, 2_300, 7_000, int(shape.max_cost), int(shape.capacity)]
    costs = [cost for cost in costs if 1 <= cost <= shape.max_cost]
    cost = max(rng.choice(costs), int(rate / 500))
    holders = [Allotments(MARGIN, -1e6) for _ in range(3)]
    restart_s = [rng.uniform(0.0, 1.0) for _ in holders]
    given, total, worst, now_s, number = deque(), 0, 0.0, 0.0, 0
    while now_s < 18.0:
        now_s += rng.expovariate(20.0)
        for index, at_s in enumerate(restart_s):
            if now_s >= at_s:
                holders[index] = Allotments(MARGIN, now_s)
                restart_s[index] += MARGIN.window_s
        for holder in holders:
            for _ in range(200):
                number += 1
                asked = request(str(number), cost, rate=rate, burst=burst)
                if not holder.request(asked, now_s).is_granted:
                    break
                given.append((now_s, cost))
                total += cost
        while given and given[0][0] <= now_s - MARGIN.window_s:
            total -= given.popleft()[1]
        worst = max(worst, total / bound)
    return worst


@when("allotments turn away {count:d} requests of 1000 tokens")
def turn_away(context, count):
    while ask(context, grant_id=f"all-{len(context.decisions)}", cost=1000).is_granted:
        pass
    context.decisions.clear()
    for number in range(count):
        ask(context, grant_id=f"more-{number}", cost=1000)


@then("allotments name {count:d} waits, each 0.33 s after the one before")
def waits_apart(context, count):
    waits = [decision.wait_s for decision in context.decisions]
    steps = [after - before for before, after in zip(waits, waits[1:], strict=False)]
    assert len(waits) == count
    assert all(abs(step - 1000 / 3000) < 0.01 for step in steps), waits


@then("allotments of 1000 accounts keep none of them 300 s after their last request")
def keep_none(context):
    allotments = Allotments(MARGIN, 0.0)
    for number in range(1_000):
        allotments.request(request(account=f"a{number}"), NOW_S)
    assert allotments.account_count == 1_000
    for _ in range(600):
        allotments.request(request(account="other"), NOW_S + 300.0)
    assert allotments.account_count == 1
    assert allotments.grant_count == 1


@then("allotments of 30000 accounts in use keep at most 20000 of them and 20000 grants")
def keep_bounded(context):
    allotments = Allotments(MARGIN, 0.0)
    for number in range(30_000):
        allotments.request(request(account=f"a{number}"), NOW_S)
    assert allotments.account_count <= 20_000
    assert allotments.grant_count <= 20_000
    # What was dropped may have been spent.
    asked = request("again", 3_000, account="a0")
    assert not allotments.request(asked, NOW_S).is_granted


@then("allotment holders of 200 accounts over 24 agents don't depend on their order")
def same_holders(context):
    agents = [f"10.0.1.{number}" for number in range(24)]
    context.counts = Counter()
    for number in range(200):
        holders = allotment_holders(agents, f"a{number}")
        assert holders == allotment_holders(agents[::-1], f"a{number}")
        assert len(set(holders)) == 3
        context.counts.update(holders)


@then("allotment holders hold {least:d} to {most:d} of 200 accounts each")
def hold_evenly(context, least, most):
    assert len(context.counts) == 24
    assert all(least <= n <= most for n in context.counts.values()), context.counts
