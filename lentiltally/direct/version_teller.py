"""Tells entries what an agent knows that the store may have lost."""

from __future__ import annotations

import math

from lentiltally.decisions.engine_slots import EngineSlots
from lentiltally.decisions.lost_notices import LostNotices
from lentiltally.direct.agent_client import MessageSender
from lentiltally.direct.message_chunks import chunks
from lentiltally.direct.messages import MAX_NOTICES_PER_MESSAGE, KnownVersions
from lentiltally.direct.model import AdapterNotice
from lentiltally.direct.settings import SocketAddress
from lentiltally.direct.store_reader import StoreReader

__all__ = ["VersionTeller"]


class VersionTeller:
    """Keeps adapter versions that a restored store lacks, for entries that ask."""

    def __init__(
        self, reader: StoreReader, slots: EngineSlots, peers: MessageSender
    ) -> None:
        """Follow the reads of ``reader``; ``slots`` knows the adapter versions."""
        self._reader = reader
        self._slots = slots
        self._peers = peers
        self._lost = LostNotices()
        self._era: int | None = None
        reader.configuration.on_era = self._era_read

    def notice_read(self, notice: AdapterNotice) -> None:
        """Note a version that the store has."""
        self._lost.read(f"{notice.model}/{notice.adapter}", notice.version)

    def tell(self, entry: SocketAddress) -> None:
        """Answer an entry that asks."""
        version = self._reader.newest_version()
        settles_in_ms = math.ceil(1000 * self._reader.settles_in_s())
        notices = list(chunks(self._lost.all(), MAX_NOTICES_PER_MESSAGE))
        for some in notices or [()]:
            self._peers.send(entry, KnownVersions(version, settles_in_ms, some))

    def _era_read(self, era: int) -> None:
        """Note the era of the newest records, which are processed after this."""
        if self._era is not None and era > self._era:
            self._lost.store_restored(self._slots.newest_versions)
        self._era = era
