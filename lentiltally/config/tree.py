"""The configuration tree, and how change records take effect on it."""

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
    """The value at a path and its revision.

    The revision is the tree's offset just after the change that set the value, which is
    the record's offset plus one. It is therefore never 0, the revision that stands for
    a path that does not exist, also for the first record of a log.
    """

    value: ConfigValue
    revision: int


class PathEntry(msgspec.Struct, frozen=True):
    """A path with its entry, as listed."""

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
    """A path whose revision is not the expected one."""

    path: str
    expected_revision: int
    current: Entry | None


class _Outcome(msgspec.Struct, frozen=True):
    """What a record came to; ``tree`` is the tree after it."""

    tree: ConfigTree
    change_id: str
    offset: int


class Applied(_Outcome, frozen=True):
    """The change is in force; ``before`` holds the former entry of each item."""

    before: tuple[Entry | None, ...]


class Conflict(_Outcome, frozen=True):
    """Nothing changed, because some path had another revision."""

    mismatches: tuple[Mismatch, ...]


class Duplicate(_Outcome, frozen=True):
    """Nothing changed, because a record with this id was decided before."""

    first: Decision


class Invalid(_Outcome, frozen=True):
    """Nothing changed, because the record breaks the rules of the schema."""

    problems: tuple[ConfigProblem, ...]


Outcome = Applied | Conflict | Duplicate | Invalid


class ConfigTree:
    """All configuration in force at one offset; never modified, only copied.

    ``offset`` is the offset of the next record to apply: every record below it has been
    decided. Copies share what did not change, so holding on to a tree is cheap, and
    readers in other threads need no lock.
    """

    __slots__ = ("_decisions", "_maps", "_teams", "offset")

    def __init__(
        self,
        offset: int,
        maps: dict[Kind, PackedMap],
        teams: dict[str, int],
        decisions: RecentDecisions,
    ) -> None:
        """Take the parts; use ``empty`` or ``from_entries`` instead."""
        self.offset = offset
        self._maps = maps
        self._teams = teams
        self._decisions = decisions

    @classmethod
    def empty(cls, offset: int = 0) -> ConfigTree:
        """Return a tree without entries at an offset."""
        return cls.from_entries(offset, (), RecentDecisions.empty())

    @classmethod
    def from_entries(
        cls, offset: int, entries: Iterable[PathEntry], decisions: RecentDecisions
    ) -> ConfigTree:
        """Return a tree with the entries; raises ConfigInvalidError for a bad path."""
        maps = {kind: PackedMap.from_items(()) for kind in Kind}
        teams: dict[str, int] = {}
        remaining = iter(entries)
        while batch := list(itertools.islice(remaining, BATCH_ITEMS)):
            packed: dict[Kind, dict[str, bytes | None]] = {}
            for listed in batch:
                path = parse_path(listed.path)
                packed.setdefault(path.kind, {})[path.key] = _pack(listed.entry)
                _count_team(teams, path, 1)
            for kind, held in packed.items():
                maps[kind] = maps[kind].with_changes(held)
        return cls(offset, maps, teams, decisions)

    @property
    def path_count(self) -> int:
        """Return the number of paths; a tree has no length, so none is falsy."""
        return sum(map(len, self._maps.values()))

    @property
    def decisions(self) -> RecentDecisions:
        """Return the changes that were decided recently."""
        return self._decisions

    def decision(self, change_id: str) -> Decision | None:
        """Return how a recent change was decided, or None if it is not known."""
        return self._decisions.get(change_id, self.offset)

    def get(self, path: str | ConfigPath) -> Entry | None:
        """Return the entry at a path; raises ConfigInvalidError for a bad path."""
        parsed = parse_path(path) if isinstance(path, str) else path
        data = self._maps[parsed.kind].get(parsed.key)
        return None if data is None else _unpack(parsed.kind, data)

    def items(self) -> Iterator[PathEntry]:
        """Return all entries, in no particular order."""
        for path, data in self._packed():
            yield PathEntry(str(path), _unpack(path.kind, data))

    def list(self, prefix: str = "/") -> Sequence[PathEntry]:
        """Return the entries at a path and below it, sorted by path."""
        stem = prefix.rstrip("/")
        try:
            exact = parse_path(stem)
        except ConfigInvalidError:
            found = [
                PathEntry(str(path), _unpack(path.kind, data))
                for path, data in self._packed()
                if not stem or f"{path}/".startswith(f"{stem}/")
            ]
            return sorted(found, key=lambda listed: listed.path)
        entry = self.get(exact)
        return [] if entry is None else [PathEntry(stem, entry)]

    def adapter(self, team: str, name: str) -> AdapterConfig | None:
        """Return an adapter of a team."""
        return self._value(Kind.ADAPTER, f"{team}/{name}", AdapterConfig)

    def service(self, team: str, name: str) -> ServiceConfig | None:
        """Return a plain service of a team."""
        return self._value(Kind.SERVICE, f"{team}/{name}", ServiceConfig)

    def limits(self, team: str) -> LimitsConfig:
        """Return a team's limits, or the defaults if none are set."""
        return self._value(Kind.LIMITS, team, LimitsConfig) or LimitsConfig()

    def target(self, name: str) -> TargetConfig | None:
        """Return a target."""
        return self._value(Kind.TARGET, name, TargetConfig)

    def targets(self) -> dict[str, TargetConfig]:
        """Return all targets by name."""
        found = {}
        for name, data in self._maps[Kind.TARGET].items():
            value = _unpack(Kind.TARGET, data).value
            assert isinstance(value, TargetConfig)
            found[name] = value
        return found

    def loads(self) -> LoadsConfig:
        """Return the weight store's limits, or the defaults if none are set."""
        return self._value(Kind.LOADS, "", LoadsConfig) or LoadsConfig()

    def teams(self) -> frozenset[str]:
        """Return the teams that have any path."""
        return frozenset(self._teams)

    def skip(self, offset: int) -> ConfigTree:
        """Return the tree past a record that can't be decoded."""
        self._require_next(offset)
        return ConfigTree(offset + 1, self._maps, self._teams, self._decisions)

    @staticmethod
    def check(record: ChangeRecord) -> Sequence[ConfigProblem]:
        """Return what makes a record invalid on any tree; empty if nothing does."""
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
        """Return the items whose expected revision is not the current one."""
        found = []
        for item in items:
            current = self.get(item.path)
            revision = current.revision if current else MUST_NOT_EXIST
            if item.expected_revision not in {None, revision}:
                found.append(Mismatch(item.path, item.expected_revision or 0, current))
        return tuple(found)

    def apply(self, record: ChangeRecord, offset: int) -> Outcome:
        """Decide a record at its offset; the result depends on nothing else."""
        self._require_next(offset)
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
            tree = ConfigTree(offset + 1, self._maps, self._teams, decisions)
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
        teams = dict(self._teams)
        for item in items:
            path, value = _parse_item(item)
            existed = self._maps[path.kind].get(path.key) is not None
            _count_team(teams, path, int(value is not None) - int(existed))
            packed = None if value is None else _pack(Entry(value, revision))
            changes.setdefault(path.kind, {})[path.key] = packed
        maps = dict(self._maps)
        for kind, changed in changes.items():
            maps[kind] = maps[kind].with_changes(changed)
        return ConfigTree(revision, maps, teams, decisions)

    def _packed(self) -> Iterator[tuple[ConfigPath, bytes]]:
        for kind, held in self._maps.items():
            for key, data in held.items():
                yield ConfigPath(kind, key), data

    def _value(self, kind: Kind, key: str, value_type: type[_ValueT]) -> _ValueT | None:
        data = self._maps[kind].get(key)
        if data is None:
            return None
        value = _unpack(kind, data).value
        assert isinstance(value, value_type)
        return value

    def _require_next(self, offset: int) -> None:
        if offset != self.offset:
            raise ValueError(f"record {offset} applied to a tree at {self.offset}")


def _parse_item(item: ChangeItem) -> tuple[ConfigPath, ConfigValue | None]:
    path = parse_path(item.path)
    return path, None if item.value is None else convert_value(path, item.value)


def _count_team(teams: dict[str, int], path: ConfigPath, change: int) -> None:
    if not path.team:
        return
    count = teams.get(path.team, 0) + change
    if count:
        teams[path.team] = count
    else:
        teams.pop(path.team, None)


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
