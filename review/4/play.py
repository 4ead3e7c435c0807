"""The store deletes old records right after a server's entry; entries never hear of it.

Judged is DRAIN: a request reaches a server later than ``drainMs`` after the store has
acknowledged that it is gone, sent on by an entry in touch.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from review.common.deployment import Record, is_troubled
from review.common.quiet_hour import App, QuietHour, QuietHourSettings
from review.common.script import BROKEN, HELD, NOT_RUN, run

FOLDER = Path(__file__).resolve().parent
DELETE_AFTER_S = 0.1
# The deletion may count as a disturbance of the store: an entry is in touch again
# after ``stabilityWindowMs``. That is longer than ``drainMs`` (2 s).
JUDGED_AFTER_S = DELETE_AFTER_S + 3.0


async def leave(play: QuietHour, app: App) -> None:
    """Remove a server's entry; then the store deletes the records that it may."""
    app.notice_at_s = time.monotonic()
    play.remove(app)
    await asyncio.sleep(DELETE_AFTER_S)
    if is_troubled():
        play.deployment.store.compact_topic("keyed.servers")
        play.record.write("the store deletes the records of keyed.servers")


async def main(record: Record) -> int:
    """Play the case and return its exit code."""
    play = QuietHour(record, QuietHourSettings(booking_interval_s=6.5), leave)
    try:
        if not await play.start():
            record.write("summary: the entries did not become ready")
            return NOT_RUN
        await play.run()
        is_broken = play.requests_after(JUDGED_AFTER_S) > 0
        record.write("DRAIN broken" if is_broken else "DRAIN held")
        return BROKEN if is_broken else HELD
    finally:
        await play.close()


if __name__ == "__main__":
    run(FOLDER, main)
