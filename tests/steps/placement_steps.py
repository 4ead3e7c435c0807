"""Steps for the choice of a target."""

from __future__ import annotations

import random

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.placement import Placement, PlacementRequest, TargetView


def view(name, places=16, running=0, resident=(), at_s=0.0):
    return TargetView(
        name,
        "a",
        "m",
        f"agent-{name}",
        places,
        8,
        0,
        running,
        frozenset(resident),
        at_s,
    )


def placement(seed, names, places=16, loads=None):
    made = Placement(random.Random(seed))
    for name in names:
        made.update(view(name, places, (loads or {}).get(name, 0)))
    return made


def names_of(count):
    return [f"t{number}" for number in range(count)]


@given("placement has {count:d} targets with {places:d} places")
def placement_has(context, count, places):
    context.placement = placement(1, names_of(count), places)


@given("placement target {name} holds adapter 7 and has {load:d} attempts")
def placement_holds(context, name, load):
    context.holder = name
    context.placement.update(view(name, 16, load, {7}, 1.0))


@when("placement places adapter 7")
def placement_places(context):
    context.choice = context.placement.choose(PlacementRequest("m", 7), 2.0)


@then("placement chose target {name}")
def placement_chose(context, name):
    assert (context.choice.target, context.choice.reason) == (name, "resident")


@then("placement chose another target")
def placement_chose_other(context):
    assert context.choice.target != context.holder
    assert context.choice.reason == "cold"


@then(
    "placement of 10 entries that see other loads puts 300 cold adapters on few homes"
)
def placement_cold_homes(context):
    rng = random.Random(5)
    names = names_of(13)
    entries = [
        placement(seed, names, 16, {name: rng.randrange(4) for name in names})
        for seed in range(10)
    ]
    homes = 0
    for adapter in range(1, 301):
        wanted = PlacementRequest("m", adapter)
        homes += len({entry.choose(wanted, 1.0).target for entry in entries})
    # Random choices would give about 7.2 homes per adapter.
    assert homes / 300 <= 2.0, homes / 300


@then(
    "placement of 10 entries with one stale idle report keeps every target under "
    "twice its share"
)
def placement_no_stampede(context):
    names = names_of(13)
    loads = dict.fromkeys(names, 8) | {"t3": 0}
    entries = [placement(seed, names, 16, loads) for seed in range(10)]
    taken = dict.fromkeys(names, 0)
    rng = random.Random(3)
    for _ in range(10):
        for entry in entries:
            wanted = PlacementRequest("m", rng.randrange(1, 10_000))
            chosen = entry.choose(wanted, 1.0).target
            entry.dispatched(chosen, wanted, 1.0)
            taken[chosen] += 1
    assert max(taken.values()) <= 2 * 130 / 13, taken


@then("placement finds no target once both are full or excluded")
def placement_full(context):
    made = context.placement
    wanted = PlacementRequest("m", 0, excluded=frozenset({"t0"}))
    for _ in range(5):
        made.dispatched("t1", wanted, 1.0)
    assert made.choose(wanted, 1.0) is None
    assert made.choose(PlacementRequest("m", 0), 1.0).target == "t0"
    assert made.choose(PlacementRequest("other", 0), 1.0) is None


EVENTS = st.lists(
    st.tuples(st.sampled_from(["send", "end", "report"]), st.integers(0, 9)),
    max_size=40,
)


@then("placement counts agree with a plain recount for any events")
def placement_counts(context):
    @for_all(EVENTS)
    def check(events):
        made = placement(1, ["t0"])
        history = []
        open_count = reported = 0
        newest_s = 0.0
        for number, (kind, value) in enumerate(events, start=1):
            now_s = float(number)
            if kind == "report":
                at_s = now_s - value
                made.update(view("t0", running=value, at_s=at_s))
                if at_s >= newest_s:
                    newest_s, reported = at_s, value
            elif kind == "send" or open_count:
                by = 1 if kind == "send" else -1
                open_count += by
                history.append((now_s, by))
                if by > 0:
                    made.dispatched("t0", PlacementRequest("m", 0), now_s)
                else:
                    made.finished("t0", now_s)
            uncovered = sum(by for at, by in history if at > newest_s)
            assert made.attempt_count("t0") == max(reported + uncovered, open_count, 0)

    check()


@then("placement index agrees with a plain recomputation after any updates")
def placement_index(context):
    actions = st.lists(
        st.tuples(
            st.sampled_from(["update", "remove", "dispatch"]),
            st.integers(0, 3),
            st.sets(st.integers(1, 6), max_size=3),
        ),
        max_size=30,
    )

    @for_all(actions)
    def check(steps):
        made = placement(1, [])
        held = {}
        for number, (kind, index, adapters) in enumerate(steps):
            name, now_s = f"t{index}", float(number)
            if kind == "remove":
                made.remove(name)
                held.pop(name, None)
            elif kind == "update":
                made.update(view(name, resident=adapters, at_s=now_s))
                held[name] = set(adapters)
            elif name in held:
                for adapter in adapters:
                    made.dispatched(name, PlacementRequest("m", adapter), now_s)
                held[name] |= adapters
        assert len(made) == len(held)
        for adapter in range(1, 7):
            holders = {name for name, known in held.items() if adapter in known}
            choice = made.choose(PlacementRequest("m", adapter), float(len(steps)))
            assert (choice is None) == (not held)
            if holders:
                assert choice.target in holders

    check()


@then("placement survives a view without places")
def placement_no_places(context):
    made = placement(1, [])
    made.update(msgspec.structs.replace(view("t0"), batch_places=0))
    assert made.choose(PlacementRequest("m", 1), 0.0) is not None
