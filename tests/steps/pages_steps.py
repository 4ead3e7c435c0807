"""Steps for the documentation pages and the sample configurations."""

from __future__ import annotations

import re
import tomllib
from datetime import UTC, datetime
from pathlib import Path

from behave import then

from lentiltally.cli._operators import _root_command
from lentiltally.config import ChangeItem, ChangeRecord, ConfigTree, validate
from lentiltally.config.snapshot import decode_snapshot, encode_snapshot
from lentiltally.metrics import METRICS
from tools.pages import PAGES, replace_section, sent_metrics

ROOT = Path(__file__).resolve().parents[2]
LINK = re.compile(r"\]\((?!https?://|#)([^)#]+)")
COMMAND = re.compile(r"lentiltally ([a-z]+)(?=[ \n])")
METRIC_NAMES = {metric.name for metric in METRICS}


def _pages():
    pages = [*ROOT.glob("*.md"), *ROOT.glob("docs/*.md")]
    assert len(pages) > 5, pages
    return [page for page in pages if page.name != "design.md"]


@then("pages table of docs/{name} matches the code")
def pages_table(context, name):
    page = (ROOT / "docs" / name).read_text()
    assert replace_section(page, "table", PAGES[f"docs/{name}"]()) == page, (
        "run python -m tools.pages"
    )


@then("pages have no dead link")
def pages_links(context):
    for page in _pages():
        for link in LINK.findall(page.read_text()):
            assert (page.parent / link).exists(), (page.name, link)


@then("pages name no command that the command line refuses")
def pages_commands(context):
    union = _root_command().__annotations__["command"]
    known = {command.__cappa__.name for command in _union_members(union)}
    for page in _pages():
        for line in page.read_text().split("\n"):
            code = re.findall(r"`([^`]+)`", line)
            code += [line] if line.startswith("    ") else []
            named = {name for part in code for name in COMMAND.findall(f"{part}\n")}
            assert named <= known or "not built" in line, (page.name, line)


def _union_members(annotation):
    union = getattr(annotation, "__origin__", annotation)
    return getattr(union, "__args__", (union,))


@then("pages on operation name only declared metrics")
def pages_alarms(context):
    rows = (ROOT / "docs/OPERATIONS.md").read_text().partition("## Alarms")[2]
    alarm_metrics = re.findall(r"^\| `([a-z_]+)`", rows, re.MULTILINE)
    assert len(alarm_metrics) > 5 and set(alarm_metrics) <= METRIC_NAMES, (
        set(alarm_metrics) - METRIC_NAMES
    )


@then("pages table of metrics has every metric that the code sends")
def pages_metrics(context):
    sent = sent_metrics()
    assert len(sent) > 5, sent
    assert sent <= METRIC_NAMES, sent - METRIC_NAMES


@then("pages sample {file} is accepted by the configuration schema")
def pages_sample(context, file):
    values = _sample(file)
    problems = [p for path, value in values.items() for p in validate(path, value)]
    assert len(values) > 5 and not problems, problems


@then("pages sample {file} is the same after a snapshot")
def pages_snapshot(context, file):
    items = tuple(ChangeItem(path, 0, value) for path, value in _sample(file).items())
    at = datetime(2026, 1, 1, tzinfo=UTC)
    record = ChangeRecord("0" * 32, "ann", "127.0.0.1", at, items)
    tree = ConfigTree.empty().apply(record, 0).tree
    assert decode_snapshot(encode_snapshot(tree)).list() == tree.list() != []


def _sample(file):
    return dict(_values("", tomllib.loads((ROOT / file).read_text())))


def _values(path, table):
    """Yield the tables that are values of configuration paths."""
    depth = path.count("/")
    is_value = path.startswith("/teams/") and (depth == 4 or path.endswith("/limits"))
    if is_value or (depth == 2 and not path.startswith("/teams/")):
        yield path, table
        return
    for name, inner in table.items():
        yield from _values(f"{path}/{name}", inner)
