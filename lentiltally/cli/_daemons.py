"""The commands that run daemons and check settings files.

This module must not import cappa, which would add about 7 MB to each daemon.
"""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Mapping
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
    """Print whether a settings file is valid, and each invalid key if it is not."""
    if is_platform_file(path):
        return _check_platform_file(path)
    settings = _load_or_report(load, path)
    if settings is None:
        return USAGE
    print(f"{path}: accepted as settings of an {settings.process.role}")
    return DONE


def run_daemon(role: str, path: str, options: Mapping[str, str] | None = None) -> int:
    """Run a daemon until a signal stops it, and return the exit code.

    ``options`` are keyword arguments of the platform's role.
    """
    if is_platform_file(path):
        return _run_with_platform_file(role, path, options or {})
    if options:
        print(
            f"lentiltally: {path} is no settings file of the platform, which --balance "
            "needs.",
            file=sys.stderr,
        )
        return USAGE
    settings = _load_or_report(_LOADERS[role], path)
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
        return _report_failure(
            f"the {role} is not built in this version; install a later one"
        )
    try:
        return int(run(settings))
    except (LentiltallyError, OSError) as error:
        return _report_failure(
            f"the {role} stopped: {error}. Remove the cause and start it again; "
            "docs/OPERATIONS.md describes the usual causes"
        )


def _check_platform_file(path: str) -> int:
    """Check a settings file that was written by the platform."""
    settings = _load_or_report(load_host_settings, path)
    if settings is None:
        return USAGE
    role = "entry" if settings.callers is not None else "agent"
    print(f"{path}: accepted as settings of an {role} on the platform's hosts")
    return DONE


def _run_with_platform_file(role: str, path: str, options: Mapping[str, str]) -> int:
    """Run a daemon with a settings file that was written by the platform."""
    settings = _load_or_report(lambda name: load_host_settings(name, role), path)
    if settings is None:
        return USAGE
    roles: Any = importlib.import_module("lentiltally.platform.roles")
    try:
        return int(getattr(roles, f"run_{role}")(settings, path, **options))
    except (LentiltallyError, OSError) as error:
        return _report_failure(f"the {role} stopped: {error}")


def _load_or_report(loader: Callable[[str], _Settings], path: str) -> _Settings | None:
    """Return the settings, or print their errors and return None."""
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


def _report_failure(message: str) -> int:
    """Print why a daemon could not run, and return the exit code."""
    print(f"lentiltally: {message}.", file=sys.stderr)
    return ERROR
