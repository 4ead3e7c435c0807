"""Reads and validates the settings file that the platform writes on each host."""

from __future__ import annotations

import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Generic, TypeVar

from lentiltally.direct.settings import HostBounds, HostSettings, SocketAddress
from lentiltally.settings._checker import SettingsError, format_value

__all__ = ["is_platform_file", "load_host_settings", "parse_host_settings"]

_T = TypeVar("_T")
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class _ValueType(Generic[_T]):
    """Validates and converts a value.

    ``convert`` raises ValueError for an invalid value. ``placeholder`` is then used in
    its place, so that all further keys are checked as well.
    """

    convert: Callable[[object], _T]
    placeholder: _T


def is_platform_file(path: str) -> bool:
    """Return whether a file has the platform's settings format, judged by its keys."""
    try:
        document = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError):
        return False
    return "nodeName" in document or "machineClass" in document


def load_host_settings(path: str, role: str | None = None) -> HostSettings:
    """Read the settings of a host from a file.

    ``role`` is ``entry`` or ``agent``; without it the file's ``serves`` list decides.
    Raises an ExceptionGroup with a SettingsError for each invalid key.
    """
    try:
        document = tomllib.loads(Path(path).read_text())
    except OSError as error:
        raise _error_group(path, [SettingsError("file", path, str(error))]) from None
    except ValueError as error:
        raise _error_group(
            path, [SettingsError("file", path, f"not TOML: {error}")]
        ) from None
    return parse_host_settings(document, role, source=path)


def parse_host_settings(
    document: Mapping[str, object], role: str | None = None, *, source: str = "settings"
) -> HostSettings:
    """Validate and convert a parsed settings file.

    ``source`` names the file in the error; ``role`` is as for ``load_host_settings``.
    Raises an ExceptionGroup with a SettingsError for each invalid key.
    """
    reader = _Reader(document)
    serves = reader.optional("serves", _STRINGS, [])
    is_entry = role == "entry" or (role is None and "front" in serves)
    ports = reader.required("internalPorts", _PORTS)
    settings = HostSettings(
        name=reader.required("nodeName", _STRING),
        failure_domain=reader.required("zone", _STRING),
        ip=reader.required("ipAddress", _STRING),
        store=reader.required("platform.address", _ADDRESS),
        peer_port=ports[0],
        metrics_port=ports[1],
        callers=reader.required("listenAddresses.front", _ADDRESS)
        if is_entry
        else None,
        readiness=reader.required("listenAddresses.ready", _ADDRESS)
        if is_entry
        else None,
        engine=reader.required("app", _ADDRESS) if not is_entry else None,
        bounds=HostBounds(
            leaving_s=reader.optional("bounds.drainMs", _POSITIVE, 2000.0) / MS_PER_S,
            stop_s=reader.optional("bounds.graceS", _POSITIVE, 8.0),
            configuration_s=reader.optional("bounds.configurationMs", _POSITIVE, 2000.0)
            / MS_PER_S,
            settled_s=reader.optional("bounds.stabilityWindowMs", _POSITIVE, 3000.0)
            / MS_PER_S,
            retry_share=reader.optional("bounds.budgetRatio", _NUMBER, 0.2),
            retry_window_s=reader.optional("bounds.budgetWindowS", _POSITIVE, 10.0),
            retry_slack=reader.optional("bounds.budgetSlack", _NUMBER, 50.0),
            # The platform spells this key with an underscore, unlike the other bounds.
            adapter_version_s=reader.optional("bounds.version_ms", _POSITIVE, 5000.0)
            / MS_PER_S,
            revocation_s=_revocation_s(reader),
            limit_window_s=reader.optional("bounds.quotaWindowS", _POSITIVE, 8.0),
            limit_tolerance=reader.optional("bounds.quotaOver", _NUMBER, 0.0),
            limit_slack=reader.optional("bounds.quotaSlack", _NUMBER, 0.0),
        ),
        memory_mb=reader.optional("limits.memoryMb", _OPTIONAL_POSITIVE, None),
        max_descriptors=_max_descriptors(reader),
    )
    if reader.errors:
        raise _error_group(source, reader.errors)
    return settings


def _revocation_s(reader: _Reader) -> float | None:
    """Return the bound on the use of a removed key, None if there is none."""
    bound_ms = reader.optional("bounds.revokeMs", _POSITIVE, 5000.0)
    is_bounded = reader.optional("bounds.revokeClosed", _BOOLEAN, False)
    return bound_ms / MS_PER_S if is_bounded else None


def _max_descriptors(reader: _Reader) -> int | None:
    limit = reader.optional("limits.fileDescriptors", _OPTIONAL_POSITIVE, None)
    return None if limit is None else int(limit)


class _Reader:
    """Reads keys by their dotted path and collects an error for each invalid one."""

    def __init__(self, document: Mapping[str, object]) -> None:
        self._document = document
        self.errors: list[SettingsError] = []

    def required(self, path: str, value_type: _ValueType[_T]) -> _T:
        """Return the value of a key; an absent one is an error."""
        value = self._find(path)
        if value is None:
            self.errors.append(SettingsError(path, "", "is missing"))
            return value_type.placeholder
        return self._convert(path, value, value_type)

    def optional(self, path: str, value_type: _ValueType[_T], default: _T) -> _T:
        """Return the value of a key, or the default if it is absent."""
        value = self._find(path)
        return default if value is None else self._convert(path, value, value_type)

    def _find(self, path: str) -> object:
        value: object = self._document
        for name in path.split("."):
            value = value.get(name) if isinstance(value, Mapping) else None
        return value

    def _convert(self, path: str, value: object, value_type: _ValueType[_T]) -> _T:
        try:
            return value_type.convert(value)
        except ValueError as error:
            self.errors.append(SettingsError(path, format_value(value), str(error)))
            return value_type.placeholder


def _string(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("must be a non-empty string")
    return value


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise ValueError("must be a non-negative number")
    return float(value)


def _positive(value: object) -> float:
    number = _number(value)
    if number == 0:
        raise ValueError("must be above 0")
    return number


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def _address(value: object) -> SocketAddress:
    try:
        return SocketAddress.from_text(_string(value))
    except ValueError:
        raise ValueError("must be IP:PORT") from None


def _ports(value: object) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("must be a list of two ports, the first and the last")
    first, last = (int(_number(port)) for port in value)
    if not 0 < first < 65_536 or not 0 < last < 65_536:
        raise ValueError("must be ports from 1 to 65535")
    if first >= last:
        raise ValueError("must be two different ports in ascending order")
    return first, last


def _strings(value: object) -> list[str]:
    if not isinstance(value, list):
        raise ValueError("must be a list of strings")
    return [_string(entry) for entry in value]


_PLACEHOLDER_ADDRESS = SocketAddress("0.0.0.0", 0)
_STRING = _ValueType(_string, "")
_NUMBER = _ValueType(_number, 0.0)
_POSITIVE = _ValueType(_positive, 1.0)
_OPTIONAL_POSITIVE: _ValueType[float | None] = _ValueType(_positive, None)
_BOOLEAN = _ValueType(_boolean, False)
_ADDRESS = _ValueType(_address, _PLACEHOLDER_ADDRESS)
_PORTS = _ValueType(_ports, (0, 0))
_STRINGS: _ValueType[list[str]] = _ValueType(_strings, [])


def _error_group(
    source: str, errors: list[SettingsError]
) -> ExceptionGroup[SettingsError]:
    noun = "bad key" if len(errors) == 1 else "bad keys"
    return ExceptionGroup(f"{source}: {len(errors)} {noun}", errors)
