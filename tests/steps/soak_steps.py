"""Steps for the fault soak."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import then, when

from tests.soak.__main__ import kept_log_folder

ROOT = Path(__file__).resolve().parent.parent.parent


@when("soak runs seed {seed:d} for {seconds:d} s")
def runs(context, seed, seconds):
    command = [sys.executable, "-m", "tests.soak"]
    command += ["--seed", str(seed), "--seconds", str(seconds)]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )
    context.output = result.stdout + result.stderr
    context.report = json.loads(result.stdout.splitlines()[-1])


@then("soak found no violation")
def no_violation_found(context):
    assert not context.report["broken"], context.output
    assert context.report["outcomes"].get("200", 0) > 0, context.output


@then("soak keeps the files of seeds {one:d} and {other:d} in separate subfolders")
def keeps_apart(context, one, other):
    with tempfile.TemporaryDirectory() as folder:
        folders = {kept_log_folder(Path(folder), seed) for seed in (one, other)}
        assert len(folders) == 2, folders
        assert all(folder.is_dir() for folder in folders)
