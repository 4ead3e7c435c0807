"""The kinds of value in a settings file.

Each converter takes a value as parsed from TOML and returns it as the settings hold it.
It raises ValueError with the reason if the value is invalid.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime
from urllib.parse import urlsplit

from lentiltally.settings._secret import Secret

_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_METRIC_PREFIX = re.compile(r"[A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*")
_SHA256 = re.compile(r"[0-9a-f]{64}")
_MAX_PORT = 65_535


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of value: its name in messages, and its converter."""

    name: str
    convert: Callable[[object], object]


def list_of(entry_kind: Kind) -> Kind:
    """Return the kind of lists of distinct entries of the given kind."""

    def convert(value: object) -> object:
        if not isinstance(value, list):
            raise ValueError("must be a list")
        entries = tuple(entry_kind.convert(entry) for entry in value)
        if len(entries) != len(set(entries)):
            raise ValueError("must not name an entry twice")
        return entries

    return Kind(f"list of {entry_kind.name}", convert)


def one_of(*choices: str) -> Kind:
    """Return the kind of strings that are one of the choices."""

    def convert(value: object) -> object:
        if value not in choices or not isinstance(value, str):
            raise ValueError("must be " + " or ".join(f'"{word}"' for word in choices))
        return value

    return Kind(" or ".join(choices), convert)


def _text(value: object) -> str:
    if not isinstance(value, str):
        raise ValueError("must be a string")
    if not value.strip():
        raise ValueError("must not be empty")
    if not value.isprintable():
        raise ValueError("must hold printable characters only")
    return value


def _name(value: object) -> str:
    if not _NAME.fullmatch(_text(value)):
        raise ValueError(
            "must be 1 to 63 of the characters a-z 0-9 . _ - "
            "and begin with a letter or digit"
        )
    return str(value)


def _integer(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError("must be an integer")
    return value


def _seconds(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError("must be a number of seconds")
    try:
        seconds = float(value)
    except OverflowError:
        seconds = math.inf
    if not math.isfinite(seconds):
        raise ValueError("must be a finite number of seconds")
    return seconds


def _boolean(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError("must be true or false")
    return value


def _ip_number(value: object) -> str:
    try:
        return str(ipaddress.ip_address(_text(value)))
    except ValueError:
        raise ValueError("must be an IP number, not a host name") from None


def _ip_and_port(value: object) -> str:
    host, _, port = _text(value).rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError("must have the IPv6 number in brackets, as in [::1]:8080")
    if not (port.isascii() and port.isdigit()) or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"must end in a port from 1 to {_MAX_PORT}")
    _ip_number(host)
    return str(value)


def _channel_address(value: object) -> str:
    scheme, _, rest = _text(value).partition("://")
    if scheme != "tcp":
        raise ValueError("must begin with tcp://")
    _ip_and_port(rest)
    return str(value)


def _http_url(value: object) -> str:
    text = _text(value)
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        raise ValueError("must be an http:// or https:// URL") from None
    if parts.scheme not in {"http", "https"} or not parts.hostname or port == 0:
        raise ValueError("must be an http:// or https:// URL")
    if parts.username is not None or parts.query or parts.fragment:
        raise ValueError("must have no user name, query or fragment")
    return text.rstrip("/")


def _path_prefix(value: object) -> str:
    if not _text(value).startswith("/"):
        raise ValueError("must be a path that begins with /")
    return str(value)


def _date_time(value: object) -> datetime:
    if not isinstance(value, datetime) or value.tzinfo is None:
        raise ValueError("must be a date and time with an offset, 2026-01-31T00:00:00Z")
    try:
        return value.astimezone(UTC)
    except OverflowError:
        raise ValueError("must be a date between the years 1 and 9999 in UTC") from None


def _sha256(value: object) -> str:
    if not isinstance(value, str) or not _SHA256.fullmatch(value):
        raise ValueError("must be the token's SHA-256 in 64 lower-case hex digits")
    return value


def _metric_prefix(value: object) -> str:
    if not _METRIC_PREFIX.fullmatch(_text(value)):
        raise ValueError("must be words of a-z A-Z 0-9 _ - joined by dots")
    return str(value)


def _secret(value: object) -> Secret:
    encoded = value.encode("utf-8") if isinstance(value, str) else b""
    if len(encoded) < 32:
        raise ValueError("must be a string of at least 32 bytes")
    return Secret(encoded)


TEXT = Kind("string", _text)
NAME = Kind("name", _name)
INTEGER = Kind("integer", _integer)
SECONDS = Kind("number", _seconds)
BOOLEAN = Kind("boolean", _boolean)
IP_NUMBER = Kind("IP number", _ip_number)
IP_AND_PORT = Kind("IP number and port", _ip_and_port)
CHANNEL_ADDRESS = Kind("tcp:// address", _channel_address)
HTTP_URL = Kind("URL", _http_url)
FILE_PATH = Kind("file path", _text)
PATH_PREFIX = Kind("path prefix", _path_prefix)
DATE_TIME = Kind("date and time", _date_time)
SHA256 = Kind("SHA-256", _sha256)
METRIC_PREFIX = Kind("metric prefix", _metric_prefix)
SECRET = Kind("secret", _secret)
