"""The command ``lentiltally audit``."""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

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
    name="audit",
    help="Print who changed the configuration, or tried to.",
    description=EXIT_CODES_HELP,
)
@dataclass(slots=True)
class AuditCommand:
    """Print the audit trail, in order of the configuration offset."""

    admin: AdminUrl
    path: Annotated[
        str | None, cappa.Arg(long="--path", help="Only this path and below")
    ] = None
    actor: Annotated[
        str | None, cappa.Arg(long="--actor", help="Only this operator")
    ] = None
    since: Annotated[
        str | None,
        cappa.Arg(long="--since", help="Only from this time on (RFC 3339)"),
    ] = None
    json: JsonOutput = False

    def __call__(self) -> int:
        """Print one line per record, or the records as JSON."""
        return run_reporting_errors(self._run, as_json=self.json)

    def _run(self) -> None:
        filters = {"path": self.path, "actor": self.actor, "since": self.since}
        query = {name: value for name, value in filters.items() if value is not None}
        client = AdminClient.from_environment(self.admin)
        document = client.get("/audit", limit="10000", **query).document()
        print_document(document, _lines, as_json=self.json)


def _lines(document: dict[str, Any]) -> Iterator[str]:
    yield from map(_line, document["entries"])
    if document["omitted"]:
        yield f"{document['omitted']} earlier records are not shown"


def _line(entry: dict[str, Any]) -> str:
    """Return a record as one line; control characters are escaped as in JSON."""
    revision = "-" if entry["revision"] is None else entry["revision"]
    parts = [entry["at"], entry["outcome"], entry["actor"] or "-"]
    parts += [entry["source_address"], entry["action"], entry["path"]]
    columns = [json.dumps(part)[1:-1] for part in parts]
    columns += [f"revision {revision}"]
    columns += [f"{name} {json.dumps(entry[name])}" for name in ("before", "after")]
    if entry["reason"]:
        columns.append(json.dumps(entry["reason"]))
    return "  ".join(columns)
