"""Switches mechanisms of the direct path off, one at a time, and runs their tests.

``python -m tools.mutations`` prints a line for each mechanism: ``red`` if its scenario
fails without the mechanism, as it must, or ``GREEN`` if the test can't fail.
"""

from __future__ import annotations

import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from tools._mutation_table import MUTATIONS, Mutation

ROOT = Path(__file__).resolve().parent.parent
LEFT_OUT = (".git", ".venv", ".*_cache", "__pycache__", "journal", "target", "dist")


def main(arguments: Sequence[str]) -> int:
    """Try the named mechanisms, or all, and return 0 if each scenario turns red."""
    green = tried = 0
    for mutation in MUTATIONS:
        if arguments and mutation.mechanism not in arguments:
            continue
        tried += 1
        is_red = _fails_without(mutation)
        green += not is_red
        print(f"{'red' if is_red else 'GREEN'}: {mutation.mechanism}", flush=True)
    print(f"{tried - green} of {tried} mechanisms have such a test")
    return 1 if green else 0


def _fails_without(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder, "copy")
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(*LEFT_OUT))
        module = copy / "lentiltally" / mutation.module
        text = module.read_text()
        if text.count(mutation.before) != 1:
            raise SystemExit(f"{mutation.mechanism}: text not found once")
        text = text.replace(mutation.before, mutation.after)
        module.write_text(text)
        command = [sys.executable, "-m", "behave", "--format=progress"]
        command += [f"tests/{mutation.feature}.feature", "--name", mutation.scenario]
        result = subprocess.run(
            command, cwd=copy, capture_output=True, text=True, check=False
        )
        # A run that can't be loaded fails too, so the summary must count the scenario.
        return (
            re.search(
                r"passed, ([1-9]\d* failed|0 failed, [1-9]\d* error)", result.stdout
            )
            is not None
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
