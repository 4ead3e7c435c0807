"""Keeps an entry subscribed to the states of all engines."""

from __future__ import annotations

import random
from collections.abc import Iterable

from lentiltally.clock import Clock
from lentiltally.decisions.state_pacing import StatePace, state_interval_s
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.messages import StateSubscription
from lentiltally.direct.settings import SocketAddress

__all__ = ["StateSubscriber"]

# Agents drop a subscription after five seconds without a renewal. Renewals of one entry
# are spread over the last quarter of the interval.
RENEWAL_INTERVAL_S = 2.0
RENEWAL_JITTER = 0.25


class StateSubscriber:
    """Subscribes to the agents of all engines, more often where no state arrives."""

    def __init__(
        self,
        name: str,
        state: EntryState,
        peers: MessageSender,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Start without subscriptions; ``name`` is the name of the entry."""
        self._name = name
        self._state = state
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._started_s = clock.monotonic_s()
        self._renew_at_s: dict[str, float] = {}

    def renew(self) -> None:
        """Send the subscriptions that are due."""
        now_s = self._clock.monotonic_s()
        engines = self._state.engine_targets()
        pace = StatePace(state_interval_s(len(engines)))
        self._state.choice.state_max_age_s = pace.max_age_s
        due = [
            record
            for record in engines
            if now_s >= self._renew_at_s.get(record.target_id, 0.0)
            or now_s - self._state.choice.view(record.target_id).state_received_s
            > pace.overdue_s
        ]
        known = self._renew_at_s
        self._renew_at_s = {
            r.target_id: known[r.target_id] for r in engines if r.target_id in known
        }
        for record in due:
            self._renew_at_s[record.target_id] = now_s + self._renewal_interval_s()
        self._peers.send_all(
            [self._agent(record.ip) for record in due], self._subscription(pace)
        )

    def ask_versions(self, agents: Iterable[str]) -> None:
        """Ask the agents at some hosts what the store may have lost."""
        pace = StatePace(state_interval_s(len(self._state.engine_targets())))
        question = self._subscription(pace, asks_versions=True)
        self._peers.send_all([self._agent(ip) for ip in agents], question)

    def _subscription(
        self, pace: StatePace, *, asks_versions: bool = False
    ) -> StateSubscription:
        return StateSubscription(
            self._name,
            int(pace.interval_s * 1000),
            self._state.config_version,
            int((self._clock.monotonic_s() - self._started_s) * 1000),
            asks_versions,
        )

    def _renewal_interval_s(self) -> float:
        return RENEWAL_INTERVAL_S * (1.0 - RENEWAL_JITTER * self._rng.random())

    def _agent(self, ip: str) -> SocketAddress:
        return SocketAddress(ip, self._state.peer_port)
