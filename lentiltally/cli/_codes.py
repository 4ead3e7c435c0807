"""Exit codes that all commands use."""

from __future__ import annotations

from typing import Final

DONE: Final = 0
ERROR: Final = 1
USAGE: Final = 2
