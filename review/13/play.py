"""One caller's request crashes servers; another's, of the same path, is sound."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target/deps")]

from review.common_3.fleet import Fleet, has_trouble, play  # noqa: E402
from review.common_3.service import PlainServer  # noqa: E402

PATH = "/lookup/2f"
# With OTHER=1 the sound requests have another path, which is no part of the case.
SOUND_PATH = "/lookup/30" if os.environ.get("OTHER") == "1" else PATH
# Those bounds of demands/tradeline-qld-grown.toml that differ; its callers have keys.
BOUNDS = {
    "stabilityWindowMs": 4000,
    "acknowledgeMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "configurationMs": 3000,
    "outerMs": 6000,
    "revokeClosed": True,
    "revokeMs": 5000,
    "budgetSlack": 88,
    "quotaWindowS": 8,
    "quotaOver": 0.1,
    "quotaSlack": 17000,
    "recoveryS": 15,
    "passMs": 200,
}
SERVERS = 4
STABILITY_S = 4.0
CRASHES = 3
ALLOWED = 3
DOWN_S = 2.0
PLAY_S = 40.0
DEADLY_PAUSE_S = 3.0
SOUND_PAUSE_S = 0.15


async def body(fleet: Fleet) -> bool:
    """Return whether the request was kept from servers after it had crashed three."""
    fleet.accounts = {"north": "key-of-north", "south": "key-of-south"}
    fleet.deployment.bounds |= BOUNDS
    await fleet.start(engines=1, entries=2, servers=SERVERS)
    for server in fleet.servers:
        server.deadly = (PATH, "north") if has_trouble() else None
    restarts = [asyncio.ensure_future(keep_up(fleet, s)) for s in fleet.servers]
    clients = [asyncio.ensure_future(send(fleet, SOUND_PATH, "south", SOUND_PAUSE_S))]
    await asyncio.sleep(2.0)
    clients.append(asyncio.ensure_future(send(fleet, PATH, "north", DEADLY_PAUSE_S)))
    await asyncio.sleep(PLAY_S)
    for task in (*clients, *restarts):
        task.cancel()
    await asyncio.gather(*clients, *restarts, return_exceptions=True)
    return judge(fleet)


async def keep_up(fleet: Fleet, server: PlainServer) -> None:
    """Start a server again some seconds after each crash."""
    while True:
        await asyncio.sleep(0.05)
        if not server.is_up:
            await asyncio.sleep(DOWN_S)
            await server.restart()
            fleet.announce(server)


async def send(fleet: Fleet, path: str, account: str, pause_s: float) -> None:
    """Send the same request again and again, at both entries in turn."""
    number = 0
    while True:
        number += 1
        asyncio.ensure_future(fleet.read(path, account, number % 2))
        await asyncio.sleep(pause_s)


def judge(fleet: Fleet) -> bool:
    """Return whether at most three retries reached servers after the bound."""
    crashes_s = sorted(at_s for s in fleet.servers for at_s in s.deadly_crashes_s)
    fleet.record.note(f"the request of north crashed servers {len(crashes_s)} times")
    if len(crashes_s) < CRASHES:
        return True
    bound_s = crashes_s[CRASHES - 1] + STABILITY_S
    reached_s = [at_s for s in fleet.servers for at_s in s.deadly_reached_s]
    late = [at_s for at_s in reached_s if at_s > bound_s]
    fleet.record.note(
        f"BUDGET: it reached servers {len(late)} times later than {STABILITY_S} s "
        f"after its third crash, {ALLOWED} are allowed"
    )
    return len(late) <= ALLOWED


if __name__ == "__main__":
    sys.exit(play(FOLDER, 5, body))
