"""Steps for the placement of attempts."""

from __future__ import annotations

import random

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.placement import Placement, PlacementRequest, TargetView


def view(name, batch_slots=16, running=0, resident=(), at_s=0.0):
    return TargetView(
        name,
        "a",
        "m",
        f"agent-{name}",
        batch_slots,
        8,
        0,
        running,
        frozenset(resident),
        at_s,
    )


def placement(seed, names, batch_slots=16, loads=None):
    chooser = Placement(random.Random(seed))
    for name in names:
        chooser.update(view(name, batch_slots, (loads or {}).get(name, 0)))
    return chooser


def names_of(count):
    return [f"t{number}" for number in range(count)]


@given("placement has {count:d} targets with {batch_slots:d} batch slots")
def placement_has(context, count, batch_slots):
    context.placement = placement(1, names_of(count), batch_slots)


@given("placement target {name} has adapter 7 loaded and has {load:d} attempts")
def placement_loaded(context, name, load):
    context.loaded_target = name
    context.placement.update(view(name, 16, load, {7}, 1.0))


@when("placement places adapter 7")
def placement_places(context):
    context.choice = context.placement.choose(PlacementRequest("m", 7), 2.0)


@then("placement chose target {name}")
def placement_chose(context, name):
    assert (context.choice.target, context.choice.reason) == (name, "resident")


@then("placement chose another target")
def placement_chose_other(context):
    assert context.choice.target != context.loaded_target
    assert context.choice.reason == "cold"


@then(
    "placement of 10 entries with different views puts 300 cold adapters on few targets"
)
def placement_cold_adapters(context):
    rng = random.Random(5)
    names = names_of(13)
    entries = [
        placement(seed, names, 16, {name: rng.randrange(4) for name in names})
        for seed in range(10)
    ]
    used = 0
    for adapter in range(1, 301):
        request = PlacementRequest("m", adapter)
        used += len({entry.choose(request, 1.0).target for entry in entries})
    # Random choices would use about 7.2 targets per adapter.
    assert used / 300 <= 2.0, used / 300


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
            request = PlacementRequest("m", rng.randrange(1, 10_000))
            chosen = entry.choose(request, 1.0).target
            entry.dispatched(chosen, request, 1.0)
            taken[chosen] += 1
    assert max(taken.values()) <= 2 * 130 / 13, taken


@then("placement finds no target once both are full or excluded")
def placement_full(context):
    chooser = context.placement
    request = PlacementRequest("m", 0, excluded=frozenset({"t0"}))
    for _ in range(5):
        chooser.dispatched("t1", request, 1.0)
    assert chooser.choose(request, 1.0) is None
    assert chooser.choose(PlacementRequest("m", 0), 1.0).target == "t0"
    assert chooser.choose(PlacementRequest("other", 0), 1.0) is None


EVENTS = st.lists(
    st.tuples(st.sampled_from(["send", "end", "report"]), st.integers(0, 9)),
    max_size=40,
)


@then("placement counts agree with a reference count for any events")
def placement_counts(context):
    @for_all(EVENTS)
    def check(events):
        chooser = placement(1, ["t0"])
        history = []
        open_attempts = reported = 0
        newest_s = 0.0
        for number, (kind, value) in enumerate(events, start=1):
            now_s = float(number)
            if kind == "report":
                at_s = now_s - value
                chooser.update(view("t0", running=value, at_s=at_s))
                if at_s >= newest_s:
                    newest_s, reported = at_s, value
            elif kind == "send" or open_attempts:
                change = 1 if kind == "send" else -1
                open_attempts += change
                history.append((now_s, change))
                if change > 0:
                    chooser.dispatched("t0", PlacementRequest("m", 0), now_s)
                else:
                    chooser.finished("t0", now_s)
            uncovered = sum(change for at, change in history if at > newest_s)
            assert chooser.attempt_count("t0") == max(
                reported + uncovered, open_attempts, 0
            )

    check()


@then("placement index agrees with a reference index after any updates")
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
        chooser = placement(1, [])
        loaded = {}
        for number, (kind, index, adapters) in enumerate(steps):
            name, now_s = f"t{index}", float(number)
            if kind == "remove":
                chooser.remove(name)
                loaded.pop(name, None)
            elif kind == "update":
                chooser.update(view(name, resident=adapters, at_s=now_s))
                loaded[name] = set(adapters)
            elif name in loaded:
                for adapter in adapters:
                    chooser.dispatched(name, PlacementRequest("m", adapter), now_s)
                loaded[name] |= adapters
        assert len(chooser) == len(loaded)
        for adapter in range(1, 7):
            loaded_targets = {
                name for name, known in loaded.items() if adapter in known
            }
            choice = chooser.choose(PlacementRequest("m", adapter), float(len(steps)))
            assert (choice is None) == (not loaded)
            if loaded_targets:
                assert choice.target in loaded_targets

    check()


@then("placement accepts a view without batch slots")
def placement_no_batch_slots(context):
    chooser = placement(1, [])
    chooser.update(msgspec.structs.replace(view("t0"), batch_places=0))
    assert chooser.choose(PlacementRequest("m", 1), 0.0) is not None
