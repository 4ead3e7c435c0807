"""Chooses a target for each request on the direct path.

An entry knows the load of a target from three sources of different age: its own
requests in flight, the load reports that come with answers, and, for model engines, the
state reports of the agent beside the engine. The choice combines them into one expected
time to the first byte, in seconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field, replace

import xxhash

from lentiltally.decisions._ring import rendezvous_weight
from lentiltally.decisions.balance_mode import BalanceMode
from lentiltally.decisions.expected_load import (
    ExpectedLoad,
    ExpectedLoadSettings,
    SendsSinceState,
    TargetCost,
    draw_target,
)
from lentiltally.decisions.state_pacing import StatePace
from lentiltally.direct.messages import EngineState, adapter_key_hash
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.request import LoadReport

__all__ = ["Candidate", "ChoiceSettings", "TargetChoice", "TargetView"]

# Residencies of targets that a request can use without a load.
RESIDENCIES_WITHOUT_LOAD = ("held", "none")
# Targets are drawn only if they don't fail or pause; a slow start costs up to 0.1 s.
MAX_DRAW_PENALTY_S = 0.15


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Costs and penalties of a choice, in seconds unless the name says otherwise.

    Model engines:

    - ``prefill_tokens_per_s`` converts prompt tokens to prefill time; engines prefill
      about 20 tokens per millisecond.
    - ``pending_prefill_weight`` counts pending prompts at more than their prefill time,
      because each prefill also raises the inter-token latency of all streams of its
      engine.
    - ``batch_slowdown_s`` is the slowdown that a full batch causes;
      ``full_cache_penalty_s`` is added if 1.2 times the prompt does not fit into the
      free KV cache.
    - ``cold_load_s`` is a load of the adapter from the weight store, ``cached_load_s``
      one from the engine's host memory, ``remaining_load_s`` the rest of a load that
      has started.
    - ``position_penalty_s`` is added for each position of the target behind the first
      one in the adapter's rendezvous order, up to ``max_penalized_positions``. Thus
      entries that know little about the engines load an adapter on the same one.
    - ``no_free_slot_penalty_s`` is the wait if requests use every adapter slot, and
      ``wait_per_queued_load_s`` the wait for each load that is queued or in progress.
    - ``unknown_state_penalty_s`` replaces the costs of the load and the slots if the
      last state report is older than ``TargetChoice.state_max_age_s``.

    All targets:

    - ``remote_domain_penalty_s`` is added in another failure domain.
    - ``failure_penalty_s`` is the time lost on a target that fails every request. It is
      multiplied by the excess of the target's failure rate over the lowest one, less a
      tolerance of 0.1, so no target is avoided if all fail alike.
    - ``avoided_penalty_s`` is added during the cooldown of a target. After an answer
      that has no end, the cooldown is ``endless_cooldown_s``; each further one doubles
      it, up to ``max_endless_cooldown_s``, until the target completes an answer.

    Plain services: the counts of a load report are used for ``load_max_age_s``; the
    slowness that it reports decays with ``slowness_half_life_s``. ``default_latency_s``
    is assumed until the first answer.
    """

    prefill_tokens_per_s: float = 19_000.0
    pending_prefill_weight: float = 1.5
    batch_slowdown_s: float = 0.25
    full_cache_penalty_s: float = 1.5
    cold_load_s: float = 0.55
    cached_load_s: float = 0.06
    remaining_load_s: float = 0.15
    position_penalty_s: float = 0.03
    max_penalized_positions: int = 4
    no_free_slot_penalty_s: float = 0.8
    wait_per_queued_load_s: float = 0.15
    remote_domain_penalty_s: float = 0.003
    failure_penalty_s: float = 1.0
    avoided_penalty_s: float = 5.0
    endless_cooldown_s: float = 1.0
    max_endless_cooldown_s: float = 8.0
    unknown_state_penalty_s: float = 0.5
    load_max_age_s: float = 1.0
    slowness_half_life_s: float = 0.3
    default_latency_s: float = 0.1


@dataclass(slots=True)
class TargetView:
    """What an entry knows about one target.

    ``in_flight`` counts the entry's own requests, and ``pending_prompt_tokens`` are the
    prompt tokens of those that have no first byte yet. ``latency_s`` is the smoothed
    time to the first byte; all other fields in seconds are times on the entry's
    monotonic clock. ``failure_rate`` is the smoothed fraction of requests without a
    proper answer, before its decay since ``last_failure_s``. ``permit_at_s`` is when a
    target that names a limit may get the next request. ``endless_answers`` counts the
    answers without end since the last complete one.
    """

    in_flight: int = 0
    pending_prompt_tokens: int = 0
    load: LoadReport | None = None
    load_received_s: float = 0.0
    latency_s: float | None = None
    failure_rate: float = 0.0
    last_failure_s: float = 0.0
    avoid_until_s: float = 0.0
    permit_at_s: float = 0.0
    endless_answers: int = 0
    state: EngineState | None = None
    # Hashes of the adapters that the engine has cached in host memory.
    cached: frozenset[int] = frozenset()
    state_received_s: float = field(default=-math.inf)
    # Only kept while the expected load is in force.
    sends: SendsSinceState = field(default_factory=SendsSinceState)


# Not frozen, which would take longer: each choice creates one for each target.
@dataclass(slots=True)
class Candidate:
    """A target and its expected time to the first byte, ``cost_s``.

    ``residency`` is the state of the adapter on the target: ``held`` (loaded),
    ``coming`` (loading), ``recent`` (cached), ``cold`` (neither) or ``none`` (no
    adapter needed). Without a fresh state report it is ``held before`` if the last
    report listed the adapter as loaded, else ``unknown``. ``expected`` is the load that
    was estimated for the cost, and ``drawn_from`` the number of targets among which
    this one was drawn, if the expected load is in force.
    """

    record: TargetRecord
    cost_s: float
    residency: str
    state_age_s: float | None
    expected: ExpectedLoad | None = None
    drawn_from: int = 0


class TargetChoice:
    """Views of all targets, and their ranking for a request."""

    def __init__(
        self,
        failure_domain: str,
        settings: ChoiceSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Start without views; targets in ``failure_domain`` are preferred.

        ``rng`` draws targets while the expected load is in force.
        """
        self._domain = failure_domain
        self._settings = settings or ChoiceSettings()
        self._rng = rng or random.Random(0)
        self._load_settings = ExpectedLoadSettings(self._settings.prefill_tokens_per_s)
        self.mode = BalanceMode()
        # Number of subscribed entries that agents report, 0 if none has.
        self.entries = 0
        self._views: dict[str, TargetView] = {}
        # Age at which a state report is no longer used.
        self.state_max_age_s = StatePace().max_age_s

    def view(self, target_id: str) -> TargetView:
        """Return the view of a target; an empty one is added if it is unknown."""
        # Each choice asks for all views: a default for setdefault would be created here
        # for each of them.
        view = self._views.get(target_id)
        if view is None:
            view = self._views[target_id] = TargetView()
        return view

    def forget(self, target_id: str) -> None:
        """Drop the view of a removed target."""
        self._views.pop(target_id, None)

    def state_received(self, target_id: str, state: EngineState, now_s: float) -> None:
        """Store a state report of an agent, unless it is older than the last one."""
        view = self.view(target_id)
        known = view.state
        # A report with a lower number is a datagram that a newer one has overtaken. If
        # it comes long after the last report, the agent has restarted instead.
        is_recent = now_s - view.state_received_s < self.state_max_age_s
        if known is not None and is_recent and _is_older(state, known):
            return
        view.sends.clear()
        if state.entries:
            self.entries = state.entries
        view.cached = _cached_adapters(view, state)
        view.state = state
        view.state_received_s = now_s
        view.permit_at_s = now_s + state.permit_wait_ms / 1000

    def sent(self, target_id: str, tokens: int) -> None:
        """Count a request that was sent, with the tokens of its prompt."""
        view = self.view(target_id)
        view.in_flight += 1
        view.pending_prompt_tokens += tokens

    def first_byte(self, target_id: str, tokens: int, latency_s: float) -> None:
        """Record the first byte of an answer; its prompt is no longer pending."""
        view = self.view(target_id)
        view.pending_prompt_tokens -= tokens
        average_s = view.latency_s
        view.latency_s = (
            latency_s
            if average_s is None
            else average_s + 0.2 * (latency_s - average_s)
        )

    def ended(self, target_id: str, *, is_failure: bool, now_s: float) -> None:
        """Count the end of a request; it is a failure without a proper answer."""
        view = self.view(target_id)
        view.in_flight -= 1
        smoothing_factor = 0.15 if is_failure else 0.08
        view.failure_rate += smoothing_factor * (
            (1.0 if is_failure else 0.0) - view.failure_rate
        )
        if is_failure:
            view.last_failure_s = now_s

    def ended_without_answer(self, target_id: str, tokens: int) -> None:
        """Stop counting the pending prompt of a request that got no first byte."""
        self.view(target_id).pending_prompt_tokens -= tokens

    def load_received(self, target_id: str, load: LoadReport, now_s: float) -> None:
        """Store the load report of an answer."""
        view = self.view(target_id)
        view.load = load
        view.load_received_s = now_s

    def avoid(self, target_id: str, until_s: float) -> None:
        """Penalize a target until its cooldown ends."""
        view = self.view(target_id)
        view.avoid_until_s = max(view.avoid_until_s, until_s)

    def answer_had_no_end(self, target_id: str, now_s: float) -> None:
        """Avoid a target for the longer, the more answers without end it has sent."""
        settings = self._settings
        view = self.view(target_id)
        # Several answers may be under way when the first one is given up.
        if view.avoid_until_s <= now_s or view.endless_answers == 0:
            view.endless_answers += 1
        cooldown_s = min(
            settings.max_endless_cooldown_s,
            settings.endless_cooldown_s * 2.0 ** min(16, view.endless_answers - 1),
        )
        self.avoid(target_id, now_s + cooldown_s)

    def answer_completed(self, target_id: str) -> None:
        """Note that a target ends its answers."""
        self.view(target_id).endless_answers = 0

    def limited(self, target_id: str, permit_at_s: float) -> None:
        """Note when a target that names a limit may get the next request."""
        self.view(target_id).permit_at_s = permit_at_s

    def rank_service_targets(
        self,
        records: Sequence[TargetRecord],
        excluded: Collection[str],
        now_s: float,
    ) -> list[Candidate]:
        """Return the targets of a plain service, lowest cost first."""
        median_s = self._median_latency_s(records)
        lowest_rate = self._lowest_failure_rate(records, now_s)
        candidates = [
            Candidate(
                record,
                self._service_cost_s(record, median_s, lowest_rate, now_s),
                "none",
                None,
            )
            for record in records
            if record.target_id not in excluded
        ]
        return sorted(candidates, key=_cost)

    def rank_engines(
        self,
        records: Sequence[TargetRecord],
        key: str,
        tokens: int,
        excluded: Collection[str],
        now_s: float,
        *,
        needs_adapter: bool,
    ) -> list[Candidate]:
        """Return model engines for a request, lowest cost first.

        ``key`` is ``model/adapter``, or the model if ``needs_adapter`` is False;
        ``tokens`` is the length of the prompt.
        """
        key_seed = xxhash.xxh3_64_intdigest(key.encode())
        order = sorted(
            records, key=lambda r: rendezvous_weight(key_seed, r.address), reverse=True
        )
        lowest_rate = self._lowest_failure_rate(records, now_s)
        uses_expected_load = self._uses_expected_load(records, now_s)
        candidates, ready = [], []
        for position, record in enumerate(order):
            if record.target_id in excluded:
                continue
            view = self.view(record.target_id)
            expected = self._expected_load(view, now_s) if uses_expected_load else None
            wait_s = self._engine_wait_s(record, view, tokens, now_s, expected)
            residency, adapter_s = (
                self._adapter_cost_s(view, key, position, now_s, expected)
                if needs_adapter
                else ("none", 0.0)
            )
            age_s = now_s - view.state_received_s if view.state else None
            penalties_s = self._penalties_s(record, view, lowest_rate, now_s)
            cost_s = wait_s + adapter_s + penalties_s
            candidate = Candidate(record, cost_s, residency, age_s, expected)
            candidates.append(candidate)
            if uses_expected_load and _may_be_drawn(residency, penalties_s):
                ready.append(candidate)
        ranked = sorted(candidates, key=_cost)
        return self._draw_first(ranked, ready) if ready else ranked

    def chosen(self, candidate: Candidate, key: str, tokens: int) -> None:
        """Count a request that is about to go to a target, before its agent grants it.

        Nothing is counted while the reported load is in force or the state is stale.
        """
        age_s = candidate.state_age_s
        is_fresh = age_s is not None and age_s <= self.state_max_age_s
        if candidate.expected is not None and is_fresh:
            sends = self.view(candidate.record.target_id).sends
            sends.add(adapter_key_hash(key), tokens)

    def declined(self, target_id: str, key: str, tokens: int) -> None:
        """Stop counting a request that the target's agent has declined."""
        self.view(target_id).sends.remove(adapter_key_hash(key), tokens)

    def _uses_expected_load(
        self, records: Sequence[TargetRecord], now_s: float
    ) -> bool:
        def paces_ns() -> list[int]:
            states = [self.view(record.target_id).state for record in records]
            return [state.prefill_ns_per_token for state in states if state is not None]

        return bool(records) and self.mode.is_in_force(
            records[0].service, paces_ns, now_s
        )

    def _expected_load(self, view: TargetView, now_s: float) -> ExpectedLoad:
        state = self._fresh_state(view, now_s)
        if state is None:
            pending_tokens = float(max(0, view.pending_prompt_tokens))
            return ExpectedLoad(pending_tokens, 0.0, 1.0)
        return ExpectedLoad.estimate(
            self._load_settings,
            prefill_tokens=state.prefill_tokens,
            own_tokens=view.sends.tokens,
            arriving_tokens_per_s=state.arriving_tokens_per_s,
            pace=self._load_settings.pace(state.prefill_ns_per_token),
            entries=self.entries,
            age_s=now_s - view.state_received_s,
        )

    def _draw_first(
        self, ranked: list[Candidate], ready: list[Candidate]
    ) -> list[Candidate]:
        """Return candidates by cost, but first one drawn among the ``ready`` ones.

        These need no load: where one is needed, entries must agree on the same target.
        Such a target comes first only if it would cost less than the drawn one after
        the expected work.
        """
        costs = [self._target_cost(candidate) for candidate in ready]
        tokens = sum(c.expected.other_tokens for c in ready if c.expected)
        index, level_s, count = draw_target(costs, tokens, self._rng)
        drawn = ready[index]
        needs_load = next(
            (c for c in ranked if c.residency not in RESIDENCIES_WITHOUT_LOAD), None
        )
        if needs_load is not None and needs_load.cost_s < level_s:
            return [needs_load, *(c for c in ranked if c is not needs_load)]
        rest = [c for c in ranked if c is not drawn]
        return [replace(drawn, drawn_from=count), *rest]

    def _target_cost(self, candidate: Candidate) -> TargetCost:
        pace = candidate.expected.pace if candidate.expected else 1.0
        s_per_token = (
            self._settings.pending_prefill_weight
            * pace
            / self._settings.prefill_tokens_per_s
        )
        return TargetCost(candidate.cost_s, s_per_token)

    def _service_cost_s(
        self,
        record: TargetRecord,
        median_s: float,
        lowest_rate: float,
        now_s: float,
    ) -> float:
        settings = self._settings
        view = self.view(record.target_id)
        work_s = max(view.latency_s or median_s, median_s / 2)
        load, slowness = view.in_flight, 1.0
        if view.load is not None:
            age_s = now_s - view.load_received_s
            if age_s < settings.load_max_age_s:
                load = max(load, view.load.running + view.load.waiting)
            decay = 0.5 ** (age_s / settings.slowness_half_life_s)
            slowness = 1.0 + (view.load.slowness - 1.0) * decay
        queue_s = (
            median_s
            * max(0, load + 1 - record.concurrency_limit)
            / record.concurrency_limit
        )
        batch_wait_s = 0.3 * median_s * load / record.concurrency_limit
        cost_s = work_s * 0.5 + median_s * 0.5 * slowness + queue_s + batch_wait_s
        return cost_s + self._penalties_s(record, view, lowest_rate, now_s)

    def _engine_wait_s(
        self,
        record: TargetRecord,
        view: TargetView,
        tokens: int,
        now_s: float,
        expected: ExpectedLoad | None,
    ) -> float:
        settings = self._settings
        pending_tokens = float(max(0, view.pending_prompt_tokens))
        running = view.in_flight
        is_cache_full = False
        state = self._fresh_state(view, now_s)
        if state is not None:
            pending_tokens = max(pending_tokens, float(state.prefill_tokens))
            running = max(running, state.running + state.waiting)
            is_cache_full = 0 < state.cache_total < state.cache_used + tokens * 1.2
        pace = 1.0
        if expected is not None:
            pending_tokens, pace = expected.pending_tokens, expected.pace
        weighted_tokens = settings.pending_prefill_weight * pending_tokens + tokens
        cost_s = weighted_tokens / settings.prefill_tokens_per_s * pace
        cost_s += settings.batch_slowdown_s * running / record.concurrency_limit
        return cost_s + (settings.full_cache_penalty_s if is_cache_full else 0.0)

    def _adapter_cost_s(
        self,
        view: TargetView,
        key: str,
        position: int,
        now_s: float,
        expected: ExpectedLoad | None,
    ) -> tuple[str, float]:
        settings = self._settings
        state = self._fresh_state(view, now_s)
        key_hash = adapter_key_hash(key)
        position_s = (
            settings.position_penalty_s
            * min(position, settings.max_penalized_positions)
            if expected is None
            else self._load_settings.position_cost_s(position)
        )
        if state is None:
            was_loaded = view.state is not None and key_hash in view.state.loaded
            residency = "held before" if was_loaded else "unknown"
            return residency, settings.unknown_state_penalty_s + position_s
        if key_hash in state.loaded:
            return "held", 0.0
        if key_hash in state.loading:
            return "coming", settings.remaining_load_s
        if expected is not None and key_hash in view.sends.keys:
            # The agent orders the load for an earlier request of this entry.
            return "coming", settings.remaining_load_s
        queue_s = settings.wait_per_queued_load_s * (
            state.waiting_keys + len(state.loading)
        )
        slot_s = settings.no_free_slot_penalty_s if state.free_slots <= 0 else 0.0
        if expected is not None:
            age_s = now_s - view.state_received_s
            queue_s *= self._load_settings.slot_weight(age_s)
            slot_s *= self._load_settings.slot_weight(age_s)
        if key_hash in view.cached:
            return "recent", settings.cached_load_s + position_s + queue_s + slot_s
        return "cold", settings.cold_load_s + position_s + queue_s + slot_s

    def _fresh_state(self, view: TargetView, now_s: float) -> EngineState | None:
        is_fresh = now_s - view.state_received_s <= self.state_max_age_s
        return view.state if is_fresh else None

    def _penalties_s(
        self,
        record: TargetRecord,
        view: TargetView,
        lowest_rate: float,
        now_s: float,
    ) -> float:
        settings = self._settings
        cost_s = settings.failure_penalty_s * max(
            0.0, self._failure_rate(view, now_s) - lowest_rate - 0.1
        )
        if record.failure_domain != self._domain:
            cost_s += settings.remote_domain_penalty_s
        if view.avoid_until_s > now_s:
            cost_s += settings.avoided_penalty_s
        cost_s += max(0.0, view.permit_at_s - now_s)
        return cost_s + min(1.0, record.slow_start_left_s) * 0.1

    @staticmethod
    def _failure_rate(view: TargetView, now_s: float) -> float:
        """Return the failure rate, halved every 3 s without a new failure."""
        return view.failure_rate * math.pow(0.5, (now_s - view.last_failure_s) / 3.0)

    def _lowest_failure_rate(
        self, records: Sequence[TargetRecord], now_s: float
    ) -> float:
        rates = [self._failure_rate(self.view(r.target_id), now_s) for r in records]
        return min(rates, default=0.0)

    def _median_latency_s(self, records: Sequence[TargetRecord]) -> float:
        known = [self.view(r.target_id).latency_s for r in records]
        values = sorted(v for v in known if v is not None)
        return values[len(values) // 2] if values else self._settings.default_latency_s


def _cached_adapters(view: TargetView, state: EngineState) -> frozenset[int]:
    """Return the hashes of the adapters that an engine has cached in host memory.

    A report without that list continues the last one: adapters that were loaded and no
    longer are count as cached. A restart of the engine clears them.
    """
    if state.cached is not None:
        return frozenset(state.cached)
    known = view.state
    if known is None or known.started_ms != state.started_ms:
        return frozenset()
    return (view.cached | frozenset(known.loaded)) - frozenset(state.loaded)


def _may_be_drawn(residency: str, penalties_s: float) -> bool:
    return residency in RESIDENCIES_WITHOUT_LOAD and penalties_s <= MAX_DRAW_PENALTY_S


def _is_older(state: EngineState, known: EngineState) -> bool:
    return state.started_ms == known.started_ms and state.number < known.number


def _cost(candidate: Candidate) -> float:
    return candidate.cost_s
