"""For which time an entry has proof that it knew the newest configuration.

A key that was removed from the configuration must not be accepted for longer than a
bound. An entry can't know of a removal that it has not read, so it keeps the latest
time for which it is proven that no newer configuration had been acknowledged, and
accepts keys only while that time is recent enough.

All times are seconds of the entry's own clock, one that counts suspensions.
"""

from __future__ import annotations

import enum
import math

__all__ = ["Confirmation", "ConfigurationProof"]

# Share of the bound by which the proof lapses earlier. It covers the rounding of times
# and different rates of the hosts' clocks.
MARGIN_SHARE = 0.05
# Agents are asked once the proof is older: the smaller of the time and the share.
ASK_AGE_S = 1.0
ASK_AGE_SHARE = 0.2
# An answer takes a few milliseconds. After this time other agents are asked.
ASK_INTERVAL_S = 0.25
AGENTS_PER_QUESTION = 2
# An agent is asked only if its read is newer than the proof by this.
MIN_GAIN_S = 0.05
# Share of the bound after which the entry reads the store itself. The rest has room for
# an answer of the store that is lost and for a second read.
READ_AGE_SHARE = 0.5
# A long poll that is under way brings a new record within this time, and no read of its
# own is needed: the pause between two long polls is 0.2 s.
LONG_POLL_GRACE_S = 0.4


class Confirmation(enum.Enum):
    """What follows from an agent's answer."""

    PROOF = "proof"
    # The proof at hand is as recent.
    NO_GAIN = "no gain"
    # The agent has read records that the entry has not.
    ENTRY_BEHIND = "entry behind"
    # The entry can't use the newest configuration.
    NOT_APPLIED = "not applied"
    # A duplicate, or an answer to no recent question.
    UNEXPECTED = "unexpected"


class ConfigurationProof:
    """The proof of one entry, and the agents that it asks for a newer one.

    ``bound_s`` is how long a removed key may still be accepted; None if there is no
    bound, and the proof never lapses then.
    """

    def __init__(self, bound_s: float | None) -> None:
        """Start without a proof."""
        self.bound_s = bound_s
        self._proven_at_s = -math.inf
        # When the last read was sent that reached the end, whatever it found there.
        self._read_at_s = -math.inf
        # The end of the topic that an agent has seen, and when the entry learned of it.
        self._known_end = 0
        self._known_end_at_s = -math.inf
        self._asked_at_s = -math.inf
        # When agents have read, as they report.
        self._reads_by_agent: dict[str, float] = {}
        # Open questions, as agent and token.
        self._questions: set[tuple[str, int]] = set()
        # When agents were asked that have not answered since.
        self._unanswered: dict[str, float] = {}

    def is_valid(self, now_s: float) -> bool:
        """Return whether requests that need a key may be served."""
        if self.bound_s is None:
            return True
        return self.age_s(now_s) < self.bound_s * (1.0 - MARGIN_SHARE)

    def age_s(self, now_s: float) -> float:
        """Return the age of the proof, infinity before the first one."""
        return now_s - self._proven_at_s

    def read_reached_end(self, sent_s: float, *, is_newest_applied: bool) -> None:
        """Note a read of the entry that was sent at a time and reached the end.

        ``is_newest_applied`` says whether the newest configuration is in force now.
        """
        self._read_at_s = max(self._read_at_s, sent_s)
        if sent_s >= self._known_end_at_s:
            # The read shows the end, so a wrong report of an agent does not last.
            self._known_end = 0
        if is_newest_applied:
            self._proven_at_s = max(self._proven_at_s, sent_s)

    def agent_reported(self, agent: str, age_s: float, now_s: float) -> None:
        """Note that an agent says it read the topic ``age_s`` ago.

        This proves nothing, since the report may have waited in a socket buffer. It
        only tells which agents are worth asking.
        """
        if age_s >= 0.0:
            self._reads_by_agent[agent] = now_s - age_s

    def agents_to_ask(self, now_s: float) -> list[str]:
        """Return the agents to ask now, with the token of this time."""
        if self.bound_s is None or now_s - self._asked_at_s < ASK_INTERVAL_S:
            return []
        if self.age_s(now_s) <= min(ASK_AGE_S, ASK_AGE_SHARE * self.bound_s):
            return []
        self._forget_old(now_s - self.bound_s)
        agents = sorted(
            (
                agent
                for agent, read_at_s in self._reads_by_agent.items()
                if read_at_s > self._proven_at_s + MIN_GAIN_S
            ),
            key=self._rank,
        )[:AGENTS_PER_QUESTION]
        for agent in agents:
            self._questions.add((agent, self.token(now_s)))
            self._unanswered[agent] = now_s
        if agents:
            self._asked_at_s = now_s
        return agents

    @staticmethod
    def token(now_s: float) -> int:
        """Return the token of a question that is sent now: the time in ms."""
        return math.floor(now_s * 1000)

    def confirmed(
        self,
        agent: str,
        token: int,
        age_s: float,
        *,
        agent_offset: int,
        own_offset: int,
        is_newest_applied: bool,
        now_s: float,
    ) -> Confirmation:
        """Apply an agent's answer to the question with a token.

        The agent's last read that reached the end was sent ``age_s`` before it got the
        question, so no earlier than that before the question was sent. It ended at
        ``agent_offset``; the entry has applied all records before ``own_offset``.
        """
        if (agent, token) not in self._questions:
            return Confirmation.UNEXPECTED
        self._questions.discard((agent, token))
        self._unanswered.pop(agent, None)
        if agent_offset > own_offset:
            if agent_offset > self._known_end:
                self._known_end, self._known_end_at_s = agent_offset, now_s
            return Confirmation.ENTRY_BEHIND
        if not is_newest_applied:
            return Confirmation.NOT_APPLIED
        proven_at_s = token / 1000 - age_s
        if proven_at_s <= self._proven_at_s:
            return Confirmation.NO_GAIN
        self._proven_at_s = proven_at_s
        return Confirmation.PROOF

    def is_read_due(self, now_s: float, own_offset: int) -> bool:
        """Return whether the entry has to read the store itself, without a long poll.

        A read that reached the end without giving proof is not repeated at once: it
        would find the same again.
        """
        if self.bound_s is None:
            return False
        has_missed = own_offset < self._known_end
        if has_missed and now_s - self._known_end_at_s > LONG_POLL_GRACE_S:
            return True
        known_at_s = max(self._proven_at_s, self._read_at_s)
        return now_s - known_at_s > READ_AGE_SHARE * self.bound_s

    def _rank(self, agent: str) -> tuple[float, float]:
        """Put agents with the latest reads first, unresponsive ones in turn last."""
        unanswered_s = self._unanswered.get(agent, -math.inf)
        return unanswered_s, -self._reads_by_agent[agent]

    def _forget_old(self, before_s: float) -> None:
        """Forget reads and questions from before a time, which can't give proof."""
        reads = self._reads_by_agent
        self._reads_by_agent = {a: at_s for a, at_s in reads.items() if at_s > before_s}
        self._questions = {q for q in self._questions if q[1] / 1000 > before_s}
        self._unanswered = {a: s for a, s in self._unanswered.items() if s > before_s}
