"""Steps for the work queue of one target."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.work_queue import QueuedWork, QueueSettings, WorkQueue

CLASSES = {"non-idempotent": 0, "interactive": 1, "deferrable": 2}


def work(name, adapter="a", criticality=1, at_s=0.0, tokens=100.0, **more):
    deadline_s = more.pop("deadline_s", 100.0)
    return QueuedWork(name, adapter, 0, criticality, at_s, deadline_s, tokens, **more)


def parsed(name, text, at_s):
    adapter, kind, *rest = text.split()
    return work(name, adapter, CLASSES[kind], at_s, 5000.0 if rest else 100.0)


@given("work queue of 8 batch slots with {first} then {second}")
def queue_with(context, first, second):
    context.queue = WorkQueue(8)
    assert context.queue.put(parsed("first", first, 0.0), 0.0)
    assert context.queue.put(parsed("second", second, 1.0), 1.0)


@when("work queue is asked for 1 attempt with adapter a loaded")
def queue_take(context):
    context.taken = context.queue.take(1, {"a"}, 2.0)


@then("work queue gave {outcome}")
def queue_gave(context, outcome):
    names = [item.attempt_id for item in context.taken]
    assert names == ([] if outcome == "nothing" else [outcome]), names


@then("work queue serves deferrable work before interactive work 19 s younger")
def queue_serves_old(context):
    queue = WorkQueue(8)
    queue.put(work("old", criticality=2), 0.0)
    queue.put(work("new", at_s=19.0), 19.0)
    assert [item.attempt_id for item in queue.take(1, {"a"}, 19.0)] == ["old"]


@then("work queue with 6 long attempts running in 8 batch slots takes short work only")
def queue_reserve(context):
    queue = WorkQueue(8)
    queue.put(work("long", tokens=5000.0), 0.0)
    queue.put(work("short", at_s=50.0), 50.0)
    taken = queue.take(2, {"a"}, 50.0, running_long=6)
    assert [item.attempt_id for item in taken] == ["short"]
    taken = queue.take(2, {"a"}, 50.0, running_long=5)
    assert [item.attempt_id for item in taken] == ["long"]


@then("work queue holds a loaded adapter back after 4 s, not earlier")
def queue_holds_back(context):
    queue = WorkQueue(8)
    queue.put(work("absent", "c"), 0.0)
    queue.put(work("busy", "a"), 0.0)
    assert queue.adapter_to_hold_back({"a", "b"}, 3.9) is None
    assert queue.adapter_to_hold_back({"a", "b"}, 4.0) == "b"
    assert queue.take(1, {"a"}, 4.0, held_back={"a"}) == []


class ReferenceQueue:
    """A list that is sorted again on every call."""

    def __init__(self, settings):
        self.settings = settings
        self.items = []

    def key(self, item):
        class_delays_s = [
            0,
            self.settings.interactive_delay_s,
            self.settings.deferrable_delay_s,
        ]
        long_delay_s = (
            self.settings.long_delay_s if item.predicted_tokens >= 1000 else 0
        )
        return (
            item.enqueued_s + class_delays_s[item.criticality] + long_delay_s,
            item.attempt_id,
        )

    def take(self, free_slots, loaded, now_s, running_long, suspect):
        taken = []
        for item in sorted(self.items, key=self.key):
            is_long = item.predicted_tokens >= 1000
            if (
                len(taken) < free_slots
                and item.adapter in loaded
                and now_s < item.deadline_s
                and not (item.is_suspect and suspect)
                and not (is_long and running_long >= 6)
            ):
                taken.append(item)
                suspect |= item.is_suspect
                running_long += is_long
        self.items = [item for item in self.items if item not in taken]
        return taken


PUT = st.tuples(
    st.just("put"),
    st.integers(0, 15),
    st.sampled_from("ab"),
    st.integers(0, 2),
    st.sampled_from([10.0, 2000.0]),
    st.integers(1, 12),
    st.booleans(),
)
TAKE = st.tuples(
    st.just("take"), st.integers(0, 4), st.integers(4, 6), st.booleans(), st.booleans()
)
OTHER = st.tuples(st.sampled_from(["cancel", "expired"]), st.integers(0, 15))


def apply_put(queue, reference, args, now_s):
    number, adapter, criticality, tokens, remaining_s, suspect = args
    item = work(
        f"i{number}",
        adapter,
        criticality,
        now_s,
        tokens,
        deadline_s=now_s + remaining_s,
        is_suspect=suspect,
    )
    is_known = any(other.attempt_id == item.attempt_id for other in reference.items)
    is_full = len(reference.items) >= reference.settings.max_length
    assert queue.put(item, now_s) == (not is_known and not is_full)
    if not is_known and not is_full:
        reference.items.append(item)


def apply_other(queue, reference, kind, number, now_s):
    if kind == "cancel":
        expected = [item for item in reference.items if item.attempt_id == f"i{number}"]
        assert queue.cancel(f"i{number}") == (expected[0] if expected else None)
    else:
        expected = [item for item in reference.items if now_s >= item.deadline_s]
        assert queue.remove_expired(now_s) == expected
    reference.items = [item for item in reference.items if item not in expected]


@then("work queue agrees with a reference queue for any events")
def queue_like_reference(context):
    @for_all(st.lists(st.one_of(PUT, TAKE, OTHER), max_size=40))
    def check(events):
        settings = QueueSettings(max_length=6)
        queue, reference = WorkQueue(8, settings), ReferenceQueue(settings)
        for number, (kind, *args) in enumerate(events):
            now_s = float(number)
            if kind == "put":
                apply_put(queue, reference, args, now_s)
            elif kind == "take":
                free_slots, running_long, suspect, both_loaded = args
                loaded = {"a", "b"} if both_loaded else {"a"}
                taken = queue.take(
                    free_slots,
                    loaded,
                    now_s,
                    running_long=running_long,
                    suspect_running=suspect,
                )
                assert taken == reference.take(
                    free_slots, loaded, now_s, running_long, suspect
                )
            else:
                apply_other(queue, reference, kind, args[0], now_s)
            assert len(queue) == len(reference.items)

    check()
