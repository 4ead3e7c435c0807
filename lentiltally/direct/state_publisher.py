"""Tells the entries that greet an agent what the agent knows of its engine."""

from __future__ import annotations

from collections.abc import Iterable

from lentiltally.decisions.engine_orders import EngineReport
from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.messages import EngineState, Message, adapter_key_hash
from lentiltally.direct.settings import SocketAddress

__all__ = ["StatePublisher"]

# An entry greets each second; without a word for this long it is gone.
ENTRY_FORGOTTEN_S = 5.0
# States go out at once when adapters change. If only the load changes they are this far
# apart, and if nothing does, a third of the age at which entries stop using them.
LOAD_CHANGE_S = 0.1
UNCHANGED_S = 0.5
# Entries see which adapters leave an engine and know by that which of them load fast.
# The whole list corrects what a lost datagram hid.
RECENT_LIST_S = 2.0


class StatePublisher:
    """Sends states to all entries that greeted lately, as rarely as changes allow."""

    def __init__(self, slots: EngineSlots, peers: MessageSender) -> None:
        """Start without entries."""
        self._slots = slots
        self._peers = peers
        self._entries: dict[SocketAddress, float] = {}
        self._number = 0
        self._adapters: tuple[object, ...] | None = None
        self._load: tuple[int, ...] = ()
        self._sent_at_s = 0.0
        self._recent_at_s: float | None = None

    def greeted(self, entry: SocketAddress, now_s: float) -> bool:
        """Note an entry's greeting; return whether the entry is new."""
        is_new = entry not in self._entries
        self._entries[entry] = now_s
        if is_new:
            self._adapters = None
            self._recent_at_s = None
        return is_new

    def pass_on(self, message: Message, sender: SocketAddress) -> None:
        """Send a message of one entry to all others."""
        for entry in self._entries:
            if entry != sender:
                self._peers.send(entry, message)

    def publish(self, now_s: float) -> None:
        """Tell the entries if something changed or the last state is old."""
        self._forget_silent(now_s)
        report = self._slots.report
        if report is None:
            return
        loaded = tuple(self._slots.usable_keys())
        adapters = (report.started_ms, loaded, report.coming)
        load = self._load_of(report)
        if adapters == self._adapters:
            pause_s = UNCHANGED_S if load == self._load else LOAD_CHANGE_S
            if now_s - self._sent_at_s < pause_s:
                return
        self._adapters, self._load, self._sent_at_s = adapters, load, now_s
        state = self._state(report, loaded, now_s)
        for entry in self._entries:
            self._peers.send(entry, state)

    def _forget_silent(self, now_s: float) -> None:
        for entry, heard_s in list(self._entries.items()):
            if now_s - heard_s > ENTRY_FORGOTTEN_S:
                del self._entries[entry]

    def _load_of(self, report: EngineReport) -> tuple[int, ...]:
        slots = self._slots
        return (
            report.running,
            report.waiting,
            slots.free_slots,
            slots.waiting_keys,
            slots.prompt_tokens,
        )

    def _state(
        self, report: EngineReport, loaded: tuple[str, ...], now_s: float
    ) -> EngineState:
        self._number += 1
        return EngineState(
            started_ms=report.started_ms,
            number=self._number,
            running=report.running,
            waiting=report.waiting,
            cache_used=report.cache_used_tokens,
            cache_total=report.cache_total_tokens,
            loaded=_marks(loaded),
            loading=_marks(report.coming),
            cached=self._recent(now_s),
            free_slots=self._slots.free_slots,
            waiting_keys=self._slots.waiting_keys,
            entries=len(self._entries),
            prefill_tokens=self._slots.prompt_tokens,
        )

    def _recent(self, now_s: float) -> tuple[int, ...] | None:
        at_s = self._recent_at_s
        if at_s is not None and now_s - at_s < RECENT_LIST_S:
            return None
        self._recent_at_s = now_s
        return _marks(self._slots.recent_keys())


def _marks(keys: Iterable[str]) -> tuple[int, ...]:
    return tuple(adapter_key_hash(key) for key in keys)
