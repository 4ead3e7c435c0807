"""Chooses the target of each attempt.

Adapter state, queue wait, prefix affinity and failure domain are combined into one
cost in seconds. Candidates are a few targets that have the adapter loaded, the first
targets of the adapter on a hash ring, and a random sample, so that a placement never
scans all targets.
"""

from __future__ import annotations

import random
from bisect import insort
from collections import OrderedDict, deque
from dataclasses import dataclass

import msgspec

from lentiltally.decisions._ring import HashRing, rendezvous_weight


class TargetView(msgspec.Struct, frozen=True):
    """State of one target, from the last state report of its agent.

    ``batch_places`` is the number of batch slots. ``queued`` and ``running`` count
    attempts. ``resident`` are the hashes of the loaded adapters. ``free_slots`` is how
    many slots could take another adapter: all slots less those of adapters in use,
    of loads in progress and of adapters that queued work waits for; it may be negative.
    ``reported_at_s`` is the entry's estimate of the time at which the counts were true.
    ``Placement`` adds the entry's own dispatches and answers after that time.
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
    """An attempt to be placed; ``prefix_hash`` 0 means no known prefix.

    ``adapter_hash`` 0 means that no adapter is needed (plain services). Targets in
    ``excluded`` are never chosen; those in ``slow`` only if the others cost more.
    """

    base_model: str
    adapter_hash: int
    prefix_hash: int = 0
    failure_domain: str = ""
    excluded: frozenset[str] = frozenset()
    slow: frozenset[str] = frozenset()


class PlacementChoice(msgspec.Struct, frozen=True):
    """The chosen target.

    ``reason`` is ``resident`` if the adapter is loaded there, ``cold`` if it is not,
    and ``service`` if none is needed. ``queue_wait_s`` is the expected wait for a batch
    slot.
    """

    target: str
    agent: str
    reason: str
    queue_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Costs of a placement, in seconds unless the name says otherwise.

    - ``cold_start_s``: a cold start, which is the load itself (0.25 s) plus the usual
      wait for a permit.
    - ``full_batch_s``: a full batch, compared with an empty one; it keeps equal targets
      equally loaded.
    - ``off_ring_penalty_s``: a cold start on a target other than the adapter's first
      one on the ring. It exceeds the usual differences caused by load, so that entries
      with different views load an adapter on one target only.
    - ``mean_service_s``: the usual service time, which converts the length of a queue
      to a wait.
    - ``slow_target_penalty_s``: the extra time to first token of a slow target. It is
      less than a cold start, so attempts stay where their adapter is loaded.
    - ``remote_domain_penalty_s``: a target in another failure domain.
    - ``prefix_affinity_gain_s``: subtracted for the target to which the last attempt
      with the same prefix was sent.
    - ``no_free_slot_penalty_s``: a cold start while running work uses every slot.

    After a dispatch its adapter is assumed to be loaded for ``assumed_loaded_s``, which
    covers the 10 s between two full state reports of a target. A target is full if
    ``queue_limit_per_batch_slot`` attempts per batch slot wait besides the running
    ones. If all candidates are full or excluded, ``fallback_candidates`` random targets
    are tried. ``max_prefixes`` is the number of prefixes whose targets are remembered.
    """

    cold_start_s: float = 2.0
    full_batch_s: float = 0.6
    off_ring_penalty_s: float = 0.4
    mean_service_s: float = 10.0
    slow_target_penalty_s: float = 1.0
    remote_domain_penalty_s: float = 0.003
    prefix_affinity_gain_s: float = 0.2
    no_free_slot_penalty_s: float = 8.0
    assumed_loaded_s: float = 12.0
    loaded_candidates: int = 2
    ring_candidates: int = 2
    sampled_candidates: int = 6
    fallback_candidates: int = 32
    max_prefixes: int = 20_000
    queue_limit_per_batch_slot: float = 4.0


class _Target:
    """The last view of a target, and the entry's own changes since its time."""

    __slots__ = (
        "assumed",
        "attempt_delta",
        "changes",
        "cold_starts",
        "index",
        "open_attempts",
        "view",
    )

    def __init__(self, view: TargetView) -> None:
        self.view = view
        # Time, change of the number of attempts, and number of cold starts, which need
        # a slot each.
        self.changes: deque[tuple[float, int, int]] = deque()
        self.attempt_delta = 0
        self.cold_starts = 0
        self.open_attempts = 0
        # Position in the list of the targets of its model.
        self.index = -1
        # Adapters that are assumed to be loaded, and since when.
        self.assumed: dict[int, float] = {}

    def attempts(self) -> int:
        # A report may no longer count attempts whose answers have not arrived here yet.
        # They are still open at this entry, so the count is never lower than that.
        return max(
            self.view.queued + self.view.running + self.attempt_delta,
            self.open_attempts,
            0,
        )

    def add_change(self, now_s: float, change: int, cold_starts: int = 0) -> None:
        self.changes.append((now_s, change, cold_starts))
        self.attempt_delta += change
        self.cold_starts += cold_starts
        self.open_attempts = max(0, self.open_attempts + change)

    def drop_reported_changes(self) -> None:
        """Drop the changes that the counts of the view already include."""
        while self.changes and self.changes[0][0] <= self.view.reported_at_s:
            _, change, cold_starts = self.changes.popleft()
            self.attempt_delta -= change
            self.cold_starts -= cold_starts


class Placement:
    """Chooses a target for each attempt of one entry; no I/O, not thread-safe."""

    def __init__(
        self, rng: random.Random, settings: PlacementSettings | None = None
    ) -> None:
        """Start without targets; ``rng`` draws the random candidates."""
        self._rng = rng
        self._settings = settings or PlacementSettings()
        self._targets: dict[str, _Target] = {}
        self._by_model: dict[str, list[_Target]] = {}
        self._rings: dict[str, HashRing] = {}
        # Per adapter: the targets that have it loaded or are assumed to, as
        # (rendezvous weight, target), the heaviest last.
        self._loaded_targets: dict[int, list[tuple[int, str]]] = {}
        self._prefix_targets: OrderedDict[int, str] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of targets."""
        return len(self._targets)

    def update(self, view: TargetView) -> None:
        """Replace the view of a target, unless the new view is older."""
        target = self._targets.get(view.name)
        if target is not None and target.view.base_model != view.base_model:
            self.remove(view.name)
            target = None
        if target is None:
            self._add(view)
            return
        if view.reported_at_s < target.view.reported_at_s:
            return
        before = self._known_loaded(target)
        target.view = view
        target.drop_reported_changes()
        self._drop_assumptions(target, view.reported_at_s)
        after = self._known_loaded(target)
        self._update_loaded_targets(view.name, after - before, before - after)

    def update_counts(
        self,
        name: str,
        queued: int,
        running: int,
        now_s: float,
        free_slots: int | None = None,
    ) -> None:
        """Replace the counts of a target by those of an answer or a refusal."""
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
        target.drop_reported_changes()

    def remove(self, name: str) -> None:
        """Remove a target."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        self._update_loaded_targets(name, set(), self._known_loaded(target))
        model_targets = self._by_model[target.view.base_model]
        last = model_targets.pop()
        if last is not target:
            model_targets[target.index] = last
            last.index = target.index
        self._rings[target.view.base_model].remove(name)

    def choose(self, request: PlacementRequest, now_s: float) -> PlacementChoice | None:
        """Return the cheapest candidate, or None if all are full or excluded.

        Ties go to the earlier candidate, so targets from the ring win over random ones.
        """
        model_targets = self._by_model.get(request.base_model)
        if not model_targets:
            return None
        ring_targets = self._ring_targets(request)
        first_ring_target = ring_targets[0] if ring_targets else ""
        candidates = self._candidates(request, model_targets, ring_targets)
        best = self._cheapest(candidates, request, first_ring_target, now_s)
        if best is None:
            # All candidates are full or excluded: try more, but not thousands.
            count = min(len(model_targets), self._settings.fallback_candidates)
            more = self._rng.sample(model_targets, count)
            best = self._cheapest(more, request, first_ring_target, now_s)
        if best is None:
            return None
        reason = "service"
        if request.adapter_hash:
            is_loaded = self._is_loaded(best, request.adapter_hash, now_s)
            reason = "resident" if is_loaded else "cold"
        wait_s = self._queue_wait_s(best)
        return PlacementChoice(best.view.name, best.view.agent, reason, wait_s)

    def dispatched(self, target: str, request: PlacementRequest, now_s: float) -> None:
        """Count a dispatch of this entry until a state report includes it."""
        known = self._targets.get(target)
        if known is None:
            return
        adapter = request.adapter_hash
        is_cold = bool(adapter) and not self._is_loaded(known, adapter, now_s)
        known.add_change(now_s, 1, int(is_cold))
        self._assume(known, adapter, now_s)
        if request.prefix_hash:
            self._prefix_targets[request.prefix_hash] = target
            self._prefix_targets.move_to_end(request.prefix_hash)
            if len(self._prefix_targets) > self._settings.max_prefixes:
                self._prefix_targets.popitem(last=False)

    def finished(self, target: str, now_s: float) -> None:
        """Count the end of a dispatch of this entry, whatever its outcome."""
        known = self._targets.get(target)
        if known is not None:
            known.add_change(now_s, -1)

    def drop_assumed_adapter(self, target: str, adapter_hash: int) -> None:
        """Drop the assumption that a target has loaded an adapter.

        To be called when a target returns an attempt because it has no slot for the
        adapter.
        """
        known = self._targets.get(target)
        if known is None or known.assumed.pop(adapter_hash, None) is None:
            return
        if adapter_hash not in known.view.resident:
            self._update_loaded_targets(target, set(), {adapter_hash})

    def attempt_count(self, name: str) -> int:
        """Return the estimated number of queued and running attempts of a target."""
        return self._targets[name].attempts()

    def _add(self, view: TargetView) -> None:
        target = _Target(view)
        model_targets = self._by_model.setdefault(view.base_model, [])
        target.index = len(model_targets)
        model_targets.append(target)
        self._targets[view.name] = target
        self._rings.setdefault(view.base_model, HashRing()).add(view.name)
        self._update_loaded_targets(view.name, set(view.resident), set())

    def _known_loaded(self, target: _Target) -> set[int]:
        return {*target.view.resident, *target.assumed}

    def _update_loaded_targets(
        self, name: str, added: set[int], dropped: set[int]
    ) -> None:
        for adapter in added:
            insort(
                self._loaded_targets.setdefault(adapter, []),
                (rendezvous_weight(adapter, name), name),
            )
        for adapter in dropped:
            targets = self._loaded_targets[adapter]
            targets.remove((rendezvous_weight(adapter, name), name))
            if not targets:
                del self._loaded_targets[adapter]

    def _assume(self, target: _Target, adapter: int, now_s: float) -> None:
        if not adapter:
            return
        if adapter not in target.view.resident and adapter not in target.assumed:
            self._update_loaded_targets(target.view.name, {adapter}, set())
        target.assumed[adapter] = now_s

    def _drop_assumptions(self, target: _Target, reported_at_s: float) -> None:
        """Drop the assumptions that are older than the state report."""
        target.assumed = {
            adapter: at_s
            for adapter, at_s in target.assumed.items()
            if at_s > reported_at_s
        }

    def _is_loaded(self, target: _Target, adapter: int, now_s: float) -> bool:
        if adapter in target.view.resident:
            return True
        at_s = target.assumed.get(adapter)
        return at_s is not None and now_s - at_s < self._settings.assumed_loaded_s

    def _ring_targets(self, request: PlacementRequest) -> list[str]:
        if not request.adapter_hash:
            return []
        return self._rings[request.base_model].first(
            request.adapter_hash, self._settings.ring_candidates, request.excluded
        )

    def _candidates(
        self,
        request: PlacementRequest,
        model_targets: list[_Target],
        ring_targets: list[str],
    ) -> list[_Target]:
        settings = self._settings
        names = list(ring_targets)
        targets = self._loaded_targets.get(request.adapter_hash, ())
        count = settings.loaded_candidates
        names += [name for _, name in targets[-count:]]
        if len(targets) > count:
            names += [self._rng.choice(targets)[1] for _ in range(count)]
        if request.prefix_hash and request.prefix_hash in self._prefix_targets:
            names.append(self._prefix_targets[request.prefix_hash])
        found = [self._targets[name] for name in names if name in self._targets]
        found += [
            model_targets[int(self._rng.random() * len(model_targets))]
            for _ in range(settings.sampled_candidates)
        ]
        return found

    def _cheapest(
        self,
        candidates: list[_Target],
        request: PlacementRequest,
        first_ring_target: str,
        now_s: float,
    ) -> _Target | None:
        best: _Target | None = None
        lowest_s = float("inf")
        for target in candidates:
            view = target.view
            if view.base_model != request.base_model or view.name in request.excluded:
                continue
            batch_slots = max(1, view.batch_places)
            if target.attempts() >= batch_slots * (
                1 + self._settings.queue_limit_per_batch_slot
            ):
                continue
            cost_s = self._cost_s(target, request, first_ring_target, now_s)
            if cost_s < lowest_s:
                best, lowest_s = target, cost_s
        return best

    def _queue_wait_s(self, target: _Target) -> float:
        batch_slots = max(1, target.view.batch_places)
        ahead = max(0, target.attempts() + 1 - batch_slots)
        return self._settings.mean_service_s * ahead / batch_slots

    def _cost_s(
        self,
        target: _Target,
        request: PlacementRequest,
        first_ring_target: str,
        now_s: float,
    ) -> float:
        settings = self._settings
        view = target.view
        cost_s = settings.full_batch_s * target.attempts() / max(1, view.batch_places)
        cost_s += self._queue_wait_s(target)
        if request.adapter_hash and not self._is_loaded(
            target, request.adapter_hash, now_s
        ):
            cost_s += settings.cold_start_s
            if view.name != first_ring_target:
                cost_s += settings.off_ring_penalty_s
            if view.free_slots - target.cold_starts <= 0:
                cost_s += settings.no_free_slot_penalty_s
        if view.name in request.slow:
            cost_s += settings.slow_target_penalty_s
        if request.failure_domain and request.failure_domain != view.failure_domain:
            cost_s += settings.remote_domain_penalty_s
        if (
            request.prefix_hash
            and self._prefix_targets.get(request.prefix_hash) == view.name
        ):
            cost_s -= settings.prefix_affinity_gain_s
        return cost_s
