"""Generate the tables of docs/SETTINGS.md and docs/METRICS.md from the code.

``python -m tools.pages`` writes them; a test fails if a table differs from the code.
The list of metrics that no code sends yet is written too, but no test compares it.
"""

from __future__ import annotations

import ast
import sys
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Final

from lentiltally.metrics import METRICS
from lentiltally.settings import KEYS, REQUIRED, Key

ROOT: Final = Path(__file__).resolve().parent.parent
BEGIN_MARKER: Final = "<!-- {}: written by python -m tools.pages -->"
END_MARKER: Final = "<!-- end of {} -->"
METRIC_METHODS: Final = ("count", "gauge", "timing")


def main() -> int:
    """Write the tables and the list into the pages."""
    for name, table in PAGES.items():
        page = ROOT / name
        page.write_text(replace_section(page.read_text(), "table", table()))
    page = ROOT / "docs/METRICS.md"
    unsent = [metric.name for metric in METRICS if metric.name not in sent_metrics()]
    names = ", ".join(f"`{name}`" for name in unsent) or "none"
    page.write_text(replace_section(page.read_text(), "list", names))
    return 0


def replace_section(page: str, section: str, content: str) -> str:
    """Return the page with the text between the markers of a section replaced."""
    begin, end = BEGIN_MARKER.format(section), END_MARKER.format(section)
    head, _, rest = page.partition(begin)
    _, _, tail = rest.partition(end)
    return f"{head}{begin}\n\n{content}\n\n{end}{tail}"


def sent_metrics() -> set[str]:
    """Return the names of the metrics that the package sends, found in its source."""
    calls = (
        node
        for path in (ROOT / "lentiltally").rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
    )
    return {
        ast.unparse(call.args[0]).strip("'")
        for call in calls
        if isinstance(call.func, ast.Attribute)
        and call.func.attr in METRIC_METHODS
        and ast.unparse(call.func.value).endswith("metrics")
    }


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
    all_rows = [head, tuple("---" for _ in head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in all_rows)


PAGES: Final[dict[str, Callable[[], str]]] = {
    "docs/SETTINGS.md": settings_table,
    "docs/METRICS.md": metrics_table,
}

if __name__ == "__main__":
    sys.exit(main())
