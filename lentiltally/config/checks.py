"""Checks of references between the paths of a tree."""

from __future__ import annotations

from lentiltally.config.schema import (
    AdapterConfig,
    ConfigProblem,
    ServiceConfig,
    TargetConfig,
)
from lentiltally.config.tree import ConfigTree, PathEntry


def cross_check(tree: ConfigTree, prefix: str = "/") -> list[ConfigProblem]:
    """Return warnings on references to missing targets and base models.

    Checks the paths at and below the prefix. These are not errors: an adapter may be
    configured before the engines of its base model, and whether a record is valid must
    not depend on other paths.
    """
    targets = tree.targets()
    base_models = {target.base_model for target in targets.values()}
    problems = []
    for path_entry in tree.list(prefix):
        problems += _missing_references(path_entry, targets, base_models)
    return problems


def _missing_references(
    path_entry: PathEntry, targets: dict[str, TargetConfig], base_models: set[str]
) -> list[ConfigProblem]:
    value = path_entry.entry.value
    if isinstance(value, AdapterConfig) and value.base_model not in base_models:
        reason = "no target has this base model"
        return [_warning(path_entry.path, "base_model", value.base_model, reason)]
    if isinstance(value, ServiceConfig):
        return [
            _warning(path_entry.path, "targets", name, "not a service target")
            for name in value.targets
            if name not in targets or targets[name].kind != "service"
        ]
    return []


def _warning(path: str, field: str, value: str, reason: str) -> ConfigProblem:
    return ConfigProblem(path, field, repr(value), reason, "warning")
