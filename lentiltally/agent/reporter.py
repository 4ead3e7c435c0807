"""Sends state reports, progress and heartbeats to the entries.

An entry subscribes with a ``Hello``, which it repeats. It gets all state reports in
answer to each one, and changed ones as they change.
"""

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

PROGRESS_INTERVAL_S = 1.0
HEARTBEAT_INTERVAL_S = 10.0
# Entries send a Hello every 30 s; one that has missed two is removed.
ENTRY_TIMEOUT_S = 90.0


@dataclass(slots=True)
class _Entry:
    incarnation: str
    last_hello_s: float


class Reporter:
    """Knows the subscribed entries and sends to them; safe for several threads."""

    def __init__(
        self,
        *,
        outboxes: Outboxes,
        get_state_reports: Callable[[], list[TargetState]],
        get_open_attempts: Callable[[], Mapping[str, dict[str, int]]],
        make_heartbeat: Callable[[], Heartbeat],
        clock: Clock,
    ) -> None:
        """Start without entries.

        ``get_state_reports`` returns the state reports of all targets.
        ``get_open_attempts`` returns, for each entry's reply address, the next event
        index of each of its open attempts by attempt id.
        """
        self._make_heartbeat = make_heartbeat
        self._sent_sequence = 0
        self._outboxes = outboxes
        self._get_state_reports = get_state_reports
        self._get_open_attempts = get_open_attempts
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

    def on_hello(self, hello: Hello) -> None:
        """Subscribe an entry and send it all state reports."""
        with self._lock:
            self._entries[hello.reply_address] = _Entry(
                hello.entry_incarnation, self._clock.monotonic_s()
            )
        for report in self._get_state_reports():
            self.send(hello.reply_address, report)

    def broadcast(self) -> None:
        """Send all entries the state reports that have not been broadcast yet."""
        with self._lock:
            reports = [
                r for r in self._get_state_reports() if r.sequence > self._sent_sequence
            ]
            if not reports:
                return
            self._sent_sequence = max(report.sequence for report in reports)
            addresses = list(self._entries)
        for address in addresses:
            for report in reports:
                self.send(address, report)

    def send(self, address: str, message: Message) -> None:
        """Send one message to an entry.

        A message that can't be sent is logged and dropped. That loses nothing for good:
        entries ask again for state reports with a ``Hello``, and for parts of answers
        with a ``Resume``.
        """
        try:
            self._outboxes.put(address, message)
        except ChannelError as error:
            _log.warning("cannot send message to entry", extra={"error": str(error)})

    def _run(self) -> None:
        next_heartbeat_s = self._clock.monotonic_s() + HEARTBEAT_INTERVAL_S
        while not self._stopped.wait(PROGRESS_INTERVAL_S):
            self._send_progress()
            self.broadcast()
            if self._clock.monotonic_s() >= next_heartbeat_s:
                next_heartbeat_s += HEARTBEAT_INTERVAL_S
                self._remove_timed_out_entries()
                self._send_heartbeats()

    def _send_progress(self) -> None:
        heartbeat = self._make_heartbeat()
        for address, attempts in self._get_open_attempts().items():
            progress = Progress(heartbeat.agent, heartbeat.agent_incarnation, attempts)
            self.send(address, progress)

    def _send_heartbeats(self) -> None:
        heartbeat = self._make_heartbeat()
        with self._lock:
            addresses = list(self._entries)
        for address in addresses:
            self.send(address, heartbeat)

    def _remove_timed_out_entries(self) -> None:
        limit_s = self._clock.monotonic_s() - ENTRY_TIMEOUT_S
        with self._lock:
            removed = [a for a, e in self._entries.items() if e.last_hello_s < limit_s]
            for address in removed:
                del self._entries[address]
        for address in removed:
            self._outboxes.drop(address)


def group_by_entry(
    open_attempts: Mapping[str, tuple[str, int]],
) -> dict[str, dict[str, int]]:
    """Group open attempts by the reply address of their entry.

    ``open_attempts`` maps attempt ids to the reply address and the index of the next
    event; the result maps reply addresses to attempt ids and next indexes.
    """
    grouped: dict[str, dict[str, int]] = defaultdict(dict)
    for attempt_id, (address, next_index) in open_attempts.items():
        grouped[address][attempt_id] = next_index
    return grouped
