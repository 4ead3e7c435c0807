"""Threads that step a follower and run periodic tasks."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from lentiltally.config.follower import ConfigFollower
from lentiltally.config.tree import ConfigTree, Entry

_log = logging.getLogger(__name__)

# An unresponsive connection is detected after this time plus the log client's timeout;
# the sum must fit in the 4 s within which a change must take effect.
LONG_POLL_MS = 1000
ERROR_RETRY_DELAY_S = 1.0


class FollowerThread:
    """Steps a follower with long polls, and reports each new tree.

    ``on_change`` is called on the thread with the new tree after each step that
    replaced the tree. It must not block.
    """

    def __init__(
        self,
        follower: ConfigFollower,
        on_change: Callable[[ConfigTree], None] | None = None,
        long_poll_ms: int = LONG_POLL_MS,
    ) -> None:
        """Create the thread without starting it."""
        self.follower = follower
        self._on_change = on_change
        self._long_poll_ms = long_poll_ms
        self._tree_changed = threading.Condition()
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="config-follower", daemon=True
        )

    @property
    def tree(self) -> ConfigTree | None:
        """Return the configuration in force, or None before the follower has one."""
        return self.follower.tree

    def replaced_entries(self, change_id: str) -> tuple[Entry | None, ...] | None:
        """Return the former entry of each item of a recently applied change."""
        return self.follower.replaced_entries(change_id)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, timeout_s: float = LONG_POLL_MS / 1000 + 1) -> None:
        """Stop after the current long poll; wait for the thread up to the timeout."""
        self._stop_requested.set()
        self._thread.join(timeout_s)

    def wait_past(self, offset: int, timeout_s: float) -> bool:
        """Wait until the record at an offset is decided; False after the timeout."""
        with self._tree_changed:
            return self._tree_changed.wait_for(
                lambda: self.follower.offset > offset, max(0.0, timeout_s)
            )

    def _run(self) -> None:
        while not self._stop_requested.is_set():
            previous = self.follower.tree
            try:
                delay_s = self.follower.step(self._long_poll_ms)
                self._notify(previous)
            except Exception:
                # The thread must survive any error: without it no change takes effect.
                _log.exception("configuration follower step failed")
                delay_s = ERROR_RETRY_DELAY_S
            if delay_s:
                self._stop_requested.wait(delay_s)

    def _notify(self, previous: ConfigTree | None) -> None:
        tree = self.follower.tree
        if tree is None or tree is previous:
            return
        with self._tree_changed:
            self._tree_changed.notify_all()
        if self._on_change is not None:
            self._on_change(tree)


class PeriodicThread:
    """Runs a task at a fixed interval, for work that must not delay the follower."""

    def __init__(
        self, name: str, task: Callable[[], object], interval_s: float
    ) -> None:
        """Create the thread without starting it."""
        self._task = task
        self._interval_s = interval_s
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread; the first run comes after one interval."""
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop after the current run; wait for the thread up to the timeout."""
        self._stop_requested.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        while not self._stop_requested.wait(self._interval_s):
            try:
                self._task()
            except Exception:
                _log.exception("periodic task %s failed", self._thread.name)
