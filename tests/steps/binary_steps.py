"""Steps for the binary."""

from __future__ import annotations

import contextlib
import functools
import io
import os
import subprocess
import sys
import tempfile
import zipfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from tools import binary_bootstrap

ROOT = Path(__file__).resolve().parents[2]
ENTRY_SAMPLE = ROOT / "examples/fraser-valley/entry.toml"
BUILD_SCRIPT = (
    "import pathlib, sys; from tools.build_binary import build; "
    "build(pathlib.Path(sys.argv[1]))"
)
REPLACE_AND_IMPORT_SCRIPT = """
import os, sys, zipimport
path = sys.argv[1]
code = zipimport.zipimporter(path).get_code("__main__")
start = {"__name__": "start"}
exec(code, start)
start["prepare"](path)
os.replace(path + ".other", path)
import lentiltally.wire, pynng
print(lentiltally.wire.__file__, pynng._nng.__file__)
"""


def _build(hash_seed):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "lentiltally"
        environment = {**os.environ, "PYTHONHASHSEED": str(hash_seed)}
        command = [sys.executable, "-c", BUILD_SCRIPT, str(path)]
        subprocess.run(command, cwd=ROOT, env=environment, check=True)
        return path.read_bytes()


_build_once = functools.cache(_build)


def _run_base_python(context, *arguments):
    """Run the base interpreter, without environment and installed packages."""
    interpreter = Path(sys.base_prefix) / "bin" / "python3.11"
    context.result = subprocess.run(
        [str(interpreter), "-S", *map(str, arguments)],
        cwd="/",
        env={},
        check=False,
        capture_output=True,
        text=True,
    )


@given("binary built with hash seed {seed:d}")
def provide_binary(context, seed):
    context.content = _build_once(seed)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.path = context.folder / "lentiltally"
    context.path.write_bytes(context.content)


@when("binary checks the entry sample with an empty environment")
def check_entry_sample(context):
    context.folder.chmod(0o555)
    _run_base_python(context, context.path, "check", ENTRY_SAMPLE)
    context.folder.chmod(0o755)


@when("binary is replaced by another file after its start")
def replace_binary(context):
    context.path.with_name("lentiltally.other").write_bytes(b"another build")
    _run_base_python(context, "-c", REPLACE_AND_IMPORT_SCRIPT, context.path)


@then("binary has the same bytes if built with hash seed {seed:d}")
def assert_same_bytes(context, seed):
    assert _build(seed) == context.content


@then("binary contains every module of lentiltally")
def assert_every_module(context):
    names = set(zipfile.ZipFile(io.BytesIO(context.content)).namelist())
    modules = (ROOT / "lentiltally").rglob("*.py")
    expected_names = {f"{path.relative_to(ROOT).as_posix()}c" for path in modules}
    assert expected_names <= names, expected_names - names


@then("binary contains no file of {folders}")
def assert_folders_excluded(context, folders):
    names = zipfile.ZipFile(io.BytesIO(context.content)).namelist()
    top_level_names = {name.split("/")[0].removesuffix(".pyc") for name in names}
    assert not top_level_names & set(folders.split(", ")), top_level_names


@then("binary contains the native modules {modules}")
def assert_native_modules(context, modules):
    archive = zipfile.ZipFile(io.BytesIO(context.content))
    lines = archive.read("native-modules.txt").decode().splitlines()
    assert [line.split()[0] for line in lines] == modules.split(", "), lines


@then("binary accepts the entry sample and writes no file")
def assert_sample_accepted(context):
    assert context.result.returncode == 0, context.result.stderr
    assert "accepted as settings of an entry" in context.result.stdout
    assert list(context.folder.iterdir()) == [context.path]


@then("binary still imports lentiltally.wire and loads pynng from memory")
def assert_imports_from_memory(context):
    assert context.result.returncode == 0, context.result.stderr
    wire_path, native_path = context.result.stdout.split()
    assert wire_path.startswith("/proc/self/fd/"), wire_path
    assert native_path.startswith("/proc/self/fd/"), native_path
    assert context.path.read_bytes() == b"another build"


@then("binary start code returns {code:d} under Python 3.12 and names {version}")
def assert_start_refused(context, code, version):
    output = io.StringIO()
    with (
        mock.patch.object(sys, "version_info", (3, 12, 0)),
        contextlib.redirect_stderr(output),
    ):
        assert binary_bootstrap.start() == code
    assert version in output.getvalue(), output.getvalue()
