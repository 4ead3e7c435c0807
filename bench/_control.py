"""Costs of control work in one process, as slopes over three sizes."""

from __future__ import annotations

import functools
import gc
import random
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime

import msgspec

from bench._costs import slope
from lentiltally.config import (
    ChangeItem,
    ChangeRecord,
    ConfigTree,
    encode_change,
    new_change_id,
)
from lentiltally.decisions.claims import ClaimRecord, ClaimTable, OutcomeRecord
from lentiltally.decisions.load_permits import LoadRelease, LoadRequest
from lentiltally.decisions.membership import Membership
from lentiltally.decisions.placement import Placement, TargetView
from lentiltally.ids import AttemptIds, new_incarnation
from lentiltally.wire import (
    Heartbeat,
    Hello,
    Message,
    Progress,
    TargetCounts,
    TargetState,
    encode,
)
from lentiltally.wire import decode as decode_frame

ADAPTERS = (3_000, 30_000, 100_000)
TARGETS = (13, 200, 950)
CLAIMS = (1_000, 10_000, 50_000)
BEATS = (1_000, 4_000, 16_000)
BATCH = 1_000
START = datetime(2026, 1, 1, tzinfo=UTC)


def cpu_slope(sizes: tuple[int, ...], work: Callable[[int], object]) -> float:
    """Return the processor time of ``work`` per unit of its size, in us."""
    points = []
    for size in sizes:
        started_s = time.process_time()
        work(size)
        points.append((float(size), (time.process_time() - started_s) * 1e6))
    return slope(points)


def memory_slope(sizes: tuple[int, ...], work: Callable[[int], object]) -> float:
    """Return the memory that the result of ``work`` holds per unit, in bytes."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        held = work(size)
        gc.collect()
        points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del held
    return slope(points)


def change(paths: list[str]) -> ChangeRecord:
    """Return a change that creates adapters at the paths."""
    value = {"base_model": "m", "versions": {"1": {"source": "weights/adapter/1"}}}
    return ChangeRecord(
        change_id=new_change_id(),
        author="operator",
        source_address="127.0.0.1",
        at=START,
        items=tuple(ChangeItem(path, 0, value) for path in paths),
    )


def tree(adapters: int) -> ConfigTree:
    """Return a tree with this many adapters."""
    built = ConfigTree.empty()
    for offset, start in enumerate(range(0, adapters, BATCH)):
        numbers = range(start, min(adapters, start + BATCH))
        record = change([f"/teams/t{n % 50}/adapters/a{n}" for n in numbers])
        built = built.apply(record, offset).tree
    return built


def single_changes(count: int) -> ConfigTree:
    """Apply single changes to a tree of 100,000 adapters, as operators make them."""
    built = large_tree()
    for number in range(count):
        built = built.apply(
            change([f"/teams/new/adapters/b{number}"]), built.offset
        ).tree
    return built


@functools.cache
def large_tree() -> ConfigTree:
    """Return a tree with the greatest number of adapters, built once."""
    return tree(ADAPTERS[-1])


def state(number: int, sequence: int) -> TargetState:
    """Return a state as an agent sends it, with eight resident adapters."""
    return TargetState(
        agent=f"agent-{number // 4}",
        agent_address=f"tcp://10.0.{number // 256}.{number % 256}:7000",
        agent_incarnation="0123456789abcdef",
        sequence=sequence,
        target=f"engine-{number}",
        kind="engine",
        base_model=f"base-{number % 6}",
        failure_domain=f"domain-{number % 4}",
        status="live",
        reason="",
        engine_incarnation="fedcba9876543210",
        counts=TargetCounts(3, 12, 2),
        batch_places=16,
        adapter_slots=8,
        resident=tuple(random.Random(number).getrandbits(64) for _ in range(8)),
    )


def apply_states(targets: int) -> tuple[Membership, Placement]:
    """Decode and apply one state of each target, as an entry does."""
    membership, placement = Membership(), Placement(random.Random(1))
    for number in range(targets):
        for message in decode_frame(encode([state(number, 1)])):
            assert isinstance(message, TargetState)
            membership.apply_state(message, 0.0)
            placement.update(_view(message))
    return membership, placement


def apply_beats(count: int) -> Membership:
    """Decode and apply heartbeats, as an entry does."""
    membership, _ = apply_states(4)
    for _ in range(count):
        beat = Heartbeat("agent-0", "0123456789abcdef", 1, 123_456)
        for message in decode_frame(encode([beat])):
            assert isinstance(message, Heartbeat)
            membership.record_contact(message.agent, 0.0)
    return membership


def _view(message: TargetState) -> TargetView:
    return TargetView(
        name=message.target,
        failure_domain=message.failure_domain,
        base_model=message.base_model,
        agent=message.agent,
        batch_places=message.batch_places,
        adapter_slots=message.adapter_slots,
        queued=message.counts.queued,
        running=message.counts.running,
        resident=frozenset(message.resident),
        reported_at_s=0.0,
    )


def claim(number: int) -> ClaimRecord:
    """Return a claim as an entry appends it."""
    return ClaimRecord(
        team="listdesk",
        key=f"booking-{number:012d}",
        body_digest=b"0123456789abcdef",
        claim_id=f"0123456789abcdef-{number}",
        target="engine-1",
        agent="agent-1",
        agent_incarnation="fedcba9876543210",
    )


def claims(count: int) -> ClaimTable:
    """Return a table with this many open claims."""
    table = ClaimTable()
    for number in range(count):
        table.apply(claim(number), number, number)
    return table


def sizes() -> dict[str, int]:
    """Return the encoded sizes of control messages and records in bytes."""
    ids = AttemptIds(new_incarnation())
    messages: dict[str, list[Message]] = {
        "hello_bytes": [
            Hello("entry-1", "0123456789abcdef", "tcp://10.0.0.1:7000", "domain-1")
        ],
        "heartbeat_bytes": [Heartbeat("agent-1", "0123456789abcdef", 1234, 123_456)],
        "state_bytes": [state(1, 1)],
        "progress_bytes_16": [
            Progress("agent-1", "0123456789abcdef", {ids.next(): 9 for _ in range(16)})
        ],
    }
    found = {name: len(encode(frame)) for name, frame in messages.items()}
    outcome = OutcomeRecord(
        "listdesk",
        "booking-000000000001",
        "0123456789abcdef-1",
        "yes",
        200,
        "application/json",
        b"x" * 400,
    )
    records: dict[str, object] = {
        "claim_record_bytes": claim(1),
        "outcome_record_bytes": outcome,
        "load_records_bytes": [
            LoadRequest("0123456789abcdef", "agent-1"),
            LoadRelease("0123456789abcdef"),
        ],
    }
    found |= {
        name: len(msgspec.json.encode(record)) for name, record in records.items()
    }
    found["change_record_bytes"] = len(encode_change(change(["/teams/t/adapters/a"])))
    return found
