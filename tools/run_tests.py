"""Runs the formatter, the linter, the type checker and behave, then counts the results.

The last line is ``N passed, N failed``. Scenarios tagged ``@known-red`` are listed in
KNOWN-RED.txt; they are printed and left out of the run.
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CHECKS: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("format", ("-m", "ruff", "format", "--check", "--quiet", ".")),
    ("lint", ("-m", "ruff", "check", "--quiet", ".")),
    ("types", ("-m", "mypy")),
)


def main() -> int:
    """Run every check and return 0 if all of them passed."""
    failed_checks = [name for name, arguments in CHECKS if not _run(name, arguments)]
    passed, failed = _run_behave()
    passed += len(CHECKS) - len(failed_checks)
    failed += len(failed_checks)
    _print_known_red()
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def _run(name: str, arguments: tuple[str, ...]) -> bool:
    result = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False)
    print(f"{name}: {'ok' if result.returncode == 0 else 'FAILED'}", flush=True)
    return result.returncode == 0


def _run_behave() -> tuple[int, int]:
    """Run behave and return the number of passed and of failed scenarios."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "behave.json"
        command = [sys.executable, "-m", "behave", "tests", "--tags=not known-red"]
        command += ["--no-skipped", "--format=progress", "--format=json"]
        command += ["--outfile=/dev/stdout", f"--outfile={report}"]
        code = subprocess.run(command, cwd=ROOT, check=False).returncode
        features = json.loads(report.read_text() or "[]") if report.exists() else []
    statuses = [
        element.get("status")
        for feature in features
        for element in feature.get("elements", [])
        if element.get("type") == "scenario"
    ]
    passed = statuses.count("passed")
    failed = sum(status not in {"passed", "skipped"} for status in statuses)
    # behave fails without a failed scenario if a hook or a feature can't be loaded.
    return passed, failed or int(code != 0)


def _print_known_red() -> None:
    entries = (ROOT / "KNOWN-RED.txt").read_text().strip()
    print("Known failures, left out of the run:" if entries else "No known failures.")
    if entries:
        print(entries)


if __name__ == "__main__":
    sys.exit(main())
