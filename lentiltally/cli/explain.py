"""The command ``lentiltally explain``."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import cappa

from lentiltally.cli._admin_client import (
    AdminClient,
    JsonOutput,
    print_document,
    run_reporting_errors,
)

_COLUMNS = (
    "cost_s",
    "adapter",
    "state_age_s",
    "running",
    "waiting",
    "prefill_tokens",
    "free_slots",
    "expected_other_tokens",
    "pace",
    "own_requests",
)


@cappa.command(
    name="explain",
    help="Print where a request would go now, and why, without sending it.",
    description="Asks an entry of the direct path on its metrics port."
    " Exit codes: 0 done, 1 error, 2 wrong usage.",
)
@dataclass(slots=True)
class ExplainCommand:
    """Explain the choice of a target for one request."""

    entry: Annotated[
        str, cappa.Arg(long="--entry", help="URL of the entry's metrics port")
    ]
    host: Annotated[str, cappa.Arg(long="--host", help="Host header of the request")]
    path: Annotated[str, cappa.Arg(long="--path", help="Path of the request")]
    account: Annotated[
        str, cappa.Arg(long="--account", help="Name of the caller's client account")
    ] = ""
    adapter: Annotated[
        str, cappa.Arg(long="--adapter", help="MODEL or MODEL/ADAPTER")
    ] = ""
    tokens: Annotated[
        int, cappa.Arg(long="--tokens", help="Length of the prompt in tokens")
    ] = 0
    parts: Annotated[
        str, cappa.Arg(long="--parts", help="Ids of the prompt's parts, by commas")
    ] = ""
    request: Annotated[
        str, cappa.Arg(long="--request", help="Request id, for routes that are split")
    ] = ""
    json: JsonOutput = False

    def __call__(self) -> int:
        """Print one line per fact and target, or the document as JSON."""
        return run_reporting_errors(self._run, as_json=self.json)

    def _run(self) -> None:
        answer = AdminClient(self.entry, "").get(
            "/explain",
            host=self.host,
            path=self.path,
            account=self.account,
            adapter=self.adapter,
            tokens=str(self.tokens),
            parts=self.parts,
            request=self.request,
        )
        print_document(answer.document(), _lines, as_json=self.json)


def _lines(document: dict[str, Any]) -> Iterator[str]:
    for obstacle in document["obstacles"]:
        yield f"would be refused: {obstacle['status']} {obstacle['reason']}"
    for name, value in document.items():
        if name not in ("obstacles", "choices") and value not in (None, "", []):
            shown = ", ".join(value) if isinstance(value, list) else value
            yield f"{name}: {shown}"
    for position, choice in enumerate(document["choices"], start=1):
        facts = ", ".join(
            f"{name} {choice[name]}" for name in _COLUMNS if choice[name] is not None
        )
        place = f"{choice['target']} at {choice['address']} in"
        yield f"{position}. {place} {choice['failure_domain']}: {facts}"
