"""The record of one play: what was sent, answered and run, and when."""

from __future__ import annotations

import time
from pathlib import Path

__all__ = ["Record"]


class Record:
    """Lines with the seconds since the start of the play."""

    def __init__(self) -> None:
        """Start now."""
        self._began_s = time.monotonic()
        self._lines: list[str] = []

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def note(self, text: str) -> float:
        """Add a line and return its time."""
        at_s = self.now_s()
        line = f"{at_s:8.3f} s  {text}"
        self._lines.append(line)
        print(line, flush=True)
        return at_s

    def save(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")
