"""The threads that drive a follower and periodic tasks."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from lentiltally.config.follower import ConfigFollower
from lentiltally.config.tree import ConfigTree, Entry

_LOGGER = logging.getLogger(__name__)

# A connection that has gone silent is noticed after this time and the client's timeout;
# both must fit the 4 s in which a change comes into force.
LONG_POLL_MS = 1000
ERROR_RETRY_S = 1.0


class FollowerThread:
    """Drives a follower with long polls and tells of each new tree.

    ``on_change`` is called in the thread with the tree after each step that moved it;
    it must not block.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        on_change: Callable[[ConfigTree], None] | None = None,
        long_poll_ms: int = LONG_POLL_MS,
    ) -> None:
        """Prepare the thread without starting it."""
        self.follower = follower
        self._on_change = on_change
        self._long_poll_ms = long_poll_ms
        self._moved = threading.Condition()
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="config-follower", daemon=True
        )

    @property
    def tree(self) -> ConfigTree | None:
        """Return the configuration in force, or None before the start."""
        return self.follower.tree

    def replaced_entries(self, change_id: str) -> tuple[Entry | None, ...] | None:
        """Return the entries that a recently applied change replaced."""
        return self.follower.replaced_entries(change_id)

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def stop(self, timeout_s: float = LONG_POLL_MS / 1000 + 1) -> None:
        """Stop after the current poll and wait for the thread to end."""
        self._stopping.set()
        self._thread.join(timeout_s)

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at an offset is decided; False after the timeout."""
        with self._moved:
            return self._moved.wait_for(
                lambda: self.follower.offset > offset, max(0.0, timeout_s)
            )

    def _run(self) -> None:
        while not self._stopping.is_set():
            former = self.follower.tree
            try:
                pause_s = self.follower.step(self._long_poll_ms)
                self._tell(former)
            except Exception:
                # The thread must outlive any fault: without it no change takes effect.
                _LOGGER.exception("configuration step failed")
                pause_s = ERROR_RETRY_S
            if pause_s:
                self._stopping.wait(pause_s)

    def _tell(self, former: ConfigTree | None) -> None:
        tree = self.follower.tree
        if tree is None or tree is former:
            return
        with self._moved:
            self._moved.notify_all()
        if self._on_change is not None:
            self._on_change(tree)


class PeriodicThread:
    """Runs a task at an interval, for work that must not delay the follower."""

    def __init__(
        self, name: str, task: Callable[[], object], interval_s: float
    ) -> None:
        """Prepare the thread without starting it."""
        self._task = task
        self._interval_s = interval_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start; the first run comes after one interval."""
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop after the current run and wait for the thread to end."""
        self._stopping.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            try:
                self._task()
            except Exception:
                _LOGGER.exception("periodic task %s failed", self._thread.name)
