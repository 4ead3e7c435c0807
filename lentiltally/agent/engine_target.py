"""What is particular to a model engine: slots, orders, incarnation."""

from __future__ import annotations

import logging
import threading

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.engine_run import EngineMismatchError, EngineRun
from lentiltally.agent.orders import OrderSender
from lentiltally.agent.permits import Permits
from lentiltally.agent.runner import TargetRunner
from lentiltally.agent.shared import AgentState
from lentiltally.agent.stream_reader import StreamReader
from lentiltally.agent.target import Emit, Job, queue_settings
from lentiltally.config import ConfigTree
from lentiltally.decisions.adapter_slots import AdapterSlots, Pinned
from lentiltally.decisions.ownership import Ownership
from lentiltally.decisions.work_queue import WorkQueue
from lentiltally.settings import TargetSettings
from lentiltally.wire import Execute

_log = logging.getLogger(__name__)

POLL_S = 1.0
# Weight sources are remembered for the adapters that wait; more than that is pruned.
MAX_SOURCES = 1_000


class EngineTarget:
    """One engine: its adapter slots, their orders and its incarnation."""

    def __init__(
        self,
        settings: TargetSettings,
        state: AgentState,
        permits: Permits,
        reader: StreamReader,
    ) -> None:
        """Open no connection yet."""
        self.name = settings.name
        self.queue = WorkQueue(settings.batch_places or 1, queue_settings(settings))
        self.ownership = Ownership(
            settings.name, state.name, state.incarnation, state.clock.monotonic_s()
        )
        self._state = state
        self._slots = AdapterSlots(
            settings.adapter_slots or 1, enforces_fencing=settings.enforces_fencing
        )
        self._sources: dict[str, str] = {}
        self._client = EngineClient(
            settings.url,
            settings.name,
            (settings.batch_places or 1) + 4,
            settings.first_byte_timeout_s,
            settings.silence_timeout_s,
        )
        self._reader = reader
        self._silence_timeout_s = settings.silence_timeout_s
        self._runner: TargetRunner | None = None
        self._stopped = threading.Event()
        self._failed: list[str] = []
        self._orders = OrderSender(
            target=settings.name,
            client=self._client,
            queue=self.queue,
            slots=self._slots,
            ownership=self.ownership,
            permits=permits,
            sources=self._sources,
            lock=state.lock,
            clock=state.clock,
            metrics=state.metrics,
            on_change=self._order_ended,
        )
        self._thread = threading.Thread(
            target=self._poll, daemon=True, name=f"poll-{settings.name}"
        )

    @property
    def incarnation(self) -> str:
        """The engine's incarnation as last seen."""
        return self._slots.engine_incarnation

    def start(self, runner: TargetRunner) -> None:
        """Begin to poll the engine and to send orders."""
        self._runner = runner
        self._thread.start()
        self._orders.start()

    def stop(self) -> None:
        """Stop polling and sending orders."""
        self._stopped.set()
        self._orders.stop()

    def configured(self, tree: ConfigTree) -> None:
        """Retire resident adapters that the configuration no longer has.

        Running work keeps its pin, so a retired adapter is unloaded after its last.
        """
        for name in self._slots.resident:
            team, _, rest = name.partition("/")
            adapter, _, version = rest.rpartition("@")
            config = tree.adapter(team, adapter)
            if config is not None and version in config.versions:
                self._slots.unretire(name)
            else:
                self._slots.retire(name)

    def is_ready(self) -> bool:
        """Return whether the engine's list of adapters was read."""
        return bool(self._slots.engine_incarnation)

    def resident(self) -> frozenset[str]:
        """Return the adapters that are certainly loaded."""
        return self._slots.resident

    def free_slots(self) -> int:
        """Return how many slots could take another adapter.

        Slots of pinned adapters can't, nor those that waiting work will need.
        """
        resident = self._slots.resident
        pinned = sum(self._slots.pins(name) > 0 for name in resident)
        absent = self.queue.adapters() - resident
        return self._slots.limit - pinned - len(absent)

    def may_start(self) -> bool:
        """Return whether this agent run owns the engine now.

        A run that was paused may have been superseded meanwhile.
        """
        return self.ownership.may_order(self._state.clock.monotonic_s())

    def lacks_slot(self, adapter: str) -> bool:
        """Return whether the adapter is absent and no slot is left for it."""
        is_here = adapter in self._slots.resident or adapter in self.queue.adapters()
        return not is_here and self.free_slots() <= 0

    def accepted(self, execute: Execute) -> None:
        """Remember where the adapter's weights are."""
        model = f"{execute.team}/{execute.adapter}@{execute.version}"
        self._sources.pop(model, None)
        self._sources[model] = execute.source
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]

    def pin(self, job: Job) -> bool:
        """Pin the adapter for the job; called with the lock held."""
        result = self._slots.pin(job.item.adapter)
        job.pin = result if isinstance(result, Pinned) else None
        job.engine_incarnation = self.incarnation
        return job.pin is not None

    def unpin(self, job: Job) -> None:
        """End the job's pin; called with the lock held."""
        if job.pin is not None:
            self._slots.unpin(job.pin)

    def work_waits(self) -> None:
        """Wake the sender of orders."""
        self._orders.wake()

    def run(self, job: Job, emit: Emit) -> None:
        """Run the job; raises TargetError."""
        if job.item.is_suspect:
            self._check_engine_run(job)
        run = EngineRun(
            self._client,
            job.execute,
            job.engine_incarnation,
            emit,
            reader=self._reader,
            silence_timeout_s=self._silence_timeout_s,
        )
        run.run()

    def cancel(self, job: Job) -> None:
        """Ask the engine to stop a running job."""
        try:
            self._client.cancel(job.item.attempt_id)
        except TargetError as error:
            _log.info("cancel failed", extra={"error": str(error)})

    def failed(self, job: Job, error: TargetError) -> None:
        """Find out whether the engine has restarted, which the job may have caused."""
        is_mismatch = isinstance(error, EngineMismatchError)
        if is_mismatch:
            self._state.metrics.count("answer_mismatches")
        fingerprint = job.execute.fingerprint
        with self._state.lock:
            if is_mismatch or not error.may_have_run:
                # It was not in the batch of the engine run that may have ended.
                self._state.quarantine.ended(self.name, fingerprint, finished=False)
            else:
                self._failed.append(fingerprint)
        self._read_listing()

    def _check_engine_run(self, job: Job) -> None:
        """Raise TargetError if the engine restarted since the job's adapter was pinned.

        A second crash quarantines a suspect, so a restart that came before it must be
        noticed first. Two engines that restart together would otherwise condemn it.
        """
        fingerprint = job.execute.fingerprint
        with self._state.lock:
            self._state.quarantine.ended(self.name, fingerprint, finished=False)
        self._read_listing()
        with self._state.lock:
            self._state.quarantine.started(self.name, fingerprint)
            is_same = job.engine_incarnation == self.incarnation
        if not is_same:
            raise TargetError(
                "the engine has restarted",
                step="run",
                peer=self.name,
                may_have_run=False,
            )

    def _poll(self) -> None:
        while not self._stopped.is_set():
            self._read_listing()
            self._read_token()
            self._orders.wake()
            self._stopped.wait(POLL_S)

    def _read_listing(self) -> None:
        with self._state.lock:
            mark = self._slots.listing_started()
        try:
            listing = self._client.listing()
        except TargetError as error:
            _log.info("engine not reached", extra={"error": str(error)})
            return
        with self._state.lock:
            was = self._slots.engine_incarnation
            if was and was != listing.incarnation:
                self._restarted(was, listing.incarnation)
            else:
                self._clear_failed()
            self._slots.engine_listed(listing.incarnation, listing.adapters, mark)
        if was != listing.incarnation and self._runner is not None:
            self._runner.changed()

    def _restarted(self, was: str, now: str) -> None:
        _log.warning(
            "engine restarted",
            extra={"target": self.name, "was": was, "engine_incarnation": now},
        )
        self._state.metrics.count("engine_restarts")
        record = self._state.quarantine.crashed(self.name, was)
        self._failed.clear()
        if record is not None:
            self._state.record_quarantine(record)

    def _clear_failed(self) -> None:
        """Note that the failed jobs did not crash the engine, since its run goes on."""
        for fingerprint in self._failed:
            self._state.quarantine.ended(self.name, fingerprint, finished=False)
        self._failed.clear()

    def _read_token(self) -> None:
        asked_at_s = self._state.clock.monotonic_s()
        try:
            report = self._client.load_report()
        except TargetError:
            return
        token = report.get("fencing_token")
        if isinstance(token, int):
            with self._state.lock:
                self.ownership.engine_said(
                    token, asked_at_s, self._state.clock.monotonic_s()
                )

    def _order_ended(self) -> None:
        if self._runner is not None:
            self._runner.pump()
