"""Steps for the commands that use the administration API."""

from __future__ import annotations

import contextlib
import io
import os
import sys
import tempfile
import threading
from pathlib import Path
from unittest import mock

from behave import given, then, when
from cheroot import wsgi

from lentiltally.cli import main
from lentiltally.clock import ManualClock
from lentiltally.config import ChangeItem, ChangeRecord
from tests.fakes.admin_api import NOW, SECRETS, make_api
from tests.fakes.config_log import FakeLog

ROOT = Path(__file__).resolve().parents[2]


@given("operator commands with an administration API and token ann")
def operator_api(context):
    context.log = FakeLog()
    context.api = make_api(context.log, ManualClock(NOW))
    # One thread, because the stepped follower is not safe to use from several.
    server = wsgi.Server(("127.0.0.1", 0), context.api.application, numthreads=1)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()

    def stop():
        server.stop()
        thread.join()

    context.add_cleanup(stop)
    context.environment = {
        "LENTILTALLY_ADMIN": f"http://127.0.0.1:{server.bind_addr[1]}",
        "LENTILTALLY_TOKEN": SECRETS["ann"],
    }


@given("operator has a wrong token")
def operator_wrong_token(context):
    context.environment["LENTILTALLY_TOKEN"] = "wrong"


@given("operator write is preceded by a write of another operator")
def operator_write_preceded(context):
    item = ChangeItem("/teams/a/limits", None, {"share": 9.0})
    change = ChangeRecord("f" * 32, "bob", "-", NOW, (item,))
    context.log.concurrent_values = [change]


@given("operator log loses {count:d} answers")
def operator_loses(context, count):
    context.log.append_faults = ["dropped"] * count


@given("operator editor replaces {old} by {new}")
def operator_editor(context, old, new):
    program = (
        "import pathlib, sys; p = pathlib.Path(sys.argv[1]);"
        f" p.write_text(p.read_text().replace({old!r}, {new!r}))"
    )
    context.environment["EDITOR"] = f'{sys.executable} -c "{program}"'


class Terminal(io.StringIO):
    def isatty(self):
        return True


def run(context, command, stdin):
    out = io.StringIO()
    with (
        mock.patch.dict(os.environ, context.environment),
        mock.patch("sys.stdin", stdin),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(out),
    ):
        context.code = main(command.split())
    context.output = out.getvalue()


@when("operator runs {command} with input {text}")
def operator_runs(context, command, text):
    run(context, command, io.StringIO("" if text == "none" else text))


@when("operator runs {command} on a terminal")
def operator_runs_on_terminal(context, command):
    run(context, command, Terminal())


@when("operator has limits.toml with {text}")
def operator_has_file(context, text):
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.directory = directory.name
    Path(directory.name, "limits.toml").write_text(text)


@then("operator runs the {count:d} commands of the operations page with exit code 0")
def operator_runs_page(context, count):
    lines = (ROOT / "docs/OPERATIONS.md").read_text().splitlines()
    prefix = "    lentiltally "
    commands = [line.removeprefix(prefix) for line in lines if line.startswith(prefix)]
    assert len(commands) == count, commands
    for command in commands:
        with contextlib.chdir(context.directory):
            run(context, command, Terminal("y\n"))
        assert context.code == 0, (command, context.code, context.output)


@then("operator gets exit code {code:d} and output containing {text}")
@then("operator gets exit code {code:d} and output containing ")
@then("operator gets exit code {code:d} and output containing")
def operator_gets(context, code, text=""):
    assert context.code == code, (context.code, context.output)
    assert text in context.output, context.output
