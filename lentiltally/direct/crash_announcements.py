"""Tells the other entries what one entry knows of requests that crash targets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from lentiltally.clock import Clock
from lentiltally.decisions.content_suspects import ContentRefusal
from lentiltally.decisions.crash_traits import RequestTraits, suspect_relays
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.message_chunks import chunks
from lentiltally.direct.messages import (
    MAX_FINGERPRINTS,
    MAX_REFUSALS_PER_MESSAGE,
    MAX_REQUESTS_PER_REPORT,
    ContentsCleared,
    CrashReport,
    Message,
    PartsSurvived,
    PartTrial,
    RefusedContents,
    RefusedParts,
)
from lentiltally.direct.settings import SocketAddress

__all__ = ["CrashAnnouncements"]

# The connections of a crashed target end within this time, so that its suspects can be
# reported together.
REPORT_DELAY_S = 0.02
# An entry that has started, or that missed a message, knows of all refusals after about
# this time.
REFUSALS_INTERVAL_S = 1.0
# A new refusal is told again this often, each time through other agents.
NEW_REFUSAL_REPEATS = 3
# One crash concerns at most a few dozen open requests of an entry. Their prompts have
# up to about 1,500 different parts, if they fill the heads of requests.
MAX_REPORTS_PER_CRASH = 16
# Messages with refused parts that an entry sends at a time; it goes on with the others
# the next time.
MAX_REFUSAL_MESSAGES = 4


class CrashAnnouncements:
    """Sends crash suspects, cleared parts and trials to the other entries.

    Each message goes through a few agents, which forward it.
    """

    def __init__(self, state: EntryState, peers: MessageSender, clock: Clock) -> None:
        """Announce what the state learns from now on."""
        self._state = state
        self._peers = peers
        self._clock = clock
        self._told_refusals_at_s = 0.0
        self._repeats_left = 0
        self._next_part = 0
        self._unreported: dict[str, list[RequestTraits]] = {}
        state.suspects.on_suspect = self._suspect_found
        state.suspects.on_parts_cleared = self._announce_cleared
        state.suspects.on_trial = self._announce_trial
        state.suspects.on_content_refused = self._content_refused
        state.suspects.on_contents_cleared = self._announce_cleared_contents

    def tell_refusals(self) -> None:
        """Tell of refusals now and then, and of new ones several times at once.

        Together the entries tell of all refusals once a second.
        """
        now_s = self._clock.monotonic_s()
        if self._repeats_left > 0:
            self._repeats_left -= 1
            self._tell_refused_contents(self._repeats_left)
        interval_s = REFUSALS_INTERVAL_S * self._state.entry_count
        if now_s - self._told_refusals_at_s < interval_s:
            return
        self._told_refusals_at_s = now_s
        self._tell_refused_parts()
        self._tell_refused_contents(int(now_s))

    def message_received(self, message: Message) -> None:
        """Apply what another entry has told; other messages are ignored."""
        suspects = self._state.suspects
        if isinstance(message, CrashReport):
            suspects.crash_reported(message)
        elif isinstance(message, PartsSurvived):
            suspects.parts_cleared(message.parts)
        elif isinstance(message, RefusedParts):
            suspects.parts_refused_elsewhere(
                [(p, left / 1000, wait / 1000) for p, left, wait in message.parts]
            )
        elif isinstance(message, PartTrial):
            suspects.trials_begun(message.parts)
        elif isinstance(message, RefusedContents):
            suspects.contents_refused_elsewhere(
                [
                    ContentRefusal(content, left / 1000, trials)
                    for content, left, trials in message.contents
                ]
            )
        elif isinstance(message, ContentsCleared):
            suspects.contents_cleared(message.contents)

    def _tell_refused_parts(self) -> None:
        """Tell of refused parts, of many ones some at a time and in turn."""
        refused = self._state.suspects.refused_parts()
        first = self._next_part if self._next_part < len(refused) else 0
        size = MAX_REFUSALS_PER_MESSAGE
        self._next_part = first + MAX_REFUSAL_MESSAGES * size
        for some in chunks(refused[first : self._next_part], size):
            parts = [(p, int(1000 * t), int(1000 * w)) for p, t, w in some]
            self._send_to_entries(RefusedParts(tuple(parts)), some[0][0])

    def _content_refused(self) -> None:
        """Tell of a new refusal or trial at once; ``tell_refusals`` repeats it."""
        self._repeats_left = NEW_REFUSAL_REPEATS
        self._tell_refused_contents(self._repeats_left)

    def _tell_refused_contents(self, number: int) -> None:
        """Tell of the contents refused last; another ``number`` takes other agents."""
        refused = self._state.suspects.refused_contents()[:MAX_REFUSALS_PER_MESSAGE]
        if refused:
            contents = [(r.content, int(1000 * r.left_s), r.trials) for r in refused]
            message = RefusedContents(tuple(contents))
            self._send_to_entries(message, refused[0].content + number)

    def _announce_cleared_contents(self, contents: list[int]) -> None:
        cleared = ContentsCleared(tuple(contents[:MAX_FINGERPRINTS]))
        self._send_to_entries(cleared, contents[0])

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
        requests = _report_requests(suspects)
        size = MAX_REQUESTS_PER_REPORT
        for some in chunks(requests[: MAX_REPORTS_PER_CRASH * size], size):
            report = CrashReport(target_start, some)
            self._send_to_entries(report, some[0][0])

    def _announce_cleared(self, parts: list[int]) -> None:
        for some in chunks(parts, MAX_FINGERPRINTS):
            self._send_to_entries(PartsSurvived(some), some[0])

    def _announce_trial(self, parts: list[int]) -> None:
        for some in chunks(parts, MAX_FINGERPRINTS):
            self._send_to_entries(PartTrial(some), some[0])

    def _send_to_entries(self, message: Message, fingerprint: int) -> None:
        """Send a message through agents that answer, as far as there are enough."""
        now_s = self._clock.monotonic_s()
        answering = self._answering_hosts(now_s)
        relays = suspect_relays(self._state.agent_hosts(), fingerprint, answering)
        port = self._state.peer_port
        self._peers.send_all([SocketAddress(ip, port) for ip in relays], message)

    def _answering_hosts(self, now_s: float) -> set[str]:
        """Return the hosts whose agents have sent a state lately."""
        choice = self._state.choice
        return {
            record.ip
            for record in self._state.engine_targets()
            if now_s - choice.view(record.target_id).state_received_s
            <= choice.state_max_age_s
        }


def _report_requests(suspects: Iterable[RequestTraits]) -> list[tuple[int, ...]]:
    """Return the requests of a crash as a report has them, those with parts first.

    Parts identify a cause that other requests share. Each is named with one request; a
    request with many parts is named several times, with some of them each time.
    """
    requests: list[tuple[int, ...]] = []
    without_parts: list[tuple[int, ...]] = []
    named: set[int] = set()
    for traits in suspects:
        parts = [part for part in traits.parts if part not in named]
        named.update(parts)
        if not parts:
            without_parts.append((traits.content,))
        for some in chunks(parts, MAX_FINGERPRINTS - 1):
            requests.append((traits.content, *some))
    return requests + without_parts
