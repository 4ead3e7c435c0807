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
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
CHECKS: tuple[tuple[str, tuple[str, ...]], ...] = (
    ("format", ("-m", "ruff", "format", "--check", "--quiet", ".")),
    ("lint", ("-m", "ruff", "check", "--quiet", ".")),
    ("types", ("-m", "mypy")),
)


def main() -> int:
    """Run every check and return 0 if all of them passed."""
    failed_checks = [name for name, arguments in CHECKS if not _run(name, arguments)]
    passed, failures = _run_behave()
    passed += len(CHECKS) - len(failed_checks)
    failures = failed_checks + failures
    _print_known_red()
    # After the known failures, so that the end of a cut output names what failed.
    for failure in failures:
        print(f"FAILED: {failure}")
    print(f"{passed} passed, {len(failures)} failed")
    return 1 if failures else 0


def _run(name: str, arguments: tuple[str, ...]) -> bool:
    result = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False)
    print(f"{name}: {'ok' if result.returncode == 0 else 'FAILED'}", flush=True)
    return result.returncode == 0


def _run_behave() -> tuple[int, list[str]]:
    """Run behave; return the number of passed scenarios and what failed, and why."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "behave.json"
        command = [sys.executable, "-m", "behave", "tests", "--tags=not known-red"]
        command += ["--no-skipped", "--format=progress", "--format=json"]
        command += ["--outfile=/dev/stdout", f"--outfile={report}"]
        code = subprocess.run(command, cwd=ROOT, check=False).returncode
        features = json.loads(report.read_text() or "[]") if report.exists() else []
    scenarios = [
        element
        for feature in features
        for element in feature.get("elements", [])
        if element.get("type") == "scenario"
    ]
    statuses = [scenario.get("status") for scenario in scenarios]
    failures = [
        _failure(scenario)
        for scenario in scenarios
        if scenario.get("status") not in {"passed", "skipped"}
    ]
    if code != 0 and not failures:
        # behave fails without a failed scenario if a hook or a feature can't be loaded.
        failures.append(f"behave ended with code {code} and no failed scenario")
    return statuses.count("passed"), failures


def _failure(scenario: dict[str, Any]) -> str:
    """Return one line that names a failed scenario, its step and the last line seen."""
    for step in scenario.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in {"failed", "error", "undefined"}:
            seen = result.get("error_message") or [""]
            lines = seen.splitlines() if isinstance(seen, str) else seen
            last = next((line for line in reversed(lines) if line.strip()), "")
            return f"{scenario['location']} {step['name']}: {last.strip()[:200]}"
    return f"{scenario['location']} {scenario['name']}"


def _print_known_red() -> None:
    entries = (ROOT / "KNOWN-RED.txt").read_text().strip()
    print("Known failures, left out of the run:" if entries else "No known failures.")
    if entries:
        print(entries)


if __name__ == "__main__":
    sys.exit(main())
