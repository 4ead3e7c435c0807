"""The commands that start daemons and check their settings; must not import cappa."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable
from typing import Any, TypeVar

from lentiltally import logs
from lentiltally.cli._codes import DONE, ERROR, USAGE
from lentiltally.errors import LentiltallyError
from lentiltally.platform.host_settings import is_platform_file, load_host_settings
from lentiltally.settings import (
    AgentSettings,
    EntrySettings,
    load,
    load_agent,
    load_entry,
)

_Settings = TypeVar("_Settings")
_LOADERS: dict[str, Callable[[str], EntrySettings | AgentSettings]] = {
    "entry": load_entry,
    "agent": load_agent,
}


def check(path: str) -> int:
    """Say whether a settings file is accepted, and name every bad key if not."""
    if is_platform_file(path):
        return _check_host(path)
    settings = _load(load, path)
    if settings is None:
        return USAGE
    print(f"{path}: accepted as settings of an {settings.process.role}")
    return DONE


def run_daemon(role: str, path: str) -> int:
    """Run a daemon until it is told to stop, and return its exit code."""
    if is_platform_file(path):
        return _run_on_host(role, path)
    settings = _load(_LOADERS[role], path)
    if settings is None:
        return USAGE
    secret = None
    if isinstance(settings, EntrySettings):
        secret = settings.idempotency.minted_key_secret
    logs.configure(
        settings.logging.level,
        settings.logging.format,
        settings.process.name,
        secrets=[secret] if secret else (),
    )
    run: Any = getattr(importlib.import_module(f"lentiltally.{role}"), "run", None)
    if run is None:
        return _fail(f"the {role} is not built in this version; install a later one")
    try:
        return int(run(settings))
    except (LentiltallyError, OSError) as error:
        return _fail(
            f"the {role} stopped: {error}. Remove the cause and start it again; "
            "docs/OPERATIONS.md describes the usual causes"
        )


def _check_host(path: str) -> int:
    """Check a settings file that the platform wrote."""
    settings = _load(load_host_settings, path)
    if settings is None:
        return USAGE
    role = "entry" if settings.callers is not None else "agent"
    print(f"{path}: accepted as settings of an {role} on the platform's hosts")
    return DONE


def _run_on_host(role: str, path: str) -> int:
    """Run a daemon whose settings the platform wrote."""
    settings = _load(lambda name: load_host_settings(name, role), path)
    if settings is None:
        return USAGE
    roles: Any = importlib.import_module("lentiltally.platform.roles")
    try:
        return int(getattr(roles, f"run_{role}")(settings, path))
    except (LentiltallyError, OSError) as error:
        return _fail(f"the {role} stopped: {error}")


def _load(loader: Callable[[str], _Settings], path: str) -> _Settings | None:
    try:
        return loader(path)
    except ExceptionGroup as group:
        print(f"lentiltally: {group.message}", file=sys.stderr)
        for error in group.exceptions:
            print(f"  {error}", file=sys.stderr)
        print(
            "Correct these and run `lentiltally check` on the file; "
            "docs/SETTINGS.md lists every key with its bounds.",
            file=sys.stderr,
        )
        return None


def _fail(message: str) -> int:
    print(f"lentiltally: {message}.", file=sys.stderr)
    return ERROR
