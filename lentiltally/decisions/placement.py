"""Which target gets an attempt.

Adapter residency, queue, prefix affinity and failure domain are weighed as one cost in
seconds. Candidates are a few resident targets, the first targets of the adapter on a
hash ring, and a random sample, so a placement never scans all targets.
"""

from __future__ import annotations

import random
from bisect import insort
from collections import OrderedDict, deque
from dataclasses import dataclass

import msgspec

from lentiltally.decisions._ring import HashRing, rendezvous_weight


class TargetView(msgspec.Struct, frozen=True):
    """What an agent last said of one target, as an entry keeps it.

    ``free_slots`` is how many slots could take another adapter: all slots less those of
    running adapters, of loads under way and of absent adapters that queued work waits
    for; it may be negative.
    ``reported_at_s`` is the entry's estimate of the time at which the counts were
    true. Own dispatches and answers after that time are added by ``Placement``.
    """

    name: str
    failure_domain: str
    base_model: str
    agent: str
    batch_places: int
    adapter_slots: int
    queued: int
    running: int
    resident: frozenset[int]
    reported_at_s: float
    free_slots: int = 1


class PlacementRequest(msgspec.Struct, frozen=True):
    """What is to be placed; ``prefix_hash`` 0 means no known prefix.

    ``adapter_hash`` 0 means that no adapter is needed (plain services). ``excluded``
    targets are never chosen; ``slow`` ones only where the others cost more.
    """

    base_model: str
    adapter_hash: int
    prefix_hash: int = 0
    failure_domain: str = ""
    excluded: frozenset[str] = frozenset()
    slow: frozenset[str] = frozenset()


class PlacementChoice(msgspec.Struct, frozen=True):
    """The chosen target; ``reason`` is ``resident``, ``cold`` or ``service``.

    ``queue_wait_s`` is the expected wait for a batch place.
    """

    target: str
    agent: str
    reason: str
    queue_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Weights of a placement, in seconds unless the name says otherwise.

    ``load_wait_s`` is what a cold start costs: the load itself (0.25 s) plus the
    usual wait for a permit. ``spread_s`` is the cost of a full target against an empty
    one; it keeps equal targets level. ``away_s`` is the cost of a cold start away from
    the adapter's home on the ring; it is more than the spread between usual loads, so
    that entries with different views load an adapter once. ``slot_wait_s`` is the cost
    of a cold start where running work holds every slot. ``slow_s`` is what a slowed
    target adds to the first token; it is less than a cold start, so work stays with
    its adapter. ``assumed_resident_s`` covers
    the 10 s between two full states of a target.
    """

    load_wait_s: float = 2.0
    spread_s: float = 0.6
    away_s: float = 0.4
    service_s: float = 10.0
    slow_s: float = 1.0
    remote_domain_s: float = 0.003
    prefix_gain_s: float = 0.2
    slot_wait_s: float = 8.0
    assumed_resident_s: float = 12.0
    resident_candidates: int = 2
    ring_candidates: int = 2
    sampled_candidates: int = 6
    fallback_candidates: int = 32
    max_prefixes: int = 20_000
    queue_limit_per_place: float = 4.0


class _Target:
    """A view with the entry's own changes since the view's time."""

    __slots__ = ("assumed", "changes", "cold", "net", "open", "position", "view")

    def __init__(self, view: TargetView) -> None:
        self.view = view
        # Time, change of the load, and change of the adapters that need a slot.
        self.changes: deque[tuple[float, int, int]] = deque()
        self.net = 0
        self.cold = 0
        self.open = 0
        self.position = -1
        self.assumed: dict[int, float] = {}

    def load(self) -> int:
        # A report that is ahead of an answer can't push the count below own work.
        return max(self.view.queued + self.view.running + self.net, self.open, 0)

    def changed(self, now_s: float, by: int, cold: int = 0) -> None:
        self.changes.append((now_s, by, cold))
        self.net += by
        self.cold += cold
        self.open = max(0, self.open + by)

    def forget_covered(self) -> None:
        """Drop the own changes that the view's counts already include."""
        while self.changes and self.changes[0][0] <= self.view.reported_at_s:
            _, by, cold = self.changes.popleft()
            self.net -= by
            self.cold -= cold


class Placement:
    """The entry's choice of a target for each attempt; one owner, no I/O."""

    def __init__(
        self, rng: random.Random, settings: PlacementSettings | None = None
    ) -> None:
        """Start without targets; ``rng`` draws the random candidates."""
        self._rng = rng
        self._settings = settings or PlacementSettings()
        self._targets: dict[str, _Target] = {}
        self._by_model: dict[str, list[_Target]] = {}
        self._rings: dict[str, HashRing] = {}
        # Per adapter: (rendezvous weight, target), the heaviest last.
        self._residents: dict[int, list[tuple[int, str]]] = {}
        self._prefixes: OrderedDict[int, str] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def update(self, view: TargetView) -> None:
        """Take over a state message; one older than the known view is ignored."""
        target = self._targets.get(view.name)
        if target is not None and target.view.base_model != view.base_model:
            self.remove(view.name)
            target = None
        if target is None:
            self._add(view)
            return
        if view.reported_at_s < target.view.reported_at_s:
            return
        known = self._known_resident(target)
        target.view = view
        target.forget_covered()
        self._drop_assumptions(target, view.reported_at_s)
        wanted = self._known_resident(target)
        self._index(view.name, wanted - known, known - wanted)

    def update_counts(
        self,
        name: str,
        queued: int,
        running: int,
        now_s: float,
        free_slots: int | None = None,
    ) -> None:
        """Take over the true counts that an answer or a refusal carries."""
        target = self._targets.get(name)
        if target is None or now_s < target.view.reported_at_s:
            return
        target.view = msgspec.structs.replace(
            target.view,
            queued=queued,
            running=running,
            free_slots=target.view.free_slots if free_slots is None else free_slots,
            reported_at_s=now_s,
        )
        target.forget_covered()

    def remove(self, name: str) -> None:
        """Forget a target."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        self._index(name, set(), self._known_resident(target))
        peers = self._by_model[target.view.base_model]
        last = peers.pop()
        if last is not target:
            peers[target.position] = last
            last.position = target.position
        self._rings[target.view.base_model].remove(name)

    def choose(self, wanted: PlacementRequest, now_s: float) -> PlacementChoice | None:
        """Return the cheapest candidate, or None if no eligible target has room.

        Ties go to the earlier candidate, so homes win over random ones.
        """
        peers = self._by_model.get(wanted.base_model)
        if not peers:
            return None
        homes = self._homes(wanted)
        home = homes[0] if homes else ""
        candidates = self._candidates(wanted, peers, homes)
        best = self._cheapest(candidates, wanted, home, now_s)
        if best is None:
            # All candidates are full or excluded: look at more, but not at thousands.
            few = min(len(peers), self._settings.fallback_candidates)
            more = self._rng.sample(peers, few)
            best = self._cheapest(more, wanted, home, now_s)
        if best is None:
            return None
        reason = "service"
        if wanted.adapter_hash:
            held = self._holds(best, wanted.adapter_hash, now_s)
            reason = "resident" if held else "cold"
        wait_s = self._queue_wait_s(best)
        return PlacementChoice(best.view.name, best.view.agent, reason, wait_s)

    def dispatched(self, target: str, wanted: PlacementRequest, now_s: float) -> None:
        """Count an own dispatch that no report covers yet."""
        entry = self._targets.get(target)
        if entry is None:
            return
        adapter = wanted.adapter_hash
        is_cold = bool(adapter) and not self._holds(entry, adapter, now_s)
        entry.changed(now_s, 1, int(is_cold))
        self._assume(entry, adapter, now_s)
        if wanted.prefix_hash:
            self._prefixes[wanted.prefix_hash] = target
            self._prefixes.move_to_end(wanted.prefix_hash)
            if len(self._prefixes) > self._settings.max_prefixes:
                self._prefixes.popitem(last=False)

    def finished(self, target: str, now_s: float) -> None:
        """Count the end of an own dispatch, whatever its outcome."""
        entry = self._targets.get(target)
        if entry is not None:
            entry.changed(now_s, -1)

    def drop_assumed_adapter(self, target: str, adapter_hash: int) -> None:
        """Forget the assumption that a target has loaded an adapter.

        To be called when the target hands work back because it has no slot for it.
        """
        entry = self._targets.get(target)
        if entry is None or entry.assumed.pop(adapter_hash, None) is None:
            return
        if adapter_hash not in entry.view.resident:
            self._index(target, set(), {adapter_hash})

    def attempt_count(self, name: str) -> int:
        """Return the estimated number of queued and running attempts of a target."""
        return self._targets[name].load()

    def _add(self, view: TargetView) -> None:
        target = _Target(view)
        peers = self._by_model.setdefault(view.base_model, [])
        target.position = len(peers)
        peers.append(target)
        self._targets[view.name] = target
        self._rings.setdefault(view.base_model, HashRing()).add(view.name)
        self._index(view.name, set(view.resident), set())

    def _known_resident(self, target: _Target) -> set[int]:
        return {*target.view.resident, *target.assumed}

    def _index(self, name: str, added: set[int], dropped: set[int]) -> None:
        for adapter in added:
            insort(
                self._residents.setdefault(adapter, []),
                (rendezvous_weight(adapter, name), name),
            )
        for adapter in dropped:
            holders = self._residents[adapter]
            holders.remove((rendezvous_weight(adapter, name), name))
            if not holders:
                del self._residents[adapter]

    def _assume(self, target: _Target, adapter: int, now_s: float) -> None:
        if not adapter:
            return
        if adapter not in target.view.resident and adapter not in target.assumed:
            self._index(target.view.name, {adapter}, set())
        target.assumed[adapter] = now_s

    def _drop_assumptions(self, target: _Target, reported_at_s: float) -> None:
        """Keep only the assumptions that are younger than the report."""
        target.assumed = {
            adapter: at_s
            for adapter, at_s in target.assumed.items()
            if at_s > reported_at_s
        }

    def _holds(self, target: _Target, adapter: int, now_s: float) -> bool:
        if adapter in target.view.resident:
            return True
        at_s = target.assumed.get(adapter)
        return at_s is not None and now_s - at_s < self._settings.assumed_resident_s

    def _homes(self, wanted: PlacementRequest) -> list[str]:
        if not wanted.adapter_hash:
            return []
        return self._rings[wanted.base_model].first(
            wanted.adapter_hash, self._settings.ring_candidates, wanted.excluded
        )

    def _candidates(
        self, wanted: PlacementRequest, peers: list[_Target], homes: list[str]
    ) -> list[_Target]:
        settings = self._settings
        names = list(homes)
        holders = self._residents.get(wanted.adapter_hash, ())
        count = settings.resident_candidates
        names += [name for _, name in holders[-count:]]
        if len(holders) > count:
            names += [self._rng.choice(holders)[1] for _ in range(count)]
        if wanted.prefix_hash and wanted.prefix_hash in self._prefixes:
            names.append(self._prefixes[wanted.prefix_hash])
        found = [self._targets[name] for name in names if name in self._targets]
        found += [
            peers[int(self._rng.random() * len(peers))]
            for _ in range(settings.sampled_candidates)
        ]
        return found

    def _cheapest(
        self,
        candidates: list[_Target],
        wanted: PlacementRequest,
        home: str,
        now_s: float,
    ) -> _Target | None:
        best: _Target | None = None
        best_s = float("inf")
        for target in candidates:
            view = target.view
            if view.base_model != wanted.base_model or view.name in wanted.excluded:
                continue
            places = max(1, view.batch_places)
            if target.load() >= places * (1 + self._settings.queue_limit_per_place):
                continue
            cost_s = self._cost_s(target, wanted, home, now_s)
            if cost_s < best_s:
                best, best_s = target, cost_s
        return best

    def _queue_wait_s(self, target: _Target) -> float:
        places = max(1, target.view.batch_places)
        ahead = max(0, target.load() + 1 - places)
        return self._settings.service_s * ahead / places

    def _cost_s(
        self, target: _Target, wanted: PlacementRequest, home: str, now_s: float
    ) -> float:
        settings = self._settings
        view = target.view
        cost_s = settings.spread_s * target.load() / max(1, view.batch_places)
        cost_s += self._queue_wait_s(target)
        if wanted.adapter_hash and not self._holds(target, wanted.adapter_hash, now_s):
            cost_s += settings.load_wait_s
            if view.name != home:
                cost_s += settings.away_s
            if view.free_slots - target.cold <= 0:
                cost_s += settings.slot_wait_s
        if view.name in wanted.slow:
            cost_s += settings.slow_s
        if wanted.failure_domain and wanted.failure_domain != view.failure_domain:
            cost_s += settings.remote_domain_s
        if wanted.prefix_hash and self._prefixes.get(wanted.prefix_hash) == view.name:
            cost_s -= settings.prefix_gain_s
        return cost_s
