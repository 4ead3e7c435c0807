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
SAMPLE = ROOT / "examples/fraser-valley/entry.toml"
BUILD = (
    "import pathlib, sys; from tools.build_binary import build; "
    "build(pathlib.Path(sys.argv[1]))"
)
REPLACED = """
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
        command = [sys.executable, "-c", BUILD, str(path)]
        subprocess.run(command, cwd=ROOT, env=environment, check=True)
        return path.read_bytes()


_build_once = functools.cache(_build)


def _python(context, *arguments):
    """Run the interpreter without the packages of the environment under test."""
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
def binary_built(context, seed):
    context.content = _build_once(seed)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.path = context.folder / "lentiltally"
    context.path.write_bytes(context.content)


@when("binary checks the entry sample with an empty environment")
def binary_checks(context):
    context.folder.chmod(0o555)
    _python(context, context.path, "check", SAMPLE)
    context.folder.chmod(0o755)


@when("binary is replaced by another file after its start")
def binary_replaced(context):
    context.path.with_name("lentiltally.other").write_bytes(b"another build")
    _python(context, "-c", REPLACED, context.path)


@then("binary has the same bytes if built with hash seed {seed:d}")
def binary_same(context, seed):
    assert _build(seed) == context.content


@then("binary holds every module of lentiltally")
def binary_complete(context):
    names = set(zipfile.ZipFile(io.BytesIO(context.content)).namelist())
    modules = (ROOT / "lentiltally").rglob("*.py")
    wanted = {f"{path.relative_to(ROOT).as_posix()}c" for path in modules}
    assert wanted <= names, wanted - names


@then("binary holds no file of {folders}")
def binary_excludes(context, folders):
    names = zipfile.ZipFile(io.BytesIO(context.content)).namelist()
    tops = {name.split("/")[0].removesuffix(".pyc") for name in names}
    assert not tops & set(folders.split(", ")), tops


@then("binary holds the native modules {modules}")
def binary_native(context, modules):
    archive = zipfile.ZipFile(io.BytesIO(context.content))
    lines = archive.read("native-modules.txt").decode().splitlines()
    assert [line.split()[0] for line in lines] == modules.split(", "), lines


@then("binary accepts it and leaves no file behind")
def binary_accepts(context):
    assert context.result.returncode == 0, context.result.stderr
    assert "accepted as settings of an entry" in context.result.stdout
    assert list(context.folder.iterdir()) == [context.path]


@then("binary still imports lentiltally.wire and takes pynng from memory")
def binary_imports(context):
    assert context.result.returncode == 0, context.result.stderr
    wire, native = context.result.stdout.split()
    assert wire.startswith("/proc/self/fd/"), wire
    assert native.startswith("/proc/self/fd/"), native
    assert context.path.read_bytes() == b"another build"


@then("binary start code ends with {code:d} under Python 3.12 and names {wanted}")
def binary_refuses(context, code, wanted):
    output = io.StringIO()
    with (
        mock.patch.object(sys, "version_info", (3, 12, 0)),
        contextlib.redirect_stderr(output),
    ):
        assert binary_bootstrap.start() == code
    assert wanted in output.getvalue(), output.getvalue()
