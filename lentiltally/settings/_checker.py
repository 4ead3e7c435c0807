"""Checks a parsed settings file against the table of keys; collects all errors."""

from __future__ import annotations

import difflib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from lentiltally.errors import LentiltallyError
from lentiltally.settings import _kinds as kinds
from lentiltally.settings._keys import REQUIRED, Key, Role, keys_of

_ARRAY_SUFFIX = "[]"
_MAX_SHOWN_CHARACTERS = 80
# The value of an unknown key is hidden if its name, or the known name closest to it,
# contains one of these: a secret under a mistyped name must not reach terminal or log.
_SENSITIVE_WORDS = ("secret", "token", "password", "passwd", "key", "sha", "credential")
_SENSITIVE_KINDS = (kinds.SECRET, kinds.SHA256)


class SettingsError(LentiltallyError):
    """One bad key of a settings file: its path, its value and the reason."""

    def __init__(self, path: str, value: str, reason: str) -> None:
        """Keep the parts; ``value`` is text from ``format_value``, or empty."""
        shown = f" = {value}" if value else ""
        super().__init__(f"{path}{shown}: {reason}", step="settings")
        self.path = path
        self.value = value
        self.reason = reason

    def __str__(self) -> str:
        """Return path, value and reason, without the step that other errors add."""
        return self.message


def format_value(value: object, *, hidden: bool = False) -> str:
    """Return a value as text for an error message.

    Long values are truncated. Tables, values that are ``hidden`` and URLs that may hold
    a password are not shown.
    """
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
    return (
        text
        if len(text) <= _MAX_SHOWN_CHARACTERS
        else text[:_MAX_SHOWN_CHARACTERS] + "…"
    )


@dataclass(slots=True)
class CheckResult:
    """The values of a file with defaults filled in, and all errors found."""

    values: dict[str, object] = field(default_factory=dict)
    errors: list[SettingsError] = field(default_factory=list)


def check(document: Mapping[str, object], role: Role) -> CheckResult:
    """Check every key of the document; never stops at the first error."""
    result = CheckResult()
    root = _Table("", keys_of(role))
    result.values = root.check(document, "", result.errors)
    return result


class _Table:
    """The keys and sub-tables that one table of the file may have."""

    def __init__(self, name: str, keys: Iterable[Key], *, depth: int = 0) -> None:
        self.is_array = name.endswith(_ARRAY_SUFFIX)
        self._keys: dict[str, Key] = {}
        nested: dict[str, list[Key]] = {}
        for key in keys:
            parts = key.path.split(".")[depth:]
            if len(parts) == 1:
                self._keys[parts[0]] = key
            else:
                nested.setdefault(parts[0], []).append(key)
        self._tables = {
            part.removesuffix(_ARRAY_SUFFIX): _Table(part, part_keys, depth=depth + 1)
            for part, part_keys in nested.items()
        }

    def check(
        self, table: Mapping[str, object], path: str, errors: list[SettingsError]
    ) -> dict[str, object]:
        """Return the values of the table; append errors to ``errors``."""
        errors.extend(self._unknown_key_errors(table, path))
        values: dict[str, object] = {}
        for name, key in self._keys.items():
            full_path = _join_path(path, name)
            try:
                values[name] = _check_key(key, table.get(name, REQUIRED), full_path)
            except SettingsError as error:
                errors.append(error)
        for name, sub_table in self._tables.items():
            values[name] = sub_table.check_in(table, name, path, errors)
        return values

    def check_in(
        self,
        parent: Mapping[str, object],
        name: str,
        path: str,
        errors: list[SettingsError],
    ) -> object:
        """Check this table, or each table of the array, as found in its parent.

        Returns the values of the table, or a tuple of those of each table.
        """
        full_path = _join_path(path, name)
        content = parent.get(name, [] if self.is_array else {})
        if not self.is_array:
            if isinstance(content, dict):
                return self.check(content, full_path, errors)
            errors.append(
                SettingsError(full_path, _type_name(content), "must be a table")
            )
            return {}
        if not isinstance(content, list) or not all(
            isinstance(entry, dict) for entry in content
        ):
            reason = f"must be an array of tables, each under [[{full_path}]]"
            errors.append(SettingsError(full_path, _type_name(content), reason))
            return ()
        return tuple(
            self.check(entry, f"{full_path}[{index}]", errors)
            for index, entry in enumerate(content)
        )

    def _unknown_key_errors(
        self, table: Mapping[str, object], path: str
    ) -> Iterator[SettingsError]:
        known = [*self._keys, *self._tables]
        for name, value in table.items():
            if name in known:
                continue
            close = difflib.get_close_matches(name, known, n=1)
            hint = f'; did you mean "{close[0]}"?' if close else ""
            names = (name, *close)
            hidden = any(word in n.lower() for n in names for word in _SENSITIVE_WORDS)
            yield SettingsError(
                _join_path(path, name),
                format_value(value, hidden=hidden),
                f"unknown key{hint}",
            )


def _check_key(key: Key, value: object, path: str) -> object:
    """Return the converted value, or the default if ``value`` is REQUIRED.

    The caller passes REQUIRED if the file does not set the key. Raises SettingsError.
    """
    if value is REQUIRED:
        if key.default is REQUIRED:
            raise SettingsError(path, "", f"is missing; it must be a {key.kind.name}")
        if key.default is None:
            return None
        value = key.default
    hidden = key.kind in _SENSITIVE_KINDS
    try:
        converted = key.kind.convert(value)
        _check_bounds(key, converted)
    except ValueError as error:
        raise SettingsError(
            path, format_value(value, hidden=hidden), str(error)
        ) from None
    return converted


def _check_bounds(key: Key, value: object) -> None:
    if isinstance(value, tuple):
        number: float = len(value)
        requirement, unit = "must have", " entries"
    elif isinstance(value, int | float) and not isinstance(value, bool):
        number = value
        requirement, unit = "must be", f" {key.unit}" if key.unit else ""
    else:
        return
    if key.lower is not None and number < key.lower:
        raise ValueError(f"{requirement} at least {key.lower}{unit}")
    if key.upper is not None and number > key.upper:
        raise ValueError(f"{requirement} at most {key.upper}{unit}")


def _join_path(path: str, name: str) -> str:
    shown = name if name.replace("_", "").replace("-", "").isalnum() else repr(name)
    return f"{path}.{shown}" if path else shown


def _type_name(value: object) -> str:
    names = {str: "a string", list: "a list", dict: "a table", bool: "a boolean"}
    return names.get(type(value), "a single value")
