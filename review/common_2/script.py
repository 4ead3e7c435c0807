"""Runs a case: the time limit, the record and the exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from common_2.deployment import Deployment

__all__ = ["Case", "run"]

BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT_S = 110.0


class Case:
    """What a case writes down, and whether the rule was broken."""

    def __init__(self, folder: Path) -> None:
        """Begin the record of a run in a folder."""
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.violations: list[str] = []
        self._started_s = time.monotonic()
        name = "record.txt" if self.has_trouble else "record-calm.txt"
        self._record = (folder / name).open("w")
        self.note(f"trouble: {'yes' if self.has_trouble else 'no'}")

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        self._record.write(f"{elapsed_s:8.3f} s  {text}\n")
        self._record.flush()

    def broken(self, text: str) -> None:
        """Note that the rule was broken."""
        self.violations.append(text)
        self.note(f"BROKEN: {text}")

    def close(self) -> None:
        """End the record."""
        self._record.close()


Play = Callable[[Case, Deployment], Awaitable[None]]


def run(folder: Path, play: Play, bounds: dict[str, object] | None = None) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if not, 2 if not run."""
    sys.exit(asyncio.run(_run(folder, play, bounds)))


async def _run(folder: Path, play: Play, bounds: dict[str, object] | None) -> int:
    case = Case(folder)
    deployment = Deployment(bounds)
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LIMIT_S):
            await play(case, deployment)
        code = BROKEN if case.violations else HELD
        case.note(f"violations: {len(case.violations)}")
    except BaseException:
        case.note(f"could not run: {traceback.format_exc()}")
        code = NOT_RUN
    finally:
        await deployment.stop()
    case.note(f"exit code {code}")
    case.close()
    return code
