"""The command ``lentiltally config``."""

from __future__ import annotations

import difflib
import json
import secrets
import sys
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa
import tomlkit

from lentiltally.cli._admin_client import (
    EXIT_CODES_HELP,
    NOT_FOUND,
    UNKNOWN_OUTCOME,
    AdminAnswer,
    AdminClient,
    AdminUrl,
    CommandError,
    JsonOutput,
    run_reporting_errors,
)
from lentiltally.cli._codes import ERROR, USAGE
from lentiltally.cli._editor import edit_text

ATTEMPTS = 3

_Path = Annotated[str, cappa.Arg(help="Configuration path, as /teams/T/limits")]


@cappa.command(name="get", help="Print a value as TOML.", description=EXIT_CODES_HELP)
@dataclass(slots=True)
class ConfigGetCommand:
    """Print a value."""

    path: _Path
    admin: AdminUrl
    json: JsonOutput = False

    def __call__(self) -> int:
        """Print the value and, as a comment, its revision."""
        return run_reporting_errors(self._run, as_json=self.json)

    def _run(self) -> None:
        client = AdminClient.from_environment(self.admin)
        value, etag = _read(client, self.path)
        revision = int((etag or '"0"').strip('"'))
        if self.json:
            print(json.dumps({"path": self.path, "revision": revision, "value": value}))
            return
        print(f"# {self.path} revision {revision}")
        print(tomlkit.dumps(value), end="")


@cappa.command(
    name="set",
    help="Change a value, from a file, standard input or an editor.",
    description=EXIT_CODES_HELP,
)
@dataclass(slots=True)
class ConfigSetCommand:
    """Change a value: show the diff, ask, and apply with the revision that was read."""

    path: _Path
    admin: AdminUrl
    file: Annotated[
        str | None,
        cappa.Arg(long="--file", help="TOML file; - is standard input"),
    ] = None
    yes: Annotated[bool, cappa.Arg(long="--yes", help="Apply without asking")] = False
    json: JsonOutput = False

    def __call__(self) -> int:
        """Apply the change."""
        return run_reporting_errors(self._run, as_json=self.json)

    def _run(self) -> None:
        client = AdminClient.from_environment(self.admin)
        previous, etag = _read_or_none(client, self.path)
        previous_text = "" if previous is None else tomlkit.dumps(previous)
        text = self._new_text(previous_text)
        value = _parse(text)
        if value == previous:
            self._report({"path": self.path, "changed": False}, "nothing to change")
            return
        print(
            _unified_diff(previous_text, tomlkit.dumps(value), self.path),
            end="",
            file=sys.stderr,
        )
        self._confirm()
        condition = {"If-None-Match": "*"} if etag is None else {"If-Match": etag}
        document = _put(client, self.path, text, condition)
        for warning in document["warnings"]:
            print(f"warning: {warning}", file=sys.stderr)
        revision = document["revisions"][self.path]
        self._report(
            {"path": self.path, "changed": True, **document},
            f"{self.path} is at revision {revision}",
        )

    def _new_text(self, previous_text: str) -> str:
        if self.file is not None and self.file != "-":
            try:
                return Path(self.file).read_text(encoding="utf-8")
            except (OSError, UnicodeError) as error:
                raise CommandError(f"can't read {self.file}: {error}", USAGE) from None
        if self.file == "-" or not sys.stdin.isatty():
            return sys.stdin.read()
        return edit_text(previous_text)

    def _confirm(self) -> None:
        if self.yes:
            return
        if not sys.stdin.isatty():
            raise CommandError("give --yes to apply without a terminal", USAGE)
        print("Apply? [y/N] ", end="", file=sys.stderr, flush=True)
        if sys.stdin.readline().strip().lower() not in {"y", "yes"}:
            raise CommandError("not applied", ERROR)

    def _report(self, document: dict[str, Any], text: str) -> None:
        print(json.dumps(document) if self.json else text)


@cappa.command(
    name="history",
    help="Print the changes of a path that the log retains.",
    description=EXIT_CODES_HELP,
)
@dataclass(slots=True)
class ConfigHistoryCommand:
    """Print the changes of a path, oldest first."""

    path: _Path
    admin: AdminUrl
    json: JsonOutput = False

    def __call__(self) -> int:
        """Print each change with its diff."""
        return run_reporting_errors(self._run, as_json=self.json)

    def _run(self) -> None:
        client = AdminClient.from_environment(self.admin)
        answer = client.get(f"/config{self.path}", history="1")
        document = answer.document()
        if self.json:
            print(json.dumps(document))
            return
        previous = ""
        for entry in document["entries"]:
            print(
                f"# revision {entry['revision']}, {entry['at']}, {entry['author']}"
                f" from {entry['source_address']}" + _note_suffix(entry["note"])
            )
            text = "" if entry["value"] is None else tomlkit.dumps(entry["value"])
            print(_unified_diff(previous, text, self.path), end="")
            previous = text


@cappa.command(name="config", help="Read and change the configuration.")
@dataclass(slots=True)
class ConfigCommand:
    """Read and change the configuration."""

    command: cappa.Subcommands[
        ConfigGetCommand | ConfigSetCommand | ConfigHistoryCommand
    ]


def _read(client: AdminClient, path: str) -> tuple[dict[str, Any], str | None]:
    answer: AdminAnswer = client.get(f"/config{path}")
    return answer.document(), answer.etag


def _read_or_none(
    client: AdminClient, path: str
) -> tuple[dict[str, Any] | None, str | None]:
    try:
        return _read(client, path)
    except CommandError as error:
        if error.code != NOT_FOUND:
            raise
        return None, None


def _put(
    client: AdminClient, path: str, text: str, condition: dict[str, str]
) -> dict[str, Any]:
    """Put a value; retry with the same Change-Id while the outcome is unknown."""
    headers = {
        "Content-Type": "application/toml",
        "Change-Id": secrets.token_hex(16),
        **condition,
    }
    for _ in range(ATTEMPTS - 1):
        try:
            return client.put(f"/config{path}", text.encode(), headers).document()
        except CommandError as error:
            if error.code != UNKNOWN_OUTCOME:
                raise
    return client.put(f"/config{path}", text.encode(), headers).document()


def _parse(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise CommandError(f"not valid TOML: {error}", USAGE) from None


def _unified_diff(previous: str, text: str, path: str) -> str:
    lines = difflib.unified_diff(
        previous.splitlines(), text.splitlines(), path, path, lineterm=""
    )
    return "".join(f"{line}\n" for line in lines)


def _note_suffix(text: str) -> str:
    return f": {text}" if text else ""
