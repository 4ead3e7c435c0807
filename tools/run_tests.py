"""Run the formatter, the linter, the type checker and behave, and count the results.

The last line is ``N passed, N failed``. Scenarios tagged ``@known-red`` are listed in
KNOWN-RED.txt, which is printed; they are not run.
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
    """Run all checks and scenarios; return 0 if all of them passed."""
    failed_checks = [
        name for name, arguments in CHECKS if not _run_check(name, arguments)
    ]
    passed, failures = _run_behave()
    passed += len(CHECKS) - len(failed_checks)
    failures = failed_checks + failures
    _print_known_red()
    # Printed last, so that the end of a truncated output names the failures.
    for failure in failures:
        print(f"FAILED: {failure}")
    print(f"{passed} passed, {len(failures)} failed")
    return 1 if failures else 0


def _run_check(name: str, arguments: tuple[str, ...]) -> bool:
    result = subprocess.run([sys.executable, *arguments], cwd=ROOT, check=False)
    print(f"{name}: {'ok' if result.returncode == 0 else 'FAILED'}", flush=True)
    return result.returncode == 0


def _run_behave() -> tuple[int, list[str]]:
    """Run behave; return the number of passed scenarios and a line for each failure."""
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
        _describe_failure(scenario)
        for scenario in scenarios
        if scenario.get("status") not in {"passed", "skipped"}
    ]
    if code != 0 and not failures:
        # behave fails without a failed scenario if it can't load a hook or a feature.
        failures.append(f"behave ended with code {code} and no failed scenario")
    return statuses.count("passed"), failures


def _describe_failure(scenario: dict[str, Any]) -> str:
    """Return the location of a failed scenario, its step and the last error line."""
    for step in scenario.get("steps", []):
        result = step.get("result", {})
        if result.get("status") in {"failed", "error", "undefined"}:
            message = result.get("error_message") or [""]
            lines = message.splitlines() if isinstance(message, str) else message
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
