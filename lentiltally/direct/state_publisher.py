"""Publishes the state of an engine to the entries that subscribed to its agent."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from lentiltally.decisions.engine_orders import EngineReport
from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.decisions.state_pacing import (
    MAX_INTERVAL_S,
    MIN_INTERVAL_S,
    StatePace,
)
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.messages import (
    EngineState,
    Message,
    StoreReport,
    adapter_key_hash,
)
from lentiltally.direct.settings import SocketAddress

__all__ = ["MAX_PERMIT_WAIT_S", "StatePublisher"]

# Entries renew their subscription every two seconds.
SUBSCRIPTION_TIMEOUT_S = 5.0
# Entries see which adapters are evicted and so know which of them reload fast. The
# complete list at this interval makes up for lost datagrams and for states that an
# entry was not sent.
CACHED_LIST_INTERVAL_S = 2.0
# The wait of an engine that takes nothing at all is without end.
MAX_PERMIT_WAIT_S = 60.0


@dataclass(slots=True)
class _Subscriber:
    """An entry, the pace that it asked for, and what it was sent last."""

    pace: StatePace
    renewed_at_s: float
    sent_at_s: float = -math.inf
    urgent: tuple[object, ...] | None = None
    load: tuple[int, ...] = ()
    cached_sent_at_s: float = -math.inf

    def is_due(
        self, urgent: tuple[object, ...], load: tuple[int, ...], now_s: float
    ) -> bool:
        """Return whether the entry is to be sent the present state."""
        pause_s = self.pace.pause_s(
            is_urgent=urgent != self.urgent, load_changed=load != self.load
        )
        return now_s - self.sent_at_s >= pause_s

    def is_list_due(self, now_s: float) -> bool:
        """Return whether the state must have the list of cached adapters."""
        return now_s - self.cached_sent_at_s >= CACHED_LIST_INTERVAL_S


class StatePublisher:
    """Sends states to subscribed entries, no more often than each of them asked for."""

    def __init__(self, slots: EngineSlots, peers: MessageSender) -> None:
        """Start without subscriptions."""
        self._slots = slots
        self._peers = peers
        self._subscribers: dict[SocketAddress, _Subscriber] = {}
        self._number = 0

    def subscribe(self, entry: SocketAddress, interval_s: float, now_s: float) -> bool:
        """Add or renew the subscription of an entry; return whether it is new.

        A new one gets a complete state with the next call of ``publish``.
        """
        pace = StatePace(min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, interval_s)))
        known = self._subscribers.get(entry)
        if known is None:
            self._subscribers[entry] = _Subscriber(pace, now_s)
            return True
        known.pace = pace
        known.renewed_at_s = now_s
        return False

    def forward(self, message: Message, sender: SocketAddress) -> None:
        """Forward a message of one entry to all other subscribed entries."""
        self._peers.send_all(
            [entry for entry in self._subscribers if entry != sender], message
        )

    def announce(self, message: Message) -> None:
        """Send a message of this agent to all subscribed entries."""
        self._peers.send_all(self._subscribers, message)

    def publish(self, store: StoreReport | None, now_s: float) -> None:
        """Send the engine's state to the entries to which it is due.

        ``store`` is sent along; news in it is as urgent as a change of adapters.
        """
        self._expire_subscriptions(now_s)
        report = self._slots.report
        if report is None:
            return
        loaded = tuple(self._slots.usable_keys())
        news = store and (store.config_changed_at, store.targets_changed_at)
        limit_per_s = self._slots.rate_limit_per_s
        urgent = (report.started_ms, loaded, report.loading, news, limit_per_s)
        load = self._load_values(report)
        with_list: list[SocketAddress] = []
        without_list: list[SocketAddress] = []
        for entry, subscriber in self._subscribers.items():
            if not subscriber.is_due(urgent, load, now_s):
                continue
            subscriber.urgent, subscriber.load = urgent, load
            subscriber.sent_at_s = now_s
            if subscriber.is_list_due(now_s):
                subscriber.cached_sent_at_s = now_s
                with_list.append(entry)
            else:
                without_list.append(entry)
        if not with_list and not without_list:
            return
        self._number += 1
        if with_list:
            cached = _hashes(self._slots.cached_keys())
            state = self._new_state(report, loaded, cached, store, now_s)
            self._peers.send_all(with_list, state)
        if without_list:
            state = self._new_state(report, loaded, None, store, now_s)
            self._peers.send_all(without_list, state)

    def _expire_subscriptions(self, now_s: float) -> None:
        for entry, subscriber in list(self._subscribers.items()):
            if now_s - subscriber.renewed_at_s > SUBSCRIPTION_TIMEOUT_S:
                del self._subscribers[entry]

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
        self,
        report: EngineReport,
        loaded: tuple[str, ...],
        cached: tuple[int, ...] | None,
        store: StoreReport | None,
        now_s: float,
    ) -> EngineState:
        permit_wait_s = min(MAX_PERMIT_WAIT_S, self._slots.permit_wait_s(now_s))
        return EngineState(
            started_ms=report.started_ms,
            number=self._number,
            running=report.running,
            waiting=report.waiting,
            cache_used=report.cache_used_tokens,
            cache_total=report.cache_total_tokens,
            loaded=_hashes(loaded),
            loading=_hashes(report.loading),
            cached=cached,
            free_slots=self._slots.free_slots,
            waiting_keys=self._slots.waiting_keys,
            entries=len(self._subscribers),
            prefill_tokens=self._slots.prompt_tokens,
            store=store,
            rate_limit_per_s=self._slots.rate_limit_per_s,
            permit_wait_ms=int(1000 * permit_wait_s),
            prefill_ns_per_token=self._slots.prefill_ns_per_token,
            arriving_tokens_per_s=self._slots.arriving_tokens_per_s(now_s),
        )


def _hashes(keys: Iterable[str]) -> tuple[int, ...]:
    return tuple(adapter_key_hash(key) for key in keys)
