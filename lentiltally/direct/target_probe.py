"""Finds out at once whether a target whose connection was lost has ended.

A lost connection alone is no sign of an end: targets also reset connections that they
do not want. The list of targets tells of an end seconds later, and only some targets
have an agent that tells of it sooner.
"""

from __future__ import annotations

import asyncio

from lentiltally.direct.entry_state import EntryState
from lentiltally.direct.http_connection import ConnectError
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.target_pool import TargetPool

__all__ = ["TargetProbe"]

# A host that is up answers within a round trip, also if nothing listens there.
PROBE_TIMEOUT_S = 0.1


class TargetProbe:
    """Connects to targets that have lost a connection; one probe a target at a time."""

    def __init__(self, pool: TargetPool, state: EntryState) -> None:
        """Probe with connections that the pool keeps for later requests."""
        self._pool = pool
        self._state = state
        self._probes: dict[str, asyncio.Task[None]] = {}

    def begin(self, record: TargetRecord) -> None:
        """Probe a target, unless its end is known or a probe is under way."""
        has_ended = self._state.suspects.has_ended(record.target_id, record.started_ms)
        if has_ended or record.target_id in self._probes:
            return
        task = asyncio.ensure_future(self._probe(record))
        self._probes[record.target_id] = task
        task.add_done_callback(lambda _: self._probes.pop(record.target_id, None))

    async def settled(self, record: TargetRecord) -> None:
        """Wait for the probe of a target that is under way, if there is one."""
        probe = self._probes.get(record.target_id)
        if probe is not None:
            await asyncio.wait({probe})

    async def _probe(self, record: TargetRecord) -> None:
        try:
            await self._pool.add(record, PROBE_TIMEOUT_S)
        except ConnectError as error:
            if error.is_refused:
                self._state.connection_refused(record)
