"""Reads the store for an agent, in turn with the agents of the other engines."""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Container
from dataclasses import dataclass, replace

from lentiltally.clock import Clock, elapsed_s
from lentiltally.decisions.log_position import position_era, position_offset
from lentiltally.decisions.peer_versions import RETENTION_S, agent_settle_s
from lentiltally.decisions.shared_reads import turn_interval_s
from lentiltally.decisions.target_directory import DirectoryChange, TargetDirectory
from lentiltally.direct.entry_feeds import (
    ConfigurationFeed,
    TargetDecoder,
    TargetFeed,
)
from lentiltally.direct.feed_types import FeedRecord, KeyedTopic
from lentiltally.direct.keyed_feed import KeyedFeed
from lentiltally.direct.messages import (
    ConfigurationConfirmed,
    ConfirmConfiguration,
    StoreReport,
)
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.settings import HostSettings

__all__ = ["StoreReader", "StoreTopics"]

_log = logging.getLogger(__name__)

# An agent without a desired state reads the configuration at this interval.
FIRST_READ_INTERVAL_S = 1.0
# Minimum interval between reads because entries know a newer configuration.
REQUESTED_READ_INTERVAL_S = 0.5
# While the start of the agent's engine is not in the list, it is read at this interval.
UNLISTED_INTERVAL_S = 0.5
# A silent engine's record lapses within this time if it has ended. The agent reads the
# list more often meanwhile, because it loses the rights that it holds with the record.
SILENT_ENGINE_S = 10.0
SILENT_ENGINE_INTERVAL_S = 0.5
# The turns of different agents must not fall together.
TURN_JITTER = 0.25
OUTAGE_REPORT_S = 2.0
# Both clocks are read one after the other, so a difference of less may be none.
MIN_SUSPENSION_S = 0.1
# A read that is older proves nothing that an entry can use.
MAX_CONFIRMED_AGE_S = 60.0


class _TargetNews:
    """Applies records of the list of targets, and notes where they change it.

    Agents read the same records at different times. News is therefore told by the
    offset of the record that brings it: it is no news to an entry that has read it.
    What changes the list without a record that can be named may be news to every entry
    that has not read as far as this agent.
    """

    def __init__(
        self, decode: TargetDecoder, directory: TargetDirectory, clock: Clock
    ) -> None:
        """Apply the records to ``directory``."""
        self._directory = directory
        self._clock = clock
        self._feed = TargetFeed(decode, directory, self._changed, clock)
        self._has_changed = False
        self._has_list = False
        self.changed_at = -1
        self.outage_ended_at_s: float | None = None

    def on_record(self, record: FeedRecord) -> None:
        """Apply one record; a change of anything but the sequence is news."""
        before = self._view(record.key)
        self._feed.on_record(record)
        if self._has_list and self._view(record.key) != before:
            self._tell(record.offset)

    def on_snapshot_keys(self, keys: set[str], end: int) -> None:
        """Remove the targets that the complete list does not contain.

        The records that removed them may have been deleted. The first list is news as a
        whole: an agent that has just started can't tell what entries know of it.
        """
        has_vanished = any(r.target_id not in keys for r in self._directory.all())
        self._feed.on_snapshot_keys(keys, end)
        if has_vanished or not self._has_list:
            self._has_list = True
            self._tell(end - 1)

    def on_store_recovered(self) -> None:
        """Note the end of an outage, in which records may have vanished."""
        self.outage_ended_at_s = self._clock.monotonic_s()
        self._feed.on_store_recovered()

    def tick(self, next_offset: int) -> None:
        """Remove targets whose records did not return within the grace period.

        ``next_offset`` is that of the first record which has not been read.
        """
        self._has_changed = False
        self._feed.tick()
        if self._has_changed:
            self._tell(next_offset - 1)

    def _view(self, target_id: str) -> tuple[TargetRecord | None, bool, bool, bool]:
        """Return what requests depend on; neither sequence nor time is part of it."""
        directory = self._directory
        record = directory.get(target_id)
        if record is None:
            return None, False, False, False
        return (
            replace(record, sequence=0, slow_start_left_s=0.0),
            record.slow_start_left_s > 0.0,
            directory.is_usable(target_id),
            directory.is_missing(target_id),
        )

    def _tell(self, offset: int) -> None:
        self.changed_at = max(self.changed_at, offset)

    def _changed(self, change: DirectoryChange) -> None:
        del change
        self._has_changed = True


@dataclass(frozen=True, slots=True)
class StoreTopics:
    """The topics that an agent reads."""

    configuration: KeyedTopic
    targets: KeyedTopic


class StoreReader:
    """Follows the configuration and the list of targets on behalf of all entries."""

    def __init__(
        self,
        topics: StoreTopics,
        listener: ConfigurationFeed,
        decode_target: TargetDecoder,
        settings: HostSettings,
        service: str,
        *,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Pass the configuration to ``listener``.

        ``service`` is the service of the agent's engine.
        """
        self._clock = clock
        self._rng = rng
        bounds = settings.bounds
        self._bound_s = min(bounds.configuration_s, bounds.leaving_s)
        self._ip = settings.ip
        self._service = service
        self._directory = TargetDirectory()
        self._news = _TargetNews(decode_target, self._directory, clock)
        self._known_version = 0
        # The newest version that an entry has named, and when one did last.
        self._heard_version = 0
        self._heard_at_s = -math.inf
        self._next_requested_read_s = -math.inf
        self._settling_since_s = clock.monotonic_s()
        self._started_ms: int | None = None
        self._suspended_s = clock.suspended_s()
        self._suspended_at_s = -math.inf
        # Since when the agent's engine does not answer, None while it does.
        self.engine_silent_since_s: float | None = None
        self.configuration = KeyedFeed(
            "configuration",
            topics.configuration,
            listener,
            clock,
            pause_s=self._configuration_pause_s,
            wait_s=0.0,
        )
        self.targets = KeyedFeed(
            "targets",
            topics.targets,
            self._news,
            clock,
            pause_s=self._targets_pause_s,
            wait_s=0.0,
        )

    def version_applied(self, version: int) -> None:
        """Note the version of the desired state that the agent has applied."""
        self._known_version = version

    def version_seen(self, version: int) -> None:
        """Note the version that an entry knows; read if it is newer."""
        now_s = self._clock.monotonic_s()
        if version >= self._recent_heard_version(now_s):
            self._heard_version, self._heard_at_s = version, now_s
        if version > self._known_version and now_s >= self._next_requested_read_s:
            # A store that has lost the version is asked again and again meanwhile.
            self._next_requested_read_s = now_s + REQUESTED_READ_INTERVAL_S
            self.configuration.request_read()

    def newest_version(self) -> int:
        """Return the newest version of the desired state that is known, 0 if none.

        An entry may know one that the store has lost.
        """
        heard = self._recent_heard_version(self._clock.monotonic_s())
        return max(self._known_version, heard)

    def settles_in_s(self) -> float:
        """Return how long until all entries have told the agent what they know."""
        engines = self._directory.usable(self._service) or self._directory.all()
        until_s = self._settling_since_s + agent_settle_s(len(engines))
        return max(0.0, until_s - self._clock.monotonic_s())

    def _recent_heard_version(self, now_s: float) -> int:
        is_recent = now_s - self._heard_at_s < RETENTION_S
        return self._heard_version if is_recent else 0

    def engine_started(self, started_ms: int) -> None:
        """Read the list until it contains the engine's present start."""
        if started_ms != self._started_ms:
            self._started_ms = started_ms
            self.targets.request_read()

    def hosts_of(self, services: Container[str]) -> set[str]:
        """Return the hosts of the listed targets of some services."""
        records = self._directory.all()
        return {record.ip for record in records if record.service in services}

    def report(self, now_s: float) -> StoreReport | None:
        """Return what was read, None before the first read.

        After a suspension the ages of the reads before it are not known, so both topics
        are read again first.
        """
        self._note_suspension(now_s)
        feeds = (self.configuration, self.targets)
        if not all(feed.is_current for feed in feeds):
            return None
        self._news.tick(self.targets.next_offset)
        if any(feed.last_read_at_s < self._suspended_at_s for feed in feeds):
            return None
        config_changed_at = self.configuration.next_offset - 1
        targets_changed_at = self._news.changed_at
        return StoreReport(
            position_offset(config_changed_at),
            _age_ms(self.configuration.last_read_at_s, now_s),
            position_offset(targets_changed_at),
            _age_ms(self.targets.last_read_at_s, now_s),
            self._outage_ended_ms(now_s),
            position_era(config_changed_at),
            position_era(targets_changed_at),
            self.newest_version(),
        )

    def confirmation(
        self, question: ConfirmConfiguration
    ) -> ConfigurationConfirmed | None:
        """Return the answer to an entry's question, None if no read can be vouched for.

        The age is rounded up. It is not known well enough if the host was suspended
        since the read was sent.
        """
        read = self.configuration.end_read
        if read is None:
            return None
        if abs(self._clock.suspended_s() - read.suspended_s) > MIN_SUSPENSION_S:
            return None
        age_s = elapsed_s(self._clock) - read.sent_s
        if not 0.0 <= age_s <= MAX_CONFIRMED_AGE_S:
            return None
        return ConfigurationConfirmed(
            question.token,
            position_offset(read.next_offset),
            math.ceil(age_s * 1000),
            position_era(read.next_offset),
        )

    def _note_suspension(self, now_s: float) -> None:
        suspended_s = self._clock.suspended_s()
        if suspended_s - self._suspended_s > MIN_SUSPENSION_S:
            self._suspended_at_s = self._settling_since_s = now_s
            self.configuration.request_read()
            self.targets.request_read()
            _log.info(
                "host was suspended",
                extra={"suspended_s": round(suspended_s - self._suspended_s, 3)},
            )
        self._suspended_s = suspended_s

    def _outage_ended_ms(self, now_s: float) -> int:
        at_s = self._news.outage_ended_at_s
        if at_s is None or now_s - at_s > OUTAGE_REPORT_S:
            return -1
        return _age_ms(at_s, now_s)

    def _turn_s(self) -> float:
        """Return the pause to the agent's next turn; each engine has an agent."""
        engines = self._directory.usable(self._service) or self._directory.all()
        jitter = 1.0 + TURN_JITTER * (2.0 * self._rng.random() - 1.0)
        return turn_interval_s(len(engines), self._bound_s) * jitter

    def _configuration_pause_s(self) -> float:
        return self._turn_s() if self._known_version else FIRST_READ_INTERVAL_S

    def _targets_pause_s(self) -> float:
        if not self._is_engine_listed():
            return UNLISTED_INTERVAL_S
        return SILENT_ENGINE_INTERVAL_S if self._has_gone_silent() else self._turn_s()

    def _has_gone_silent(self) -> bool:
        silent_since_s = self.engine_silent_since_s
        if silent_since_s is None:
            return False
        return self._clock.monotonic_s() - silent_since_s < SILENT_ENGINE_S

    def _is_engine_listed(self) -> bool:
        if self._started_ms is None:
            return True
        target_id = self._directory.find_at_host(self._ip, self._started_ms)
        record = None if target_id is None else self._directory.get(target_id)
        return record is not None and record.started_ms == self._started_ms


def _age_ms(at_s: float, now_s: float) -> int:
    return max(0, int((now_s - at_s) * 1000))
