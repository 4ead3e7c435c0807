"""The command ``lentiltally status``."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import cappa

from lentiltally.cli._admin_client import (
    EXIT_CODES_HELP,
    AdminClient,
    AdminUrl,
    JsonOutput,
    print_document,
    run_guarded,
)


@cappa.command(
    name="status",
    help="Print the status of an entry and of what it sees.",
    description=EXIT_CODES_HELP,
)
@dataclass(slots=True)
class StatusCommand:
    """Print the status of an entry."""

    admin: AdminUrl
    json: JsonOutput = False

    def __call__(self) -> int:
        """Print one line per figure, or the document as JSON."""
        return run_guarded(self._run, as_json=self.json)

    def _run(self) -> None:
        document = AdminClient.from_environment(self.admin).get("/status").document()
        print_document(document, _lines, as_json=self.json)


def _lines(document: dict[str, Any]) -> Iterator[str]:
    return (f"{name}: {value}" for name, value in _flatten("", document))


def _flatten(name: str, value: object) -> Iterator[tuple[str, object]]:
    """Return the leaves of a document with dotted names."""
    if isinstance(value, dict) and value:
        for key, held in value.items():
            yield from _flatten(f"{name}.{key}" if name else str(key), held)
    elif isinstance(value, list) and any(isinstance(one, dict) for one in value):
        for index, held in enumerate(value):
            yield from _flatten(f"{name}[{index}]", held)
    else:
        yield name, value if isinstance(value, str) else json.dumps(value)
