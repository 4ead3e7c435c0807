"""Which adapters one model engine holds, and the next order that changes it.

The agent beside an engine is its only sender of orders. Every decision starts from the
engine's newest report, so nothing has to be remembered across a restart of either side;
each order carries the sequence number of that report, so an order that the engine
carries out late finds another number and changes nothing.
"""

from __future__ import annotations

from collections import OrderedDict
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
from lentiltally.decisions.prefill_pacing import PrefillPacing
from lentiltally.direct.model import AdapterNotice, EngineSpec, ModelSpec

__all__ = ["EngineSlots", "EngineSlotsSettings"]


@dataclass(frozen=True, slots=True)
class EngineSlotsSettings:
    """Limits of one engine's loads.

    ``max_coming`` loads are under way at once: the weight store slows down beyond
    eight over all engines. ``max_waiting_keys`` adapters wait while running work holds
    every slot; more would wait longer than a load elsewhere takes. ``recent_adapters``
    is how many adapters an engine reloads fast.
    """

    max_coming: int = 2
    max_waiting_keys: int = 3
    recent_adapters: int = 30
    use_half_life_s: float = 10.0
    busy_score: float = 1.0


class EngineSlots:
    """The adapters of one engine, the requests that hold them and those that wait."""

    def __init__(self, settings: EngineSlotsSettings | None = None) -> None:
        """Start without a report; nothing is granted or ordered before the first."""
        self._settings = settings or EngineSlotsSettings()
        self._spec: EngineSpec | None = None
        self._report: EngineReport | None = None
        self._started_ms: int | None = None
        self._newest: dict[str, int] = {}
        self._held: dict[str, int] = {}
        self._models: set[str] = set()
        self._waiting: dict[str, AdapterRequest] = {}
        self._pins: dict[str, AdapterRequest] = {}
        self._pacing = PrefillPacing()
        self._use = AdapterUse(half_life_s=self._settings.use_half_life_s)
        self._recent: OrderedDict[str, None] = OrderedDict()

    @property
    def report(self) -> EngineReport | None:
        """Return the engine's newest report."""
        return self._report

    @property
    def waiting_keys(self) -> int:
        """Return how many different adapters requests wait for."""
        return len({want.key for want in self._waiting.values()})

    @property
    def has_work(self) -> bool:
        """Return whether a request waits or a load is under way."""
        return bool(self._waiting or (self._report and self._report.coming))

    @property
    def pinned_keys(self) -> frozenset[str]:
        """Return the adapters that requests hold."""
        return frozenset(w.key for w in self._pins.values() if w.adapter)

    @property
    def prompt_tokens(self) -> int:
        """Return the tokens of prompts that are being read or wait for that."""
        waiting = sum(want.prompt_tokens for want in self._waiting.values())
        return self._pacing.tokens + waiting

    @property
    def free_slots(self) -> int:
        """Return how many slots no request holds; 0 before the spec is known."""
        if self._spec is None:
            return 0
        return self._spec.adapter_slots - len(self.pinned_keys | self._coming())

    def has_request(self, request_id: str) -> bool:
        """Return whether a request waits for or holds an adapter."""
        return request_id in self._pins or request_id in self._waiting

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request waits for an adapter."""
        return request_id in self._waiting

    def mark_unresponsive(self) -> None:
        """Note that the engine does not answer; nothing is granted until it does."""
        self._report = None

    def usable_keys(self) -> list[str]:
        """Return models and adapters that a request may use now."""
        adapters = [key for key in self._held if self._is_current(key)]
        return [*sorted(self._models), *adapters]

    def recently_evicted_keys(self) -> list[str]:
        """Return adapters that are not held but load fast, newest first."""
        return [key for key in reversed(self._recent) if key not in self._held]

    def set_spec(self, spec: EngineSpec) -> None:
        """Take what the engines of the service can hold."""
        self._spec = spec

    def update_newest_version(self, notice: AdapterNotice) -> bool:
        """Take a newer version of an adapter; return whether it was newer."""
        key = f"{notice.model}/{notice.adapter}"
        if notice.version <= self._newest.get(key, 0):
            return False
        self._newest[key] = notice.version
        return True

    def update_report(self, report: EngineReport) -> bool:
        """Take a report; return whether the engine started anew since the last one."""
        is_new = self._started_ms not in (None, report.started_ms)
        self._started_ms = report.started_ms
        if is_new:
            # What the engine ran and kept in memory ended with it.
            self._pins.clear()
            self._pacing.clear()
            self._recent.clear()
        self._report = report
        self._models = {model.name for model in report.models}
        held = {
            f"{model.name}/{adapter.name}": adapter.version
            for model in report.models
            for adapter in model.adapters
        }
        for key in held:
            self._recent[key] = None
            self._recent.move_to_end(key)
        while len(self._recent) > self._settings.recent_adapters:
            self._recent.popitem(last=False)
        self._held = held
        return is_new

    def request(self, want: AdapterRequest) -> None:
        """Take a request that needs an adapter.

        A repeated one that waits keeps its place and its patience. One that was granted
        before is granted again, because the answer was lost.
        """
        if want.request_id in self._waiting:
            return
        known = self._pins.pop(want.request_id, None)
        if known is None and want.adapter:
            self._use.record_request(want.key, want.since_s)
        self._waiting[want.request_id] = want

    def prefill_finished(self, request_id: str, now_s: float) -> None:
        """Note that the engine has read the prompt of a request."""
        self._pacing.read(request_id, now_s)

    def release(self, request_id: str) -> None:
        """Forget a request that ended or went elsewhere."""
        self._pacing.ended(request_id)
        self._pins.pop(request_id, None)
        self._waiting.pop(request_id, None)

    def decide_requests(self, now_s: float) -> list[AdapterRequestResult]:
        """Return the wants that are decided now, and drop what has expired."""
        self._expire(now_s)
        results = []
        blocked = self._is_blocked()
        for want in self._in_order(now_s):
            result = self._decide(want, blocked, now_s)
            if result is not None:
                del self._waiting[want.request_id]
                if result.state is AdapterRequestState.GRANTED:
                    self._pins[want.request_id] = want
                    self._pacing.started(want.request_id, want.prompt_tokens, now_s)
                results.append(result)
        return results

    def next_order(self, now_s: float) -> EngineOrder | None:
        """Return the order that serves the most urgent want, if one is possible."""
        report = self._report
        if report is None or self._spec is None or report.is_busy:
            return None
        if report.sequence < 0:
            return None
        return (
            self._model_order(report)
            or self._renewal(report, now_s)
            or self._adapter_order(report, now_s)
        )

    def _in_order(self, now_s: float) -> list[AdapterRequest]:
        """Return the waiting requests, those first that can still be in time."""

        def order(want: AdapterRequest) -> tuple[bool, int, float]:
            read_s = now_s + self._pacing.expected_s(want.prompt_tokens)
            is_late = read_s > want.objective_deadline_s
            return is_late, *_urgency(want)

        return sorted(self._waiting.values(), key=order)

    def _expire(self, now_s: float) -> None:
        for table in (self._pins, self._waiting):
            for request_id, want in list(table.items()):
                if want.expires_s <= now_s:
                    del table[request_id]

    def _decide(
        self, want: AdapterRequest, is_blocked: bool, now_s: float
    ) -> AdapterRequestResult | None:
        if self._report is not None and self._is_usable(want):
            is_impatient = want.wait_deadline_s <= now_s
            if not is_impatient and not self._pacing.has_room(
                want.prompt_tokens, now_s
            ):
                return None
            version = self._held.get(want.key, 0)
            return AdapterRequestResult(
                want, AdapterRequestState.GRANTED, version, "held"
            )
        if self._report is None:
            return AdapterRequestResult(
                want, AdapterRequestState.NO_ENGINE, 0, "engine lost"
            )
        if want.wait_deadline_s <= now_s:
            return AdapterRequestResult(
                want, AdapterRequestState.DECLINED, 0, "patience"
            )
        if is_blocked and want.adapter and want.key not in self._coming():
            return AdapterRequestResult(
                want, AdapterRequestState.DECLINED, 0, "slots in use"
            )
        return None

    def _is_usable(self, want: AdapterRequest) -> bool:
        if not want.adapter:
            return want.model in self._models
        return want.key in self._held and self._is_current(want.key)

    def _is_current(self, key: str) -> bool:
        return self._held[key] >= self._newest.get(key, 0)

    def _coming(self) -> frozenset[str]:
        return frozenset(self._report.coming) if self._report else frozenset()

    def _is_blocked(self) -> bool:
        """Return whether running work holds every slot and enough requests wait."""
        is_queue_full = self.waiting_keys > self._settings.max_waiting_keys
        return self._spec is not None and self.free_slots <= 0 and is_queue_full

    def _model_order(self, report: EngineReport) -> EngineOrder | None:
        """Load a base model that is wanted, or the only one after an empty start."""
        assert self._spec is not None
        specs = {spec.name: spec for spec in self._spec.models}
        missing = [
            want.model
            for want in sorted(self._waiting.values(), key=_urgency)
            if want.model not in self._models and want.model in specs
        ]
        if not missing and not self._models and len(specs) == 1:
            missing = list(specs)
        if not missing:
            return None
        model = specs[missing[0]]
        if self._weights_mb(specs) + model.weights_mb <= self._spec.weights_mb:
            return self._order(report, EngineOrderKind.LOAD, model.name, "model")
        in_use = {want.model for want in self._pins.values()}
        idle = sorted(name for name in self._models if name not in in_use)
        if not idle:
            return None
        return self._order(report, EngineOrderKind.UNLOAD, idle[0], "room for a model")

    def _weights_mb(self, specs: dict[str, ModelSpec]) -> float:
        used_mb = sum(specs[m].weights_mb for m in self._models if m in specs)
        for key in {*self._held, *self._coming()}:
            spec = specs.get(key.split("/", 1)[0])
            used_mb += spec.adapter_mb if spec else 0.0
        return used_mb

    def _renewal(self, report: EngineReport, now_s: float) -> EngineOrder | None:
        """Load the newest version of an adapter that is in demand."""
        wanted = {want.key for want in self._waiting.values()}
        for key in self._held:
            if self._is_current(key) or key in report.coming:
                continue
            is_busy = self._use.score(key, now_s) >= self._settings.busy_score
            if key in wanted or is_busy:
                return self._order(report, EngineOrderKind.LOAD, key, "newer version")
        return None

    def _adapter_order(self, report: EngineReport, now_s: float) -> EngineOrder | None:
        if len(report.coming) >= self._settings.max_coming:
            return None
        for want in self._in_order(now_s):
            is_on_its_way = want.key in self._held or want.key in report.coming
            if not want.adapter or want.model not in self._models or is_on_its_way:
                continue
            if self._has_room(want):
                return self._order(report, EngineOrderKind.LOAD, want.key, "wanted")
            victim = self._victim(now_s)
            if victim is None:
                return None
            return self._order(report, EngineOrderKind.UNLOAD, victim, "room")
        return None

    def _has_room(self, want: AdapterRequest) -> bool:
        assert self._spec is not None
        used = len({*self._held, *self._coming()})
        specs = {spec.name: spec for spec in self._spec.models}
        spec = specs.get(want.model)
        size_mb = spec.adapter_mb if spec else 0.0
        fits = self._weights_mb(specs) + size_mb <= self._spec.weights_mb
        return used < self._spec.adapter_slots and fits

    def _victim(self, now_s: float) -> str | None:
        """Return the held adapter that is least in demand and that nothing uses."""
        used = self.pinned_keys | {want.key for want in self._waiting.values()}
        idle = [key for key in self._held if key not in used]
        if not idle:
            return None
        return min(
            idle, key=lambda key: (self._is_current(key), self._use.score(key, now_s))
        )

    def _order(
        self, report: EngineReport, kind: EngineOrderKind, key: str, reason: str
    ) -> EngineOrder:
        model, _, adapter = key.partition("/")
        version = self._newest.get(key) if kind is EngineOrderKind.LOAD else None
        return EngineOrder(kind, model, adapter, version, report.sequence, reason)


def _urgency(want: AdapterRequest) -> tuple[int, float]:
    return want.rank, want.since_s
