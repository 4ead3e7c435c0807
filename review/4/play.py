"""All agents are killed at once while a server starts to drain; entries never hear.

Judged is DRAIN: a request reaches a server later than ``drainMs`` after the store has
acknowledged that it is ``draining``, sent on by an entry in touch.
"""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from review.common.deployment import Record, is_troubled
from review.common.quiet_hour import App, QuietHour, QuietHourSettings
from review.common.script import BROKEN, HELD, NOT_RUN, run

FOLDER = Path(__file__).resolve().parent
DRAIN_S = 2.0
DRAIN_AFTER_KILL_S = 0.1
RESTART_AFTER_KILL_S = 0.2


async def leave(play: QuietHour, app: App) -> None:
    """Kill all agents, let a server report that it drains, restart the agents."""
    if is_troubled():
        for agent in play.agents:
            play.deployment.signal(agent, signal.SIGKILL)
    await asyncio.sleep(DRAIN_AFTER_KILL_S)
    app.notice_at_s = time.monotonic()
    play.put(app, "app", state="draining")
    await asyncio.sleep(RESTART_AFTER_KILL_S - DRAIN_AFTER_KILL_S)
    if is_troubled():
        for agent in play.agents:
            assert agent.process is not None
            await agent.process.wait()
            await play.deployment.start(agent)


async def main(record: Record) -> int:
    """Play the case and return its exit code."""
    play = QuietHour(record, QuietHourSettings(), leave)
    try:
        if not await play.start():
            record.write("summary: the entries did not become ready")
            return NOT_RUN
        await play.run()
        is_broken = play.requests_after(DRAIN_S) > 0
        record.write("DRAIN broken" if is_broken else "DRAIN held")
        return BROKEN if is_broken else HELD
    finally:
        await play.close()


if __name__ == "__main__":
    run(FOLDER, main)
