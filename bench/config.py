"""Time from the acceptance of a configuration change until it is in force everywhere.

Concurrent operators publish changes of the same paths through their own publishers. The
log stand-in loses the answers of some appends and is down for a second. Each process
follows the configuration with the real follower.
"""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from bench._measurement import Measurement
from lentiltally.clock import SystemClock
from lentiltally.config import (
    CONFIG_STREAM,
    Accepted,
    ChangeItem,
    ChangeRecord,
    ConfigFollower,
    ConfigTree,
    Conflicted,
    FollowerThread,
    LimitsConfig,
    Publisher,
    PublishResult,
    decode_change,
    new_change_id,
)
from lentiltally.platform.log_client import (
    AppendResult,
    LogAnswerLost,
    LogClient,
    LogUnavailable,
)
from standins.log_service import LogStandIn

BOUND_S = 4.0
PROCESSES = 12
OPERATORS = 4
CHANGES = 200
PATHS = tuple(f"/teams/team{number}/limits" for number in range(6))
MAX_PAUSE_S = 0.2
LOSS_INTERVAL_S = 0.15
OUTAGE_AFTER_S = 2.0
OUTAGE_S = 1.0
CLIENT_TIMEOUT_S = 2.0
SETTLE_TIMEOUT_S = 15.0


class FaultCountingLogClient(LogClient):
    """A log client that counts the appends that fail."""

    def __init__(self, base_url: str) -> None:
        """Connect to the log with both counts at zero."""
        super().__init__(base_url, CLIENT_TIMEOUT_S, SystemClock())
        self.answers_lost = 0
        self.appends_unavailable = 0

    def append(self, stream: str, values: Sequence[object]) -> AppendResult:
        """Append records and count a failure."""
        try:
            return super().append(stream, values)
        except LogAnswerLost:
            self.answers_lost += 1
            raise
        except LogUnavailable:
            self.appends_unavailable += 1
            raise


@dataclass(slots=True)
class Process:
    """One process with a follower.

    ``applied_trees`` holds each tree that came into force, with its monotonic time.
    """

    log: FaultCountingLogClient
    thread: FollowerThread = field(init=False)
    applied_trees: list[tuple[float, ConfigTree]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Create the follower; it is not started yet."""
        follower = ConfigFollower(self.log, SystemClock())
        self.thread = FollowerThread(follower, self._on_change, long_poll_ms=1000)

    def _on_change(self, tree: ConfigTree) -> None:
        self.applied_trees.append((time.monotonic(), tree))

    def in_force_at_s(self, offset: int) -> float | None:
        """Return when the record at an offset was applied, or None if it never was."""
        for at_s, tree in self.applied_trees:
            if tree.offset > offset:
                return at_s
        return None


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """The result of a change that an operator published, and when it was known."""

    record: ChangeRecord
    result: PublishResult
    at_s: float


def run(seed: int) -> Measurement:
    """Measure 200 changes. Ends within 50 s."""
    stand_in = LogStandIn()
    stand_in.start()
    processes = [
        Process(FaultCountingLogClient(stand_in.url)) for _ in range(PROCESSES)
    ]
    stopping = threading.Event()
    faults = threading.Thread(target=_inject_faults, args=(stand_in, seed, stopping))
    try:
        for process in processes:
            process.thread.start()
        for process in processes:
            process.thread.wait_past(-1, SETTLE_TIMEOUT_S)
        faults.start()
        outcomes = _run_operators(processes, seed)
        stopping.set()
        faults.join()
        end = processes[0].log.bounds(CONFIG_STREAM).next_offset
        for process in processes:
            process.thread.wait_past(end - 1, SETTLE_TIMEOUT_S)
        return _evaluate(seed, processes, outcomes)
    finally:
        stopping.set()
        for process in processes:
            process.thread.stop()
        stand_in.stop()


def _inject_faults(stand_in: LogStandIn, seed: int, stopping: threading.Event) -> None:
    """Lose answers to appends at random times; take the log down once."""
    rng = random.Random(seed)
    start_s = time.monotonic()
    is_outage_over = False
    while not stopping.wait(rng.uniform(0.5, 1.5) * LOSS_INTERVAL_S):
        stand_in.faults.update(b'{"lose_answers": 1}')
        if not is_outage_over and time.monotonic() - start_s > OUTAGE_AFTER_S:
            stand_in.faults.update(b'{"down": true}')
            stopping.wait(OUTAGE_S)
            stand_in.faults.update(b'{"down": false}')
            is_outage_over = True
    stand_in.faults.update(b'{"lose_answers": 0, "down": false}')


def _run_operators(processes: list[Process], seed: int) -> list[ChangeOutcome]:
    outcomes: list[list[ChangeOutcome]] = [[] for _ in range(OPERATORS)]
    workers = [
        threading.Thread(
            target=_run_operator, args=(processes[index], seed, index, outcomes[index])
        )
        for index in range(OPERATORS)
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return [outcome for operator_outcomes in outcomes for outcome in operator_outcomes]


def _run_operator(
    process: Process, seed: int, operator: int, outcomes: list[ChangeOutcome]
) -> None:
    rng = random.Random(seed * 1000 + operator)
    clock = SystemClock()
    publisher = Publisher(process.log, process.thread, clock)
    for number in range(CHANGES // OPERATORS):
        path = rng.choice(PATHS)
        tree = process.thread.tree
        entry = tree.get(path) if tree is not None else None
        # The pause between reading and writing lets changes of operators conflict.
        clock.sleep(timedelta(seconds=rng.uniform(0, MAX_PAUSE_S)))
        value = {"max_concurrent": 1 + number * OPERATORS + operator}
        item = ChangeItem(path, entry.revision if entry else 0, value)
        record = ChangeRecord(
            new_change_id(), f"operator{operator}", "-", clock.now(), (item,)
        )
        outcomes.append(_publish_until_decided(publisher, record))


def _publish_until_decided(publisher: Publisher, record: ChangeRecord) -> ChangeOutcome:
    """Retry with the same change id until the change is accepted or conflicts."""
    deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
    while True:
        result = publisher.publish(record)
        now_s = time.monotonic()
        if isinstance(result, Accepted | Conflicted) or now_s > deadline_s:
            return ChangeOutcome(record, result, now_s)
        time.sleep(0.1)


def _evaluate(
    seed: int, processes: list[Process], outcomes: list[ChangeOutcome]
) -> Measurement:
    accepted = [a for a in outcomes if isinstance(a.result, Accepted)]
    conflicts = sum(isinstance(a.result, Conflicted) for a in outcomes)
    history = _replay(processes[0].log)
    delays = [
        _propagation_delay_s(outcome.at_s, process.in_force_at_s(outcome.result.offset))
        for outcome in accepted
        if isinstance(outcome.result, Accepted)
        for process in processes
    ]
    lost = _count_lost(processes, outcomes, history)
    reverted = sum(_count_reverted(process) for process in processes)
    worst_s = max(delays, default=float("inf"))
    unknown = len(outcomes) - len(accepted) - conflicts
    return Measurement(
        measure="config",
        seed=seed,
        baseline=None,
        value=worst_s,
        bound=BOUND_S,
        holds=worst_s <= BOUND_S and lost == 0 and reverted == 0 and unknown == 0,
        unit="s",
        fields={
            "lost": lost,
            "reverted": reverted,
            "changes": len(outcomes),
            "accepted": len(accepted),
            "conflicts": conflicts,
            "unknown": unknown,
            "processes": len(processes),
            "answers_lost": sum(process.log.answers_lost for process in processes),
            "appends_refused": sum(p.log.appends_unavailable for p in processes),
            "records": processes[0].log.bounds(CONFIG_STREAM).next_offset,
        },
    )


def _propagation_delay_s(accepted_at_s: float, in_force_at_s: float | None) -> float:
    if in_force_at_s is None:
        return float("inf")
    return max(0.0, in_force_at_s - accepted_at_s)


def _replay(log: LogClient) -> dict[int, ChangeRecord]:
    """Return the changes that took effect, by the revision that each one created."""
    revisions: dict[str, int] = {}
    known: set[str] = set()
    effective = {}
    for stored in log.read(CONFIG_STREAM, 0, 10_000, 0).records:
        change = decode_change(stored.value)
        if change is None or change.change_id in known:
            continue
        known.add(change.change_id)
        (item,) = change.items
        if item.expected_revision == revisions.get(item.path, 0):
            revisions[item.path] = stored.offset + 1
            effective[stored.offset + 1] = change
    return effective


def _count_lost(
    processes: list[Process],
    outcomes: list[ChangeOutcome],
    history: dict[int, ChangeRecord],
) -> int:
    """Count results that contradict the log, and values in force that differ."""
    effective = {change.change_id for change in history.values()}
    lost = sum(
        isinstance(outcome.result, Accepted) != (outcome.record.change_id in effective)
        for outcome in outcomes
    )
    newest = {change.items[0].path: revision for revision, change in history.items()}
    for process in processes:
        tree = process.thread.tree
        for path, revision in newest.items():
            entry = tree.get(path) if tree is not None else None
            item = history[revision].items[0]
            assert item.value is not None
            lost += not (
                entry is not None
                and entry.revision == revision
                and isinstance(entry.value, LimitsConfig)
                and entry.value.max_concurrent == item.value["max_concurrent"]
            )
    return lost


def _count_reverted(process: Process) -> int:
    """Count how often a path returned to an earlier revision in a process."""
    reverted = 0
    newest: dict[str, int] = {}
    for _, tree in process.applied_trees:
        for path in PATHS:
            entry = tree.get(path)
            revision = entry.revision if entry else 0
            reverted += revision < newest.get(path, 0)
            newest[path] = max(revision, newest.get(path, 0))
    return reverted
