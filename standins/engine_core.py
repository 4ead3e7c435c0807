"""Engine stand-in without HTTP: batching, adapter slots, orders and load reports."""

from __future__ import annotations

import heapq
import threading
from collections import deque
from collections.abc import Callable

import xxhash

from lentiltally.clock import Clock
from lentiltally.ids import new_incarnation
from standins.engine_cache import PrefixCache
from standins.engine_state import (
    EngineJournal,
    EngineSettings,
    Execution,
    ExecutionEntry,
    ExecutionRequest,
    LoadReport,
    OrderEntry,
    Outcome,
    Violation,
)


class EngineCore:
    """State of one engine; safe to use from several threads.

    ``step()`` generates one token for each running execution. The owner calls it once
    per token time, and so sets the speed of the engine.
    """

    def __init__(
        self,
        settings: EngineSettings,
        clock: Clock,
        on_crash: Callable[[], None] = lambda: None,
    ) -> None:
        """Start empty; ``on_crash`` is called when a request crashes the engine."""
        self.settings = settings
        self.cache = PrefixCache(settings.cached_prefixes, clock)
        self.journal = EngineJournal()
        #: A request whose body contains this text crashes the engine once admitted.
        self.crash_on = b""
        self.base_model_fallback = False
        self._clock = clock
        self._on_crash = on_crash
        self._changed = threading.Condition(threading.RLock())
        self._sequence = 0
        self._reports: deque[tuple[float, LoadReport]] = deque()
        self._reset()

    def _reset(self) -> None:
        self.incarnation = new_incarnation()
        self.role = "mixed"
        self._fencing_token = 0
        self._loaded: dict[str, str] = {}
        self._loading: set[str] = set()
        # Heap of priority, sequence and execution. An execution that is cancelled or
        # fails stays in it until it is the first; ``_queued`` does not count it.
        self._waiting: list[tuple[float, int, Execution]] = []
        self._queued = 0
        self._running: list[Execution] = []
        self._executions: dict[str, Execution] = {}
        self._ended: deque[Execution] = deque()
        self._record_report()

    # Executions

    def submit(self, request: ExecutionRequest) -> Execution | None:
        """Queue a request, or return None if its model is not loaded."""
        with self._changed:
            model = self._model_to_run(request.model)
            if model is None:
                return None
            self._sequence += 1
            request.request_id = request.request_id or f"unnamed-{self._sequence}"
            entry = ExecutionEntry(
                request_id=request.request_id,
                requested_model=request.model,
                model=model,
                body_digest=xxhash.xxh3_128_hexdigest(request.body),
                incarnation=self.incarnation,
                arrived_s=self._clock.monotonic_s(),
            )
            execution = Execution(request, entry, self._sequence)
            self.journal.executions.append(entry)
            self._executions[request.request_id] = execution
            heapq.heappush(
                self._waiting, (request.priority, execution.sequence, execution)
            )
            self._queued += 1
            self._admit()
            self._record_report()
            self._changed.notify_all()
            return execution

    def step(self) -> None:
        """Generate a token for each running execution, then fill free batch slots."""
        with self._changed:
            still_running = []
            for execution in self._running:
                execution.add_token()
                if execution.entry.tokens >= execution.request.answer_tokens:
                    self._end(execution, "finished")
                else:
                    still_running.append(execution)
            if len(still_running) == len(self._running):
                return
            self._running = still_running
            self._admit()
            self._record_report()

    def is_busy(self) -> bool:
        """Return whether an execution is running."""
        return bool(self._running)

    def wait_for_execution(self, timeout_s: float) -> None:
        """Wait until an execution is running, but not longer than the timeout."""
        with self._changed:
            self._changed.wait_for(self.is_busy, timeout_s)

    def find(self, request_id: str) -> Execution | None:
        """Return the newest execution of a request, or None if it is not kept."""
        return self._executions.get(request_id)

    def cancel(self, request_id: str) -> Execution | None:
        """Stop the newest execution of a request; return it, or None if unknown."""
        with self._changed:
            execution = self._executions.get(request_id)
            if execution is not None and not execution.ended:
                self._stop([execution], "cancelled")
            return execution

    def restart_empty(self) -> None:
        """Lose adapters, executions, cache and the fencing token, as a restart does.

        The journal is kept: it is for tests and no part of the simulated engine.
        """
        with self._changed:
            for execution in (*self._running, *(item[2] for item in self._waiting)):
                if not execution.ended:
                    execution.end("cut", self._clock.monotonic_s())
            self.cache.clear()
            self._reset()
            self._changed.notify_all()

    # Orders

    def record_order(self, order: str, name: str, token: int | None) -> OrderEntry:
        """Record an order; its status is 412 if the engine refuses it as outdated.

        Once an engine that enforces fencing has seen a token, it also refuses orders
        without one.
        """
        with self._changed:
            outdated = (token or 0) < self._fencing_token
            self._fencing_token = max(self._fencing_token, token or 0)
            now_s = self._clock.monotonic_s()
            entry = OrderEntry(order, name, token, outdated, self.incarnation, now_s)
            if outdated and self.settings.enforces_fencing:
                entry.status = 412
            self.journal.orders.append(entry)
            return entry

    def begin_load(self, name: str) -> int:
        """Reserve an adapter slot and return an HTTP status.

        The status is 200, 400 (no free slot) or 409 (already loaded). If the adapter is
        loading already, this first waits until that load ends.
        """
        with self._changed:
            self._changed.wait_for(lambda: name not in self._loading)
            if name in self._loaded:
                return 409
            if len(self._loaded) + len(self._loading) >= self.settings.adapter_slots:
                return 400
            self._loading.add(name)
            return 200

    def end_load(self, name: str, path: str, incarnation: str, *, loaded: bool) -> bool:
        """Fill or free the reserved slot; return whether the adapter is loaded.

        A load that began in an earlier incarnation changes nothing and returns False.
        """
        with self._changed:
            if incarnation != self.incarnation:
                return False
            self._loading.discard(name)
            if loaded:
                self._loaded[name] = path
                self._record_report()
            self._changed.notify_all()
            return loaded

    def unload(self, name: str) -> int:
        """Unload an adapter; return 200, or 404 if it is not loaded.

        Executions that use the adapter fail and are recorded as a violation.
        """
        with self._changed:
            if self._loaded.pop(name, None) is None:
                return 404
            users = [
                execution
                for execution in self._active_executions()
                if execution.model == name
            ]
            if users:
                self.journal.violations.append(
                    Violation(
                        "unload-in-use",
                        name,
                        [execution.request.request_id for execution in users],
                        self._clock.monotonic_s(),
                    )
                )
            self._stop(users, "failed")
            return 200

    def loaded(self) -> dict[str, str]:
        """Return the paths of the loaded adapters by name."""
        with self._changed:
            return dict(self._loaded)

    # Reports

    def load_report(self) -> LoadReport:
        """Return the load as of ``load_lag_s`` ago, with the current fencing token."""
        with self._changed:
            self._drop_superseded_reports()
            report = self._reports[0][1]
            return LoadReport(
                report.queued,
                report.running,
                report.resident,
                report.incarnation,
                self._fencing_token,
            )

    def _record_report(self) -> None:
        report = LoadReport(
            self._queued, len(self._running), tuple(self._loaded), self.incarnation
        )
        self._reports.append((self._clock.monotonic_s(), report))
        self._drop_superseded_reports()

    def _drop_superseded_reports(self) -> None:
        visible_until_s = self._clock.monotonic_s() - self.settings.load_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= visible_until_s:
            self._reports.popleft()

    # The lock is held by the callers of all methods below.

    def _model_to_run(self, requested: str) -> str | None:
        if requested in self._loaded or requested == self.settings.base_model:
            return requested
        return self.settings.base_model if self.base_model_fallback else None

    def _active_executions(self) -> list[Execution]:
        waiting = [item[2] for item in self._waiting if not item[2].ended]
        return [*self._running, *waiting]

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self.settings.batch_places:
            execution = heapq.heappop(self._waiting)[2]
            if execution.ended:
                continue
            self._queued -= 1
            execution.entry.started_s = self._clock.monotonic_s()
            execution.entry.outcome = "running"
            self._running.append(execution)
            if self.crash_on and self.crash_on in execution.request.body:
                self.restart_empty()
                self._on_crash()
                return
            self.cache.record_use(execution.model, execution.request.prompt)

    def _stop(self, executions: list[Execution], outcome: Outcome) -> None:
        for execution in executions:
            if execution.entry.started_s is None:
                self._queued -= 1
            else:
                self._running.remove(execution)
            self._end(execution, outcome)
        self._admit()
        self._record_report()

    def _end(self, execution: Execution, outcome: Outcome) -> None:
        execution.end(outcome, self._clock.monotonic_s())
        self._ended.append(execution)
        if len(self._ended) > self.settings.kept_streams:
            oldest = self._ended.popleft()
            if self._executions.get(oldest.request.request_id) is oldest:
                del self._executions[oldest.request.request_id]
