"""All commands as cappa parses them, with help and shell completion."""

from __future__ import annotations

import functools
import importlib
import operator
import sys
from collections.abc import Sequence
from dataclasses import dataclass, make_dataclass
from typing import Annotated, Any, Literal

import cappa
from rich.console import Console

from lentiltally import __version__
from lentiltally.cli._codes import DONE, ERROR, USAGE
from lentiltally.cli._daemons import check, run_daemon
from lentiltally.errors import LentiltallyError

_OPERATOR_COMMANDS = (
    ("lentiltally.cli.config", "ConfigCommand"),
    ("lentiltally.cli.audit", "AuditCommand"),
    ("lentiltally.cli.status", "StatusCommand"),
    ("lentiltally.cli.explain", "ExplainCommand"),
)
_SettingsFile = Annotated[
    str, cappa.Arg(long="--settings", help="Settings file (TOML)")
]


@cappa.command(name="entry", help="Run an entry.")
@dataclass(slots=True)
class EntryCommand:
    """Run an entry, the process that receives callers' requests."""

    settings: _SettingsFile
    balance: Annotated[
        Literal["expected", "reported", "auto"] | None,
        cappa.Arg(long="--balance", help="How engines are chosen (default: auto)"),
    ] = None

    def __call__(self) -> int:
        """Run until a signal stops the daemon."""
        options = {"balance": self.balance} if self.balance else {}
        return run_daemon("entry", self.settings, options)


@cappa.command(name="agent", help="Run an agent.")
@dataclass(slots=True)
class AgentCommand:
    """Run an agent, the process beside the targets of a host."""

    settings: _SettingsFile

    def __call__(self) -> int:
        """Run until a signal stops the daemon."""
        return run_daemon("agent", self.settings)


@cappa.command(name="check", help="Check a settings file and name every bad key.")
@dataclass(slots=True)
class CheckCommand:
    """Check a settings file and name every bad key."""

    path: Annotated[str, cappa.Arg(help="Settings file (TOML)")]

    def __call__(self) -> int:
        """Print the result."""
        return check(self.path)


def run_command(arguments: Sequence[str]) -> int:
    """Parse the arguments, run the command and return its exit code."""
    try:
        result = cappa.invoke(
            _root_command(),
            argv=list(arguments),
            version=__version__,
            output=_new_output(arguments),
        )
    except SystemExit as stop:
        if stop.code == USAGE:
            print("Run `lentiltally --help` for the commands.", file=sys.stderr)
        return stop.code if isinstance(stop.code, int) else ERROR
    except LentiltallyError as error:
        print(f"lentiltally: {error}", file=sys.stderr)
        return ERROR
    except ExceptionGroup as group:
        print(f"lentiltally: {group.message}", file=sys.stderr)
        for nested in group.exceptions:
            print(f"  {nested}", file=sys.stderr)
        return ERROR
    return result if isinstance(result, int) else DONE


def _new_output(arguments: Sequence[str]) -> cappa.Output:
    # Line breaks added by wrapping would change what a completion script does.
    width = 10_000 if "--completion" in arguments[:1] else None
    return cappa.Output(output_console=Console(width=width))


def _root_command() -> type[Any]:
    commands = [EntryCommand, AgentCommand, CheckCommand, *_operator_commands()]
    union = functools.reduce(operator.or_, commands)
    subcommands = cappa.Subcommands[union]  # type: ignore[valid-type]
    root = make_dataclass("Lentiltally", [("command", subcommands)])
    decorate = cappa.command(
        name="lentiltally",
        help="Serving layer for very many LoRA adapters.",
        description="Exit codes: 0 done, 1 error, 2 wrong usage or bad settings."
        " Commands of operators have further codes, which their help lists.",
    )
    return decorate(root)


def _operator_commands() -> list[Any]:
    """Return the operators' commands whose modules exist in this build."""
    commands = []
    for module, name in _OPERATOR_COMMANDS:
        try:
            commands.append(getattr(importlib.import_module(module), name))
        except ModuleNotFoundError as error:
            if error.name != module:
                raise
    return commands
