"""Keeps the proof of an entry's configuration recent: asks agents, or reads the store.

See docs/design/configuration-proof.md.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

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
from lentiltally.direct.messages import (
    ConfigurationConfirmed,
    ConfirmConfiguration,
    KnownVersions,
)
from lentiltally.direct.model import AdapterNotice
from lentiltally.direct.settings import SocketAddress
from lentiltally.direct.state_subscriber import StateSubscriber

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
        subscriber: StateSubscriber,
        are_targets_known: Callable[[], bool],
        metrics: EntryMetrics,
        clock: Clock,
    ) -> None:
        """Follow the reads of ``feed``, whose records ``listener`` receives.

        ``are_targets_known`` returns whether the list of targets was read, which names
        the agents.
        """
        self._state = state
        self._proof = state.configuration_proof
        self._feed = feed
        self._listener = listener
        self._peers = peers
        self._subscriber = subscriber
        self._are_targets_known = are_targets_known
        self._peer_versions = state.peer_versions
        self._peer_versions.started()
        self._era: int | None = None
        self._metrics = metrics
        self._clock = clock
        # None before the first proof.
        self._was_confirmed: bool | None = None
        feed.on_end_read = self._read_reached_end
        feed.on_era = self._era_read

    @property
    def is_confirmed(self) -> bool:
        """Return whether requests may be served, also those that need a key."""
        if not self._peer_versions.is_usable:
            return False
        if not self._state.has_accounts:
            return True
        return self._proof.is_valid(elapsed_s(self._clock))

    def tick(self) -> None:
        """Ask agents or read the store if it is time to."""
        now_s = elapsed_s(self._clock)
        self._check_peers(now_s)
        self._log_change()
        if not self._state.has_accounts:
            return
        if self._proof.is_read_due(now_s, self._feed.next_offset):
            self._feed.request_end_read()
        if not self._can_prove(now_s):
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

    def version_named(self, version: int) -> None:
        """Note the newest version of the desired state that an agent knows."""
        self._peer_versions.named(version, elapsed_s(self._clock))

    def versions_received(self, message: KnownVersions, agent: str) -> None:
        """Apply what an agent knows that the store may have lost."""
        self._peer_versions.answered(
            agent,
            message.config_version,
            message.settles_in_ms / 1000,
            elapsed_s(self._clock),
        )
        for key, version in message.notices:
            model, _, adapter = key.partition("/")
            self._state.version_announced(AdapterNotice(model, adapter, version))

    def answer_received(self, message: ConfigurationConfirmed, agent: str) -> None:
        """Apply an agent's answer."""
        now_s = elapsed_s(self._clock)
        own_position = self._feed.next_offset
        era = position_era(own_position) if message.era is None else message.era
        outcome = self._proof.confirmed(
            agent,
            message.token,
            message.age_ms / 1000,
            agent_offset=log_position(era, message.next_offset),
            own_offset=own_position,
            is_newest_applied=self._can_prove(now_s),
            now_s=now_s,
        )
        self._metrics.configuration_confirmed(outcome.value)

    def update_metrics(self) -> None:
        """Set the age of the proof, 0 while no request needs a key."""
        has_accounts = self._state.has_accounts
        age_s = self._proof.age_s(elapsed_s(self._clock)) if has_accounts else 0.0
        self._metrics.configuration_proof_age.set(age_s)

    def _era_read(self, era: int) -> None:
        """Begin a check if the store has come back from a copy.

        The era rises with each restore, so there was none before the first one.
        """
        if self._era is None and era == 0:
            self._peer_versions.never_restored()
        elif self._era is not None and era > self._era:
            self._peer_versions.restored()
        self._era = era

    def _check_peers(self, now_s: float) -> None:
        """Ask agents what the store may have lost, and judge by what they know."""
        versions = self._peer_versions
        if self._state.table is not None and self._are_targets_known():
            agents = versions.agents_to_ask(self._state.agent_hosts(), now_s)
            if agents:
                self._subscriber.ask_versions(agents)
        was_settled = versions.is_settled
        self._judge_versions(now_s)
        read = self._feed.end_read
        if versions.is_settled and not was_settled and read is not None:
            # What it found is confirmed now.
            self._read_reached_end(read)

    def _judge_versions(self, now_s: float) -> None:
        read = self._feed.end_read
        versions = self._peer_versions
        was_usable = versions.is_usable
        versions.judge(
            self._state.config_version,
            -math.inf if read is None else read.sent_s,
            now_s,
            is_newest_applied=self._listener.is_newest_applied,
        )
        if versions.is_usable != was_usable:
            _log.info(
                "configuration usable"
                if versions.is_usable
                else "configuration lost by the store",
                extra={
                    "config_version": self._state.config_version,
                    "known_version": versions.newest(now_s),
                },
            )

    def _can_prove(self, now_s: float) -> bool:
        """Return whether a read that reached the end proves what is in force."""
        return self._listener.is_newest_applied and self._peer_versions.is_proof(
            self._state.config_version, now_s
        )

    def _read_reached_end(self, read: EndRead) -> None:
        now_s = elapsed_s(self._clock)
        self._proof.read_reached_end(
            read.sent_s, is_newest_applied=self._can_prove(now_s)
        )
        self._judge_versions(now_s)

    def _log_change(self) -> None:
        """Log when the proof lapses or comes back; the first one is no news."""
        is_confirmed, was_confirmed = self.is_confirmed, self._was_confirmed
        if is_confirmed == was_confirmed or not (is_confirmed or was_confirmed):
            return
        self._was_confirmed = is_confirmed
        if was_confirmed is None:
            return
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
