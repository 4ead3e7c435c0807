"""Keeps the proof of an entry's configuration recent: asks agents, or reads the store.

See docs/design/configuration-proof.md.
"""

from __future__ import annotations

import logging

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.log_position import (
    log_position,
    position_era,
    position_offset,
)
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.entry_feeds import ConfigurationFeed
from lentiltally.direct.entry_metrics import EntryMetrics
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.feed_types import EndRead
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.messages import ConfigurationConfirmed, ConfirmConfiguration
from lentiltally.direct.settings import SocketAddress

__all__ = ["ConfigurationClient"]

_log = logging.getLogger(__name__)


class ConfigurationClient:
    """Asks agents or reads the store when due, while client accounts are configured."""

    def __init__(
        self,
        state: EntryState,
        feed: KeyedFeed,
        listener: ConfigurationFeed,
        *,
        peers: MessageSender,
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        """Follow the reads of ``feed``, whose records ``listener`` receives."""
        self._state = state
        self._proof = state.configuration_proof
        self._feed = feed
        self._listener = listener
        self._peers = peers
        self._metrics = metrics
        self._clock = clock
        self._was_confirmed = True
        feed.on_end_read = self._read_reached_end

    @property
    def is_confirmed(self) -> bool:
        """Return whether requests that need a key may be served."""
        if not self._state.has_accounts:
            return True
        return self._proof.is_valid(elapsed_s(self._clock))

    def tick(self) -> None:
        """Ask agents or read the store if it is time to."""
        self._log_change()
        if not self._state.has_accounts:
            return
        now_s = elapsed_s(self._clock)
        if self._proof.is_read_due(now_s, self._feed.next_offset):
            self._feed.request_end_read()
        if not self._listener.is_newest_applied:
            # No answer could be proof.
            return
        agents = self._proof.agents_to_ask(now_s)
        if agents:
            self._peers.send_all(
                [SocketAddress(agent, self._state.peer_port) for agent in agents],
                ConfirmConfiguration(
                    self._proof.token(now_s), position_offset(self._feed.next_offset)
                ),
            )

    def agent_reported(self, agent: str, age_ms: int) -> None:
        """Note how long ago an agent says it has read the configuration."""
        self._proof.agent_reported(agent, age_ms / 1000, elapsed_s(self._clock))

    def answer_received(self, message: ConfigurationConfirmed, agent: str) -> None:
        """Apply an agent's answer."""
        own_position = self._feed.next_offset
        era = position_era(own_position) if message.era is None else message.era
        outcome = self._proof.confirmed(
            agent,
            message.token,
            message.age_ms / 1000,
            agent_offset=log_position(era, message.next_offset),
            own_offset=own_position,
            is_newest_applied=self._listener.is_newest_applied,
            now_s=elapsed_s(self._clock),
        )
        self._metrics.configuration_confirmed(outcome.value)

    def update_metrics(self) -> None:
        """Set the age of the proof, 0 while no request needs a key."""
        has_accounts = self._state.has_accounts
        age_s = self._proof.age_s(elapsed_s(self._clock)) if has_accounts else 0.0
        self._metrics.configuration_proof_age.set(age_s)

    def _read_reached_end(self, read: EndRead) -> None:
        self._proof.read_reached_end(
            read.sent_s, is_newest_applied=self._listener.is_newest_applied
        )

    def _log_change(self) -> None:
        is_confirmed = self.is_confirmed
        if is_confirmed == self._was_confirmed:
            return
        self._was_confirmed = is_confirmed
        if is_confirmed:
            _log.info("configuration confirmed again")
            return
        _log.warning(
            "configuration unconfirmed",
            extra={
                "age_s": round(self._proof.age_s(elapsed_s(self._clock)), 3),
                "next_offset": position_offset(self._feed.next_offset),
                "era": position_era(self._feed.next_offset),
                "newest_applied": self._listener.is_newest_applied,
                "store_down": self._feed.is_down,
            },
        )
