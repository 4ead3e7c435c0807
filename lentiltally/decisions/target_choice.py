"""Which target gets a request on the direct path.

An entry knows each target from three sources of different age: its own requests in
flight, the load that answers carry, and for model engines the state that the agent
beside them sends. The choice weighs them as one expected time to the first byte.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

import xxhash

from lentiltally.decisions._ring import rendezvous_weight
from lentiltally.direct.messages import EngineState, adapter_key_hash
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.request import LoadReport

__all__ = ["Candidate", "ChoiceSettings", "TargetChoice", "TargetView"]


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Weights of a choice, in seconds unless the name says otherwise.

    ``prefill_tokens_per_s`` turns prompts that wait into time; engines read about 20
    tokens in a millisecond. ``crowd_weight`` is for the callers already there: each
    prompt that is read lengthens the pauses of all streams of its engine.
    ``cold_s`` is a load from the weight store, ``recent_s``
    one from the engine's own memory, ``coming_s`` the rest of a load under way.
    ``away_s`` is added for each place by which a target lies behind the adapter's
    first in the hash order, so entries that know little load an adapter at the same
    target.
    ``blocked_s`` is the wait where requests hold every slot. ``failure_s`` is the time
    lost on a target that fails every request.
    """

    prefill_tokens_per_s: float = 19_000.0
    crowd_weight: float = 1.5
    batch_slowdown_s: float = 0.25
    no_memory_s: float = 1.5
    cold_s: float = 0.55
    recent_s: float = 0.06
    coming_s: float = 0.15
    away_s: float = 0.03
    away_places: int = 4
    blocked_s: float = 0.8
    queue_for_slot_s: float = 0.15
    renewal_s: float = 0.3
    other_domain_s: float = 0.003
    failure_s: float = 1.0
    avoided_s: float = 5.0
    unknown_state_s: float = 0.5
    state_max_age_s: float = 1.5
    load_max_age_s: float = 1.0
    slowness_half_life_s: float = 0.3
    first_latency_s: float = 0.1


@dataclass(slots=True)
class TargetView:
    """What an entry knows of one target.

    ``failures`` is a decayed share of requests without a proper answer. ``recent`` are
    the marks of adapters that the engine held lately and loads fast.
    """

    in_flight: int = 0
    waiting_tokens: int = 0
    load: LoadReport | None = None
    load_at_s: float = 0.0
    latency_s: float | None = None
    failures: float = 0.0
    failed_at_s: float = 0.0
    avoid_until_s: float = 0.0
    state: EngineState | None = None
    cached: frozenset[int] = frozenset()
    state_at_s: float = field(default=-math.inf)


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target with its expected time to the first byte.

    ``residency`` says how the adapter is placed there: ``held``, ``coming``,
    ``recent``, ``cold``, ``none`` where no adapter is needed, and without a fresh
    state ``held before`` if the last one listed it, or ``unknown``.
    """

    record: TargetRecord
    cost_s: float
    residency: str
    state_age_s: float | None


class TargetChoice:
    """The views of all targets and the choice among them."""

    def __init__(
        self, failure_domain: str, settings: ChoiceSettings | None = None
    ) -> None:
        """Take the entry's own failure domain."""
        self._domain = failure_domain
        self._settings = settings or ChoiceSettings()
        self._views: dict[str, TargetView] = {}

    def view(self, target_id: str) -> TargetView:
        """Return the view of a target, new if it was unknown."""
        return self._views.setdefault(target_id, TargetView())

    def forget(self, target_id: str) -> None:
        """Drop the view of a target that is gone."""
        self._views.pop(target_id, None)

    def state_received(self, target_id: str, state: EngineState, now_s: float) -> None:
        """Take the state that an agent sent; older numbers are ignored."""
        view = self.view(target_id)
        known = view.state
        # A lower number long after the last state comes from an agent that started
        # anew; otherwise the datagram was overtaken.
        is_recent = now_s - view.state_at_s < self._settings.state_max_age_s
        if known is not None and is_recent and _is_older(state, known):
            return
        view.cached = _recent(view, state)
        view.state = state
        view.state_at_s = now_s

    def sent(self, target_id: str, tokens: int) -> None:
        """Count a request in flight."""
        view = self.view(target_id)
        view.in_flight += 1
        view.waiting_tokens += tokens

    def first_byte(self, target_id: str, tokens: int, latency_s: float) -> None:
        """Take the time to the first byte of an answer."""
        view = self.view(target_id)
        view.waiting_tokens -= tokens
        known_s = view.latency_s
        view.latency_s = (
            latency_s if known_s is None else known_s + 0.2 * (latency_s - known_s)
        )

    def ended(self, target_id: str, *, is_failure: bool, now_s: float) -> None:
        """Count the end of a request; a failure is one without a proper answer."""
        view = self.view(target_id)
        view.in_flight -= 1
        share = 0.15 if is_failure else 0.08
        view.failures += share * ((1.0 if is_failure else 0.0) - view.failures)
        if is_failure:
            view.failed_at_s = now_s

    def not_first_byte(self, target_id: str, tokens: int) -> None:
        """Take back the waiting prompt of a request that ended without an answer."""
        self.view(target_id).waiting_tokens -= tokens

    def load_received(self, target_id: str, load: LoadReport, now_s: float) -> None:
        """Take the load that an answer carried."""
        view = self.view(target_id)
        view.load = load
        view.load_at_s = now_s

    def avoid(self, target_id: str, until_s: float) -> None:
        """Prefer other targets for a while."""
        view = self.view(target_id)
        view.avoid_until_s = max(view.avoid_until_s, until_s)

    def plain(
        self,
        records: Sequence[TargetRecord],
        excluded: Collection[str],
        now_s: float,
    ) -> list[Candidate]:
        """Return the targets of a plain service, best first."""
        usual_s = self._usual_latency_s(records)
        least = self._least_failures(records, now_s)
        candidates = [
            Candidate(
                record,
                self._plain_cost_s(record, usual_s, least, now_s),
                "none",
                None,
            )
            for record in records
            if record.target_id not in excluded
        ]
        return sorted(candidates, key=_cost)

    def engines(
        self,
        records: Sequence[TargetRecord],
        key: str,
        tokens: int,
        excluded: Collection[str],
        now_s: float,
        *,
        needs_adapter: bool,
    ) -> list[Candidate]:
        """Return the model engines for a request that needs an adapter, best first."""
        seed = xxhash.xxh3_64_intdigest(key.encode())
        order = sorted(
            records, key=lambda r: rendezvous_weight(seed, r.address), reverse=True
        )
        least = self._least_failures(records, now_s)
        candidates = []
        for place, record in enumerate(order):
            if record.target_id in excluded:
                continue
            view = self.view(record.target_id)
            base_s = self._engine_load_s(record, view, tokens, now_s)
            residency, adapter_s = (
                self._adapter_cost_s(view, key, place, now_s)
                if needs_adapter
                else ("none", 0.0)
            )
            age_s = now_s - view.state_at_s if view.state else None
            cost_s = base_s + adapter_s + self._trouble_s(record, view, least, now_s)
            candidates.append(Candidate(record, cost_s, residency, age_s))
        return sorted(candidates, key=_cost)

    def _plain_cost_s(
        self, record: TargetRecord, usual_s: float, least: float, now_s: float
    ) -> float:
        settings = self._settings
        view = self.view(record.target_id)
        work_s = max(view.latency_s or usual_s, usual_s / 2)
        load, slowness = view.in_flight, 1.0
        if view.load is not None:
            age_s = now_s - view.load_at_s
            if age_s < settings.load_max_age_s:
                load = max(load, view.load.running + view.load.waiting)
            fresh = 0.5 ** (age_s / settings.slowness_half_life_s)
            slowness = 1.0 + (view.load.slowness - 1.0) * fresh
        queue_s = (
            usual_s
            * max(0, load + 1 - record.concurrency_limit)
            / record.concurrency_limit
        )
        crowd_s = 0.3 * usual_s * load / record.concurrency_limit
        cost_s = work_s * 0.5 + usual_s * 0.5 * slowness + queue_s + crowd_s
        return cost_s + self._trouble_s(record, view, least, now_s)

    def _engine_load_s(
        self, record: TargetRecord, view: TargetView, tokens: int, now_s: float
    ) -> float:
        settings = self._settings
        waiting_tokens = float(max(0, view.waiting_tokens))
        running = view.in_flight
        is_full = False
        state = self._fresh_state(view, now_s)
        if state is not None:
            waiting_tokens = max(waiting_tokens, float(state.prefill_tokens))
            running = max(running, state.running + state.waiting)
            is_full = 0 < state.cache_total < state.cache_used + tokens * 1.2
        read_tokens = settings.crowd_weight * waiting_tokens + tokens
        cost_s = read_tokens / settings.prefill_tokens_per_s
        cost_s += settings.batch_slowdown_s * running / record.concurrency_limit
        return cost_s + (settings.no_memory_s if is_full else 0.0)

    def _adapter_cost_s(
        self, view: TargetView, key: str, place: int, now_s: float
    ) -> tuple[str, float]:
        settings = self._settings
        state = self._fresh_state(view, now_s)
        mark = adapter_key_hash(key)
        away_s = settings.away_s * min(place, settings.away_places)
        if state is None:
            was_held = view.state is not None and mark in view.state.loaded
            residency = "held before" if was_held else "unknown"
            return residency, settings.unknown_state_s + away_s
        if mark in state.loaded:
            return "held", 0.0
        if mark in state.loading:
            return "coming", settings.coming_s
        queue_s = settings.queue_for_slot_s * (state.waiting_keys + len(state.loading))
        blocked_s = settings.blocked_s if state.free_slots <= 0 else 0.0
        if mark in view.cached:
            return "recent", settings.recent_s + away_s + queue_s + blocked_s
        return "cold", settings.cold_s + away_s + queue_s + blocked_s

    def _fresh_state(self, view: TargetView, now_s: float) -> EngineState | None:
        is_fresh = now_s - view.state_at_s <= self._settings.state_max_age_s
        return view.state if is_fresh else None

    def _trouble_s(
        self, record: TargetRecord, view: TargetView, least: float, now_s: float
    ) -> float:
        settings = self._settings
        cost_s = settings.failure_s * max(
            0.0, self._failures(view, now_s) - least - 0.1
        )
        if record.failure_domain != self._domain:
            cost_s += settings.other_domain_s
        if view.avoid_until_s > now_s:
            cost_s += settings.avoided_s
        return cost_s + min(1.0, record.slow_start_left_s) * 0.1

    @staticmethod
    def _failures(view: TargetView, now_s: float) -> float:
        """Return the failure share, halved every 3 s without a new failure."""
        return view.failures * math.pow(0.5, (now_s - view.failed_at_s) / 3.0)

    def _least_failures(self, records: Sequence[TargetRecord], now_s: float) -> float:
        shares = [self._failures(self.view(r.target_id), now_s) for r in records]
        return min(shares, default=0.0)

    def _usual_latency_s(self, records: Sequence[TargetRecord]) -> float:
        known = [self.view(r.target_id).latency_s for r in records]
        values = sorted(v for v in known if v is not None)
        return values[len(values) // 2] if values else self._settings.first_latency_s


def _recent(view: TargetView, state: EngineState) -> frozenset[int]:
    """Return what an engine held lately, by its list or by what left it since."""
    if state.cached is not None:
        return frozenset(state.cached)
    known = view.state
    if known is None or known.started_ms != state.started_ms:
        return frozenset()
    return (view.cached | frozenset(known.loaded)) - frozenset(state.loaded)


def _is_older(state: EngineState, known: EngineState) -> bool:
    return state.started_ms == known.started_ms and state.number < known.number


def _cost(candidate: Candidate) -> float:
    return candidate.cost_s
