"""What agents know of the configuration that the store may have lost.

A store that comes back from an older copy lacks the newest configurations that it had
acknowledged. A process that starts then, or that missed them, can't tell this from what
it reads. Agents name the newest version of the configuration that they know, from their
own reads or from entries. A read of the store is proof only together with that.

All times are seconds of the entry's own clock, one that counts suspensions.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection

from lentiltally.decisions.state_pacing import StatePace, state_interval_s

__all__ = ["RETENTION_S", "PeerVersions", "agent_settle_s"]

# Agents of which an entry asks a sample of this size, so that the messages after a
# restore grow with the number of entries only.
MAX_ASKED_AGENTS = 32
ASK_INTERVAL_S = 0.1
# After this time, agents that don't answer are not waited for any longer.
MAX_WAIT_S = 2.5
# A version that no agent names any more counts for this time.
RETENTION_S = 60.0
# Entries renew their subscriptions at least this often, and name their version.
MAX_RENEWAL_S = 2.0
SETTLE_MARGIN_S = 0.3


def agent_settle_s(engines: int) -> float:
    """Return how long an agent runs until all entries have told it their versions.

    Entries subscribe anew to an agent whose states are overdue.
    """
    overdue_s = StatePace(state_interval_s(engines)).overdue_s
    return min(MAX_RENEWAL_S, overdue_s) + SETTLE_MARGIN_S


class PeerVersions:
    """The newest version of the configuration that the agents of an entry know.

    A check begins when the entry starts and when the store has been restored. It ends
    when enough agents have answered that have run long enough to know, or after
    ``MAX_WAIT_S``: if nobody is left who knows, the store's copy is the newest.
    ``is_usable`` says whether requests may be served by the configuration in force.
    """

    def __init__(self, rng: random.Random) -> None:
        """Start usable and settled; ``rng`` chooses the agents that are asked."""
        self.is_usable = True
        self.is_settled = True
        self._rng = rng
        self._asked: list[str] | None = None
        # When agents were asked first in this check, and last.
        self._asking_since_s = math.inf
        self._asked_at_s = -math.inf
        # When the answers of agents count, by agent.
        self._settled_at_s: dict[str, float] = {}
        # The newest version that agents have named, when it was heard first, and last.
        self._newest = 0
        self._heard_at_s = -math.inf
        self._named_at_s = -math.inf
        self._was_usable = True

    def started(self) -> None:
        """Begin the check of a process that starts: nothing is usable until its end."""
        self.is_usable = self._was_usable = False
        self.restored()

    def never_restored(self) -> None:
        """End the check, because the store can have lost nothing."""
        self.is_settled = True

    def restored(self) -> None:
        """Begin a check, because the store may have lost what it had acknowledged."""
        self.is_settled = False
        self._asked = None
        self._asking_since_s = math.inf
        self._asked_at_s = -math.inf
        self._settled_at_s.clear()

    def newest(self, now_s: float) -> int:
        """Return the newest version that agents know, 0 if none."""
        if now_s - self._named_at_s > RETENTION_S:
            self._newest = 0
        return self._newest

    def named(self, version: int, now_s: float) -> None:
        """Note that an agent names a version as the newest that it knows."""
        if version > self.newest(now_s):
            self._newest = version
            self._heard_at_s = now_s
        if version == self._newest:
            self._named_at_s = now_s

    def answered(
        self, agent: str, version: int, settles_in_s: float, now_s: float
    ) -> None:
        """Apply the answer of an agent, which counts once the agent has settled."""
        self.named(version, now_s)
        self._settled_at_s[agent] = now_s + settles_in_s

    def agents_to_ask(self, agents: Collection[str], now_s: float) -> list[str]:
        """Return those of all known ``agents`` to ask now."""
        if self.is_settled or now_s - self._asked_at_s < ASK_INTERVAL_S:
            return []
        self._asking_since_s = min(now_s, self._asking_since_s)
        if not self._asked:
            count = min(MAX_ASKED_AGENTS, len(agents))
            self._asked = self._rng.sample(sorted(agents), count)
        self._asked_at_s = now_s
        return [agent for agent in self._asked if agent not in self._settled_at_s]

    def judge(
        self,
        version: int,
        read_sent_s: float,
        now_s: float,
        *,
        is_newest_applied: bool,
    ) -> None:
        """Decide whether the configuration in force may be used.

        Its version is ``version``. The last read that reached the end of the topic was
        sent at ``read_sent_s``; ``is_newest_applied`` says whether the newest record
        that it found could be used. A newer version that is named after the read may
        still be in the store. If a later read does not find it, the store has lost it.
        """
        self._settle(now_s)
        is_behind = version < self.newest(now_s)
        if not self._was_usable:
            self.is_usable = self._was_usable = self.is_settled and not is_behind
            return
        is_lost = is_newest_applied and read_sent_s >= self._heard_at_s
        self.is_usable = not (is_behind and is_lost)

    def is_proof(self, version: int, now_s: float) -> bool:
        """Return whether a read that ends with a version can prove that it is newest.

        It can't before the check has ended, or while an agent knows a newer version.
        """
        return self.is_settled and version >= self.newest(now_s)

    def _settle(self, now_s: float) -> None:
        """End the check if half of the agents that were asked have settled."""
        if self.is_settled or self._asked is None:
            return
        settled = sum(
            self._settled_at_s.get(agent, math.inf) <= now_s for agent in self._asked
        )
        is_answered = 2 * settled >= len(self._asked)
        self.is_settled = is_answered or now_s - self._asking_since_s >= MAX_WAIT_S
