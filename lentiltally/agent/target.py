"""What a runner needs of its target, and the work that it hands to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from lentiltally.agent._http import TargetError
from lentiltally.agent.kept_answers import AnswerMessage, KeptAnswer
from lentiltally.decisions.adapter_slots import Pinned
from lentiltally.decisions.work_queue import QueuedWork, QueueSettings, WorkQueue
from lentiltally.settings import TargetSettings
from lentiltally.wire import Execute

Emit = Callable[[AnswerMessage], None]


@dataclass(slots=True)
class Job:
    """One attempt that runs or is about to."""

    item: QueuedWork
    execute: Execute
    kept: KeptAnswer
    pin: Pinned | None = None
    #: The engine run in which the adapter was pinned.
    engine_incarnation: str = ""


class Target(Protocol):
    """What differs between an engine and a plain service."""

    @property
    def queue(self) -> WorkQueue:
        """The target's queue."""
        ...

    @property
    def incarnation(self) -> str:
        """The target's incarnation as last seen; empty if it has none."""
        ...

    def resident(self) -> frozenset[str]:
        """Return the adapters that work can use now."""
        ...

    def free_slots(self) -> int:
        """Return how many adapter slots could take another adapter."""
        ...

    def may_start(self) -> bool:
        """Return whether work may be started now."""
        ...

    def lacks_slot(self, adapter: str) -> bool:
        """Return whether the adapter is absent and no slot is left for it."""
        ...

    def accepted(self, execute: Execute) -> None:
        """Take notice of work that was queued."""
        ...

    def cancel(self, job: Job) -> None:
        """Ask the target to stop a running job."""
        ...

    def pin(self, job: Job) -> bool:
        """Reserve what the job needs; False if it can't start now."""
        ...

    def unpin(self, job: Job) -> None:
        """Release what the job had reserved."""
        ...

    def run(self, job: Job, emit: Emit) -> None:
        """Run the job and emit its answer; raises TargetError."""
        ...

    def failed(self, job: Job, error: TargetError) -> None:
        """Look into a failure, for example whether the target has restarted."""
        ...

    def work_waits(self) -> None:
        """Take notice that work waits which nothing resident can serve."""
        ...

    def is_ready(self) -> bool:
        """Return whether the target has been reached."""
        ...


def queue_settings(settings: TargetSettings) -> QueueSettings:
    """Return the queue's order for a target."""
    return QueueSettings(max_length=settings.max_queue)
