"""Loads, evicts and pins the adapters of one model engine.

The agent that runs beside an engine is its only sender of orders. Every decision starts
from the engine's newest state report, so no state has to survive a restart of the agent
or the engine. Each order carries the sequence number of that report. An order that
arrives late no longer matches the engine's sequence number and has no effect.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass

from lentiltally.decisions._adapter_use import AdapterUse
from lentiltally.decisions.engine_orders import (
    AdapterRequest,
    AdapterRequestResult,
    AdapterRequestState,
    EngineOrder,
    EngineOrderKind,
    EngineReport,
)
from lentiltally.decisions.engine_permits import EnginePermits
from lentiltally.decisions.prefill_pacing import PrefillPacing
from lentiltally.direct.model import AdapterNotice, EngineSpec, ModelSpec

__all__ = ["RATE_LIMIT", "EngineSlots", "EngineSlotsSettings"]

# The reason of requests that the engine's limit declines.
RATE_LIMIT = "rate limit"


@dataclass(frozen=True, slots=True)
class EngineSlotsSettings:
    """Limits on the adapter loads of one engine.

    At most ``max_concurrent_loads`` loads run at once on this engine, because the
    weight store slows down beyond eight concurrent loads over all engines.
    While every slot is pinned or loading, requests may wait for at most
    ``max_waiting_keys`` different adapters; more would wait longer than a load on
    another engine takes. ``max_cached_adapters`` is the number of adapters that an
    engine keeps in host memory, from which it reloads them fast. A loaded adapter of an
    outdated version is reloaded even without a waiting request if it is in demand: if
    the count of its requests, which decays with a half-life of ``use_half_life_s``, is
    at least ``in_demand_count``.
    """

    max_concurrent_loads: int = 2
    max_waiting_keys: int = 3
    max_cached_adapters: int = 30
    use_half_life_s: float = 10.0
    in_demand_count: float = 1.0


class EngineSlots:
    """Adapter slots of one engine, and the requests that use them or wait for them."""

    def __init__(self, settings: EngineSlotsSettings | None = None) -> None:
        """Start without a state report; nothing is granted or ordered yet."""
        self._settings = settings or EngineSlotsSettings()
        self._spec: EngineSpec | None = None
        self._report: EngineReport | None = None
        self._started_ms: int | None = None
        # Adapter versions by ``model/adapter``.
        self._newest_versions: dict[str, int] = {}
        self._loaded_versions: dict[str, int] = {}
        self._models: set[str] = set()
        # Requests by request id.
        self._waiting: dict[str, AdapterRequest] = {}
        self._pins: dict[str, AdapterRequest] = {}
        self._pacing = PrefillPacing()
        self._permits = EnginePermits()
        self._use = AdapterUse(half_life_s=self._settings.use_half_life_s)
        # Adapters in the order in which they were last reported as loaded.
        self._recently_loaded: OrderedDict[str, None] = OrderedDict()

    @property
    def report(self) -> EngineReport | None:
        """Return the newest state report; None while the engine is unresponsive."""
        return self._report

    @property
    def newest_versions(self) -> Mapping[str, int]:
        """Return the newest announced versions by ``model/adapter``."""
        return self._newest_versions

    @property
    def waiting_keys(self) -> int:
        """Return how many different models and adapters have waiting requests."""
        return len({request.key for request in self._waiting.values()})

    @property
    def has_work(self) -> bool:
        """Return whether a request is waiting or an adapter is loading."""
        return bool(self._waiting or (self._report and self._report.loading))

    @property
    def pinned_keys(self) -> frozenset[str]:
        """Return the adapters that granted requests have pinned, as model/adapter."""
        return frozenset(
            request.key for request in self._pins.values() if request.adapter
        )

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt tokens in prefill or waiting to be admitted to it."""
        waiting = sum(request.prompt_tokens for request in self._waiting.values())
        return self._pacing.tokens + waiting

    @property
    def prefill_ns_per_token(self) -> int:
        """Return the engine's time per prompt token lately, 0 if not known."""
        return self._pacing.ns_per_token

    def arriving_tokens_per_s(self, now_s: float) -> int:
        """Return the rate of prompt tokens admitted lately."""
        return self._pacing.arriving_tokens_per_s(now_s)

    @property
    def free_slots(self) -> int:
        """Return the number of slots that are neither pinned nor loading.

        Negative if more adapters are in use than there are slots; 0 without a spec.
        """
        if self._spec is None:
            return 0
        return self._spec.adapter_slots - len(self.pinned_keys | self._loading_keys())

    @property
    def rate_limit_per_s(self) -> float | None:
        """Return the limit that the engine names, None if it names none."""
        return self._permits.rate_per_s

    def permit_wait_s(self, now_s: float) -> float:
        """Return how long another request would wait because of the limit."""
        return self._permits.wait_s("", now_s, len(self._waiting))

    def has_request(self, request_id: str) -> bool:
        """Return whether a request waits for an adapter or has pinned one."""
        return request_id in self._pins or request_id in self._waiting

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request waits for an adapter."""
        return request_id in self._waiting

    def mark_unresponsive(self) -> None:
        """Drop the state report; nothing is granted or ordered until the next one."""
        self._report = None

    def usable_keys(self) -> list[str]:
        """Return the keys of loaded models and of adapters in their newest version.

        A key is ``model/adapter``, or the model alone.
        """
        adapters = [key for key in self._loaded_versions if self._is_current(key)]
        return [*sorted(self._models), *adapters]

    def cached_keys(self) -> list[str]:
        """Return the keys of cached adapters, the last loaded first.

        They were evicted recently, so the engine still has them in host memory and
        reloads them fast.
        """
        return [
            key
            for key in reversed(self._recently_loaded)
            if key not in self._loaded_versions
        ]

    def set_spec(self, spec: EngineSpec) -> None:
        """Set the models and capacity of the service's engines."""
        self._spec = spec

    def update_newest_version(self, notice: AdapterNotice) -> bool:
        """Take an announced adapter version; return whether it is a newer one."""
        key = f"{notice.model}/{notice.adapter}"
        if notice.version <= self._newest_versions.get(key, 0):
            return False
        self._newest_versions[key] = notice.version
        return True

    def update_report(self, report: EngineReport) -> bool:
        """Replace the state report; return whether the engine has restarted."""
        has_restarted = self._started_ms not in (None, report.started_ms)
        self._started_ms = report.started_ms
        if has_restarted:
            # The restart ended the engine's requests and cleared its memory.
            self._pins.clear()
            self._pacing.clear()
            self._permits = EnginePermits()
            self._recently_loaded.clear()
        self._report = report
        self._models = {model.name for model in report.models}
        loaded_versions = {
            f"{model.name}/{adapter.name}": adapter.version
            for model in report.models
            for adapter in model.adapters
        }
        for key in loaded_versions:
            self._recently_loaded[key] = None
            self._recently_loaded.move_to_end(key)
        while len(self._recently_loaded) > self._settings.max_cached_adapters:
            self._recently_loaded.popitem(last=False)
        self._loaded_versions = loaded_versions
        return has_restarted

    def request(self, request: AdapterRequest) -> None:
        """Add a request that needs a model or an adapter.

        A repeated request that is still waiting keeps its position and its deadlines.
        A request that was granted before and is repeated is decided again, because the
        answer to it was lost.
        """
        if request.request_id in self._waiting:
            return
        granted = self._pins.pop(request.request_id, None)
        if granted is None and request.adapter:
            self._use.record_request(request.key, request.since_s)
        self._waiting[request.request_id] = request

    def prefill_finished(self, request_id: str, now_s: float) -> None:
        """Record that the engine has finished the prefill of a request."""
        self._pacing.finished(request_id, now_s)

    def release(self, request_id: str) -> None:
        """Forget a request that has ended or was sent to another engine."""
        self._pacing.ended(request_id)
        self._permits.release(request_id)
        self._pins.pop(request_id, None)
        self._waiting.pop(request_id, None)

    def decide_requests(self, now_s: float) -> list[AdapterRequestResult]:
        """Return the results of the waiting requests that can be decided now.

        Decided requests stop waiting; expired ones are dropped without a result.
        """
        self._expire(now_s)
        if self._report is not None:
            self._permits.set_limit(self._report.rate_limit_per_s, now_s)
        results = []
        is_blocked = self._is_blocked()
        ahead = 0
        for request in self._by_urgency(now_s):
            result = self._decide_limited(
                request, ahead, now_s
            ) or self._decide_permitted(request, is_blocked, now_s)
            if result is None:
                ahead += 1
                continue
            del self._waiting[request.request_id]
            if result.state is AdapterRequestState.GRANTED:
                self._pins[request.request_id] = request
                self._pacing.started(request.request_id, request.prompt_tokens, now_s)
            results.append(result)
        return results

    def next_order(self, now_s: float) -> EngineOrder | None:
        """Return the next order to the engine, or None if none is needed or possible.

        A missing base model comes first, then newer versions of adapters in demand,
        then the adapter of the most urgent waiting request.
        """
        report = self._report
        if report is None or self._spec is None or report.is_busy:
            return None
        if report.sequence < 0:
            return None
        return (
            self._model_order(report)
            or self._version_update_order(report, now_s)
            or self._adapter_order(report, now_s)
        )

    def _by_urgency(self, now_s: float) -> list[AdapterRequest]:
        """Return the waiting requests, first those that can still meet their objective.

        Within both groups they are sorted by rank and time of arrival.
        """

        def sort_key(request: AdapterRequest) -> tuple[bool, int, float]:
            prefilled_at_s = now_s + self._pacing.expected_s(request.prompt_tokens)
            is_late = prefilled_at_s > request.objective_deadline_s
            return is_late, *_urgency(request)

        return sorted(self._waiting.values(), key=sort_key)

    def _expire(self, now_s: float) -> None:
        for table in (self._pins, self._waiting):
            for request_id, request in list(table.items()):
                if request.expires_s <= now_s:
                    del table[request_id]
                    self._permits.release(request_id)

    def _decide_limited(
        self, request: AdapterRequest, ahead: int, now_s: float
    ) -> AdapterRequestResult | None:
        """Decline a request at once whose permit would be due too late.

        A queue that is longer than the objective would only make all answers late:
        the permits are used up either way.
        """
        wait_s = self._permits.wait_s(request.request_id, now_s, ahead)
        latest_s = min(request.wait_deadline_s, request.objective_deadline_s)
        if self._report is None or wait_s <= max(0.0, latest_s - now_s):
            return None
        return AdapterRequestResult(
            request, AdapterRequestState.DECLINED, 0, RATE_LIMIT, wait_s
        )

    def _decide_permitted(
        self, request: AdapterRequest, is_blocked: bool, now_s: float
    ) -> AdapterRequestResult | None:
        """Decide a request, and take a permit for it if it is granted."""
        result = self._decide(request, is_blocked, now_s)
        is_granted = result is not None and result.state is AdapterRequestState.GRANTED
        if is_granted and not self._permits.take(request.request_id, now_s):
            return None
        return result

    def _decide(
        self, request: AdapterRequest, is_blocked: bool, now_s: float
    ) -> AdapterRequestResult | None:
        if self._report is not None and self._is_usable(request):
            # An overdue request is admitted even without room for its prefill. If it
            # were declined, it could go from engine to engine although each could run
            # it.
            is_overdue = request.wait_deadline_s <= now_s
            if not is_overdue and not self._pacing.has_room(
                request.prompt_tokens, now_s
            ):
                return None
            version = self._loaded_versions.get(request.key, 0)
            return AdapterRequestResult(
                request, AdapterRequestState.GRANTED, version, "held"
            )
        if self._report is None:
            return AdapterRequestResult(
                request, AdapterRequestState.NO_ENGINE, 0, "engine lost"
            )
        if request.wait_deadline_s <= now_s:
            return AdapterRequestResult(
                request, AdapterRequestState.DECLINED, 0, "patience"
            )
        if is_blocked and request.adapter and request.key not in self._loading_keys():
            return AdapterRequestResult(
                request, AdapterRequestState.DECLINED, 0, "slots in use"
            )
        return None

    def _is_usable(self, request: AdapterRequest) -> bool:
        if not request.adapter:
            return request.model in self._models
        return request.key in self._loaded_versions and self._is_current(request.key)

    def _is_current(self, key: str) -> bool:
        return self._loaded_versions[key] >= self._newest_versions.get(key, 0)

    def _loading_keys(self) -> frozenset[str]:
        return frozenset(self._report.loading) if self._report else frozenset()

    def _is_blocked(self) -> bool:
        """Return whether every slot is in use and too many keys have waiting requests.

        Then a request for an adapter that is not loading is declined at once.
        """
        is_queue_full = self.waiting_keys > self._settings.max_waiting_keys
        return self._spec is not None and self.free_slots <= 0 and is_queue_full

    def _model_order(self, report: EngineReport) -> EngineOrder | None:
        """Return an order that helps to load a missing base model.

        That is a model of a waiting request or, if no model is loaded, the only model
        of the service. If the memory for weights is full, an idle model is unloaded.
        """
        assert self._spec is not None
        specs = {spec.name: spec for spec in self._spec.models}
        missing = [
            request.model
            for request in sorted(self._waiting.values(), key=_urgency)
            if request.model not in self._models and request.model in specs
        ]
        if not missing and not self._models and len(specs) == 1:
            missing = list(specs)
        if not missing:
            return None
        model = specs[missing[0]]
        if self._weights_mb(specs) + model.weights_mb <= self._spec.weights_mb:
            return self._order(report, EngineOrderKind.LOAD, model.name, "model")
        in_use = {request.model for request in self._pins.values()}
        idle = sorted(name for name in self._models if name not in in_use)
        if not idle:
            return None
        return self._order(report, EngineOrderKind.UNLOAD, idle[0], "room for a model")

    def _weights_mb(self, specs: dict[str, ModelSpec]) -> float:
        used_mb = sum(specs[m].weights_mb for m in self._models if m in specs)
        for key in {*self._loaded_versions, *self._loading_keys()}:
            spec = specs.get(key.split("/", 1)[0])
            used_mb += spec.adapter_mb if spec else 0.0
        return used_mb

    def _version_update_order(
        self, report: EngineReport, now_s: float
    ) -> EngineOrder | None:
        """Return an order to load the newest version of an outdated loaded adapter.

        The adapter must be in demand or have a waiting request.
        """
        requested = {request.key for request in self._waiting.values()}
        for key in self._loaded_versions:
            if self._is_current(key) or key in report.loading:
                continue
            is_in_demand = (
                self._use.decayed_count(key, now_s) >= self._settings.in_demand_count
            )
            if key in requested or is_in_demand:
                return self._order(report, EngineOrderKind.LOAD, key, "newer version")
        return None

    def _adapter_order(self, report: EngineReport, now_s: float) -> EngineOrder | None:
        if len(report.loading) >= self._settings.max_concurrent_loads:
            return None
        for request in self._by_urgency(now_s):
            is_present = (
                request.key in self._loaded_versions or request.key in report.loading
            )
            if not request.adapter or request.model not in self._models or is_present:
                continue
            if self._has_room(request):
                return self._order(report, EngineOrderKind.LOAD, request.key, "wanted")
            victim = self._victim(now_s)
            if victim is None:
                return None
            return self._order(report, EngineOrderKind.UNLOAD, victim, "room")
        return None

    def _has_room(self, request: AdapterRequest) -> bool:
        assert self._spec is not None
        used = len({*self._loaded_versions, *self._loading_keys()})
        specs = {spec.name: spec for spec in self._spec.models}
        spec = specs.get(request.model)
        size_mb = spec.adapter_mb if spec else 0.0
        fits = self._weights_mb(specs) + size_mb <= self._spec.weights_mb
        return used < self._spec.adapter_slots and fits

    def _victim(self, now_s: float) -> str | None:
        """Return the adapter to evict: the unused one that is least in demand.

        Adapters of an outdated version go first. Pinned adapters and those that
        requests wait for are never evicted.
        """
        used = self.pinned_keys | {request.key for request in self._waiting.values()}
        idle = [key for key in self._loaded_versions if key not in used]
        if not idle:
            return None
        return min(
            idle,
            key=lambda key: (
                self._is_current(key),
                self._use.decayed_count(key, now_s),
            ),
        )

    def _order(
        self, report: EngineReport, kind: EngineOrderKind, key: str, reason: str
    ) -> EngineOrder:
        model, _, adapter = key.partition("/")
        version = (
            self._newest_versions.get(key) if kind is EngineOrderKind.LOAD else None
        )
        return EngineOrder(kind, model, adapter, version, report.sequence, reason)


def _urgency(request: AdapterRequest) -> tuple[int, float]:
    return request.rank, request.since_s
