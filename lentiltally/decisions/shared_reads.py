"""Reads of a store topic that the hosts of a fleet share.

Every entry must learn of a change in the store within a bound. If each of them reads
often enough on its own, the calls grow with the number of entries. Instead the agents
take turns and report in their engine states how recently they have read, and up to
where there was news. An entry reads if it lacks news, or if no agent has read lately.
"""

from __future__ import annotations

import math
from collections import deque

__all__ = ["SharedReads", "turn_interval_s"]

# Reads of one topic by all agents together within the shortest bound on a change.
READS_PER_BOUND = 5.0
MIN_TURN_INTERVAL_S = 1.0
MAX_TURN_INTERVAL_S = 30.0
# Pause before a read that is due to news, as a share of the usual pause.
NEWS_PAUSE_SHARE = 0.5
# Share of the bound after which an entry no longer relies on the last read of agents;
# the rest is for a read of its own, and for another one if the first is not answered.
MAX_COVERAGE_SHARE = 0.65
# A shorter outage of the store loses no records: they lapse after several heartbeats.
MIN_OUTAGE_S = 2.5
# Agents notice the end of an outage within this time of each other.
OUTAGE_END_SPREAD_S = 0.5
# Agents read every few seconds; an outage is judged by the reads just before its end.
READS_PER_AGENT = 8
SAME_READ_S = 0.05


def turn_interval_s(agents: int, bound_s: float) -> float:
    """Return the interval between two reads of one of a number of agents."""
    interval_s = agents * bound_s / READS_PER_BOUND
    return min(MAX_TURN_INTERVAL_S, max(MIN_TURN_INTERVAL_S, interval_s))


class SharedReads:
    """What agents reported of their reads of one topic, as an entry knows it.

    All times are seconds of the entry's monotonic clock.
    """

    __slots__ = (
        "_covered_until_s",
        "_max_coverage_s",
        "_newest_change",
        "_newest_change_at_s",
        "_pause_s",
        "_reads_by_agent",
    )

    def __init__(self, bound_s: float, pause_s: float) -> None:
        """Start without reports; ``pause_s`` is the pause between an entry's reads."""
        self._max_coverage_s = MAX_COVERAGE_SHARE * bound_s
        self._pause_s = pause_s
        self._covered_until_s = -math.inf
        self._newest_change = -1
        self._newest_change_at_s = -math.inf
        self._reads_by_agent: dict[str, deque[float]] = {}

    def reported(
        self, changed_at: int, age_s: float, now_s: float, agent: str = ""
    ) -> None:
        """Note that an agent read the topic ``age_s`` ago.

        ``changed_at`` is an offset up to which it has found news.
        """
        if age_s < 0.0:
            return
        self._note_read(agent, now_s - age_s)
        self._covered_until_s = max(self._covered_until_s, now_s - age_s)
        if changed_at > self._newest_change:
            self._newest_change = changed_at
            self._newest_change_at_s = now_s

    def was_outage(self, returned_at_s: float, agent: str) -> bool:
        """Return whether the store was away when an agent says that it returned.

        The agent alone may have been cut off from it. Then others have read meanwhile.
        """
        first_s = returned_at_s - MIN_OUTAGE_S
        last_s = returned_at_s - OUTAGE_END_SPREAD_S
        return not any(
            first_s <= read_at_s <= last_s
            for name, reads in self._reads_by_agent.items()
            if name != agent
            for read_at_s in reads
        )

    def has_news(self, next_offset: int) -> bool:
        """Return whether there is news from an offset on."""
        return self._newest_change >= next_offset

    def distance(self, next_offset: int) -> int:
        """Return the number of records from an offset to the end of the news."""
        return max(0, self._newest_change + 1 - next_offset)

    def caught_up(self, read_began_s: float) -> None:
        """Note a read, which has found all news that was reported before it began.

        A false report must not last. What was reported later may be missing in it.
        """
        if self._newest_change_at_s <= read_began_s:
            self._newest_change = -1

    def is_covered(self, now_s: float) -> bool:
        """Return whether an agent has read so lately that an entry need not."""
        return now_s < self._covered_until_s + self._max_coverage_s

    def next_read_s(self, last_read_s: float, next_offset: int) -> float:
        """Return when an entry that has read up to an offset has to read again.

        News does not make it read at once: while many targets start, for instance, each
        of them is news.
        """
        if self.has_news(next_offset):
            return last_read_s + NEWS_PAUSE_SHARE * self._pause_s
        covered_s = self._covered_until_s + self._max_coverage_s
        return max(last_read_s + self._pause_s, covered_s)

    def _note_read(self, agent: str, read_at_s: float) -> None:
        """Keep the time of a read; its report is repeated until the next one."""
        reads = self._reads_by_agent.setdefault(agent, deque(maxlen=READS_PER_AGENT))
        if not reads or read_at_s > reads[-1] + SAME_READ_S:
            reads.append(read_at_s)
