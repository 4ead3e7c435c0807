"""Sends target states and progress to the entries that have said hello."""

from __future__ import annotations

import logging
import threading
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lentiltally.clock import Clock
from lentiltally.wire import (
    ChannelError,
    Heartbeat,
    Hello,
    Message,
    Outboxes,
    Progress,
    TargetState,
)

_log = logging.getLogger(__name__)

PROGRESS_S = 1.0
HEARTBEAT_S = 10.0
# Entries greet every 30 s; one that missed two greetings is gone.
ENTRY_SILENT_S = 90.0


@dataclass(slots=True)
class _Entry:
    incarnation: str
    greeted_s: float


class Reporter:
    """Knows the entries and keeps them informed; safe for several threads."""

    def __init__(
        self,
        *,
        outboxes: Outboxes,
        states: Callable[[], list[TargetState]],
        attempts: Callable[[], Mapping[str, dict[str, int]]],
        heartbeat: Callable[[], Heartbeat],
        clock: Clock,
    ) -> None:
        """``states`` gives all target states, ``attempts`` live ones by entry."""
        self._heartbeat = heartbeat
        self._sent_sequence = 0
        self._outboxes = outboxes
        self._states = states
        self._attempts = attempts
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="reporter")

    def start(self) -> None:
        """Begin to report."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reporting."""
        self._stopped.set()

    def greeted(self, hello: Hello) -> None:
        """Remember an entry and send it all states."""
        with self._lock:
            self._entries[hello.reply_address] = _Entry(
                hello.entry_incarnation, self._clock.monotonic_s()
            )
        for state in self._states():
            self.send(hello.reply_address, state)

    def broadcast(self) -> None:
        """Send the states that have changed to all entries."""
        with self._lock:
            states = [s for s in self._states() if s.sequence > self._sent_sequence]
            if not states:
                return
            self._sent_sequence = max(state.sequence for state in states)
            addresses = list(self._entries)
        for address in addresses:
            for state in states:
                self.send(address, state)

    def send(self, address: str, message: Message) -> None:
        """Send one message to an entry; a lost one is asked for again."""
        try:
            self._outboxes.put(address, message)
        except ChannelError as error:
            _log.warning("message not sent", extra={"error": str(error)})

    def _run(self) -> None:
        next_beat_s = self._clock.monotonic_s() + HEARTBEAT_S
        while not self._stopped.wait(PROGRESS_S):
            self._send_progress()
            self.broadcast()
            if self._clock.monotonic_s() >= next_beat_s:
                next_beat_s += HEARTBEAT_S
                self._drop_silent()
                self._send_heartbeats()

    def _send_progress(self) -> None:
        beat = self._heartbeat()
        for address, attempts in self._attempts().items():
            progress = Progress(beat.agent, beat.agent_incarnation, attempts)
            self.send(address, progress)

    def _send_heartbeats(self) -> None:
        beat = self._heartbeat()
        with self._lock:
            addresses = list(self._entries)
        for address in addresses:
            self.send(address, beat)

    def _drop_silent(self) -> None:
        limit_s = self._clock.monotonic_s() - ENTRY_SILENT_S
        with self._lock:
            gone = [a for a, e in self._entries.items() if e.greeted_s < limit_s]
            for address in gone:
                del self._entries[address]
        for address in gone:
            self._outboxes.drop(address)


def by_entry(live: Mapping[str, tuple[str, int]]) -> dict[str, dict[str, int]]:
    """Group live attempts (id to reply address and next index) by entry."""
    grouped: dict[str, dict[str, int]] = defaultdict(dict)
    for attempt_id, (address, next_index) in live.items():
        grouped[address][attempt_id] = next_index
    return grouped
