"""Which shared rights one agent holds, and from when on it may exercise them.

A right is the limit of a target or the allotment of a client account. It is divided
among the first agents in its rendezvous order. Entries and agents derive them from the
list of targets, which each process reads at times of its own, so they disagree for a
while after a change. Three rules keep a former and a new holder from overlapping:

- An agent grants only if the newer one of two lists names it: its own or the one of the
  entry that asks. An entry says how far it has read.
- An agent that has become a holder lately, has started or stood still asks the agents
  that may have held the right before. It waits for their agreement, for
  ``AGREEMENT_S`` at most.
- An agent that agrees ceases to grant until it knows a newer list that names it.
"""

from __future__ import annotations

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass, field

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
# Most rights that are remembered; a dropped one settles again.
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
    before: the question should be repeated in some milliseconds.
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
    """The answer: whether another agent agrees, and in what time at the earliest.

    ``position`` is how far that agent has read the list. If it does not agree, its list
    is newer and does not name the agent that asks.
    """

    is_agreed: bool
    position: int
    wait_s: float = 0.0


@dataclass(slots=True)
class _Tenure:
    """The time in which this agent is a holder of one right.

    ``unanswered`` are the hosts whose agreement is missing. If all agree, it may grant
    from ``agreed_from_s`` on, otherwise from ``settled_at_s`` on. ``change`` counts the
    changes of the list up to which it is known to be a holder.
    """

    settled_at_s: float
    change: int
    unanswered: set[str] = field(default_factory=set)
    asked: tuple[str, ...] = ()
    asked_at_s: float | None = None
    agreed_from_s: float = 0.0
    granting_since_s: float | None = None

    def begins_at_s(self) -> float:
        """Return from when on the agent may grant, as far as is known now."""
        if self.asked and not self.unanswered:
            return min(self.settled_at_s, self.agreed_from_s)
        return self.settled_at_s


class HolderRole:
    """The rights of one agent by the lists that it has read.

    All times are seconds on a clock that counts suspensions of the host.
    """

    def __init__(self, own_host: str, settling_s: float, now_s: float) -> None:
        """Start without a list.

        Within ``settling_s`` all entries that are in touch with the store learn of a
        change of the list.
        """
        self._own_host = own_host
        self._settling_s = settling_s
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
        while self._former and now_s - self._former[0][1] >= self._settling_s:
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
        if tenure.granting_since_s is None and now_s >= tenure.begins_at_s():
            tenure.granting_since_s = tenure.begins_at_s()
            self._ceded.pop(right, None)
        if tenure.granting_since_s is not None:
            return self._as_holder(right, tenure.granting_since_s)
        is_asking = tenure.asked_at_s is None or now_s - tenure.asked_at_s < REPLY_S
        return HolderStanding(Standing.ASKING if is_asking else Standing.SETTLING)

    def _as_holder(self, right: str, since_s: float) -> HolderStanding:
        holders = self._holders_now(right)
        if self._own_host not in holders:
            return HolderStanding(Standing.HOLDER, since_s)
        rank = holders.index(self._own_host)
        return HolderStanding(Standing.HOLDER, since_s, len(holders), rank)

    def due_request(self, right: str, now_s: float) -> HandoverRequest | None:
        """Return the request to send to the agents that have not agreed yet.

        The hosts to send it to are ``unanswered(right)``. Returns None if there are
        none, or if they were asked just before.
        """
        tenure = self._tenures.get(right)
        if tenure is None or tenure.granting_since_s is not None:
            return None
        asked_at_s = tenure.asked_at_s
        if not tenure.unanswered:
            return None
        if asked_at_s is not None and now_s - asked_at_s < REPEAT_S:
            return None
        if asked_at_s is None:
            tenure.asked_at_s = now_s
        else:
            # The first answers are missing, so callers need not wait for the next ones.
            tenure.asked_at_s = now_s - REPLY_S
        holders = tuple(self._holders_now(right))
        return HandoverRequest(right, holders, tenure.asked, self.position)

    def unanswered(self, right: str) -> list[str]:
        """Return the hosts whose agreement to a right is missing."""
        tenure = self._tenures.get(right)
        return [] if tenure is None else sorted(tenure.unanswered)

    def requested(
        self, request: HandoverRequest, host: str, now_s: float
    ) -> HandoverReply:
        """Answer the agent at a host that wants to exercise a right."""
        self._note_pause(now_s)
        right, own = request.right, self._list
        if own is None:
            # This agent has granted nothing since its start, and will ask itself.
            return HandoverReply(True, -1)
        holders = self._holders_now(right)
        is_older = request.position < own.position
        if is_older and host not in holders:
            return HandoverReply(False, own.position)
        is_named = is_older and self._own_host in holders
        if self._own_host not in request.holders and not is_named:
            self._cede(right, request.position, now_s)
        return HandoverReply(True, own.position, self._others_wait_s(request, now_s))

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
        tenure.agreed_from_s = max(tenure.agreed_from_s, now_s + reply.wait_s)

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

        Changes that were replaced longer than ``settling_s`` ago are not known any
        more. If one of them ended the tenure, the next one has settled since.
        """
        if any(self._own_host not in limit_owners(f, right) for f, _ in self._former):
            del self._tenures[right]
            return None
        is_known = self._changes - tenure.change <= len(self._former)
        tenure.change = self._changes
        if tenure.granting_since_s is not None and not is_known:
            known_since_s = now_s - self._settling_s
            tenure.granting_since_s = max(tenure.granting_since_s, known_since_s)
        return tenure

    def _new_tenure(self, right: str, now_s: float) -> _Tenure:
        since_s = self._named_since_s(right, now_s)
        tenure = _Tenure(since_s + self._settling_s, self._changes)
        if tenure.settled_at_s > now_s:
            tenure.unanswered = self._possible_holders(right)
            tenure.asked = tuple(sorted(tenure.unanswered))
            is_alone = self._list is not None and not tenure.asked
            most_s = 0.0 if is_alone else AGREEMENT_S
            tenure.settled_at_s = min(tenure.settled_at_s, now_s + most_s)
        return tenure

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

    def _others_wait_s(self, request: HandoverRequest, now_s: float) -> float:
        """Return for how long hosts unknown to the asking agent may grant a right."""
        known = {*request.holders, *request.asked, self._own_host}
        holders = self._holders_now(request.right)
        wait_s = 0.0
        if self.position <= request.position and not known.issuperset(holders):
            wait_s = self._settling_s
        for former, ended_s in self._former:
            others = set(limit_owners(former, request.right)) - known - set(holders)
            if others:
                wait_s = max(wait_s, ended_s + self._settling_s - now_s)
        return wait_s

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
