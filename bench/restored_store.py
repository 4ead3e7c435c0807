"""How a fleet reads the configuration after its store has come back from a copy.

``python -m bench.restored_store`` plays fleets of three sizes in simulated time, with
the processes' own feeds, turns and shared reads over a store in memory. It prints for
each the time from the acknowledgement of a new version, written right after the return,
until all entries have it, and the calls and bytes a second at the store.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import Counter
from dataclasses import dataclass

from bench._simulated_loop import LoopClock, SimulatedLoop
from lentiltally.decisions.log_position import log_position, position_era
from lentiltally.decisions.shared_reads import SharedReads, turn_interval_s
from lentiltally.decisions.state_pacing import state_interval_s
from lentiltally.direct.entry_process import (
    CONFIGURATION_ANSWER_S,
    CONFIGURATION_PAUSE_S,
    CONFIGURATION_WAIT_SHARE,
    COVERED_CONFIGURATION_WAIT_S,
)
from lentiltally.direct.feed_types import (
    FeedError,
    FeedPage,
    FeedRecord,
    FeedRestoredError,
)
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.settings import HostBounds
from lentiltally.direct.store_reader import TURN_JITTER

# Agents and entries.
FLEETS = ((3, 3), (30, 10), (300, 100))
SEEDS = 3
# Longer than the turns of 300 agents, which begin at the same time here.
CALM_S = 100.0
CALM_MEASURED_S = 40
# The operator writes before the copy is taken, and while the store forgets.
FORGOTTEN_S = 3.0
AWAY_S = 1.0
AFTER_S = 30.0
AFTER_FROM_S = 5.0
ANSWER_S = 0.002
CHECK_S = 0.01
RECORD_BYTES = 20_000


class RestorableTopic:
    """A topic in memory that goes back to a copy; counts calls and bytes by second."""

    def __init__(self, loop: SimulatedLoop) -> None:
        """Start empty, in the first era."""
        self._loop = loop
        self.era = 1
        self.is_away = False
        self.records: list[str] = []
        self.calls: Counter[int] = Counter()
        self.bytes: Counter[int] = Counter()

    async def newest(self) -> FeedPage:
        """Return the newest record of each key."""
        await self._call()
        newest = {key: offset for offset, key in enumerate(self.records)}
        return self._page(list(newest.items()), len(self.records))

    async def read(self, position: int, wait_s: float) -> FeedPage:
        """Return the records from a position on."""
        era = position_era(position)
        until_s = self._loop.now_s + wait_s
        await self._call()
        offset = position - log_position(era, 0)
        while (
            self.era == era
            and not self.is_away
            and len(self.records) <= offset
            and self._loop.now_s < until_s
        ):
            await asyncio.sleep(CHECK_S)
        if self.is_away:
            raise FeedError("away", step="read")
        if self.era != era:
            raise FeedRestoredError("restored", step="read")
        found = [(key, o) for o, key in enumerate(self.records) if o >= offset]
        return self._page(found, len(self.records))

    async def _call(self) -> None:
        self.calls[int(self._loop.now_s)] += 1
        await asyncio.sleep(ANSWER_S)
        if self.is_away:
            raise FeedError("away", step="read")

    def _page(self, found: list[tuple[str, int]], end: int) -> FeedPage:
        self.bytes[int(self._loop.now_s)] += RECORD_BYTES * len(found)
        records = tuple(
            FeedRecord(key, b"", log_position(self.era, offset))
            for key, offset in found
        )
        position = log_position(self.era, end)
        return FeedPage(position, records, position)


class VersionListener:
    """Notes the newest version that a process has read."""

    def __init__(self) -> None:
        """Start without one."""
        self.newest = ""

    def on_record(self, record: FeedRecord) -> None:
        """Note a version; its key sorts after those of earlier ones."""
        self.newest = max(self.newest, record.key)

    def on_snapshot_keys(self, keys: set[str], end: int) -> None:
        """Do nothing."""

    def on_store_recovered(self) -> None:
        """Do nothing."""


@dataclass(frozen=True, slots=True)
class RestoreResult:
    """Times in seconds; calls and bytes are those of one second."""

    in_force_s: float
    calm_calls: float
    most_calls: int
    most_bytes: int
    calls_after: float


class Fleet:
    """Agents that read in turn, and entries that go by their reports."""

    def __init__(self, loop: SimulatedLoop, agents: int, entries: int, seed: int):
        """Create the feeds; ``run`` starts them."""
        self._loop = loop
        self._rng = random.Random(seed)
        self.topic = RestorableTopic(loop)
        self._clock = LoopClock(loop)
        bounds = HostBounds()
        self._bound_s = min(bounds.configuration_s, bounds.leaving_s)
        self._report_s = state_interval_s(agents)
        self._agents = [self._agent(agents) for _ in range(agents)]
        self._entries = [self._entry(bounds) for _ in range(entries)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all feeds and the reports."""
        feeds = [*self._agents, *(feed for feed, _, _ in self._entries)]
        work = [feed.run() for feed in feeds]
        work += [self._report(agent) for agent in self._agents]
        self._tasks = [asyncio.ensure_future(each) for each in work]

    async def stop(self) -> None:
        """End all tasks."""
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def has_version(self, version: str) -> bool:
        """Return whether all entries have read a version."""
        return all(listener.newest >= version for _, _, listener in self._entries)

    def _agent(self, agents: int) -> KeyedFeed:
        interval_s = turn_interval_s(agents, self._bound_s)

        def pause_s() -> float:
            jitter = 1.0 + TURN_JITTER * (2.0 * self._rng.random() - 1.0)
            return interval_s * jitter

        return KeyedFeed(
            "configuration",
            self.topic,
            VersionListener(),
            self._clock,
            pause_s=pause_s,
            wait_s=0.0,
        )

    def _entry(
        self, bounds: HostBounds
    ) -> tuple[KeyedFeed, SharedReads, VersionListener]:
        wait_s = CONFIGURATION_WAIT_SHARE * bounds.configuration_s
        shared = SharedReads(bounds.configuration_s, wait_s + CONFIGURATION_ANSWER_S)
        listener = VersionListener()
        feed = KeyedFeed(
            "configuration",
            self.topic,
            listener,
            self._clock,
            pause_s=CONFIGURATION_PAUSE_S,
            wait_s=wait_s,
            shared=shared,
            covered_wait_s=COVERED_CONFIGURATION_WAIT_S,
        )
        return feed, shared, listener

    async def _report(self, agent: KeyedFeed) -> None:
        """Tell all entries regularly what an agent has read."""
        await asyncio.sleep(self._rng.random() * self._report_s)
        while True:
            now_s = self._loop.now_s
            if agent.is_current:
                for _, shared, _ in self._entries:
                    shared.reported(
                        agent.next_offset - 1, now_s - agent.last_read_at_s, now_s
                    )
            await asyncio.sleep(self._report_s)


async def _play(
    loop: SimulatedLoop, agents: int, entries: int, seed: int
) -> RestoreResult:
    fleet = Fleet(loop, agents, entries, seed)
    topic = fleet.topic
    topic.records += ["version-1", "version-2"]
    fleet.start()
    await asyncio.sleep(CALM_S)
    calm = range(int(CALM_S) - CALM_MEASURED_S, int(CALM_S))
    calm_calls = sum(topic.calls[s] for s in calm) / len(calm)
    topic.records.append("version-3")
    await asyncio.sleep(FORGOTTEN_S)
    topic.is_away = True
    await asyncio.sleep(AWAY_S)
    # The copy is from before version 3, which the operator writes again.
    topic.records, topic.era = ["version-1", "version-2"], 2
    topic.records += ["version-4", "version-3"]
    topic.is_away = False
    back_s = loop.now_s
    while not fleet.has_version("version-4"):
        await asyncio.sleep(CHECK_S)
        if loop.now_s > back_s + 60.0:
            break
    in_force_s = loop.now_s - back_s
    await asyncio.sleep(max(0.0, back_s + AFTER_S - loop.now_s))
    await fleet.stop()
    seconds = range(int(back_s), int(back_s + AFTER_S))
    later = range(int(back_s + AFTER_FROM_S), int(back_s + AFTER_S))
    return RestoreResult(
        in_force_s,
        calm_calls,
        max(topic.calls[s] for s in seconds),
        max(topic.bytes[s] for s in seconds),
        sum(topic.calls[s] for s in later) / len(later),
    )


def main() -> None:
    """Play all fleets."""
    logging.disable(logging.CRITICAL)
    for agents, entries in FLEETS:
        for seed in range(1, SEEDS + 1):
            loop = SimulatedLoop()
            asyncio.set_event_loop(loop)
            found = loop.run_until_complete(_play(loop, agents, entries, seed))
            loop.close()
            print(
                f"{agents} agents, {entries} entries, seed {seed}: in force after "
                f"{found.in_force_s:.2f} s; calls a second {found.calm_calls:.1f} "
                f"calm, {found.most_calls} at most after the return, "
                f"{found.calls_after:.1f} 5 to 30 s after; "
                f"{found.most_bytes / 1e6:.2f} MB in a second at most"
            )


if __name__ == "__main__":
    main()
