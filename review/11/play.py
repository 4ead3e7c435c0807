"""A part of a prompt crashes engines; it stands behind eight others."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target/deps")]

from review.common_3.engine import ModelEngine  # noqa: E402
from review.common_3.fleet import Fleet, has_trouble, play  # noqa: E402

ENGINES = 4
ADAPTERS = ["a1", "a2"]
COMMON = [f"5c1e07{number:02x}:80" for number in range(8)]
# With LONG_ID=1 its id is one of 64 digits, such as a SHA-256 of its text has.
DEADLY = "deadbeef" * (8 if os.environ.get("LONG_ID") == "1" else 1)
# The place of the part among all parts, from 0 on; 8 is behind all that are common.
POSITION = int(os.environ.get("POSITION", "8"))
STABILITY_S = 3.0
CRASHES = 5
ALLOWED = 3
DOWN_S = 2.0
PLAY_S = 40.0
DEADLY_PAUSE_S = 3.0
SOUND_PAUSE_S = 0.15


async def body(fleet: Fleet) -> bool:
    """Return whether the part was kept from engines after it had crashed five."""
    await fleet.start(engines=ENGINES, entries=2)
    for engine in fleet.engines:
        engine.adapters = dict.fromkeys(ADAPTERS, 1)
        engine.deadly_part = DEADLY if has_trouble() else ""
    await asyncio.sleep(1.0)
    restarts = [asyncio.ensure_future(keep_up(fleet, e)) for e in fleet.engines]
    clients = [asyncio.ensure_future(send_sound(fleet))]
    await asyncio.sleep(2.0)
    clients.append(asyncio.ensure_future(send_deadly(fleet)))
    await asyncio.sleep(PLAY_S)
    for task in (*clients, *restarts):
        task.cancel()
    await asyncio.gather(*clients, *restarts, return_exceptions=True)
    return judge(fleet)


async def keep_up(fleet: Fleet, engine: ModelEngine) -> None:
    """Start an engine again some seconds after each crash."""
    while True:
        await asyncio.sleep(0.05)
        if not engine.is_up:
            await asyncio.sleep(DOWN_S)
            await engine.restart()
            fleet.announce(engine)


async def send_sound(fleet: Fleet) -> None:
    """Send requests without the part, which share all others."""
    number = 0
    while True:
        number += 1
        parts = [*COMMON, f"{number:08x}:100"]
        headers = {"X-Prompt-Prefix": ",".join(parts)}
        asyncio.ensure_future(fleet.ask(ADAPTERS[number % 2], number // 2 % 2, headers))
        await asyncio.sleep(SOUND_PAUSE_S)


async def send_deadly(fleet: Fleet) -> None:
    """Send requests with the part, no two alike."""
    number = 0x10000000
    while True:
        number += 1
        parts = [*COMMON[:POSITION], f"{DEADLY}:60", *COMMON[POSITION:]]
        headers = {"X-Prompt-Prefix": ",".join([*parts, f"{number:08x}:100"])}
        asyncio.ensure_future(fleet.ask(ADAPTERS[number % 2], number // 2 % 2, headers))
        await asyncio.sleep(DEADLY_PAUSE_S)


def judge(fleet: Fleet) -> bool:
    """Return whether at most three requests reached engines after the bound."""
    crashes_s = sorted(at_s for e in fleet.engines for at_s in e.deadly_crashes_s)
    fleet.record.note(f"requests with the part crashed engines {len(crashes_s)} times")
    if len(crashes_s) < CRASHES:
        return True
    bound_s = crashes_s[CRASHES - 1] + STABILITY_S
    runs = [run for engine in fleet.engines for run in engine.deadly_runs]
    late = [run for run in runs if run.reached_s > bound_s]
    fleet.record.note(
        f"BUDGET: {len(late)} requests with the part reached engines later than "
        f"{STABILITY_S} s after the fifth crash, {ALLOWED} are allowed"
    )
    return len(late) <= ALLOWED


if __name__ == "__main__":
    sys.exit(play(FOLDER, 5, body))
