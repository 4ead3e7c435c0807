"""The kind of target that is a plain HTTP service."""

from __future__ import annotations

from lentiltally.agent._http import TargetError
from lentiltally.agent.runner import TargetRunner
from lentiltally.agent.service_client import ServiceClient
from lentiltally.agent.target import Emit, Job, queue_settings
from lentiltally.config import ConfigTree
from lentiltally.decisions.work_queue import WorkQueue
from lentiltally.settings import TargetSettings
from lentiltally.wire import CompleteAnswer, Execute

MAX_CONCURRENT_CALLS = 32


class ServiceTarget:
    """One plain service; it has no adapters and gets no load or unload orders.

    Most methods have nothing to do and exist only for the protocol ``Target``.
    """

    incarnation = ""

    def __init__(self, settings: TargetSettings) -> None:
        """Open no connection yet."""
        self.queue = WorkQueue(MAX_CONCURRENT_CALLS, queue_settings(settings))
        self._client = ServiceClient(
            settings.url,
            settings.name,
            MAX_CONCURRENT_CALLS,
            settings.first_byte_timeout_s,
        )

    def start(self, runner: TargetRunner) -> None:
        """Do nothing; a service is not polled."""

    def stop(self) -> None:
        """Do nothing; a service is not polled."""

    def apply_configuration(self, tree: ConfigTree) -> None:
        """Do nothing; a service has no adapters."""

    def is_ready(self) -> bool:
        """Return True; an unreachable service is noticed by the calls to it."""
        return True

    def free_slots(self) -> int:
        """Return 0; a service has no adapter slots."""
        return 0

    def loaded_adapters(self) -> frozenset[str]:
        """Return the empty set; a service has no adapters."""
        return frozenset()

    def may_start(self) -> bool:
        """Return True; a service gets no orders, so it has no owner."""
        return True

    def lacks_slot(self, adapter: str) -> bool:
        """Return False; work for a service needs no adapter slot."""
        del adapter
        return False

    def on_queued(self, execute: Execute) -> None:
        """Do nothing; there is no adapter to load."""

    def pin(self, job: Job) -> bool:
        """Return True; there is no adapter to pin."""
        return True

    def unpin(self, job: Job) -> None:
        """Do nothing; there is no adapter to unpin."""

    def on_work_waiting(self) -> None:
        """Do nothing; there is no adapter to load."""

    def cancel(self, job: Job) -> None:
        """Do nothing; HTTP has no way to cancel a call."""

    def run(self, job: Job, emit: Emit) -> None:
        """Call the service and emit its answer; raises TargetError."""
        execute = job.execute
        answer = self._client.call(
            execute.method,
            execute.path,
            execute.content_type,
            execute.body,
            execute.attempt_id,
        )
        emit(
            CompleteAnswer(
                execute.attempt_id,
                answer.status,
                answer.content_type,
                answer.body,
            ),
        )

    def on_failure(self, job: Job, error: TargetError) -> None:
        """Do nothing; a service has no incarnation to check."""
