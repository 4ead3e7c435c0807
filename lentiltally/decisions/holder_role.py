"""Which shared rights one agent holds, and from when on it may exercise them.

A right is the limit of a target or the allotment of a client account. It is divided
among the first agents in its rendezvous order. Entries and agents derive them from the
list of targets, which each process reads at times of its own, so they disagree for a
while after a change. Three rules keep a former and a new holder from overlapping:

- An agent grants only if the newer one of two lists names it: its own or the one of the
  entry that asks. An entry says how far it has read.
- An agent that has become a holder lately, has started or stood still asks the agents
  that may have held the right before. Those name others that it can't know.
- An agent that agrees ceases to grant until it knows a newer list that names it.
"""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass

from lentiltally.decisions.target_limits import MAX_OWNERS, limit_owners

__all__ = [
    "AgentList",
    "HandoverReply",
    "HandoverRequest",
    "HolderRole",
    "HolderStanding",
    "Standing",
]

# A process that has not looked at its clock for this time has stood still. Requests
# that arrived meanwhile are answered before it reads the list again.
MAX_PAUSE_S = 1.0
# An agreement takes about a millisecond; entries repeat their question after 15 ms.
REPLY_S = 0.012
REPEAT_S = 0.05
# Agents that have not agreed after this time are taken for ended ones. A longer wait
# leaves whole accounts without holders when several agents are gone.
AGREEMENT_S = 0.25
# Most hosts that are asked about one right.
MAX_ASKED = 32
# Most rights that are remembered; about a dropped one the others are asked again.
MAX_RIGHTS = 20_000
# Offsets may begin again lower when the store is restored from a copy.
CEDED_RETENTION_S = 60.0


@dataclass(frozen=True, slots=True)
class AgentList:
    """The hosts of the agents that a process knows.

    ``position`` is the offset of the first record of the list of targets that the
    process has not read. Of two lists, the one with the higher position is newer.
    """

    hosts: frozenset[str]
    position: int


class Standing(enum.Enum):
    """What an agent is to a right.

    ``ASKING`` means that it has just asked the agents that may have held the right
    before, ``SETTLING`` that the answer of one of them is overdue.
    """

    HOLDER = "holder"
    ASKING = "asking"
    SETTLING = "settling"
    NOT_HOLDER = "not holder"


@dataclass(frozen=True, slots=True)
class HolderStanding:
    """An agent's standing, and since when it may grant if it is a holder.

    ``holders`` is the number of agents that hold a part of the right, ``rank`` the
    place of this one among them, from 0 on.
    """

    standing: Standing
    since_s: float = 0.0
    holders: int = MAX_OWNERS
    rank: int = MAX_OWNERS - 1


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """An agent asks others whether it may exercise a right as a holder.

    ``holders`` are all holders by its list, read up to ``position``; ``asked`` are the
    hosts that it asks.
    """

    right: str
    holders: tuple[str, ...]
    asked: tuple[str, ...]
    position: int


@dataclass(frozen=True, slots=True)
class HandoverReply:
    """The answer: whether another agent agrees, and whom else to ask.

    ``position`` is how far that agent has read the list. If it does not agree, its list
    is newer and does not name the agent that asks. ``others`` are hosts that it knows
    as holders of late and that the request does not name.
    """

    is_agreed: bool
    position: int
    others: tuple[str, ...] = ()


@dataclass(slots=True)
class _Tenure:
    """The time in which this agent is a holder of one right.

    ``unanswered`` are those of the ``asked`` hosts whose agreement is missing, and
    ``unsent`` those of them that are to be sent the request now. If all agree, the
    agent grants from then on, otherwise from ``deadline_s`` on. ``change`` counts the
    changes of the list up to which it is known to be a holder.
    """

    begun_at_s: float
    deadline_s: float
    change: int
    asked: set[str]
    unanswered: set[str]
    unsent: set[str]
    sent_at_s: float = 0.0
    granting_since_s: float | None = None


class HolderRole:
    """The rights of one agent by the lists that it has read.

    All times are seconds on a clock that counts suspensions of the host.
    """

    def __init__(self, own_host: str, propagation_s: float, now_s: float) -> None:
        """Start without a list.

        Within ``propagation_s`` all entries that are in touch with the store learn of a
        change of the list.
        """
        self._own_host = own_host
        self._propagation_s = propagation_s
        self._began_s = now_s
        self._alive_at_s = now_s
        self._list: AgentList | None = None
        self._changes = 0
        # The hosts of former lists, with the time at which they were replaced.
        self._former: deque[tuple[frozenset[str], float]] = deque()
        # Holders of rights by the current list.
        self._holders: dict[str, list[str]] = {}
        self._tenures: OrderedDict[str, _Tenure] = OrderedDict()
        # Rights that others took over: the position of their list, and the time.
        self._ceded: OrderedDict[str, tuple[int, float]] = OrderedDict()

    @property
    def position(self) -> int:
        """Return how far the list has been read, -1 before the first time."""
        return -1 if self._list is None else self._list.position

    def listed(self, agents: AgentList, now_s: float) -> None:
        """Note the newest list that this agent has read."""
        self._note_pause(now_s)
        if self._list is None or agents.hosts != self._list.hosts:
            if self._list is not None:
                self._former.append((self._list.hosts, now_s))
            self._changes += 1
            self._holders.clear()
        self._list = agents
        while self._former and now_s - self._former[0][1] >= self._propagation_s:
            self._former.popleft()

    def standing(self, right: str, asker_position: int, now_s: float) -> HolderStanding:
        """Return what this agent is to a right for which an entry asks it.

        The entry has read its list up to ``asker_position``, and it names this agent.
        """
        self._note_pause(now_s)
        if not self._is_named(right, asker_position, now_s):
            self._tenures.pop(right, None)
            return HolderStanding(Standing.NOT_HOLDER)
        tenure = self._tenure(right, now_s)
        if tenure.granting_since_s is None and now_s >= tenure.deadline_s:
            self._begin_granting(right, tenure, tenure.deadline_s)
        if tenure.granting_since_s is not None:
            return self._as_holder(right, tenure.granting_since_s)
        is_asking = now_s - tenure.begun_at_s < REPLY_S
        return HolderStanding(Standing.ASKING if is_asking else Standing.SETTLING)

    def _as_holder(self, right: str, since_s: float) -> HolderStanding:
        holders = self._holders_now(right)
        if self._own_host not in holders:
            return HolderStanding(Standing.HOLDER, since_s)
        rank = holders.index(self._own_host)
        return HolderStanding(Standing.HOLDER, since_s, len(holders), rank)

    def due_request(
        self, right: str, now_s: float
    ) -> tuple[HandoverRequest, list[str]] | None:
        """Return a request that is due, and the hosts to send it to.

        Hosts that don't answer are sent it again.
        """
        tenure = self._tenures.get(right)
        if tenure is None or tenure.granting_since_s is not None:
            return None
        if not tenure.unsent and now_s - tenure.sent_at_s >= REPEAT_S:
            tenure.unsent = set(tenure.unanswered)
        if not tenure.unsent:
            return None
        hosts, tenure.unsent, tenure.sent_at_s = sorted(tenure.unsent), set(), now_s
        holders = tuple(self._holders_now(right))
        asked = tuple(sorted(tenure.asked))
        return HandoverRequest(right, holders, asked, self.position), hosts

    def is_agreed(self, right: str) -> bool:
        """Return whether no agreement to a right is missing."""
        tenure = self._tenures.get(right)
        return tenure is None or not tenure.unanswered

    def requested(
        self, request: HandoverRequest, host: str, now_s: float
    ) -> HandoverReply:
        """Answer the agent at a host that wants to exercise a right."""
        self._note_pause(now_s)
        right = request.right
        holders = self._holders_now(right)
        is_older = request.position < self.position
        if is_older and host not in holders:
            return HandoverReply(False, self.position)
        is_named = is_older and self._own_host in holders
        if self._own_host not in request.holders and not is_named:
            self._cede(right, request.position, now_s)
        return HandoverReply(True, self.position, self._others(request))

    def answered(
        self, right: str, host: str, reply: HandoverReply, now_s: float
    ) -> None:
        """Apply the answer of the agent at a host."""
        tenure = self._tenures.get(right)
        if tenure is None or host not in tenure.unanswered:
            return
        if not reply.is_agreed:
            self._cede(right, reply.position, now_s)
            return
        tenure.unanswered.discard(host)
        if tenure.granting_since_s is not None:
            return
        others = set(reply.others) - tenure.asked - {self._own_host}
        if len(tenure.asked) + len(others) <= MAX_ASKED:
            tenure.asked |= others
            tenure.unanswered |= others
            tenure.unsent |= others
        if not tenure.unanswered:
            self._begin_granting(right, tenure, now_s)

    def _begin_granting(self, right: str, tenure: _Tenure, since_s: float) -> None:
        tenure.granting_since_s = since_s
        self._ceded.pop(right, None)

    def _note_pause(self, now_s: float) -> None:
        """Begin anew after a pause in which others may have taken over."""
        if now_s - self._alive_at_s > MAX_PAUSE_S:
            self._began_s = now_s
            self._tenures.clear()
        self._alive_at_s = max(now_s, self._alive_at_s)

    def _is_named(self, right: str, asker_position: int, now_s: float) -> bool:
        """Return whether the newest list that is known names this agent a holder."""
        newest = max(self.position, asker_position)
        ceded = self._ceded.get(right)
        if ceded is not None and newest <= ceded[0]:
            if now_s - ceded[1] < CEDED_RETENTION_S:
                return False
            del self._ceded[right]
        if asker_position > self.position:
            return True
        return self._own_host in self._holders_now(right)

    def _tenure(self, right: str, now_s: float) -> _Tenure:
        tenure = self._tenures.get(right)
        if tenure is not None and tenure.change != self._changes:
            tenure = self._checked(right, tenure, now_s)
        if tenure is None:
            tenure = self._tenures[right] = self._new_tenure(right, now_s)
            while len(self._tenures) > MAX_RIGHTS:
                self._tenures.popitem(last=False)
        self._tenures.move_to_end(right)
        return tenure

    def _checked(self, right: str, tenure: _Tenure, now_s: float) -> _Tenure | None:
        """Return a tenure after changes of the list, None if it has ended meanwhile.

        One that has not begun to grant ends: the new list may name others to ask.

        Lists that were replaced longer than ``propagation_s`` ago are not known any
        more. If one of them ended the tenure, all know of the next one by now.
        """
        granting_since_s = tenure.granting_since_s
        if granting_since_s is None or not self._is_named_by_former(right):
            del self._tenures[right]
            return None
        if self._changes - tenure.change > len(self._former):
            known_since_s = now_s - self._propagation_s
            tenure.granting_since_s = max(granting_since_s, known_since_s)
        tenure.change = self._changes
        return tenure

    def _is_named_by_former(self, right: str) -> bool:
        """Return whether all lists of late name this agent a holder."""
        return all(
            self._own_host in limit_owners(former, right) for former, _ in self._former
        )

    def _new_tenure(self, right: str, now_s: float) -> _Tenure:
        known_at_s = self._named_since_s(right, now_s) + self._propagation_s
        if known_at_s <= now_s:
            return _Tenure(now_s, known_at_s, self._changes, set(), set(), set())
        hosts = self._possible_holders(right)
        is_alone = self._list is not None and not hosts
        deadline_s = now_s if is_alone else min(known_at_s, now_s + AGREEMENT_S)
        return _Tenure(
            now_s, deadline_s, self._changes, set(hosts), set(hosts), set(hosts)
        )

    def _named_since_s(self, right: str, now_s: float) -> float:
        """Return since when all lists that this agent has read name it."""
        if right in self._ceded or self._own_host not in self._holders_now(right):
            return now_s
        ended_s = [
            at_s
            for hosts, at_s in self._former
            if self._own_host not in limit_owners(hosts, right)
        ]
        return max([self._began_s, *ended_s])

    def _possible_holders(self, right: str) -> set[str]:
        """Return the other hosts that may exercise the right or know who does.

        Besides the present and former holders this is the host that would be a holder
        in place of this one.
        """
        if self._list is None:
            return set()
        hosts = set(self._holders_now(right))
        hosts.update(limit_owners(self._list.hosts - {self._own_host}, right))
        for former, _ in self._former:
            hosts.update(limit_owners(former, right))
        return hosts - {self._own_host}

    def _others(self, request: HandoverRequest) -> tuple[str, ...]:
        """Return holders of late that the agent which asks doesn't ask."""
        hosts = set(self._holders_now(request.right))
        for former, _ in self._former:
            hosts.update(limit_owners(former, request.right))
        known = {*request.holders, *request.asked, self._own_host}
        return tuple(sorted(hosts - known))

    def _cede(self, right: str, position: int, now_s: float) -> None:
        self._tenures.pop(right, None)
        self._ceded.pop(right, None)
        self._ceded[right] = position, now_s
        while len(self._ceded) > MAX_RIGHTS:
            self._ceded.popitem(last=False)

    def _holders_now(self, right: str) -> list[str]:
        """Return the holders of a right by the newest list that was read."""
        if self._list is None:
            return []
        holders = self._holders.get(right)
        if holders is None:
            if len(self._holders) >= MAX_RIGHTS:
                self._holders.clear()
            holders = limit_owners(self._list.hosts, right)
            self._holders[right] = holders
        return holders
