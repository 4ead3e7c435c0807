"""The commands that start daemons and check their settings; must not import cappa."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable
from typing import Any

from lentiltally import logs
from lentiltally.cli._codes import DONE, ERROR, USAGE
from lentiltally.errors import LentiltallyError
from lentiltally.settings import (
    AgentSettings,
    EntrySettings,
    load,
    load_agent,
    load_entry,
)

_LOADERS: dict[str, Callable[[str], EntrySettings | AgentSettings]] = {
    "entry": load_entry,
    "agent": load_agent,
}


def check(path: str) -> int:
    """Say whether a settings file is accepted, and name every bad key if not."""
    settings = _load(load, path)
    if settings is None:
        return USAGE
    print(f"{path}: accepted as settings of an {settings.process.role}")
    return DONE


def run_daemon(role: str, path: str) -> int:
    """Run a daemon until it is told to stop, and return its exit code."""
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


def _load(
    loader: Callable[[str], EntrySettings | AgentSettings], path: str
) -> EntrySettings | AgentSettings | None:
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
