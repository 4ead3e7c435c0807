"""Loads settings files."""

from __future__ import annotations

import tomllib
from pathlib import Path

import msgspec

from lentiltally.settings._checker import SettingsError, check, format_value
from lentiltally.settings._keys import Role
from lentiltally.settings._model import AgentSettings, EntrySettings
from lentiltally.settings._rules import check_rules

PathLike = str | Path


def load_entry(path: PathLike) -> EntrySettings:
    """Return the settings of an entry.

    Raises an ExceptionGroup with a SettingsError for each bad key.
    """
    settings = parse(_read_file(path), "entry", source=str(path))
    assert isinstance(settings, EntrySettings)
    return settings


def load_agent(path: PathLike) -> AgentSettings:
    """Return the settings of an agent.

    Raises an ExceptionGroup with a SettingsError for each bad key.
    """
    settings = parse(_read_file(path), "agent", source=str(path))
    assert isinstance(settings, AgentSettings)
    return settings


def load(path: PathLike) -> EntrySettings | AgentSettings:
    """Return the settings of a file for the role that it names; for validation.

    Raises an ExceptionGroup with a SettingsError for each bad key.
    """
    return parse(_read_file(path), source=str(path))


def parse(
    text: str | bytes, role: Role | None = None, *, source: str = "settings"
) -> EntrySettings | AgentSettings:
    """Return the settings in a TOML text, for the given role or the one in the text.

    ``source`` names the text in error messages.

    Raises an ExceptionGroup with a SettingsError for each bad key.
    """
    document = _parse_toml(text, source)
    process = document.get("process")
    file_role = process.get("role") if isinstance(process, dict) else None
    if role is None:
        role = "agent" if file_role == "agent" else "entry"
    result = check(document, role)
    if file_role in ("entry", "agent") and file_role != role:
        result.errors.append(
            SettingsError(
                "process.role", format_value(file_role), f'must be "{role}" here'
            )
        )
    errors = [*result.errors, *check_rules(result.values, role)]
    if errors:
        raise _error_group(source, errors)
    if role == "agent":
        return msgspec.convert(result.values, AgentSettings)
    return msgspec.convert(result.values, EntrySettings)


def _read_file(path: PathLike) -> bytes:
    try:
        return Path(path).read_bytes()
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "not a file name"
        raise _error_group(
            str(path), [SettingsError("file", str(path), reason)]
        ) from None


def _parse_toml(text: str | bytes, source: str) -> dict[str, object]:
    try:
        return tomllib.loads(text.decode() if isinstance(text, bytes) else text)
    except UnicodeDecodeError as error:
        reason = f"must be UTF-8; byte {error.start} is not"
    except ValueError as error:
        reason = f"is not valid TOML: {error}"
    except RecursionError:
        reason = "is nested too deeply"
    raise _error_group(source, [SettingsError("file", source, reason)])


def _error_group(
    source: str, errors: list[SettingsError]
) -> ExceptionGroup[SettingsError]:
    noun = "bad key" if len(errors) == 1 else "bad keys"
    return ExceptionGroup(f"{source}: {len(errors)} {noun}", errors)
