"""Steps for the fault soak."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from behave import then, when

ROOT = Path(__file__).resolve().parent.parent.parent


@when("soak runs seed {seed:d} for {seconds:d} s")
def runs(context, seed, seconds):
    command = [sys.executable, "-m", "tests.soak"]
    command += ["--seed", str(seed), "--seconds", str(seconds)]
    result = subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False
    )
    context.output = result.stdout + result.stderr
    context.seen = json.loads(result.stdout.splitlines()[-1])


@then("soak found no broken promise")
def no_broken_promise(context):
    assert not context.seen["broken"], context.output
    assert context.seen["outcomes"].get("200", 0) > 0, context.output
