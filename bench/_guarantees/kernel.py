"""Simulated time, processes that pause or terminate, and an unreliable network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench._guarantees.journal import Journal

Action = Callable[[], None]
_REPLAYED_MESSAGES = 8


class Kernel:
    """Runs scheduled actions in order of simulated time."""

    def __init__(self, rng: random.Random, journal: Journal) -> None:
        """Start at time 0 with nothing scheduled."""
        self.rng = rng
        self.journal = journal
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Action]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_s: float, action: Action) -> None:
        """Schedule an action after a delay."""
        heapq.heappush(self._heap, (self.now_s + delay_s, next(self._sequence), action))

    def run(self, end_s: float) -> None:
        """Run all actions due up to a time."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()
        self.now_s = end_s

    def flip(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self.rng.random() < probability


class Process:
    """A process; its actions wait while it is paused and are lost once it is dead."""

    def __init__(self, kernel: Kernel) -> None:
        """Start neither paused nor dead."""
        self.kernel = kernel
        self.is_dead = False
        self.is_paused = False
        self._deferred: list[Action] = []
        self._pauses: list[tuple[float, float]] = []

    @property
    def now_s(self) -> float:
        """Return the monotonic time of the process."""
        return self.kernel.now_s

    def call_later(self, delay_s: float, action: Action) -> None:
        """Schedule an action of this process after a delay."""
        self.kernel.call_later(delay_s, lambda: self.run_or_defer(action))

    def call_every(self, interval_s: float, action: Action) -> None:
        """Schedule an action of this process at an interval, from a random offset."""

        def repeat() -> None:
            action()
            self.call_later(interval_s, repeat)

        self.call_later(interval_s * self.kernel.rng.random(), repeat)

    def run_or_defer(self, action: Action) -> None:
        """Run an action now; defer it if paused, drop it if dead."""
        if self.is_dead:
            return
        if self.is_paused:
            self._deferred.append(action)
        else:
            action()

    def pause(self, duration_s: float) -> None:
        """Pause for a while, as by SIGSTOP; the process does not notice."""
        if self.is_paused:
            return
        self.is_paused = True
        self._pauses.append((self.now_s, self.now_s + duration_s))
        self.kernel.call_later(duration_s, self._end_pause)

    def was_paused_between(self, start_s: float, end_s: float) -> bool:
        """Return whether the process was paused at any time from start to end."""
        return any(start < end_s and end > start_s for start, end in self._pauses)

    def _end_pause(self) -> None:
        self.is_paused = False
        deferred, self._deferred = self._deferred, []
        for action in deferred:
            self.run_or_defer(action)


class Network:
    """Carries messages between addresses with delay, loss, duplication, reordering."""

    def __init__(
        self, kernel: Kernel, *, loss: float, duplication: float, long_delay: float
    ):
        """Set the probabilities of the faults of one message."""
        self._kernel = kernel
        self._loss = loss
        self._duplication = duplication
        self._long_delay = long_delay
        self._receivers: dict[str, tuple[Process, Callable[[object], None]]] = {}
        self._blocked_until_s: dict[tuple[str, str], float] = {}
        self._recent: dict[str, deque[object]] = {}

    def listen(
        self, address: str, process: Process, receive: Callable[[object], None]
    ) -> None:
        """Deliver messages for an address to a process from now on."""
        self._receivers[address] = (process, receive)

    def is_listening(self, address: str) -> bool:
        """Return whether a process listens on an address."""
        receiver = self._receivers.get(address)
        return receiver is not None and not receiver[0].is_dead

    def block(self, sender: str, receiver: str, duration_s: float) -> None:
        """Drop the messages of one direction for a time, or until a reconnect."""
        self._blocked_until_s[sender, receiver] = self._kernel.now_s + duration_s

    def reconnect(self, one: str, other: str) -> None:
        """Replace the connections between two addresses, which ends a block."""
        self._blocked_until_s.pop((one, other), None)
        self._blocked_until_s.pop((other, one), None)

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Send one message, which may be lost, delayed or duplicated."""
        if self._blocked_until_s.get((sender, receiver), 0.0) > self._kernel.now_s:
            return
        if self._kernel.flip(self._loss):
            return
        self._recent.setdefault(receiver, deque(maxlen=_REPLAYED_MESSAGES)).append(
            message
        )
        for _ in range(2 if self._kernel.flip(self._duplication) else 1):
            delay_s = self._kernel.rng.uniform(0.001, 0.02)
            if self._kernel.flip(self._long_delay):
                delay_s = self._kernel.rng.uniform(0.1, 6.0)
            self._kernel.call_later(delay_s, lambda: self._deliver(receiver, message))

    def replay(self, address: str) -> None:
        """Deliver the last messages to an address again, as to a restarted process."""
        for message in list(self._recent.get(address, ())):
            delay_s = self._kernel.rng.uniform(0.0, 2.0)
            self._kernel.call_later(delay_s, partial(self._deliver, address, message))

    def _deliver(self, address: str, message: object) -> None:
        receiver = self._receivers.get(address)
        if receiver is not None:
            process, receive = receiver
            process.run_or_defer(lambda: receive(message))
