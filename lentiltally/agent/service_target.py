"""What is particular to a plain service."""

from __future__ import annotations

from lentiltally.agent._http import TargetError
from lentiltally.agent.runner import TargetRunner
from lentiltally.agent.service_client import ServiceClient
from lentiltally.agent.target import Emit, Job, queue_settings
from lentiltally.config import ConfigTree
from lentiltally.decisions.work_queue import WorkQueue
from lentiltally.settings import TargetSettings
from lentiltally.wire import CompleteAnswer, Execute

# Calls that a service serves at once.
PLACES = 32


class ServiceTarget:
    """One plain service, which needs no adapters and no orders."""

    incarnation = ""

    def __init__(self, settings: TargetSettings) -> None:
        """Open no connection yet."""
        self.queue = WorkQueue(PLACES, queue_settings(settings))
        self._client = ServiceClient(
            settings.url, settings.name, PLACES, settings.first_byte_timeout_s
        )

    def start(self, runner: TargetRunner) -> None:
        """Do nothing; a service needs no polling."""

    def stop(self) -> None:
        """Do nothing; a service needs no polling."""

    def configured(self, tree: ConfigTree) -> None:
        """Do nothing; a service has no adapters."""

    def is_ready(self) -> bool:
        """Return True; failures show on the calls."""
        return True

    def free_slots(self) -> int:
        """Return 0; a service has no slots."""
        return 0

    def resident(self) -> frozenset[str]:
        """Return no adapters."""
        return frozenset()

    def may_start(self) -> bool:
        """Return True; a service takes no orders, so it has no owner."""
        return True

    def lacks_slot(self, adapter: str) -> bool:
        """Return False; a service needs no slots."""
        del adapter
        return False

    def accepted(self, execute: Execute) -> None:
        """Do nothing; there is nothing to load."""

    def pin(self, job: Job) -> bool:
        """Return True; there is nothing to pin."""
        return True

    def unpin(self, job: Job) -> None:
        """Do nothing; there is nothing to unpin."""

    def work_waits(self) -> None:
        """Do nothing; there is nothing to load."""

    def cancel(self, job: Job) -> None:
        """Do nothing; HTTP has no way to cancel a call."""

    def run(self, job: Job, emit: Emit) -> None:
        """Make the call; raises TargetError."""
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

    def failed(self, job: Job, error: TargetError) -> None:
        """Do nothing; a service has no incarnation to check."""
