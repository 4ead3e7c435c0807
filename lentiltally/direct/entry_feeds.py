"""Decodes the records of the store's feeds: configuration and list of targets."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lentiltally.clock import Clock
from lentiltally.decisions.log_position import position_offset
from lentiltally.decisions.target_directory import DirectoryChange, TargetDirectory
from lentiltally.direct.feed_types import FeedRecord
from lentiltally.direct.model import AdapterNotice, DesiredState, TargetRecord
from lentiltally.errors import LentiltallyError

__all__ = ["ConfigurationDecoder", "ConfigurationFeed", "TargetFeed"]

_log = logging.getLogger(__name__)

ConfigurationDecoder = Callable[[str, bytes], DesiredState | AdapterNotice | None]
TargetDecoder = Callable[[str, bytes], TargetRecord]


class ConfigurationFeed:
    """Passes on desired states and announcements of adapter versions.

    ``is_newest_applied`` says whether the newest record of the desired state could be
    decoded and was passed on without an error.
    """

    def __init__(
        self,
        decode: ConfigurationDecoder,
        on_state: Callable[[DesiredState], object],
        on_notice: Callable[[AdapterNotice], object],
    ) -> None:
        """Call ``on_state`` or ``on_notice`` with each value that is decoded."""
        self._decode = decode
        self._on_state = on_state
        self._on_notice = on_notice
        # Offsets of the undecodable records that were logged last, by key.
        self._undecodable: dict[str, int] = {}
        self._state_key: str | None = None
        self.is_newest_applied = True

    def on_record(self, record: FeedRecord) -> None:
        """Decode one record; an undecodable one is logged once and ignored."""
        if record.key == self._state_key:
            self.is_newest_applied = False
        if record.value is None:
            return
        try:
            value = self._decode(record.key, record.value)
        except LentiltallyError as error:
            self._log_undecodable(record, error)
            return
        if isinstance(value, DesiredState):
            self._state_key = record.key
            self.is_newest_applied = False
            self._on_state(value)
            self.is_newest_applied = True
        elif isinstance(value, AdapterNotice):
            self._on_notice(value)

    def _log_undecodable(self, record: FeedRecord, error: LentiltallyError) -> None:
        # The newest record of a key is read again after each truncation.
        if self._undecodable.get(record.key) != record.offset:
            self._undecodable[record.key] = record.offset
            _log.warning(
                "undecodable configuration record ignored",
                extra={
                    "key": record.key,
                    "offset": position_offset(record.offset),
                    "error": str(error),
                },
            )

    def on_snapshot_keys(self, keys: set[str], end: int) -> None:
        """Keep the configuration, which is replaced but never removed.

        A store without a desired state has lost it, and the newest one is not known.
        """
        if self._state_key is not None and self._state_key not in keys:
            self.is_newest_applied = False

    def on_store_recovered(self) -> None:
        """Do nothing: an older version never replaces a newer one."""


class TargetFeed:
    """Applies the list of targets to a target directory."""

    def __init__(
        self,
        decode: TargetDecoder,
        directory: TargetDirectory,
        on_change: Callable[[DirectoryChange], None],
        clock: Clock,
    ) -> None:
        """Call ``on_change`` for each change of the directory."""
        self._decode = decode
        self._directory = directory
        self._on_change = on_change
        self._clock = clock
        self._undecodable: set[str] = set()

    def on_record(self, record: FeedRecord) -> None:
        """Apply one record; a target with an undecodable record gets no requests."""
        now_s = self._clock.monotonic_s()
        directory = self._directory
        if record.value is None:
            self._report(directory.removed(record.key, now_s))
            return
        try:
            target = self._decode(record.key, record.value)
        except LentiltallyError as error:
            self._mark_undecodable(record, error)
            return
        self._undecodable.discard(record.key)
        self._report(directory.updated(target))

    def on_snapshot_keys(self, keys: set[str], end: int) -> None:
        """Remove the targets that the complete list does not contain."""
        for change in self._directory.listed(keys, self._clock.monotonic_s()):
            self._report(change)

    def on_store_recovered(self) -> None:
        """Start the grace period for records that vanished during an outage."""
        self._directory.store_returned(self._clock.monotonic_s())

    def tick(self) -> None:
        """Remove targets whose records did not return within the grace period."""
        for change in self._directory.tick(self._clock.monotonic_s()):
            self._report(change)

    def _mark_undecodable(self, record: FeedRecord, error: LentiltallyError) -> None:
        """Stop using the target for now; log its undecodable record once."""
        self._directory.mark_unreadable(record.key)
        if record.key not in self._undecodable:
            self._undecodable.add(record.key)
            _log.warning(
                "undecodable target record ignored",
                extra={"target": record.key, "error": str(error)},
            )

    def _report(self, change: DirectoryChange | None) -> None:
        if change is not None:
            _log.info(
                "target changed",
                extra={
                    "target": change.target_id,
                    "what": change.kind,
                    "address": change.record.address,
                    "sequence": change.record.sequence,
                },
            )
            self._on_change(change)
