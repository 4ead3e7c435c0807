"""Publishes the state of an engine to the entries that subscribed to its agent."""

from __future__ import annotations

from collections.abc import Iterable

from lentiltally.decisions.engine_orders import EngineReport
from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.messages import EngineState, Message, adapter_key_hash
from lentiltally.direct.settings import SocketAddress

__all__ = ["StatePublisher"]

# Entries renew their subscription every second.
SUBSCRIPTION_TIMEOUT_S = 5.0
# A change of adapters is published at once, a change of the load alone at an interval.
# An unchanged state is repeated after a third of the age at which entries
# stop using it.
LOAD_INTERVAL_S = 0.1
REPEAT_INTERVAL_S = 0.5
# Entries see which adapters are evicted and so know which of them reload fast. The
# complete list at this interval makes up for lost datagrams.
CACHED_LIST_INTERVAL_S = 2.0


class StatePublisher:
    """Sends states to all subscribed entries, no more often than changes require."""

    def __init__(self, slots: EngineSlots, peers: MessageSender) -> None:
        """Start without subscriptions."""
        self._slots = slots
        self._peers = peers
        self._subscribed_at_s: dict[SocketAddress, float] = {}
        self._number = 0
        self._sent_adapters: tuple[object, ...] | None = None
        self._sent_load: tuple[int, ...] = ()
        self._sent_at_s = 0.0
        self._cached_sent_at_s: float | None = None

    def subscribe(self, entry: SocketAddress, now_s: float) -> bool:
        """Add or renew the subscription of an entry; return whether it is new.

        A new one makes the next state complete and due at once.
        """
        is_new = entry not in self._subscribed_at_s
        self._subscribed_at_s[entry] = now_s
        if is_new:
            self._sent_adapters = None
            self._cached_sent_at_s = None
        return is_new

    def forward(self, message: Message, sender: SocketAddress) -> None:
        """Forward a message of one entry to all other subscribed entries."""
        for entry in self._subscribed_at_s:
            if entry != sender:
                self._peers.send(entry, message)

    def publish(self, now_s: float) -> None:
        """Send the engine's state if it changed or is due to be repeated."""
        self._expire_subscriptions(now_s)
        report = self._slots.report
        if report is None:
            return
        loaded = tuple(self._slots.usable_keys())
        adapters = (report.started_ms, loaded, report.loading)
        load = self._load_values(report)
        if adapters == self._sent_adapters:
            pause_s = REPEAT_INTERVAL_S if load == self._sent_load else LOAD_INTERVAL_S
            if now_s - self._sent_at_s < pause_s:
                return
        self._sent_adapters, self._sent_load, self._sent_at_s = adapters, load, now_s
        state = self._new_state(report, loaded, now_s)
        for entry in self._subscribed_at_s:
            self._peers.send(entry, state)

    def _expire_subscriptions(self, now_s: float) -> None:
        for entry, subscribed_s in list(self._subscribed_at_s.items()):
            if now_s - subscribed_s > SUBSCRIPTION_TIMEOUT_S:
                del self._subscribed_at_s[entry]

    def _load_values(self, report: EngineReport) -> tuple[int, ...]:
        slots = self._slots
        return (
            report.running,
            report.waiting,
            slots.free_slots,
            slots.waiting_keys,
            slots.prompt_tokens,
        )

    def _new_state(
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
            loaded=_hashes(loaded),
            loading=_hashes(report.loading),
            cached=self._cached_list(now_s),
            free_slots=self._slots.free_slots,
            waiting_keys=self._slots.waiting_keys,
            entries=len(self._subscribed_at_s),
            prefill_tokens=self._slots.prompt_tokens,
        )

    def _cached_list(self, now_s: float) -> tuple[int, ...] | None:
        at_s = self._cached_sent_at_s
        if at_s is not None and now_s - at_s < CACHED_LIST_INTERVAL_S:
            return None
        self._cached_sent_at_s = now_s
        return _hashes(self._slots.cached_keys())


def _hashes(keys: Iterable[str]) -> tuple[int, ...]:
    return tuple(adapter_key_hash(key) for key in keys)
