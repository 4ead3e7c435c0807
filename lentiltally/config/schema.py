"""The kinds of configuration value, their bounds and their paths.

Every process validates every record with these rules, so two releases that run at the
same time must agree on them: widen a bound in one release, use it in the next.

The docstrings of the value types are descriptions in /openapi.json.
"""

from __future__ import annotations

import enum
import re
from typing import Annotated, Any, Literal, get_type_hints

import msgspec
from msgspec import Meta

from lentiltally.errors import LentiltallyError

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}\Z"
VERSION_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,31}\Z"
MAX_SHOWN_CHARACTERS = 80

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Version = Annotated[str, Meta(pattern=VERSION_PATTERN)]
_Model = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}\Z")]
# A value that omits the key is stored with an empty string, which must decode again.
_OptionalModel = Annotated[
    str, Meta(pattern=r"^([A-Za-z0-9][A-Za-z0-9._/-]{0,126})?\Z")
]
_OptionalName = Annotated[str, Meta(pattern=r"^([a-z0-9][a-z0-9._-]{0,62})?\Z")]
_Source = Annotated[str, Meta(pattern=r"^[!-~]{1,512}\Z")]
_Prefix = Annotated[str, Meta(pattern=r"^/[!-~]{0,255}\Z")]


class Kind(enum.StrEnum):
    """What a configuration path describes."""

    ADAPTER = "adapter"
    SERVICE = "service"
    LIMITS = "limits"
    TARGET = "target"
    LOADS = "loads"


class _ConfigValueBase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The base of all configuration values."""


class VersionConfig(_ConfigValueBase, frozen=True):
    """Where the weights of one adapter version are in the weight store."""

    source: _Source


class AdapterConfig(_ConfigValueBase, frozen=True):
    """One adapter of a team, with the versions that callers may name."""

    base_model: _Model
    versions: Annotated[dict[Version, VersionConfig], Meta(min_length=1, max_length=64)]
    non_idempotent: bool = False


class CallRule(_ConfigValueBase, frozen=True):
    """Calls of a plain service that must run at most once."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path_prefix: _Prefix


class ServiceConfig(_ConfigValueBase, frozen=True):
    """A plain service of a team and the targets that run it."""

    targets: Annotated[tuple[Name, ...], Meta(min_length=1, max_length=2000)]
    non_idempotent: Annotated[tuple[CallRule, ...], Meta(max_length=64)] = ()


class LimitsConfig(_ConfigValueBase, frozen=True):
    """How much a team may use.

    ``share`` is a weight relative to the other teams' shares; ``deadline_s`` is how
    long one of its requests may take, 0 for the default of the entry that has it.
    """

    share: Annotated[float, Meta(gt=0, le=1000)] = 1.0
    max_concurrent: Annotated[int, Meta(ge=1, le=100_000)] = 256
    deadline_s: Annotated[float, Meta(ge=0, le=3600)] = 0.0
    criticality: Literal["interactive", "deferrable"] = "interactive"


class TargetConfig(_ConfigValueBase, frozen=True):
    """A back end: a model engine or a plain service, and the host beside it."""

    kind: Literal["engine", "service"]
    host: Name
    base_model: _OptionalModel = ""
    # For engines: whether the engine refuses outdated fencing tokens, how many adapters
    # it can have loaded, and how many requests it runs at once (batch slots).
    enforces_fencing: bool = False
    adapter_slots: Annotated[int, Meta(ge=0, le=4096)] = 8
    batch_places: Annotated[int, Meta(ge=1, le=4096)] = 16
    role: _OptionalName = ""

    def __post_init__(self) -> None:
        """Require a base model for engines, as adapters are placed by base model."""
        if self.kind == "engine" and not self.base_model:
            raise ValueError("an engine needs base_model")


class LoadsConfig(_ConfigValueBase, frozen=True):
    """The weight store's limits on adapter loads, over all engines."""

    max_in_flight: Annotated[int, Meta(ge=1, le=1000)] = 8
    max_per_s: Annotated[float, Meta(gt=0, le=1000)] = 4.5


ConfigValue = AdapterConfig | ServiceConfig | LimitsConfig | TargetConfig | LoadsConfig

VALUE_TYPES: dict[Kind, type[ConfigValue]] = {
    Kind.ADAPTER: AdapterConfig,
    Kind.SERVICE: ServiceConfig,
    Kind.LIMITS: LimitsConfig,
    Kind.TARGET: TargetConfig,
    Kind.LOADS: LoadsConfig,
}

_NAME_GROUP = r"([a-z0-9][a-z0-9._-]{0,62})"
_PATH_PATTERNS: tuple[tuple[Kind, re.Pattern[str]], ...] = (
    (Kind.ADAPTER, re.compile(rf"/teams/{_NAME_GROUP}/adapters/{_NAME_GROUP}")),
    (Kind.SERVICE, re.compile(rf"/teams/{_NAME_GROUP}/services/{_NAME_GROUP}")),
    (Kind.LIMITS, re.compile(rf"/teams/{_NAME_GROUP}/limits")),
    (Kind.TARGET, re.compile(rf"/targets/{_NAME_GROUP}")),
    (Kind.LOADS, re.compile(r"/platform/loads")),
)
PATH_FORMATS: dict[Kind, str] = {
    Kind.ADAPTER: "/teams/{0}/adapters/{1}",
    Kind.SERVICE: "/teams/{0}/services/{1}",
    Kind.LIMITS: "/teams/{0}/limits",
    Kind.TARGET: "/targets/{0}",
    Kind.LOADS: "/platform/loads",
}


class ConfigProblem(msgspec.Struct, frozen=True):
    """An error or a warning about a configuration path or value.

    ``field`` is the key inside the value, or empty for the value as a whole. ``value``
    is the value that was found, as text.
    """

    path: str
    field: str
    value: str
    reason: str
    severity: Literal["error", "warning"] = "error"

    def __str__(self) -> str:
        """Return path, field, reason and value on one line."""
        where = f"{self.path} {self.field}".rstrip()
        return f"{where}: {self.reason}, got {self.value}"


class ConfigInvalidError(LentiltallyError):
    """A configuration path or value violates the schema; holds every problem found."""

    def __init__(self, problems: list[ConfigProblem]) -> None:
        """Keep the problems and join them into the message."""
        message = "; ".join(str(problem) for problem in problems)
        super().__init__(message, step="validate")
        self.problems = problems


class ConfigPath(msgspec.Struct, frozen=True):
    """A parsed configuration path.

    ``key`` identifies the path among those of its kind: ``team/adapter``,
    ``team/service``, the name of the team or target, or empty for ``/platform/loads``.
    """

    kind: Kind
    key: str

    @property
    def team(self) -> str:
        """Return the team that the path belongs to, or an empty string."""
        if self.kind in {Kind.TARGET, Kind.LOADS}:
            return ""
        return self.key.partition("/")[0]

    def __str__(self) -> str:
        """Return the text form of the path, such as ``/targets/a``."""
        return PATH_FORMATS[self.kind].format(*self.key.split("/"))


def parse_path(text: str) -> ConfigPath:
    """Return the parsed path; raises ConfigInvalidError if no kind matches."""
    for kind, pattern in _PATH_PATTERNS:
        match = pattern.fullmatch(text)
        if match:
            return ConfigPath(kind, "/".join(match.groups()))
    reason = "not a configuration path, or a name is not [a-z0-9][a-z0-9._-]{0,62}"
    raise ConfigInvalidError(
        [ConfigProblem(_format_value(text), "", _format_value(text), reason)]
    )


def convert_value(path: ConfigPath, value: object) -> ConfigValue:
    """Return the typed value; raises ConfigInvalidError with every bad field."""
    value_type = VALUE_TYPES[path.kind]
    try:
        return msgspec.convert(value, value_type)
    except (msgspec.ValidationError, RecursionError, OverflowError) as error:
        raise ConfigInvalidError(_find_problems(path, value, str(error))) from None


def validate(path: str, value: object) -> list[ConfigProblem]:
    """Return all problems of a path and its value; empty if both are valid."""
    try:
        convert_value(parse_path(path), value)
    except ConfigInvalidError as error:
        return error.problems
    return []


def _find_problems(
    path: ConfigPath, value: object, message: str
) -> list[ConfigProblem]:
    """Check each field on its own, because msgspec stops at the first bad one.

    ``message`` is the reason reported if every field is valid by itself.
    """
    path_text = str(path)
    if not isinstance(value, dict):
        return [
            ConfigProblem(path_text, "", _format_value(value), "a table is required")
        ]
    value_type = VALUE_TYPES[path.kind]
    hints = get_type_hints(value_type, include_extras=True)
    problems = [
        ConfigProblem(
            path_text,
            _format_value(key, quote=False),
            _format_value(value[key]),
            "unknown key",
        )
        for key in value
        if key not in hints
    ]
    for info in msgspec.structs.fields(value_type):
        if info.name in value:
            problems += _check_field(path_text, info.name, value, hints[info.name])
        elif info.required:
            problems.append(
                ConfigProblem(path_text, info.name, "nothing", "is required")
            )
    return problems or [ConfigProblem(path_text, "", _format_value(value), message)]


def _check_field(
    path: str, field: str, value: dict[str, Any], hint: Any
) -> list[ConfigProblem]:
    try:
        msgspec.convert(value[field], hint)
    except (msgspec.ValidationError, RecursionError, OverflowError) as error:
        reason = str(error).replace("`$", f"`{field}")
        return [ConfigProblem(path, field, _format_value(value[field]), reason)]
    return []


def _format_value(value: object, *, quote: bool = True) -> str:
    text = repr(value) if quote else str(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return text[:MAX_SHOWN_CHARACTERS] + "..."
