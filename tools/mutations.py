"""Mutation tests of the direct path: turn off each mechanism and run its scenario.

``python -m tools.mutations`` prints a line for each mechanism: ``red`` if its scenario
fails without the mechanism, as it must, or ``GREEN`` if the scenario still passes.
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
NOT_COPIED = (".git", ".venv", ".*_cache", "__pycache__", "journal", "target", "dist")


def main(arguments: Sequence[str]) -> int:
    """Try the named mechanisms, or all; return 0 if every scenario fails as it must."""
    undetected = tried = 0
    for mutation in MUTATIONS:
        if arguments and mutation.mechanism not in arguments:
            continue
        tried += 1
        is_detected = _fails_without(mutation)
        undetected += not is_detected
        print(f"{'red' if is_detected else 'GREEN'}: {mutation.mechanism}", flush=True)
    print(f"{tried - undetected} of {tried} mechanisms have such a test")
    return 1 if undetected else 0


def _fails_without(mutation: Mutation) -> bool:
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder, "copy")
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns(*NOT_COPIED))
        module = copy / "lentiltally" / mutation.module
        text = module.read_text()
        if text.count(mutation.before) != 1:
            raise SystemExit(
                f"{mutation.mechanism}: the text to replace must occur exactly once "
                f"in {mutation.module}"
            )
        text = text.replace(mutation.before, mutation.after)
        module.write_text(text)
        command = [sys.executable, "-m", "behave", "--format=progress"]
        command += [f"tests/{mutation.feature}.feature", "--name", mutation.scenario]
        result = subprocess.run(
            command, cwd=copy, capture_output=True, text=True, check=False
        )
        # behave fails too if the code can't be loaded, so the exit code is not enough:
        # the summary must count a failed scenario.
        return (
            re.search(
                r"passed, ([1-9]\d* failed|0 failed, [1-9]\d* error)", result.stdout
            )
            is not None
        )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
