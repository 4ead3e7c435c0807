"""Costs of control-plane work in one process, as slopes over three sizes."""

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
HEARTBEATS = (1_000, 4_000, 16_000)
ADAPTERS_PER_RECORD = 1_000
CHANGE_TIME = datetime(2026, 1, 1, tzinfo=UTC)


def cpu_slope(sizes: tuple[int, ...], work: Callable[[int], object]) -> float:
    """Return the processor time of ``work`` per unit of size, in microseconds."""
    points = []
    for size in sizes:
        started_s = time.process_time()
        work(size)
        points.append((float(size), (time.process_time() - started_s) * 1e6))
    return slope(points)


def memory_slope(sizes: tuple[int, ...], work: Callable[[int], object]) -> float:
    """Return the memory taken by the result of ``work`` per unit of size, in bytes."""
    points = []
    for size in sizes:
        gc.collect()
        tracemalloc.start()
        result = work(size)
        gc.collect()
        points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del result
    return slope(points)


def adapter_change(paths: list[str]) -> ChangeRecord:
    """Return a configuration change that creates adapters at the paths."""
    value = {"base_model": "m", "versions": {"1": {"source": "weights/adapter/1"}}}
    return ChangeRecord(
        change_id=new_change_id(),
        author="operator",
        source_address="127.0.0.1",
        at=CHANGE_TIME,
        items=tuple(ChangeItem(path, 0, value) for path in paths),
    )


def config_tree(adapters: int) -> ConfigTree:
    """Return a configuration tree with this many adapters."""
    tree = ConfigTree.empty()
    for offset, start in enumerate(range(0, adapters, ADAPTERS_PER_RECORD)):
        numbers = range(start, min(adapters, start + ADAPTERS_PER_RECORD))
        record = adapter_change([f"/teams/t{n % 50}/adapters/a{n}" for n in numbers])
        tree = tree.apply(record, offset).tree
    return tree


def apply_single_changes(count: int) -> ConfigTree:
    """Apply operator changes of one adapter each to the largest tree."""
    tree = largest_config_tree()
    for number in range(count):
        tree = tree.apply(
            adapter_change([f"/teams/new/adapters/b{number}"]), tree.offset
        ).tree
    return tree


@functools.cache
def largest_config_tree() -> ConfigTree:
    """Return the tree with the largest number of adapters; it is built only once."""
    return config_tree(ADAPTERS[-1])


def target_state(number: int, sequence: int) -> TargetState:
    """Return a state report as an agent sends it, with eight loaded adapters."""
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
    """Decode and apply one state report of each target, as an entry does."""
    membership, placement = Membership(), Placement(random.Random(1))
    for number in range(targets):
        for message in decode_frame(encode([target_state(number, 1)])):
            assert isinstance(message, TargetState)
            membership.apply_state(message, 0.0)
            placement.update(_view(message))
    return membership, placement


def apply_heartbeats(count: int) -> Membership:
    """Decode and apply heartbeats of one agent, as an entry does."""
    membership, _ = apply_states(4)
    for _ in range(count):
        heartbeat = Heartbeat("agent-0", "0123456789abcdef", 1, 123_456)
        for message in decode_frame(encode([heartbeat])):
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


def claim_record(number: int) -> ClaimRecord:
    """Return a claim record as an entry appends it."""
    return ClaimRecord(
        team="listdesk",
        key=f"booking-{number:012d}",
        body_digest=b"0123456789abcdef",
        claim_id=f"0123456789abcdef-{number}",
        target="engine-1",
        agent="agent-1",
        agent_incarnation="fedcba9876543210",
    )


def claim_table(count: int) -> ClaimTable:
    """Return a claim table with this many open claims."""
    table = ClaimTable()
    for number in range(count):
        table.apply(claim_record(number), number, number)
    return table


def measure_encoded_sizes() -> dict[str, int]:
    """Return the sizes of encoded control messages and records, in bytes."""
    ids = AttemptIds(new_incarnation())
    messages: dict[str, list[Message]] = {
        "hello_bytes": [
            Hello("entry-1", "0123456789abcdef", "tcp://10.0.0.1:7000", "domain-1")
        ],
        "heartbeat_bytes": [Heartbeat("agent-1", "0123456789abcdef", 1234, 123_456)],
        "state_bytes": [target_state(1, 1)],
        "progress_bytes_16": [
            Progress("agent-1", "0123456789abcdef", {ids.next(): 9 for _ in range(16)})
        ],
    }
    encoded_sizes_bytes = {name: len(encode(frame)) for name, frame in messages.items()}
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
        "claim_record_bytes": claim_record(1),
        "outcome_record_bytes": outcome,
        "load_records_bytes": [
            LoadRequest("0123456789abcdef", "agent-1"),
            LoadRelease("0123456789abcdef"),
        ],
    }
    encoded_sizes_bytes |= {
        name: len(msgspec.json.encode(record)) for name, record in records.items()
    }
    encoded_sizes_bytes["change_record_bytes"] = len(
        encode_change(adapter_change(["/teams/t/adapters/a"]))
    )
    return encoded_sizes_bytes
