"""Steps for the settings files."""

from __future__ import annotations

import io
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

COMMON = """
[process]
role = "{role}"
name = "process-1"
region = "bc-south"
failure_domain = "a"
[log]
url = "http://127.0.0.1:9001"
"""
SAMPLES = {
    "entry": COMMON.format(role="entry")
    + '[host_list]\nurl = "http://127.0.0.1:9002"\n',
    "agent": COMMON.format(role="agent")
    + '[[targets]]\nname = "x"\nkind = "service"\nurl = "http://127.0.0.1:9003"\n',
}
SECRET = "a secret of more than 32 bytes, quite random"


def _errors(text, role=None):
    try:
        parse(text, role)
    except ExceptionGroup as group:
        return list(group.exceptions)
    return []


@given("settings of the {role} sample")
def settings_sample(context, role):
    context.role = role
    context.sample = SAMPLES[role]
    assert not _errors(context.sample), _errors(context.sample)


@when("settings are read after these changes")
def settings_changed(context):
    document = tomlkit.parse(context.sample)
    for row in context.table:
        *tables, name = row["path"].split(".")
        place = document
        for table in tables:
            place = place.setdefault(table, tomlkit.table())
        place[name] = tomlkit.parse(f"value = {row['value']}")["value"]
    context.errors = _errors(tomlkit.dumps(document))


@when("settings are read as those of an entry")
def settings_as_entry(context):
    context.errors = _errors(context.sample, "entry")


@then("settings report")
def settings_report(context):
    shown = [str(error) for error in context.errors]
    wanted = [(row["path"], row["reason"]) for row in context.table]
    paths = sorted(error.path for error in context.errors)
    assert paths == sorted(path for path, _ in wanted), shown
    for path, reason in wanted:
        line = next(error for error in context.errors if error.path == path)
        assert reason in str(line), (reason, str(line))


@then('settings report "{path}" among the bad keys')
def settings_report_one(context, path):
    assert path in {error.path for error in context.errors}, context.errors


@when("settings with a secret are read, whole and under mistyped names")
def settings_secret(context):
    out = io.StringIO()
    tables = ("idempotency", "idempotencey", "callers")
    names = ("minted_key_secret", "minted_key_secrets", "my_secret", "api_token")
    for table in tables:
        for name in names:
            text = f'{context.sample}[{table}]\n{name} = "{SECRET}"\n'
            try:
                print(repr(parse(text)), file=out)
            except ExceptionGroup as group:
                traceback.print_exception(group, file=out)
    short = f'{context.sample}[idempotency]\nminted_key_secret = "{SECRET[:20]}"\n'
    print([str(error) for error in _errors(short)], file=out)
    print(_errors(f'{context.sample}[admin]\ntokens = ["{SECRET}"]\n'), file=out)
    context.shown = out.getvalue()


@then("settings show the secret nowhere")
def settings_no_secret(context):
    assert SECRET[:20] not in context.shown, context.shown
    assert "at least 32 bytes" in context.shown, context.shown


@when("settings file {content} is read")
def settings_file(context, content):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        if content == "latin-1":
            path.write_bytes("# caf\xe9".encode("latin-1"))
        if content == "not TOML":
            path.write_text("[process\n")
        try:
            load_entry(path)
        except ExceptionGroup as group:
            context.errors = group.exceptions


@then('settings report "{reason}" for the file')
def settings_file_error(context, reason):
    assert [e.path for e in context.errors] == ["file"], context.errors
    assert reason in str(context.errors[0]), context.errors


def _documents():
    """Return documents with random values under known and under random names."""
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
def settings_random(context, number):
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
