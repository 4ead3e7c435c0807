"""Checks a parsed settings file against the table of keys and keeps every error."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from lentiltally.errors import LentiltallyError
from lentiltally.settings import _kinds as kinds
from lentiltally.settings._keys import REQUIRED, Key, Role, keys_of

_ARRAY = "[]"
_SHOWN_CHARACTERS = 80
# A secret under a mistyped name must not reach the terminal or the log.
_SENSITIVE_WORDS = ("secret", "token", "password", "passwd", "key", "sha", "credential")
_SENSITIVE_KINDS = (kinds.SECRET, kinds.SHA256)


class SettingsError(LentiltallyError):
    """One bad key of a settings file: its path, its value and the reason."""

    def __init__(self, path: str, value: str, reason: str) -> None:
        """Keep the three; the value is given as text fit for output."""
        shown = f" = {value}" if value else ""
        super().__init__(f"{path}{shown}: {reason}", step="settings")
        self.path = path
        self.value = value
        self.reason = reason

    def __str__(self) -> str:
        """Return path, value and reason without the step, which adds nothing here."""
        return self.message


def format_value(value: object, *, hidden: bool = False) -> str:
    """Return a value as text for an error message, shortened and without tables."""
    if isinstance(value, Mapping):
        return "a table"
    if hidden:
        return "(hidden)"
    if isinstance(value, list) and any(isinstance(e, dict | list) for e in value):
        return "a list of tables or lists"
    try:
        text = repr(value)
    except ValueError:
        return "a number of very many digits"
    if isinstance(value, str) and "@" in value and "://" in value:
        return "(hidden, because it may hold a password)"
    return text if len(text) <= _SHOWN_CHARACTERS else text[:_SHOWN_CHARACTERS] + "…"


@dataclass(slots=True)
class Checked:
    """The values of a file with defaults filled in, and the errors found."""

    values: dict[str, object] = field(default_factory=dict)
    errors: list[SettingsError] = field(default_factory=list)


def check(document: Mapping[str, object], role: Role) -> Checked:
    """Check every key of the document; never stops at the first error."""
    checked = Checked()
    root = _Table("", keys_of(role))
    checked.values = root.read(document, "", checked.errors)
    return checked


class _Table:
    """The keys and sub-tables of one table of the file."""

    def __init__(self, name: str, keys: Iterable[Key], *, depth: int = 0) -> None:
        self.is_array = name.endswith(_ARRAY)
        self._keys: dict[str, Key] = {}
        nested: dict[str, list[Key]] = {}
        for key in keys:
            parts = key.path.split(".")[depth:]
            if len(parts) == 1:
                self._keys[parts[0]] = key
            else:
                nested.setdefault(parts[0], []).append(key)
        self._tables = {
            part.removesuffix(_ARRAY): _Table(part, part_keys, depth=depth + 1)
            for part, part_keys in nested.items()
        }

    def read(
        self, table: Mapping[str, object], path: str, errors: list[SettingsError]
    ) -> dict[str, object]:
        """Return the values of the table, and add its errors to the list."""
        errors.extend(self._unknown(table, path))
        values: dict[str, object] = {}
        for name, key in self._keys.items():
            full_path = _join(path, name)
            try:
                values[name] = _read_key(key, table.get(name, REQUIRED), full_path)
            except SettingsError as error:
                errors.append(error)
        for name, sub_table in self._tables.items():
            values[name] = sub_table.read_in(table, name, path, errors)
        return values

    def read_in(
        self,
        parent: Mapping[str, object],
        name: str,
        path: str,
        errors: list[SettingsError],
    ) -> object:
        """Return the values of this table, or of each table of the array."""
        full_path = _join(path, name)
        content = parent.get(name, [] if self.is_array else {})
        if not self.is_array:
            if isinstance(content, dict):
                return self.read(content, full_path, errors)
            errors.append(
                SettingsError(full_path, _type_of(content), "must be a table")
            )
            return {}
        if not isinstance(content, list) or not all(
            isinstance(entry, dict) for entry in content
        ):
            reason = f"must be an array of tables, each under [[{full_path}]]"
            errors.append(SettingsError(full_path, _type_of(content), reason))
            return ()
        return tuple(
            self.read(entry, f"{full_path}[{index}]", errors)
            for index, entry in enumerate(content)
        )

    def _unknown(
        self, table: Mapping[str, object], path: str
    ) -> Iterator[SettingsError]:
        known = [*self._keys, *self._tables]
        for name, value in table.items():
            if name in known:
                continue
            close = difflib.get_close_matches(name, known, n=1)
            hint = f'; did you mean "{close[0]}"?' if close else ""
            words = (name, *close)
            hidden = any(word in n.lower() for n in words for word in _SENSITIVE_WORDS)
            yield SettingsError(
                _join(path, name),
                format_value(value, hidden=hidden),
                f"unknown key{hint}",
            )


def _read_key(key: Key, value: object, path: str) -> object:
    if value is REQUIRED:
        if key.default is REQUIRED:
            raise SettingsError(path, "", f"is missing; it must be a {key.kind.name}")
        if key.default is None:
            return None
        value = key.default
    hidden = key.kind in _SENSITIVE_KINDS
    try:
        read = key.kind.read(value)
        _check_bounds(key, read)
    except ValueError as error:
        raise SettingsError(
            path, format_value(value, hidden=hidden), str(error)
        ) from None
    return read


def _check_bounds(key: Key, value: object) -> None:
    if isinstance(value, tuple):
        number: float = len(value)
        verb, unit = "must have", " entries"
    elif isinstance(value, int | float) and not isinstance(value, bool):
        number = value
        verb, unit = "must be", f" {key.unit}" if key.unit else ""
    else:
        return
    if key.lower is not None and number < key.lower:
        raise ValueError(f"{verb} at least {key.lower}{unit}")
    if key.upper is not None and number > key.upper:
        raise ValueError(f"{verb} at most {key.upper}{unit}")


def _join(path: str, name: str) -> str:
    shown = name if name.replace("_", "").replace("-", "").isalnum() else repr(name)
    return f"{path}.{shown}" if path else shown


def _type_of(value: object) -> str:
    names = {str: "a string", list: "a list", dict: "a table", bool: "a boolean"}
    return names.get(type(value), "a single value")
