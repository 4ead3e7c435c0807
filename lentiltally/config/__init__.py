"""The configuration tree and how it is followed and changed."""

from __future__ import annotations

from lentiltally.config.changes import (
    CONFIG_STREAM,
    ChangeItem,
    ChangeRecord,
    decode_change,
    encode_change,
    new_change_id,
)
from lentiltally.config.schema import (
    AdapterConfig,
    CallRule,
    ConfigInvalidError,
    ConfigPath,
    ConfigProblem,
    ConfigValue,
    Kind,
    LimitsConfig,
    LoadsConfig,
    ServiceConfig,
    TargetConfig,
    VersionConfig,
    parse_path,
    validate,
)
from lentiltally.config.tree import (
    Applied,
    ConfigTree,
    Conflict,
    Duplicate,
    Entry,
    Invalid,
    Mismatch,
    PathEntry,
)

__all__ = [
    "CONFIG_STREAM",
    "AdapterConfig",
    "Applied",
    "CallRule",
    "ChangeItem",
    "ChangeRecord",
    "ConfigInvalidError",
    "ConfigPath",
    "ConfigProblem",
    "ConfigTree",
    "ConfigValue",
    "Conflict",
    "Duplicate",
    "Entry",
    "Invalid",
    "Kind",
    "LimitsConfig",
    "LoadsConfig",
    "Mismatch",
    "PathEntry",
    "ServiceConfig",
    "TargetConfig",
    "VersionConfig",
    "decode_change",
    "encode_change",
    "new_change_id",
    "parse_path",
    "validate",
]
