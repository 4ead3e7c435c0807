"""Tells the other entries what one entry knows of requests that crash targets."""

from __future__ import annotations

import asyncio

from lentiltally.clock import Clock
from lentiltally.decisions.crash_suspects import RequestTraits, suspect_relays
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.messages import (
    MAX_FINGERPRINTS,
    MAX_REFUSALS_PER_MESSAGE,
    MAX_REQUESTS_PER_REPORT,
    CrashReport,
    Message,
    PartsCleared,
    PartTrial,
    RefusedParts,
)
from lentiltally.direct.settings import SocketAddress

__all__ = ["CrashAnnouncements"]

# The connections of a crashed target end within this time, so that its suspects can be
# reported together.
REPORT_DELAY_S = 0.02
# An entry that has started knows of refused parts after about this time.
REFUSED_PARTS_INTERVAL_S = 1.0
# One crash concerns at most a few dozen open requests of an entry.
MAX_REPORTS_PER_CRASH = 4


class CrashAnnouncements:
    """Sends crash suspects, cleared parts and trials to the other entries.

    Each message goes through a few agents, which forward it.
    """

    def __init__(self, state: EntryState, peers: MessageSender, clock: Clock) -> None:
        """Announce what the state learns from now on."""
        self._state = state
        self._peers = peers
        self._clock = clock
        self._told_refused_parts_at_s = 0.0
        self._unreported: dict[str, list[RequestTraits]] = {}
        state.suspects.on_suspect = self._suspect_found
        state.suspects.on_parts_cleared = self._announce_cleared
        state.suspects.on_trial = self._announce_trial

    def tell_refused_parts(self) -> None:
        """Tell of refused parts now and then; all entries do so once a second."""
        now_s = self._clock.monotonic_s()
        interval_s = REFUSED_PARTS_INTERVAL_S * self._state.entry_count
        if now_s - self._told_refused_parts_at_s < interval_s:
            return
        self._told_refused_parts_at_s = now_s
        refused = self._state.suspects.refused_parts()[:MAX_REFUSALS_PER_MESSAGE]
        if refused:
            parts = [(p, int(1000 * t), int(1000 * w)) for p, t, w in refused]
            message = RefusedParts(tuple(parts))
            self._send_to_entries(message, refused[0][0])

    def _suspect_found(self, target_start: str, traits: RequestTraits) -> None:
        """Report a new crash suspect, together with those that follow at once."""
        if target_start not in self._unreported:
            asyncio.get_running_loop().call_later(
                REPORT_DELAY_S, self._report_crash, target_start
            )
        self._unreported.setdefault(target_start, []).append(traits)

    def _report_crash(self, target_start: str) -> None:
        """Send the new suspects of a crash to the other entries."""
        suspects = self._unreported.pop(target_start)
        # Those with parts first: they identify a cause that other requests share.
        suspects.sort(key=lambda traits: not traits.parts)
        size = MAX_REQUESTS_PER_REPORT
        for first in range(0, min(len(suspects), MAX_REPORTS_PER_CRASH * size), size):
            requests = tuple(
                (traits.content, *traits.parts)[:MAX_FINGERPRINTS]
                for traits in suspects[first : first + size]
            )
            report = CrashReport(target_start, requests)
            self._send_to_entries(report, requests[0][0])

    def _announce_cleared(self, parts: list[int]) -> None:
        cleared = PartsCleared(tuple(parts[:MAX_FINGERPRINTS]))
        self._send_to_entries(cleared, parts[0])

    def _announce_trial(self, parts: list[int]) -> None:
        trial = PartTrial(tuple(parts[:MAX_FINGERPRINTS]))
        self._send_to_entries(trial, parts[0])

    def _send_to_entries(self, message: Message, fingerprint: int) -> None:
        hosts = {
            record.address.rpartition(":")[0] for record in self._state.engine_targets()
        }
        relays = suspect_relays(hosts, fingerprint)
        port = self._state.peer_port
        self._peers.send_all([SocketAddress(ip, port) for ip in relays], message)
