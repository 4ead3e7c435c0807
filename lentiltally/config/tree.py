"""The configuration tree, and the rules by which change records modify it."""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Iterator, Sequence
from types import GenericAlias
from typing import Any, TypeVar, get_type_hints

import msgspec

from lentiltally.config._packed_map import BATCH_ITEMS, PackedMap
from lentiltally.config._recent_decisions import Decision, RecentDecisions
from lentiltally.config.changes import MUST_NOT_EXIST, ChangeItem, ChangeRecord
from lentiltally.config.schema import (
    VALUE_TYPES,
    AdapterConfig,
    ConfigInvalidError,
    ConfigPath,
    ConfigProblem,
    ConfigValue,
    Kind,
    LimitsConfig,
    LoadsConfig,
    ServiceConfig,
    TargetConfig,
    convert_value,
    parse_path,
)

_ValueT = TypeVar("_ValueT", bound=ConfigValue)


class Entry(msgspec.Struct, frozen=True):
    """The value at a path and its revision; not related to the entry daemon.

    The revision is the offset of the record that set the value, plus one. It is
    therefore never 0, not even for the first record of a log; as an expected revision,
    0 means that the path must not exist.
    """

    value: ConfigValue
    revision: int


class PathEntry(msgspec.Struct, frozen=True):
    """A path with its entry."""

    path: str
    entry: Entry

    @property
    def value(self) -> ConfigValue:
        """Return the value at the path."""
        return self.entry.value

    @property
    def revision(self) -> int:
        """Return the revision of the path."""
        return self.entry.revision


class Mismatch(msgspec.Struct, frozen=True):
    """A path whose revision is not the expected one.

    ``current`` is the entry at the path, or None if the path does not exist.
    """

    path: str
    expected_revision: int
    current: Entry | None


class _Outcome(msgspec.Struct, frozen=True):
    """The result of applying the record at an offset; ``tree`` is the tree after it."""

    tree: ConfigTree
    change_id: str
    offset: int


class Applied(_Outcome, frozen=True):
    """The change took effect; ``before`` holds the former entry of each item."""

    before: tuple[Entry | None, ...]


class Conflict(_Outcome, frozen=True):
    """Nothing changed, because some path had another revision."""

    mismatches: tuple[Mismatch, ...]


class Duplicate(_Outcome, frozen=True):
    """Nothing changed, because a record with the same change id was already decided.

    ``first`` is the decision on that record.
    """

    first: Decision


class Invalid(_Outcome, frozen=True):
    """Nothing changed, because the record violates the schema."""

    problems: tuple[ConfigProblem, ...]


Outcome = Applied | Conflict | Duplicate | Invalid


class ConfigTree:
    """All configuration in force at one offset; immutable.

    ``offset`` is the offset of the next record to apply: every record below it has been
    decided. Applying a record returns a new tree that shares all unchanged data, so old
    trees are cheap to keep, and readers in other threads need no lock.
    """

    __slots__ = ("_decisions", "_entries_by_kind", "_team_path_counts", "offset")

    def __init__(
        self,
        offset: int,
        entries_by_kind: dict[Kind, PackedMap],
        team_path_counts: dict[str, int],
        decisions: RecentDecisions,
    ) -> None:
        """Use ``empty`` or ``from_entries`` instead.

        ``team_path_counts`` holds the number of paths of each team that has any.
        """
        self.offset = offset
        self._entries_by_kind = entries_by_kind
        self._team_path_counts = team_path_counts
        self._decisions = decisions

    @classmethod
    def empty(cls, offset: int = 0) -> ConfigTree:
        """Return a tree without entries at an offset."""
        return cls.from_entries(offset, (), RecentDecisions.empty())

    @classmethod
    def from_entries(
        cls, offset: int, entries: Iterable[PathEntry], decisions: RecentDecisions
    ) -> ConfigTree:
        """Return a tree of the entries; raises ConfigInvalidError for a bad path."""
        entries_by_kind = {kind: PackedMap.from_items(()) for kind in Kind}
        team_path_counts: dict[str, int] = {}
        remaining = iter(entries)
        while batch := list(itertools.islice(remaining, BATCH_ITEMS)):
            packed: dict[Kind, dict[str, bytes | None]] = {}
            for path_entry in batch:
                path = parse_path(path_entry.path)
                packed.setdefault(path.kind, {})[path.key] = _pack(path_entry.entry)
                _adjust_path_count(team_path_counts, path, 1)
            for kind, entries_of_kind in packed.items():
                entries_by_kind[kind] = entries_by_kind[kind].with_changes(
                    entries_of_kind
                )
        return cls(offset, entries_by_kind, team_path_counts, decisions)

    @property
    def path_count(self) -> int:
        """Return the number of paths.

        Not defined as ``__len__``, which would make an empty tree falsy.
        """
        return sum(map(len, self._entries_by_kind.values()))

    @property
    def decisions(self) -> RecentDecisions:
        """Return the decisions on recent changes."""
        return self._decisions

    def decision(self, change_id: str) -> Decision | None:
        """Return the decision on a change, or None if it is not a recent one."""
        return self._decisions.get(change_id, self.offset)

    def get(self, path: str | ConfigPath) -> Entry | None:
        """Return the entry at a path; raises ConfigInvalidError for a bad path."""
        parsed = parse_path(path) if isinstance(path, str) else path
        data = self._entries_by_kind[parsed.kind].get(parsed.key)
        return None if data is None else _unpack(parsed.kind, data)

    def items(self) -> Iterator[PathEntry]:
        """Return all entries, in no particular order."""
        for path, data in self._packed_entries():
            yield PathEntry(str(path), _unpack(path.kind, data))

    def list(self, prefix: str = "/") -> Sequence[PathEntry]:
        """Return the entries at a path and below it, sorted by path."""
        stem = prefix.rstrip("/")
        try:
            exact = parse_path(stem)
        except ConfigInvalidError:
            found = [
                PathEntry(str(path), _unpack(path.kind, data))
                for path, data in self._packed_entries()
                if not stem or f"{path}/".startswith(f"{stem}/")
            ]
            return sorted(found, key=lambda path_entry: path_entry.path)
        entry = self.get(exact)
        return [] if entry is None else [PathEntry(stem, entry)]

    def adapter(self, team: str, name: str) -> AdapterConfig | None:
        """Return an adapter of a team, or None if there is none."""
        return self._value(Kind.ADAPTER, f"{team}/{name}", AdapterConfig)

    def service(self, team: str, name: str) -> ServiceConfig | None:
        """Return a plain service of a team, or None if there is none."""
        return self._value(Kind.SERVICE, f"{team}/{name}", ServiceConfig)

    def limits(self, team: str) -> LimitsConfig:
        """Return a team's limits, or the defaults if none are set."""
        return self._value(Kind.LIMITS, team, LimitsConfig) or LimitsConfig()

    def target(self, name: str) -> TargetConfig | None:
        """Return a target, or None if there is none."""
        return self._value(Kind.TARGET, name, TargetConfig)

    def targets(self) -> dict[str, TargetConfig]:
        """Return all targets by name."""
        found = {}
        for name, data in self._entries_by_kind[Kind.TARGET].items():
            value = _unpack(Kind.TARGET, data).value
            assert isinstance(value, TargetConfig)
            found[name] = value
        return found

    def loads(self) -> LoadsConfig:
        """Return the weight store's limits, or the defaults if none are set."""
        return self._value(Kind.LOADS, "", LoadsConfig) or LoadsConfig()

    def teams(self) -> frozenset[str]:
        """Return the teams that have at least one path."""
        return frozenset(self._team_path_counts)

    def skip(self, offset: int) -> ConfigTree:
        """Return the tree after an undecodable or duplicate record."""
        self._require_next_offset(offset)
        return ConfigTree(
            offset + 1, self._entries_by_kind, self._team_path_counts, self._decisions
        )

    @staticmethod
    def check(record: ChangeRecord) -> Sequence[ConfigProblem]:
        """Return the problems that make a record invalid on any tree."""
        problems = []
        for item in record.items:
            try:
                _parse_item(item)
            except ConfigInvalidError as error:
                problems += error.problems
        paths = [item.path for item in record.items]
        if len(set(paths)) < len(paths):
            problems.append(ConfigProblem("", "", "items", "a path occurs twice"))
        return problems

    def mismatches(self, items: Iterable[ChangeItem]) -> tuple[Mismatch, ...]:
        """Return a mismatch for each item whose expected revision is wrong."""
        found = []
        for item in items:
            current = self.get(item.path)
            revision = current.revision if current else MUST_NOT_EXIST
            if item.expected_revision not in {None, revision}:
                found.append(Mismatch(item.path, item.expected_revision or 0, current))
        return tuple(found)

    def apply(self, record: ChangeRecord, offset: int) -> Outcome:
        """Accept or reject the record at an offset, which must be the next one.

        The result depends only on the tree and the record, so that every process
        decides alike.
        """
        self._require_next_offset(offset)
        first = self.decision(record.change_id)
        if first is not None:
            return Duplicate(self.skip(offset), record.change_id, offset, first)
        problems = self.check(record)
        mismatches = () if problems else self.mismatches(record.items)
        accepted = not problems and not mismatches
        decisions = self._decisions.with_decision(
            record.change_id, Decision(offset, accepted)
        )
        if not accepted:
            tree = ConfigTree(
                offset + 1, self._entries_by_kind, self._team_path_counts, decisions
            )
            if problems:
                return Invalid(tree, record.change_id, offset, tuple(problems))
            return Conflict(tree, record.change_id, offset, mismatches)
        before = tuple(self.get(item.path) for item in record.items)
        tree = self._with_items(record.items, offset + 1, decisions)
        return Applied(tree, record.change_id, offset, before)

    def _with_items(
        self, items: Iterable[ChangeItem], revision: int, decisions: RecentDecisions
    ) -> ConfigTree:
        changes: dict[Kind, dict[str, bytes | None]] = {}
        team_path_counts = dict(self._team_path_counts)
        for item in items:
            path, value = _parse_item(item)
            existed = self._entries_by_kind[path.kind].get(path.key) is not None
            _adjust_path_count(
                team_path_counts, path, int(value is not None) - int(existed)
            )
            packed = None if value is None else _pack(Entry(value, revision))
            changes.setdefault(path.kind, {})[path.key] = packed
        entries_by_kind = dict(self._entries_by_kind)
        for kind, changed in changes.items():
            entries_by_kind[kind] = entries_by_kind[kind].with_changes(changed)
        return ConfigTree(revision, entries_by_kind, team_path_counts, decisions)

    def _packed_entries(self) -> Iterator[tuple[ConfigPath, bytes]]:
        for kind, packed_map in self._entries_by_kind.items():
            for key, data in packed_map.items():
                yield ConfigPath(kind, key), data

    def _value(self, kind: Kind, key: str, value_type: type[_ValueT]) -> _ValueT | None:
        data = self._entries_by_kind[kind].get(key)
        if data is None:
            return None
        value = _unpack(kind, data).value
        assert isinstance(value, value_type)
        return value

    def _require_next_offset(self, offset: int) -> None:
        if offset != self.offset:
            raise ValueError(
                f"expected the record at offset {self.offset}, got offset {offset}"
            )


def _parse_item(item: ChangeItem) -> tuple[ConfigPath, ConfigValue | None]:
    path = parse_path(item.path)
    return path, None if item.value is None else convert_value(path, item.value)


def _adjust_path_count(
    team_path_counts: dict[str, int], path: ConfigPath, difference: int
) -> None:
    if not path.team:
        return
    count = team_path_counts.get(path.team, 0) + difference
    if count:
        team_path_counts[path.team] = count
    else:
        team_path_counts.pop(path.team, None)


def _pack(entry: Entry) -> bytes:
    """Encode without field names, which would take half of the memory."""
    fields = msgspec.structs.astuple(entry.value)
    return _ENCODER.encode((entry.revision, *fields))


def _unpack(kind: Kind, data: bytes) -> Entry:
    revision, *fields = _DECODERS[kind].decode(data)
    return Entry(VALUE_TYPES[kind](*fields), revision)


def _make_decoder(value_type: type[ConfigValue]) -> msgspec.msgpack.Decoder[Any]:
    hints = get_type_hints(value_type)
    fields = [hints[info.name] for info in msgspec.structs.fields(value_type)]
    return msgspec.msgpack.Decoder(GenericAlias(tuple, (int, *fields)))


_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {kind: _make_decoder(value) for kind, value in VALUE_TYPES.items()}
