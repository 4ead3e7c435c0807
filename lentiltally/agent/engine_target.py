"""The kind of target that is a model engine, with adapter slots.

The engine is polled for its loaded adapters, its incarnation and the last fencing token
it has accepted. A changed incarnation means that it has restarted, which may have been
caused by one of the requests that were running.
"""

from __future__ import annotations

import logging
import threading

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineClient
from lentiltally.agent.engine_run import EngineAttempt, EngineMismatchError
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

POLL_INTERVAL_S = 1.0
# Weight sources matter only for adapters that queued work waits for, so the oldest
# ones beyond this number are dropped.
MAX_WEIGHT_SOURCES = 1_000


class EngineTarget:
    """One engine with its queue, its adapter slots and the agent's ownership of it."""

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
        self._weight_sources: dict[str, str] = {}
        self._client = EngineClient(
            settings.url,
            settings.name,
            (settings.batch_places or 1) + 4,
            settings.first_byte_timeout_s,
            settings.silence_timeout_s,
        )
        self._stream_reader = reader
        self._silence_timeout_s = settings.silence_timeout_s
        self._runner: TargetRunner | None = None
        self._stopped = threading.Event()
        # Fingerprints of failed jobs that may have crashed the engine, until the next
        # list of adapters shows whether it has restarted.
        self._failed_fingerprints: list[str] = []
        self._order_sender = OrderSender(
            target=settings.name,
            client=self._client,
            queue=self.queue,
            slots=self._slots,
            ownership=self.ownership,
            permits=permits,
            weight_sources=self._weight_sources,
            lock=state.lock,
            clock=state.clock,
            metrics=state.metrics,
            on_order_ended=self._on_order_ended,
        )
        self._thread = threading.Thread(
            target=self._poll, daemon=True, name=f"poll-{settings.name}"
        )

    @property
    def incarnation(self) -> str:
        """The engine's last known incarnation; empty before its first answer."""
        return self._slots.engine_incarnation

    def start(self, runner: TargetRunner) -> None:
        """Begin to poll the engine and to send orders; tell ``runner`` of changes."""
        self._runner = runner
        self._thread.start()
        self._order_sender.start()

    def stop(self) -> None:
        """Stop polling and sending orders."""
        self._stopped.set()
        self._order_sender.stop()

    def apply_configuration(self, tree: ConfigTree) -> None:
        """Retire loaded adapters that the configuration no longer declares.

        A retired adapter is unloaded once no running job pins it any more.
        """
        for name in self._slots.loaded_adapters:
            team, _, rest = name.partition("/")
            adapter, _, version = rest.rpartition("@")
            config = tree.adapter(team, adapter)
            if config is not None and version in config.versions:
                self._slots.unretire(name)
            else:
                self._slots.retire(name)

    def is_ready(self) -> bool:
        """Return whether the engine's list of loaded adapters has been read."""
        return bool(self._slots.engine_incarnation)

    def loaded_adapters(self) -> frozenset[str]:
        """Return the adapters that are known to be loaded."""
        return self._slots.loaded_adapters

    def free_slots(self) -> int:
        """Return how many adapter slots could take another adapter.

        Slots of pinned adapters are not counted, and each adapter that queued work
        waits for takes one. Below 0 if more are needed than there are.
        """
        loaded = self._slots.loaded_adapters
        pinned = sum(self._slots.pins(name) > 0 for name in loaded)
        waited_for = self.queue.adapters() - loaded
        return self._slots.limit - pinned - len(waited_for)

    def may_start(self) -> bool:
        """Return whether this agent incarnation owns the engine now.

        An agent that was paused may have been superseded in the meantime.
        """
        return self.ownership.may_order(self._state.clock.monotonic_s())

    def lacks_slot(self, adapter: str) -> bool:
        """Return whether the adapter is not loaded and no slot is left for it."""
        has_slot = (
            adapter in self._slots.loaded_adapters or adapter in self.queue.adapters()
        )
        return not has_slot and self.free_slots() <= 0

    def on_queued(self, execute: Execute) -> None:
        """Remember the source of the adapter's weights for a load."""
        model = f"{execute.team}/{execute.adapter}@{execute.version}"
        self._weight_sources.pop(model, None)
        self._weight_sources[model] = execute.source
        if len(self._weight_sources) > MAX_WEIGHT_SOURCES:
            del self._weight_sources[next(iter(self._weight_sources))]

    def pin(self, job: Job) -> bool:
        """Pin the job's adapter; False if it is not loaded."""
        result = self._slots.pin(job.item.adapter)
        job.pin = result if isinstance(result, Pinned) else None
        job.engine_incarnation = self.incarnation
        return job.pin is not None

    def unpin(self, job: Job) -> None:
        """Unpin the job's adapter."""
        if job.pin is not None:
            self._slots.unpin(job.pin)

    def on_work_waiting(self) -> None:
        """Make the order sender look for an adapter to load."""
        self._order_sender.wake()

    def run(self, job: Job, emit: Emit) -> None:
        """Run the job; raises TargetError."""
        if job.item.is_suspect:
            self._check_incarnation(job)
        attempt = EngineAttempt(
            self._client,
            job.execute,
            job.engine_incarnation,
            emit,
            reader=self._stream_reader,
            silence_timeout_s=self._silence_timeout_s,
            has_time_left=lambda: self._has_time_left(job),
        )
        attempt.run()

    def _has_time_left(self, job: Job) -> bool:
        now_s = self._state.clock.monotonic_s()
        return not job.is_cancelled and now_s < job.item.deadline_s

    def cancel(self, job: Job) -> None:
        """Ask the engine to stop a running job; a failure is only logged."""
        try:
            self._client.cancel(job.item.attempt_id)
        except TargetError as error:
            _log.info(
                "could not cancel a request at the engine", extra={"error": str(error)}
            )

    def on_failure(self, job: Job, error: TargetError) -> None:
        """Check whether the engine has restarted; the failed job may be the cause."""
        is_mismatch = isinstance(error, EngineMismatchError)
        if is_mismatch:
            self._state.metrics.count("answer_mismatches")
        fingerprint = job.execute.fingerprint
        with self._state.lock:
            if is_mismatch or not error.may_have_run:
                # The job was not in the batch of the incarnation that may have crashed.
                self._state.quarantine.ended(self.name, fingerprint, finished=False)
            else:
                self._failed_fingerprints.append(fingerprint)
        self._read_adapter_list()

    def _check_incarnation(self, job: Job) -> None:
        """Raise TargetError if the engine restarted since the job's adapter was pinned.

        A suspect is quarantined if it is in the batch at a second crash. A restart that
        happened before the suspect is sent must therefore be noticed first. Otherwise,
        after two engines have restarted together, a request that was running on one of
        them and is retried on the other would be quarantined.
        """
        fingerprint = job.execute.fingerprint
        with self._state.lock:
            self._state.quarantine.ended(self.name, fingerprint, finished=False)
        self._read_adapter_list()
        with self._state.lock:
            self._state.quarantine.started(self.name, fingerprint)
            is_unchanged = job.engine_incarnation == self.incarnation
        if not is_unchanged:
            raise TargetError(
                "the engine has restarted",
                step="run",
                peer=self.name,
                may_have_run=False,
            )

    def _poll(self) -> None:
        while not self._stopped.is_set():
            self._read_adapter_list()
            self._read_fencing_token()
            self._order_sender.wake()
            self._stopped.wait(POLL_INTERVAL_S)

    def _read_adapter_list(self) -> None:
        """Read which adapters the engine has loaded, and notice a restart."""
        with self._state.lock:
            requested_at = self._slots.listing_started()
        try:
            listing = self._client.list_adapters()
        except TargetError as error:
            _log.info(
                "could not read the engine's adapter list", extra={"error": str(error)}
            )
            return
        with self._state.lock:
            old_incarnation = self._slots.engine_incarnation
            if old_incarnation and old_incarnation != listing.incarnation:
                self._on_engine_restart(old_incarnation, listing.incarnation)
            else:
                self._clear_failed_jobs()
            self._slots.engine_listed(
                listing.incarnation, listing.adapters, requested_at
            )
        if old_incarnation != listing.incarnation and self._runner is not None:
            self._runner.on_target_changed()

    def _on_engine_restart(self, old_incarnation: str, new_incarnation: str) -> None:
        """Record a crash with the fingerprints of the jobs that were in the batch."""
        _log.warning(
            "engine restarted",
            extra={
                "target": self.name,
                "was": old_incarnation,
                "engine_incarnation": new_incarnation,
            },
        )
        self._state.metrics.count("engine_restarts")
        record = self._state.quarantine.crashed(self.name, old_incarnation)
        self._failed_fingerprints.clear()
        if record is not None:
            self._state.record_quarantine(record)

    def _clear_failed_jobs(self) -> None:
        """Note that the failed jobs did not crash the engine: it has not restarted."""
        for fingerprint in self._failed_fingerprints:
            self._state.quarantine.ended(self.name, fingerprint, finished=False)
        self._failed_fingerprints.clear()

    def _read_fencing_token(self) -> None:
        """Tell the ownership the last fencing token that the engine has accepted."""
        requested_at_s = self._state.clock.monotonic_s()
        try:
            report = self._client.load_report()
        except TargetError:
            return
        token = report.get("fencing_token")
        if isinstance(token, int):
            with self._state.lock:
                self.ownership.engine_reported(
                    token, requested_at_s, self._state.clock.monotonic_s()
                )

    def _on_order_ended(self) -> None:
        if self._runner is not None:
            self._runner.process_queue()
