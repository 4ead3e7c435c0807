"""Configuration (G8) over the fake log: concurrent operators, restarts, snapshots."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime

from msgspec.structs import replace

from bench._guarantees.components import Components
from bench._guarantees.kernel import Kernel, Process
from bench._guarantees.platform import FakeLog
from lentiltally.config.changes import ChangeItem, ChangeRecord
from lentiltally.config.schema import LimitsConfig
from lentiltally.config.snapshot import decode_snapshot, encode_snapshot
from lentiltally.config.tree import Applied, ConfigTree

STREAM = "config"
PATHS = tuple(f"/teams/t{number}/limits" for number in range(3))
IN_FORCE_BOUND_S = 4.0
FOLLOW_INTERVAL_S = 0.3
_CHANGE_TIME = datetime(2024, 1, 1, tzinfo=UTC)


@dataclass(slots=True)
class ReferenceConfiguration:
    """Reference model of the configuration, to which the whole log is applied.

    ``values`` maps each path to its value and revision.
    """

    values: dict[str, tuple[int, int]] = field(default_factory=dict)
    known_change_ids: set[str] = field(default_factory=set)

    def apply(self, record: ChangeRecord, offset: int) -> bool:
        """Apply a record and return whether it took effect."""
        if record.change_id in self.known_change_ids:
            return False
        self.known_change_ids.add(record.change_id)
        item = record.items[0]
        _, revision = self.values.get(item.path, (0, 0))
        if item.expected_revision not in {None, revision}:
            return False
        assert item.value is not None
        self.values[item.path] = (item.value["max_concurrent"], offset + 1)
        return True


class ConfigProcess(Process):
    """One process that follows the configuration and writes snapshots for its peers."""

    def __init__(
        self,
        kernel: Kernel,
        log: FakeLog,
        components: Components,
        snapshots: list[bytes],
    ) -> None:
        """Start from the newest snapshot, or from the start of the stream."""
        super().__init__(kernel)
        self._log = log
        self._snapshots = snapshots
        self._is_reading_changes = False
        self._components = components
        self.tree = decode_snapshot(snapshots[-1]) if snapshots else ConfigTree.empty()
        self.started_at_s = kernel.now_s
        self.applied_at_s: dict[int, float] = {}
        self.call_every(FOLLOW_INTERVAL_S, self._read_changes)

    def import_snapshot(self, snapshot: bytes) -> None:
        """Import a snapshot of a peer, as a process does while the log is down."""
        tree = decode_snapshot(snapshot)
        if tree.offset > self.tree.offset or not self._components.keeps_newer_tree:
            self.tree = tree

    def _read_changes(self) -> None:
        start = self.tree.offset
        records = self._log.read(STREAM, start)
        if not records or self._is_reading_changes:
            return
        self._is_reading_changes = True
        delay_s = self.kernel.rng.uniform(0.002, 0.3)
        self.call_later(delay_s, lambda: self._apply_changes(start, records))

    def _apply_changes(self, start: int, records: list[tuple[object, int]]) -> None:
        self._is_reading_changes = False
        for offset, (record, _) in enumerate(records, start):
            assert isinstance(record, ChangeRecord)
            if offset != self.tree.offset:
                continue
            outcome = self.tree.apply(self._apply_mutations(record, offset), offset)
            self.tree = outcome.tree
            self.applied_at_s.setdefault(offset, self.now_s)
            if isinstance(outcome, Applied) and offset % 5 == 4:
                self._snapshots.append(encode_snapshot(self.tree))

    def _apply_mutations(self, record: ChangeRecord, offset: int) -> ChangeRecord:
        if not self._components.checks_change_ids:
            record = replace(record, change_id=f"{record.change_id}-{offset}")
        if not self._components.checks_revisions:
            items = tuple(replace(i, expected_revision=None) for i in record.items)
            record = replace(record, items=items)
        return record


class Configuration:
    """Followers, operators and the check of G8 in one schedule."""

    def __init__(self, kernel: Kernel, log: FakeLog, components: Components) -> None:
        """Start the processes."""
        self._kernel, self._log, self._components = kernel, log, components
        self._snapshots: list[bytes] = []
        self._numbers = itertools.count(1)
        self._accepted: list[tuple[int, float]] = []
        self._operators = Process(kernel)
        self._processes = [self._start() for _ in range(3)]
        self._violations = 0

    def faults(self) -> list[Callable[[], None]]:
        """Return the faults that a schedule can inject."""
        return [self._restart, self._pause, self._import_peer_snapshot]

    def publish_random_change(self) -> None:
        """Publish a change of a random path, based on the revision in one process."""
        rng = self._kernel.rng
        process = rng.choice(self._processes)
        path, number = rng.choice(PATHS), next(self._numbers)
        entry = process.tree.get(path)
        revision = entry.revision if entry else 0
        expected = None if rng.random() < 0.2 else revision
        item = ChangeItem(path, expected, {"max_concurrent": number})
        record = ChangeRecord(
            f"change-{number}", "operator", "-", _CHANGE_TIME, (item,)
        )
        self._publish(record)

    def check(self) -> int:
        """Return the number of violations of G8 at the end of a schedule."""
        reference = ReferenceConfiguration()
        stored = self._log.records.get(STREAM, [])
        for offset, (record, time_ms) in enumerate(stored):
            assert isinstance(record, ChangeRecord)
            if reference.apply(record, offset):
                self._check_in_force(offset, time_ms / 1000)
        for process in self._processes:
            for path in PATHS:
                entry = process.tree.get(path)
                found = None
                if entry is not None and isinstance(entry.value, LimitsConfig):
                    found = (entry.value.max_concurrent or 0, entry.revision)
                self._violations += found != reference.values.get(path)
        return self._violations

    def _check_in_force(self, offset: int, accepted_at_s: float) -> None:
        until_s = accepted_at_s + IN_FORCE_BOUND_S
        if self._log.was_down_between(accepted_at_s, until_s):
            return
        for process in self._processes:
            applied_at_s = process.applied_at_s.get(offset)
            is_restarted = process.started_at_s > accepted_at_s
            was_paused = process.was_paused_between(accepted_at_s, until_s)
            if applied_at_s is not None and not (is_restarted or was_paused):
                self._violations += applied_at_s > until_s

    def _publish(self, record: ChangeRecord) -> None:
        def on_answer(offset: int | None) -> None:
            if offset is None:
                # The record may be in the log already; its change id keeps it from
                # taking effect twice.
                self._operators.call_later(1.0, lambda: self._publish(record))

        self._log.append(self._operators, STREAM, [record], on_answer)

    def _start(self) -> ConfigProcess:
        return ConfigProcess(self._kernel, self._log, self._components, self._snapshots)

    def _restart(self) -> None:
        index = self._kernel.rng.randrange(len(self._processes))
        self._processes[index].is_dead = True
        self._processes[index] = self._start()

    def _pause(self) -> None:
        process = self._kernel.rng.choice(self._processes)
        process.pause(self._kernel.rng.uniform(0.5, 8.0))

    def _import_peer_snapshot(self) -> None:
        """Let a process import a snapshot of a peer, which may be outdated."""
        if self._snapshots:
            snapshot = self._kernel.rng.choice(self._snapshots)
            process = self._kernel.rng.choice(self._processes)
            previous_offset = process.tree.offset
            process.import_snapshot(snapshot)
            self._violations += process.tree.offset < previous_offset
