"""Steps for the settings files."""

from __future__ import annotations

import tempfile
import traceback
from pathlib import Path

import tomlkit
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from lentiltally.settings import (
    KEYS,
    AgentSettings,
    EntrySettings,
    SettingsError,
    load_entry,
    parse,
)

ROOT = Path(__file__).resolve().parents[2]
SECRET = "a secret of more than 32 bytes, quite random"


def _errors(text, role=None):
    try:
        parse(text, role)
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


def _with_value(sample, path, value):
    *tables, name = path.split(".")
    document = tomlkit.parse(sample)
    current_table = document
    for table in tables:
        current_table = current_table.setdefault(table, tomlkit.table())
    current_table[name] = tomlkit.parse(f"value = {value}")["value"]
    return tomlkit.dumps(document)


@given("settings of the {role} sample")
def settings_sample(context, role):
    context.sample = (ROOT / f"examples/fraser-valley/{role}.toml").read_text()
    assert not _errors(context.sample), _errors(context.sample)


@then("settings with these values report these keys")
def settings_report(context):
    for row in context.table:
        if row["path"]:
            context.sample = _with_value(context.sample, row["path"], row["value"])
    found = {error.path: str(error) for error in _errors(context.sample)}
    assert sorted(found) == sorted(row["bad key"] for row in context.table), found
    for row in context.table:
        assert row["reason"] in found[row["bad key"]], (row["reason"], found)


@then('settings parsed as those of an entry report "{path}"')
def settings_as_entry(context, path):
    paths = [error.path for error in _errors(context.sample, "entry")]
    assert path in paths, paths


@when("settings with a secret are parsed, also too short and under mistyped names")
def settings_with_secret(context):
    names = ("minted_key_secret", "minted_key_secrets", "my_secret", "api_token")
    changes = [
        (f"{table}.{name}", f'"{SECRET}"')
        for table in ("idempotency", "idempotencey", "callers")
        for name in names
    ]
    changes.append(("idempotency.minted_key_secret", f'"{SECRET[:20]}"'))
    changes.append(("admin.tokens", f'["{SECRET}"]'))
    context.output = ""
    for path, value in changes:
        text = _with_value(context.sample, path, value)
        try:
            context.output += repr(parse(text))
        except ExceptionGroup as group:
            context.output += "".join(traceback.format_exception(group))


@then("settings reveal the secret nowhere")
def settings_reveal_nothing(context):
    assert SECRET[:20] not in context.output, context.output
    assert "at least 32 bytes" in context.output, context.output


@when("settings file {content} is read")
def settings_from_file(context, content):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        if content != "missing":
            path.write_bytes(b"[process\n" if content == "not TOML" else b"# caf\xe9")
        try:
            load_entry(path)
        except ExceptionGroup as group:
            context.errors = group.exceptions


@then('settings report "{reason}" for the file')
def settings_file_error(context, reason):
    assert [e.path for e in context.errors] == ["file"], context.errors
    assert reason in str(context.errors[0]), context.errors


def _documents():
    """Return a strategy for documents of random values under known and other names."""
    scalars = st.one_of(
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(st.characters(codec="utf-8", exclude_categories=["Cc"]), max_size=20),
        st.datetimes(),
        st.dates(),
        st.sampled_from(["entry", "agent", "tcp://127.0.0.1:1", "http://[", "a" * 64]),
    )
    parts = sorted({p for key in KEYS for p in key.path.replace("[]", "").split(".")})
    names = st.one_of(
        st.sampled_from(parts), st.from_regex(r"[a-z_ .]{1,9}", fullmatch=True)
    )
    values = st.recursive(
        scalars,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3), st.dictionaries(names, inner, max_size=6)
        ),
        max_leaves=20,
    )
    return st.dictionaries(names, values, max_size=10)


@then("settings checker raises only error groups for {number:d} random texts")
def settings_of_random_texts(context, number):
    def check(text):
        for role in ("entry", "agent", None):
            try:
                result = parse(text, role)
            except ExceptionGroup as group:
                assert all(isinstance(e, SettingsError) for e in group.exceptions)
                assert all(str(e) for e in group.exceptions)
            else:
                assert isinstance(result, EntrySettings | AgentSettings)

    @hypothesis_settings(max_examples=number)
    @for_all(_documents())
    def documents(document):
        check(tomlkit.dumps(document))

    @hypothesis_settings(max_examples=number)
    @for_all(st.one_of(st.text(), st.binary()))
    def texts(text):
        check(text)

    documents()
    texts()
    check("a = " + "[" * 100_000)
    check("[metrics]\nport = 0x" + "f" * 10_000)
    check("a = " + "9" * 10_000)
