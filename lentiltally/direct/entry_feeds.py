"""Takes desired state, version notices and targets from the store's feeds."""

from __future__ import annotations

import logging
from collections.abc import Callable

from lentiltally.clock import Clock
from lentiltally.decisions.target_directory import DirectoryChange
from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.keyed_feed import FeedRecord
from lentiltally.direct.model import AdapterNotice, DesiredState, TargetRecord
from lentiltally.errors import LentiltallyError

__all__ = ["ConfigurationDecoder", "ConfigurationFeed", "TargetFeed"]

_log = logging.getLogger(__name__)

ConfigurationDecoder = Callable[[str, bytes], DesiredState | AdapterNotice | None]
TargetDecoder = Callable[[str, bytes], TargetRecord]


class ConfigurationFeed:
    """Hands desired states and version notices to their users."""

    def __init__(
        self,
        decode: ConfigurationDecoder,
        on_state: Callable[[DesiredState], object],
        on_notice: Callable[[AdapterNotice], object],
    ) -> None:
        """Take the decoder of the topic's records and what gets the values."""
        self._decode = decode
        self._on_state = on_state
        self._on_notice = on_notice

    def feed_record(self, record: FeedRecord) -> None:
        """Decode one record; unreadable ones are logged and change nothing."""
        if record.value is None:
            return
        try:
            value = self._decode(record.key, record.value)
        except LentiltallyError as error:
            _log.warning(
                "record ignored",
                extra={"key": record.key, "offset": record.offset, "error": str(error)},
            )
            return
        if isinstance(value, DesiredState):
            self._on_state(value)
        elif isinstance(value, AdapterNotice):
            self._on_notice(value)

    def feed_listed(self, keys: set[str]) -> None:
        """Do nothing: configuration is replaced, never removed."""

    def feed_returned(self) -> None:
        """Do nothing: versions order themselves."""


class TargetFeed:
    """Keeps the directory of targets."""

    def __init__(
        self,
        decode: TargetDecoder,
        state: EntryState,
        on_change: Callable[[DirectoryChange], None],
        clock: Clock,
    ) -> None:
        """Take the decoder and what is told of changes."""
        self._decode = decode
        self._state = state
        self._on_change = on_change
        self._clock = clock
        self._unreadable: set[str] = set()

    def feed_record(self, record: FeedRecord) -> None:
        """Take one entry of the list; an unreadable one names no target to use."""
        now_s = self._clock.monotonic_s()
        directory = self._state.directory
        if record.value is None:
            self._tell(directory.removed(record.key, now_s))
            return
        try:
            target = self._decode(record.key, record.value)
        except LentiltallyError as error:
            self._ignore(record, error)
            return
        self._unreadable.discard(record.key)
        self._tell(directory.updated(target))

    def feed_listed(self, keys: set[str]) -> None:
        """Remove what the complete list no longer names."""
        for change in self._state.directory.listed(keys, self._clock.monotonic_s()):
            self._tell(change)

    def feed_returned(self) -> None:
        """Give entries that vanished during the outage time to come back."""
        self._state.directory.store_returned(self._clock.monotonic_s())

    def tick(self) -> None:
        """Remove what did not come back in time."""
        for change in self._state.directory.tick(self._clock.monotonic_s()):
            self._tell(change)

    def _ignore(self, record: FeedRecord, error: LentiltallyError) -> None:
        """Use the target no more for now, and log an unreadable entry once."""
        self._state.directory.mark_unreadable(record.key)
        if record.key not in self._unreadable:
            self._unreadable.add(record.key)
            _log.warning(
                "target entry ignored",
                extra={"target": record.key, "error": str(error)},
            )

    def _tell(self, change: DirectoryChange | None) -> None:
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
