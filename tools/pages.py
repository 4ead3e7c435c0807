"""Writes the tables of docs/SETTINGS.md and docs/METRICS.md from the code.

``python -m tools.pages`` writes them; a test fails while a page and the code differ.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

from lentiltally.metrics import METRICS
from lentiltally.settings import KEYS, REQUIRED, Key

ROOT: Final = Path(__file__).resolve().parent.parent
BEGIN: Final = "<!-- table: written by python -m tools.pages -->"
END: Final = "<!-- end of table -->"


def main() -> int:
    """Write the tables into the pages."""
    for name, table in PAGES.items():
        page = ROOT / name
        page.write_text(with_table(page.read_text(), table()))
    return 0


def with_table(page: str, table: str) -> str:
    """Return the page with the table in place of the one between the markers."""
    head, _, rest = page.partition(BEGIN)
    _, _, tail = rest.partition(END)
    return f"{head}{BEGIN}\n\n{table}\n\n{END}{tail}"


def settings_table() -> str:
    """Return the table of settings keys in Markdown."""
    rows = [
        (
            f"`{key.path}`",
            "both" if len(key.roles) > 1 else key.roles[0],
            _type(key),
            _default(key),
            _bounds(key),
            key.effect,
        )
        for key in KEYS
    ]
    return _table(("key", "role", "type", "default", "bounds", "effect"), rows)


def metrics_table() -> str:
    """Return the table of metrics in Markdown."""
    rows = [
        (
            f"`{metric.name}`" + (f" by {metric.label}" if metric.label else ""),
            metric.role,
            metric.kind,
            metric.unit,
            metric.meaning,
        )
        for metric in METRICS
    ]
    return _table(("metric", "role", "kind", "unit", "meaning"), rows)


def _type(key: Key) -> str:
    return f"{key.kind.name} ({key.unit})" if key.unit else key.kind.name


def _default(key: Key) -> str:
    if key.default is REQUIRED:
        return "required"
    if key.default is None:
        return "none"
    shown = str(key.default).lower() if isinstance(key.default, bool) else key.default
    return f'`"{shown}"`' if isinstance(shown, str) and shown else f"`{shown}`"


def _bounds(key: Key) -> str:
    if key.lower is None and key.upper is None:
        return ""
    noun = " entries" if key.kind.name.startswith("list") else ""
    lowest = 0 if key.lower is None else key.lower
    return f"{lowest} to {key.upper}{noun}"


def _table(head: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    lines = [head, tuple("---" for _ in head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


PAGES: Final[dict[str, Callable[[], str]]] = {
    "docs/SETTINGS.md": settings_table,
    "docs/METRICS.md": metrics_table,
}

if __name__ == "__main__":
    sys.exit(main())
