"""Steps for the follower, the publisher and snapshots of the configuration."""

from __future__ import annotations

import json
import random
from datetime import UTC, datetime, timedelta

import msgspec
from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.clock import ManualClock
from lentiltally.config import ChangeItem, ChangeRecord, validate
from lentiltally.config.follower import ConfigFollower
from lentiltally.config.publisher import (
    Accepted,
    Conflicted,
    Publisher,
    SnapshotWriter,
    Unavailable,
)
from lentiltally.config.snapshot import (
    SNAPSHOT_STREAM,
    SnapshotPiece,
    encode_snapshot,
    read_newest_snapshot,
    write_snapshot,
)
from tests.fakes.config_log import FakeLog, SteppedFollower

AT = datetime(2026, 1, 1, tzinfo=UTC)
ADAPTER = {"base_model": "m", "versions": {"1": {"source": "w"}}}
VALUES = st.sampled_from([{"share": 1.0}, {"share": 2.0}, None])
EXPECTED = st.sampled_from(["read", "read", 0, 1, None, None])
ITEMS = st.one_of(
    st.tuples(
        st.sampled_from(["/teams/a/limits", "/teams/b/limits"]), EXPECTED, VALUES
    ),
    st.tuples(st.just("/teams/a/adapters/x"), EXPECTED, st.just(ADAPTER)),
)
APPEND_FAULTS = st.lists(
    st.sampled_from(["no", "no", "written", "dropped"]), max_size=3
)
PROCESS = st.integers(0, 2)
PUBLISH = st.tuples(
    st.just("publish"), PROCESS, st.lists(ITEMS, min_size=1, max_size=2), APPEND_FAULTS
)
OPERATION = st.one_of(
    PUBLISH,
    PUBLISH,
    PUBLISH,
    st.tuples(st.just("duplicate"), st.integers(0, 30)),
    st.tuples(st.just("garbage"), st.sampled_from([1, {"items": []}, "x"])),
    st.tuples(st.sampled_from(["step", "snapshot", "restart"]), PROCESS),
    st.tuples(st.sampled_from(["snapshot", "restart"]), PROCESS),
    st.tuples(st.sampled_from(["truncate", "down", "up", "up"])),
)
# Shorter schedules rarely contain a snapshot, a truncation and a restart in this order.
OPERATIONS = st.lists(OPERATION, min_size=25, max_size=40)


class Cluster:
    """Three processes that share a log; each has a follower and a publisher."""

    def __init__(self):
        self.log = FakeLog()
        self.clock = ManualClock(AT)
        self.snapshot_offset = 0
        self.results = []
        self.change_count = 0
        self.followers = [self.make_follower() for _ in range(3)]
        for index in range(3):
            self.step(index)

    def make_follower(self):
        return ConfigFollower(self.log, self.clock, self)

    def fetch(self, above_offset):
        trees = [f.tree for f in self.followers if f.tree is not None]
        return [encode_snapshot(t) for t in trees if t.offset > above_offset]

    def publish(self, index, items, faults):
        follower = self.followers[index]
        stepped_follower = SteppedFollower(follower)
        follower.step(0)
        if follower.tree is None:
            return
        change_items = []
        for path, expected, value in items:
            entry = follower.tree.get(path)
            revision = entry.revision if entry else 0
            change_items.append(
                ChangeItem(path, revision if expected == "read" else expected, value)
            )
        self.change_count += 1
        change = ChangeRecord(
            f"{self.change_count:032x}", "ann", "-", AT, tuple(change_items)
        )
        self.log.append_faults = list(faults)
        publisher = Publisher(self.log, stepped_follower, self.clock, 1.0)
        self.results.append((change.change_id, publisher.publish(change)))
        self.log.append_faults = []

    def duplicate(self, number):
        """Append a record again, as a delayed retry would."""
        records = self.log.streams.get("config", [])
        if records and not self.log.is_down:
            self.log.append("config", [records[number % len(records)].value])

    def garbage(self, value):
        if not self.log.is_down:
            self.log.append("config", [value])

    def step(self, index):
        before = self.followers[index].offset
        self.followers[index].step(0)
        assert self.followers[index].offset >= before, "the offset decreased"
        self.clock.advance(timedelta(seconds=3))

    def snapshot(self, index):
        tree = self.followers[index].tree
        if tree is not None and not self.log.is_down:
            write_snapshot(self.log, tree)
            self.snapshot_offset = max(self.snapshot_offset, tree.offset)

    def restart(self, index):
        self.followers[index] = self.make_follower()

    def truncate(self):
        self.log.truncate("config", self.snapshot_offset)

    def down(self):
        self.log.is_down = True

    def up(self):
        self.log.is_down = False


def replay(records):
    """Apply every record of the whole log to plain dicts, as a reference.

    Returns (revision, value) by path, and whether each change was accepted by id.
    """
    expected_entries, decisions = {}, {}
    for stored in records:
        try:
            change = msgspec.json.decode(stored.value, type=ChangeRecord)
        except msgspec.DecodeError:
            continue
        if change.change_id in decisions:
            continue
        decisions[change.change_id] = all(
            (item.value is None or not validate(item.path, item.value))
            and item.expected_revision
            in {None, expected_entries.get(item.path, (0,))[0]}
            for item in change.items
        ) and len({item.path for item in change.items}) == len(change.items)
        if decisions[change.change_id]:
            for item in change.items:
                expected_entries.pop(item.path, None)
                if item.value is not None:
                    expected_entries[item.path] = (stored.offset + 1, item.value)
    return expected_entries, decisions


@then(
    "processes agree after random changes, lost answers, outages, truncation"
    " and restarts"
)
def processes_agree(context):
    # Shrinking a failing schedule takes minutes, so it is reported as generated.
    @settings(max_examples=300, phases=[Phase.generate])
    @for_all(OPERATIONS)
    def check(operations):
        cluster = Cluster()
        for name, *arguments in operations:
            getattr(cluster, name)(*arguments)
        cluster.up()
        for index in (0, 1, 2) * 4:
            cluster.step(index)
        expected_entries, decisions = replay(cluster.log.streams.get("config", []))
        for follower in cluster.followers:
            found = {
                path_entry.path: (path_entry.entry.revision, path_entry.entry.value)
                for path_entry in follower.tree.list()
            }
            assert follower.offset == len(cluster.log.streams.get("config", []))
            assert found.keys() == expected_entries.keys()
            for path, (revision, value) in expected_entries.items():
                builtins = json.loads(msgspec.json.encode(found[path][1]))
                assert found[path][0] == revision
                assert value.items() <= builtins.items(), (value, builtins)
            for change_id, accepted in decisions.items():
                assert follower.tree.decision(change_id).accepted == accepted
        for change_id, result in cluster.results:
            if isinstance(result, Accepted):
                assert decisions[change_id] is True
            if isinstance(result, Conflicted):
                assert decisions[change_id] is False
            if isinstance(result, Unavailable):
                assert change_id not in decisions, (
                    "a change reported as unavailable is on the log"
                )

    check()


def limits_change(number, path="/teams/a/limits", expected=None):
    item = ChangeItem(path, expected, {"share": float(number % 900 + 1)})
    return ChangeRecord(f"{number:032x}", "ann", "-", AT, (item,))


def make_publisher(context, log):
    context.log = log
    context.clock = ManualClock(AT)
    context.follower = ConfigFollower(log, context.clock)
    context.follower.step(0)
    stepped_follower = SteppedFollower(context.follower)
    context.publisher = Publisher(log, stepped_follower, context.clock, 1.0)


@given("publisher whose appends have the faults {faults}")
def publisher_with_faults(context, faults):
    make_publisher(context, FakeLog())
    context.log.append_faults = faults.split(",")


@given("publisher whose log goes down after the answer to an append was lost")
def publisher_going_down(context):
    class FailingLog(FakeLog):
        def append(self, stream, values):
            try:
                return super().append(stream, values)
            finally:
                self.is_down = True

    make_publisher(context, FailingLog())
    context.log.append_faults = ["written"]


@given("publisher whose log is down")
def publisher_down(context):
    make_publisher(context, FakeLog())
    context.log.is_down = True


@when("publisher publishes a change")
def publisher_publishes(context):
    context.result = context.publisher.publish(limits_change(1, expected=0))


@when("publisher publishes the same change again with the log available")
def publisher_retries(context):
    context.log.is_down = False
    context.follower.step(0)
    publisher_publishes(context)


@then("publisher reports {result}")
def publisher_reports(context, result):
    name, _, records = result.partition(" and the log has ")
    assert type(context.result).__name__ == name, context.result
    if records:
        expected = int(records.split()[0])
        assert len(context.log.streams.get("config", [])) == expected


@given("follower with a peer at offset 3 and another at offset 2")
def follower_with_peers(context):
    context.log = FakeLog()
    clock = ManualClock(AT)
    peers = [ConfigFollower(context.log, clock) for _ in range(2)]
    for number in range(1, 5):
        context.log.append("config", [limits_change(number)])
        if number == 2:
            peers[0].step(0)
        if number == 3:
            peers[1].step(0)

    class FixedPeers:
        def fetch(self, above_offset):
            return [b"junk", *(encode_snapshot(p.tree) for p in reversed(peers))]

    context.follower = ConfigFollower(context.log, clock, FixedPeers())


@when("follower steps while the log is down")
def follower_steps_down(context):
    context.log.is_down = True
    context.follower.step(0)


@when("follower steps with the log available")
def follower_steps(context):
    context.log.is_down = False
    context.follower.step(0)


@then("follower is {state} at offset {offset:d}")
def follower_is(context, state, offset):
    found = (str(context.follower.state), context.follower.offset)
    assert found == (state, offset), found


@then("follower has no tree and is starting")
def follower_without_tree(context):
    assert context.follower.tree is None and context.follower.state == "starting"


@given("follower that read {read:d} of 6 records, of which {removed:d} were removed")
def follower_cut_off(context, read, removed):
    context.log = FakeLog()
    context.follower = ConfigFollower(context.log, ManualClock(AT))
    context.snapshot_source = ConfigFollower(context.log, ManualClock(AT))
    for number in range(1, 7):
        context.log.append("config", [limits_change(number)])
        if number == read:
            context.follower.step(0)
        if number == 5:
            context.snapshot_source.step(0)
    context.log.truncate("config", removed)


@when("follower finds a snapshot of offset 5")
def follower_finds_snapshot(context):
    write_snapshot(context.log, context.snapshot_source.tree)
    context.follower.step(0)
    context.follower.step(0)


@given("snapshot writer with an empty log")
def snapshot_writer(context):
    context.log = FakeLog()
    context.clock = ManualClock(datetime(1970, 1, 1, tzinfo=UTC))
    context.follower = ConfigFollower(context.log, context.clock)
    context.writer = SnapshotWriter(
        context.log,
        SteppedFollower(context.follower),
        context.clock,
        3600.0,
        random.Random(1),
    )


@then(
    "snapshot writer checks after 1, 2, 501 and 1100 changes and writes"
    " yes, no, yes, yes"
)
def snapshot_writes(context):
    written = []
    for until in (1, 2, 501, 1100):
        while len(context.log.streams.get("config", [])) < until:
            number = len(context.log.streams.get("config", [])) + 1
            context.log.append("config", [limits_change(number)])
        while context.follower.offset < until:
            context.follower.step(0)
        written.append(context.writer.write_if_due())
    assert written == [True, False, True, True], written
    tree = read_newest_snapshot(context.log)
    assert tree.offset == 1100 and tree.list() == context.follower.tree.list()


@then("snapshot reader finds the newest complete snapshot among damaged ones")
def snapshot_reader(context):
    log = FakeLog()
    follower = ConfigFollower(log, ManualClock(AT))
    log.append("config", [limits_change(1)])
    follower.step(0)
    data = encode_snapshot(follower.tree)
    half = len(data) // 2
    pieces = [
        SnapshotPiece("whole", 1, 0, 2, data[:half]),
        SnapshotPiece("cut-off", 9, 1, 3, b"x"),
        SnapshotPiece("whole", 1, 1, 2, data[half:]),
        SnapshotPiece("garbage", 8, 0, 1, b"x"),
        SnapshotPiece("strange", 8, 5, 1, b"x"),
        {"snapshot_id": 3},
    ]
    log.append(SNAPSHOT_STREAM, pieces)
    assert read_newest_snapshot(log).list() == follower.tree.list()
