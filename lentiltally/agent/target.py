"""The interface between a target's runner and the kind of target it serves.

``TargetRunner`` has the queue handling that all targets have in common. A ``Target``
adds what differs between a model engine and a plain service.
"""

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
    """One attempt that has left the queue, and what it has reserved.

    ``item`` is the work taken from the queue, ``execute`` the message with which the
    entry sent it. ``pin`` is the pin of its adapter, or None for a service.
    ``engine_incarnation`` is the engine incarnation on which the adapter was pinned.
    ``is_cancelled`` is true once the entry does not wait for the answer any longer.
    """

    item: QueuedWork
    execute: Execute
    answer: KeptAnswer
    pin: Pinned | None = None
    engine_incarnation: str = ""
    is_cancelled: bool = False


class Target(Protocol):
    """One target, as its runner sees it.

    ``run``, ``cancel``, ``on_failure`` and ``on_work_waiting`` may block and are called
    without the lock of ``AgentState``. The other methods read or change what the lock
    guards and never block; ``is_ready`` is called with and without it.
    """

    @property
    def queue(self) -> WorkQueue:
        """Attempts that wait for this target."""
        ...

    @property
    def incarnation(self) -> str:
        """The target's last known incarnation; empty if unknown or a plain service."""
        ...

    def loaded_adapters(self) -> frozenset[str]:
        """Return the adapters that are loaded and can be used now."""
        ...

    def free_slots(self) -> int:
        """Return how many adapter slots could take another adapter.

        Below 0 if queued work needs more slots than there are.
        """
        ...

    def may_start(self) -> bool:
        """Return whether this agent may start work on the target now."""
        ...

    def lacks_slot(self, adapter: str) -> bool:
        """Return whether the adapter is not loaded and no slot is left for it."""
        ...

    def on_queued(self, execute: Execute) -> None:
        """Handle an attempt that was put into the queue."""
        ...

    def cancel(self, job: Job) -> None:
        """Ask the target to stop a running job; a failure is only logged."""
        ...

    def pin(self, job: Job) -> bool:
        """Reserve the adapter that the job needs; False if it can't start now."""
        ...

    def unpin(self, job: Job) -> None:
        """Release the adapter that the job had reserved."""
        ...

    def run(self, job: Job, emit: Emit) -> None:
        """Run the job and pass the messages of its answer to ``emit``.

        Raises TargetError.
        """
        ...

    def on_failure(self, job: Job, error: TargetError) -> None:
        """Handle a failed job: check whether the target has restarted."""
        ...

    def on_work_waiting(self) -> None:
        """Handle work that remains in the queue, for example by loading an adapter."""
        ...

    def is_ready(self) -> bool:
        """Return whether the target is known to be able to take work."""
        ...


def queue_settings(settings: TargetSettings) -> QueueSettings:
    """Return the default queue settings with the maximum length of the target."""
    return QueueSettings(max_length=settings.max_queue)
