"""Checks across the paths of a whole tree."""

from __future__ import annotations

from lentiltally.config.schema import (
    AdapterConfig,
    ConfigProblem,
    ServiceConfig,
    TargetConfig,
)
from lentiltally.config.tree import ConfigTree, PathEntry


def cross_check(tree: ConfigTree, prefix: str = "/") -> list[ConfigProblem]:
    """Return warnings on paths below a prefix that refer to what is not there.

    These are not errors: an adapter may be configured before the engines of its base
    model, and a record's validity must not depend on other paths.
    """
    targets = tree.targets()
    base_models = {target.base_model for target in targets.values()}
    problems = []
    for listed in tree.list(prefix):
        problems += _check_entry(listed, targets, base_models)
    return problems


def _check_entry(
    listed: PathEntry, targets: dict[str, TargetConfig], base_models: set[str]
) -> list[ConfigProblem]:
    value = listed.entry.value
    if isinstance(value, AdapterConfig) and value.base_model not in base_models:
        reason = "no target has this base model"
        return [_warning(listed.path, "base_model", value.base_model, reason)]
    if isinstance(value, ServiceConfig):
        return [
            _warning(listed.path, "targets", name, "not a service target")
            for name in value.targets
            if name not in targets or targets[name].kind != "service"
        ]
    return []


def _warning(path: str, field: str, value: str, reason: str) -> ConfigProblem:
    return ConfigProblem(path, field, repr(value), reason, "warning")
