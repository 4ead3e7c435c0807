"""Two agents stand still for a moment while an adapter has a new version."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target/deps")]

from review.common_3.fleet import CannotRunError, Fleet, has_trouble, play  # noqa: E402

ADAPTERS = [f"a{number}" for number in range(1, 7)]
VERSION_S = 5.0
# An entry gives an agent 0.2 s before it asks the next one. The page's freezes last
# seconds, so these are short ones. There are two rounds, for machines of other speeds.
FIRST_FREEZES_S = (0.33, 0.4)
SECOND_FREEZE_S = 0.8
ROUND_S = 3.0


async def body(fleet: Fleet) -> bool:
    """Return whether no request began on an older version after the bound."""
    await fleet.start(engines=2)
    for engine in fleet.engines:
        engine.adapters = dict.fromkeys(ADAPTERS, 1)
    await asyncio.sleep(1.0)
    acknowledged = {name: fleet.name_version(name, 2) for name in ADAPTERS}
    await asyncio.sleep(1.0)
    # Each adapter's first request makes one engine load the new version.
    for name in ADAPTERS:
        await fleet.ask_until_served(name)
    # Later than the bound, with some room, and long enough in calm.
    await asyncio.sleep(
        max(acknowledged.values()) + VERSION_S + 4 - fleet.record.now_s()
    )
    first = max(
        fleet.engines, key=lambda engine: list(engine.adapters.values()).count(2)
    )
    second = next(engine for engine in fleet.engines if engine is not first)
    chosen = [
        name
        for name in ADAPTERS
        if first.adapters.get(name) == 2 and second.adapters.get(name) == 1
    ]
    if not chosen:
        raise CannotRunError("no adapter is new at one engine only")
    fleet.record.note(
        f"{first.name} has version 2 of {chosen}, {second.name} version 1"
    )
    began_s = fleet.record.now_s()
    for number, freeze_s in enumerate(FIRST_FREEZES_S):
        names = chosen[number :: len(FIRST_FREEZES_S)]
        requests = [asyncio.ensure_future(fleet.ask(name)) for name in names]
        if has_trouble():
            await freeze(fleet, first.ip, second.ip, freeze_s)
        await asyncio.gather(*requests)
        await asyncio.sleep(ROUND_S)
    return judge(fleet, acknowledged, began_s)


async def freeze(fleet: Fleet, first_ip: str, second_ip: str, first_s: float) -> None:
    """Stop both agents at once, and let them go on one after the other."""
    agents = {agent.ip: agent for agent in fleet.agents}
    for ip in (first_ip, second_ip):
        fleet.deployment.signal(agents[ip], signal.SIGSTOP)
    await asyncio.sleep(first_s)
    fleet.deployment.signal(agents[first_ip], signal.SIGCONT)
    await asyncio.sleep(SECOND_FREEZE_S - first_s)
    fleet.deployment.signal(agents[second_ip], signal.SIGCONT)


def judge(fleet: Fleet, acknowledged: dict[str, float], began_s: float) -> bool:
    """Return whether all requests began on a version that was still allowed."""
    late = [
        run
        for engine in fleet.engines
        for run in engine.runs
        if run.version < 2 and run.at_s > acknowledged[run.adapter] + VERSION_S
    ]
    for run in late:
        since_s = run.at_s - acknowledged[run.adapter]
        fleet.record.note(
            f"VERSION: {run.request_id} began at {run.engine} on version {run.version} "
            f"of {run.adapter}, {since_s:.1f} s after version 2 was acknowledged"
        )
    count = sum(run.at_s >= began_s for e in fleet.engines for run in e.runs)
    fleet.record.note(f"{count} requests ran in the last part, {len(late)} too old")
    return not late


if __name__ == "__main__":
    sys.exit(play(FOLDER, 6, body))
