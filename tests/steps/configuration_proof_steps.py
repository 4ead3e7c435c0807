"""Steps for the proof that an entry's configuration is the newest."""

from __future__ import annotations

import asyncio
import math
import random
from dataclasses import replace

from behave import given, then, when

from lentiltally.decisions.account_table import AccountTable
from lentiltally.decisions.configuration_proof import ConfigurationProof
from lentiltally.decisions.route_table import RouteTable
from lentiltally.direct.feed_types import FeedPage, FeedRecord
from lentiltally.direct.messages import ConfirmConfiguration
from lentiltally.direct.model import ClientAccount
from tests.fakes.confirmation_play import BOUND_S, play

FAULT_S = 12.0
# Faults begin at different times relative to the reads.
OFFSETS_S = (0.0, 0.37, 1.21)


def cut_off(world, ips, is_reachable):
    for ip in ips:
        world.topic(ip).is_reachable = is_reachable


def begin_fault(world, fault):
    store, entry = world.store, "10.0.1.1"
    if fault == "an entry cut off from the store":
        cut_off(world, [entry], False)
    elif fault == "an entry cut off from store and agents":
        cut_off(world, [entry], False)
        world.is_cut = lambda agent: True
    elif fault == "an entry cut off from the agents":
        world.is_cut = lambda agent: True
    elif fault == "a store that is away":
        store.is_up = False
    elif fault == "answers of the store that are lost":
        store.loses = lambda wait_s: wait_s > 0.0
    elif fault == "confirmations that come 3 s late and twice":
        world.copies = lambda data, receiver: [3.0, 3.5]
    elif fault == "two agents cut off from the store":
        cut_off(world, world.agents[:2], False)
    elif fault == "two agents frozen":
        for ip in world.agents[:2]:
            world.clock(ip).freeze(FAULT_S)
    elif fault == "a store that deletes its records":
        store.put("version/a", b"x")
        store.first_offset = len(store.records)
    elif fault == "many records to read":
        for number in range(40):
            store.put(f"version/{number}", b"x")
    elif fault == "an undecodable configuration":
        store.put("config", b"{")
    else:
        assert fault == "no fault"


def end_fault(world, fault):
    cut_off(world, ["10.0.1.1", *world.agents], True)
    world.is_cut = lambda agent: False
    world.copies = lambda data, receiver: [0.001]
    world.store.is_up = True
    world.store.loses = lambda wait_s: False
    if fault == "an undecodable configuration":
        world.store.put_keys("k")


def with_fault(fault, offset_s, removes):
    """Return what happens from the beginning of a fault on.

    With ``removes``, the key is removed just after the fault has begun.
    """

    async def act(world):
        await asyncio.sleep(offset_s)
        begin_fault(world, fault)
        if removes:
            world.store.put_keys("other")
        refused = []
        for second in range(int(FAULT_S * 10)):
            await asyncio.sleep(0.1)
            if not world.serves("k"):
                refused.append(second / 10)
            assert world.refusal(is_public=True) is None
        end_fault(world, fault)
        back_s = await world.first_time(lambda: world.serves("k"), 10.0)
        return refused, back_s

    return play(act)


@when("configuration proof play has {fault}")
def has_fault(context, fault):
    context.fault = fault


@then("configuration proof keeps valid keys served: {served}")
def keeps_served(context, served):
    context.back_s = []
    for offset_s in OFFSETS_S:
        refused, back_s = with_fault(context.fault, offset_s, removes=False)
        context.back_s.append(back_s)
        if served == "yes":
            assert not refused, refused
        else:
            # Not before the bound: the proof was at most about a second old.
            assert refused and refused[0] > 0.5 * BOUND_S, refused


@then("configuration proof refuses a key that is removed then within 5 s")
def refuses_removed(context):
    for offset_s in OFFSETS_S:
        refused, _ = with_fault(context.fault, offset_s, removes=True)
        times = [step / 10 for step in range(int(FAULT_S * 10))]
        last_s = max((s for s in times if s not in refused), default=0.0)
        assert last_s + 0.1 < BOUND_S, last_s


@then("configuration proof serves keys again within {limit_s:g} s after the fault")
def serves_again(context, limit_s):
    assert max(context.back_s) <= limit_s, context.back_s


@when("configuration proof play freezes the entry for 8 s and removes a key meanwhile")
def freezes(context):
    def frozen(key_after):
        async def act(world):
            await asyncio.sleep(1.0)
            world.clock().freeze(8.0)
            await asyncio.sleep(1.0)
            world.store.put_keys(key_after)
            _, was_served = await world.request("k")
            refusal = world.refusal()
            return (
                was_served,
                refusal,
                await world.first_time(lambda: world.serves("k"), 10.0),
            )

        return play(act)

    context.was_served, context.refusal, back_s = frozen("k")
    context.back_s = [back_s]
    was_served, _, served_s = frozen("other")
    assert not was_served and served_s == math.inf, served_s


@then("configuration proof refuses the first request after it as unconfirmed")
def refuses_first(context):
    assert not context.was_served
    refusal = context.refusal
    assert (refusal.status, refusal.reason) == (503, "configuration-unconfirmed")
    assert refusal.executed == "no" and refusal.retry_after_s is not None


@then("configuration proof refuses no request on a public route")
def public_routes(context):
    # Also checked at each step of the play.
    with_fault(context.fault, 0.0, removes=False)


def count_in_quiet_time(with_accounts, revocation_s=BOUND_S):
    """Return how many questions and calls to the store 120 s without faults take."""

    async def act(world):
        if not with_accounts:
            world.store.put_without_accounts()
        await asyncio.sleep(30.0)
        questions, calls = world.questions, world.store.calls
        await asyncio.sleep(120.0)
        return world.questions - questions, world.store.calls - calls

    random.seed(1)
    return play(act, revocation_s=revocation_s)


@given("configuration proof play without accounts")
def without_accounts(context):
    context.calm = count_in_quiet_time(with_accounts=False)


@given("configuration proof play without a bound")
def without_bound(context):
    context.calm = count_in_quiet_time(with_accounts=True, revocation_s=None)


# Three agents read about once a second; the entry has six long polls of 20 s.
MAX_CALM_CALLS = 3 * 120 / 0.75 + 7


@then("configuration proof sends no question and makes no additional call in 120 s")
def costs_nothing(context):
    questions, calls = context.calm
    assert questions == 0 and calls <= MAX_CALM_CALLS, context.calm


@then("configuration proof makes as many calls with accounts as without in 120 s")
def no_additional_calls(context):
    (questions, calls), (_, expected) = (
        count_in_quiet_time(True),
        count_in_quiet_time(False),
    )
    assert questions > 0
    # Agents' turns have a random part.
    assert calls <= expected * 1.03, (calls, expected)


class Schedule:
    """Random faults, changes of the configuration and requests; 40 s of one seed."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.served = self.prevented = 0
        self.violations = []
        # Since when the newest configuration lacks the key, None while it has it.
        self.removed_at_s = None

    async def run(self, world):
        rng, store = self.rng, world.store
        store.delays = lambda: (self.delay_s(3.0), self.delay_s(3.0))
        store.loses = lambda wait_s: rng.random() < 0.05
        world.copies = self.copies
        requests = asyncio.create_task(self.requests(world))
        until_s = world.loop.time() + 40.0
        while world.loop.time() < until_s:
            await asyncio.sleep(rng.expovariate(1.0))
            rng.choice([self.change, self.fail, self.change, self.mend])(world)
        requests.cancel()

    def delay_s(self, most_s):
        return self.rng.uniform(0.0, 0.01 if self.rng.random() < 0.9 else most_s)

    def copies(self, data, receiver):
        copies = self.rng.choices([0, 1, 2], [0.1, 0.8, 0.1])[0]
        return [self.delay_s(6.0) for _ in range(copies)]

    def change(self, world):
        rng, store = self.rng, world.store
        kind = rng.choice(["notice", "key", "other", "other", "undecodable", "delete"])
        if kind == "notice":
            for number in range(rng.randrange(1, 9)):
                store.put(f"version/{number}", b"x")
        elif kind == "delete":
            store.first_offset = len(store.records)
        elif kind == "key":
            store.put_keys("k", "other")
            self.removed_at_s = None
        else:
            if kind == "other":
                store.put_keys("other")
            else:
                store.version += 1
                store.put("config", b"{")
            if self.removed_at_s is None:
                self.removed_at_s = world.loop.time()

    def fail(self, world):
        rng = self.rng
        kind = rng.randrange(6)
        if kind == 0:
            world.topic().is_reachable = False
        elif kind == 1:
            cut = set(rng.sample(world.agents, rng.randint(1, len(world.agents))))
            world.is_cut = lambda agent: agent in cut
        elif kind == 2:
            world.store.is_up = False
        elif kind == 3:
            world.topic(rng.choice(world.agents)).is_reachable = False
        else:
            ip = "10.0.1.1" if kind == 4 else rng.choice(world.agents)
            world.clock(ip).freeze(rng.uniform(0.05, 9.0))

    def mend(self, world):
        cut_off(world, ["10.0.1.1", *world.agents], True)
        world.is_cut = lambda agent: False
        world.store.is_up = True

    async def requests(self, world):
        pending = set()
        while True:
            await asyncio.sleep(self.rng.uniform(0.02, 0.2))
            task = asyncio.create_task(self.request(world))
            pending.add(task)
            task.add_done_callback(pending.discard)

    async def request(self, world):
        sent_s, was_served = await world.request("k")
        self.served += was_served
        removed_at_s = self.removed_at_s
        if removed_at_s is None or sent_s <= removed_at_s + BOUND_S:
            return
        if was_served:
            self.violations.append((sent_s, removed_at_s))
        accounts = world.entry._state.table.state.accounts
        self.prevented += accounts.find(b"k") is not None


@then("configuration proof holds in schedules {first:d} to {last:d}")
def holds(context, first, last):
    served = prevented = 0
    for seed in range(first, last + 1):
        random.seed(seed)
        schedule = Schedule(seed)
        play(schedule.run, agents=1 + seed % 4)
        assert not schedule.violations, (seed, schedule.violations[:3])
        served += schedule.served
        prevented += schedule.prevented
    # Guards against schedules that refuse every request or never test a removal.
    assert served > 50 * last and prevented > 5 * last, (served, prevented)


@given(
    "configuration proof of the direct path has a bound of {bound_s:g} s and an account"
)
def direct_account(context, bound_s):
    system = context.direct
    system.bounds = replace(system.bounds, revocation_s=bound_s)

    def act():
        system.entry.reload()
        state = system.entry._state
        accounts = AccountTable([(ClientAccount("a"), ["k"])])
        state.table = RouteTable(replace(state.table.state, accounts=accounts))

    system.call(act)
    assert direct_status(system) == (200, 200), direct_status(system)


def direct_status(system):
    """Return the status of a keyed request and of the readiness page."""
    headers = {"Authorization": "Bearer k"}
    system.answer = system.send("/safe/x", headers=headers)
    ready = system.run(
        system.raw(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", address=system.readiness)
    )
    return system.answer.status, ready.status


def direct_reaches(system, statuses, limit_s):
    for _ in range(int(limit_s / 0.1)):
        if direct_status(system) == statuses:
            return True
        system.run(asyncio.sleep(0.1))
    return False


@then(
    "configuration proof makes the direct path refuse within {limit_s:g} s, also its"
    " readiness"
)
def direct_refuses(context, limit_s):
    system = context.direct
    assert direct_reaches(system, (503, 503), limit_s), direct_status(system)
    assert b"configuration-unconfirmed" in system.answer.body
    assert 0.2 <= system.answer.retry_after_s <= 1.0
    page = system.call(system.entry._metrics_page)[1].decode()
    line = 'lentiltally_refusals_total{reason="configuration-unconfirmed",status="503"}'
    assert line in page, page
    age = page.split("\nlentiltally_configuration_proof_age_seconds ")[1].split()[0]
    assert float(age) > 1.0, age


@then("configuration proof makes the direct path serve again within {limit_s:g} s")
def direct_serves(context, limit_s):
    system = context.direct
    assert direct_reaches(system, (200, 200), limit_s), direct_status(system)


@then(
    "configuration proof play refuses a key that is removed behind an answer in the"
    " socket"
)
def answer_in_socket(context):
    async def act(world):
        await asyncio.sleep(1.0)
        world.clock().freeze(8.0)
        await asyncio.sleep(0.5)
        # The answer to the long poll waits in the socket from here on.
        world.store.put("version/a", b"x")
        await asyncio.sleep(0.5)
        world.store.put_keys("other")
        world.store.is_up = False
        world.is_cut = lambda agent: True
        await world.clock().running()
        await asyncio.sleep(0.01)
        assert world.entry._configuration.end_read is not None
        return await world.first_time(lambda: world.serves("k"), 3.0)

    assert play(act) == math.inf


PAGES = {
    "the last records": FeedPage(2, (FeedRecord("a", b"x", 1),), 2),
    "nothing at the end": FeedPage(1, (), 1),
    "the first of two pages": FeedPage(3, (FeedRecord("a", b"x", 1),), 2),
    "nothing before the end": FeedPage(3, (), 1),
    "nothing behind the end": FeedPage(0, (), 1),
}


@then("configuration proof follows from a read of {page}: {proof}")
def proof_of_page(context, page, proof):
    async def act(world):
        feed = world.entry._configuration
        for task in world._tasks:
            task.cancel()
        newest = FeedPage(1, (FeedRecord("config", b"{", 0),), 1)
        if page not in PAGES:
            newest = replace(newest, end=2)

        class Topic:
            async def newest(self):
                return newest

            async def read(self, offset, wait_s):
                return PAGES[page]

        feed._topic, feed._next_offset = Topic(), None
        reads = []
        if page in PAGES:
            await feed.read_once()
        feed.on_end_read = reads.append
        await feed.read_once()
        return len(reads)

    assert play(act) == (proof == "yes")


@then('configuration proof takes "{outcome}" from an answer {which}')
def takes(context, outcome, which):
    proof = ConfigurationProof(BOUND_S)
    proof.read_reached_end(100.0, is_newest_applied=True)
    proof.agent_reported("a", 0.3, 102.0)
    assert proof.agents_to_ask(102.0) == ["a"]

    def answer():
        return proof.confirmed(
            "b" if "not asked" in which else "a",
            proof.token(102.0) + ("another token" in which),
            9.0 if "old read" in which else 0.5,
            agent_offset=8 if "later record" in which else 7,
            own_offset=7,
            is_newest_applied="decoded" not in which,
            now_s=102.1,
        )

    result = answer()
    if "twice" in which:
        result = answer()
    assert result.value == outcome, result
    expected_s = 0.6 if outcome == "proof" or "twice" in which else 2.1
    assert abs(proof.age_s(102.1) - expected_s) < 0.01, proof.age_s(102.1)


@then(
    "configuration proof gets no answer from an agent that was suspended since its read"
)
def suspended_agent(context):
    async def act(world):
        ip = world.agents[0]
        reader = world._processes[ip]._reader
        before = reader.confirmation(ConfirmConfiguration(1, 1))
        world.clock(ip).freeze(0.5)
        await world.clock(ip).running()
        return before, reader.confirmation(ConfirmConfiguration(1, 1))

    before, after = play(act)
    assert before is not None and after is None, (before, after)
