"""Steps for the permits for adapter loads."""

from __future__ import annotations

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies as st

from lentiltally.decisions.load_permits import (
    LoadPermits,
    LoadRelease,
    LoadRenewal,
    LoadRequest,
    PermitSettings,
    StaticShare,
)

# With whole seconds everywhere the bucket holds a whole number of tokens each second.
SMALL = PermitSettings(max_in_flight=2, max_per_s=1.0, burst=2.0, expiry_s=3.0)
KINDS = {
    "request": lambda name: LoadRequest(name, "agent"),
    "release": LoadRelease,
    "renew": LoadRenewal,
}
RECORDS = st.lists(
    st.tuples(
        st.sampled_from(sorted(KINDS)), st.sampled_from("abcdef"), st.integers(0, 2)
    ),
    max_size=25,
)


class ReferencePermits:
    """Simulates every second, with the limits of SMALL."""

    def __init__(self):
        self.second = 0
        self.tokens = 2
        self.waiting, self.granted = [], {}

    def grant(self):
        while self.waiting and self.tokens and len(self.granted) < 2:
            self.granted[self.waiting.pop(0)] = self.second
            self.tokens -= 1

    def advance(self, second):
        while self.second < second:
            self.second += 1
            self.tokens = min(2, self.tokens + 1)
            self.granted = {
                name: at for name, at in self.granted.items() if at + 3 > self.second
            }
            self.grant()

    def apply(self, kind, name):
        if kind == "request":
            if name not in self.granted and name not in self.waiting:
                self.waiting.append(name)
        elif kind == "renew":
            if name in self.granted:
                self.granted[name] = self.second
        else:
            self.granted.pop(name, None)
            if name in self.waiting:
                self.waiting.remove(name)
        self.grant()


@then("load permits agree with a reference table for any records")
def permits_like_reference(context):
    @for_all(RECORDS)
    def check(records):
        table, reference, second = LoadPermits(SMALL), ReferencePermits(), 0
        for offset, (kind, name, elapsed) in enumerate(records):
            second += elapsed
            table.apply(KINDS[kind](name), offset, float(second))
            if offset == 0:
                reference.second = second
            reference.advance(second)
            reference.apply(kind, name)
            assert table.grants(float(second)) == reference.granted
            assert len(reference.granted) <= 2
            assert table.waiting() == len(reference.waiting)

    check()


@then("load permits don't depend on when they are read")
def permits_reads(context):
    @for_all(RECORDS, st.integers(0, 5))
    def check(records, ahead):
        read, unread, second = LoadPermits(SMALL), LoadPermits(SMALL), 0
        for offset, (kind, name, elapsed) in enumerate(records):
            second += elapsed
            for table in (read, unread):
                table.apply(KINDS[kind](name), offset, float(second))
            due_s = read.next_change_s()
            if due_s is not None:
                assert len(read.grants(due_s)) > 0
            read.grants(float(second + ahead))
        assert read.grants(second + 1.0) == unread.grants(second + 1.0)

    check()


@given("load permits with 1 permit held by a")
def permits_held(context):
    context.tables = []
    for renews in (False, True):
        table = LoadPermits(PermitSettings(max_in_flight=1))
        table.apply(LoadRequest("a", "x"), 0, 0.0)
        table.apply(LoadRequest("b", "y"), 1, 0.1)
        if renews:
            table.apply(LoadRenewal("a"), 2, 1.5)
        context.tables.append(table)


@then("load permits grant b at 2 s, or at 3.5 s if a renews at 1.5 s")
def permits_expire(context):
    for table, due_s in zip(context.tables, (2.0, 3.5), strict=True):
        assert table.next_change_s() == due_s
        assert list(table.grants(due_s - 0.01)) == ["a"]
        assert list(table.grants(due_s)) == ["b"]


@then("load permits of records read twice are those of records read once")
def permits_twice(context):
    table = LoadPermits()
    for _ in range(2):
        table.apply(LoadRequest("a", "x"), 0, 0.0)
        table.apply(LoadRelease("a"), 1, 0.1)
    assert table.grants(0.2) == {}


@then("static share of 13 agents starts at most 58 loads in 10 s")
def static_share(context):
    started = 0
    for _ in range(13):
        share = StaticShare(13)
        for step in range(100):
            name = str(step)
            if share.try_start(name, step / 10):
                started += 1
                share.ended(name, step / 10 + 0.25)
    # Every agent may start its first load at once; 4.5 loads/s allow 45 more.
    assert 13 < started <= 13 + 45, started
