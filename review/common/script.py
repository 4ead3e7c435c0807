"""Exit codes of the scripts, and the way in which one is run."""

from __future__ import annotations

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common.deployment import Record

__all__ = ["BROKEN", "HELD", "NOT_RUN", "run"]

HELD = 0
BROKEN = 1
NOT_RUN = 2


def run(folder: Path, play: Callable[[Record], Awaitable[int]]) -> None:
    """Run a play with a new record, and exit with its code; 2 after any error."""
    code = NOT_RUN
    record = Record(folder)
    try:
        code = asyncio.run(_run(play, record))
    except Exception:
        record.write("the case could not run: " + traceback.format_exc())
        traceback.print_exc()
    finally:
        record.close()
    sys.exit(code)


async def _run(play: Callable[[Record], Awaitable[int]], record: Record) -> int:
    return await play(record)
