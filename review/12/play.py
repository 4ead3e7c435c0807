"""A drill brings the store back from an older copy while a machine is added."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target/deps")]

from review.common_3.fleet import Fleet, has_trouble, play  # noqa: E402

PATH = "/lookup/2f"
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
REVOKE_S = 5.0
COPY_BEFORE_S = 1.0
AWAY_S = 0.5
# Entries of servers are back within about two seconds; so is what the operator wrote.
WRITTEN_AGAIN_S = 2.0
LAST_PART_S = 5.0


async def body(fleet: Fleet) -> bool:
    """Return whether nothing ran with the key that had been taken away."""
    fleet.accounts = {"north": "key-of-north", "south": "key-of-south"}
    fleet.deployment.bounds |= BOUNDS
    await fleet.start(engines=3, entries=2, servers=2)
    for entry in range(2):
        await fleet.read(PATH, "north", entry)
    fleet.store.take_copy()
    await asyncio.sleep(COPY_BEFORE_S)
    del fleet.accounts["north"]
    fleet.record.note("the operator takes the key of north away")
    revoked_s = fleet.configure(2)
    await asyncio.sleep(REVOKE_S + 0.3)
    # Both entries refuse it now.
    for entry in range(2):
        await fleet.read(PATH, "north", entry)
    if has_trouble():
        await drill(fleet)
    # Planned work: another front machine is added, also without the drill.
    await fleet.add_entry()
    until_s = fleet.record.now_s() + LAST_PART_S
    while fleet.record.now_s() < until_s:
        for entry in range(3):
            await fleet.read(PATH, "north", entry)
            await fleet.read(PATH, "south", entry)
        await asyncio.sleep(0.1)
    return judge(fleet, revoked_s)


async def drill(fleet: Fleet) -> None:
    """Bring the store back from the copy; the operator writes again a little later."""
    fleet.store.is_away = True
    fleet.record.note("the store is away")
    await asyncio.sleep(AWAY_S)
    fleet.store.restore()
    fleet.store.is_away = False
    fleet.record.note("the store is back, from the copy")
    asyncio.get_running_loop().call_later(WRITTEN_AGAIN_S, fleet.configure, 2)


def judge(fleet: Fleet, revoked_s: float) -> bool:
    """Return whether no request ran that the account sent after the bound."""
    late = [run for run in fleet.runs_of("north") if run[0] > revoked_s + REVOKE_S]
    for sent_s, request_id in late:
        fleet.record.note(
            f"CONFIG: {request_id} of north ran, sent {sent_s - revoked_s:.1f} s after "
            "a desired state without its key was acknowledged"
        )
    fleet.record.note(f"{len(late)} requests ran with the key that was taken away")
    return not late


if __name__ == "__main__":
    sys.exit(play(FOLDER, 5, body))
