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
    run_reporting_errors,
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
        """Print one line per value, or the document as JSON."""
        return run_reporting_errors(self._run, as_json=self.json)

    def _run(self) -> None:
        document = AdminClient.from_environment(self.admin).get("/status").document()
        print_document(document, _lines, as_json=self.json)


def _lines(document: dict[str, Any]) -> Iterator[str]:
    return (f"{name}: {value}" for name, value in _flatten("", document))


def _flatten(name: str, value: object) -> Iterator[tuple[str, object]]:
    """Yield the scalar values and plain lists of a document, with dotted names."""
    if isinstance(value, dict) and value:
        for key, member in value.items():
            yield from _flatten(f"{name}.{key}" if name else str(key), member)
    elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
        for index, item in enumerate(value):
            yield from _flatten(f"{name}[{index}]", item)
    else:
        yield name, value if isinstance(value, str) else json.dumps(value)
