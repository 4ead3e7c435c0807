"""Holds the adapter of one request at an engine while the request is there."""

from __future__ import annotations

from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.adapter_requests import AdapterGrant
from lentiltally.direct.forwarding import Forwarding
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.request import CallerRequest
from lentiltally.direct.settings import SocketAddress

__all__ = ["AdapterHold"]


class AdapterHold:
    """Asks agents for the adapter of one request, and releases it again."""

    def __init__(
        self, forwarding: Forwarding, request: CallerRequest, rank: int
    ) -> None:
        """Hold adapters for a request of the given rank."""
        self._forwarding = forwarding
        self._state = forwarding.state
        self._request = request
        self._rank = rank

    async def hold(
        self, candidate: Candidate, left_s: float, objective_left_s: float
    ) -> AdapterGrant | None:
        """Ask the agent to hold the adapter; None where no agent is concerned."""
        adapter = self._request.adapter
        if adapter is None or candidate.residency == "held before":
            # With a gone agent, the engine itself refuses if it dropped the adapter.
            return None
        settings = self._forwarding.settings
        newest = self._state.newest_version(adapter.key)
        grant = await self._forwarding.adapters.require(
            self._agent(candidate.record),
            self._request.request_id,
            adapter,
            rank=self._rank,
            prompt_tokens=self._request.prompt_tokens,
            objective_left_s=objective_left_s,
            newest_version=newest[0] if newest is not None else 0,
            patience_s=min(settings.max_hold_s, settings.hold_share * left_s),
            left_s=left_s,
        )
        if grant.is_silent and not adapter.adapter:
            # A base model needs no order, so the agent is not missed.
            return None
        newest = self._state.newest_version(adapter.key)
        is_older = newest is not None and grant.version < newest[0]
        if grant.is_granted and is_older and self._is_version_due(adapter.key):
            return AdapterGrant(False, reason="older version")
        return grant

    def prompt_read(self, record: TargetRecord) -> None:
        """Tell the agent that the answer began, so another prompt may be read."""
        if self._request.adapter is not None:
            agent = self._agent(record)
            self._forwarding.adapters.prompt_read(agent, self._request.request_id)

    def release(self, record: TargetRecord) -> None:
        """Tell the agent that the request no longer needs the adapter."""
        if self._request.adapter is not None:
            agent = self._agent(record)
            self._forwarding.adapters.release(agent, self._request.request_id)

    def expected_version(self, grant: AdapterGrant | None) -> int | None:
        """Return the version that the target must check, where no agent did."""
        adapter = self._request.adapter
        if grant is not None or adapter is None or not adapter.adapter:
            return None
        newest = self._state.newest_version(adapter.key)
        is_due = newest is not None and self._is_version_due(adapter.key)
        return newest[0] if newest is not None and is_due else None

    def _is_version_due(self, key: str) -> bool:
        """Return whether the newest version is known for so long that it must run."""
        newest = self._state.newest_version(key)
        bound_s = self._state.bounds.adapter_version_s
        due_s = self._forwarding.settings.version_share * bound_s
        return newest is not None and newest[1] > due_s

    def _agent(self, record: TargetRecord) -> SocketAddress:
        ip = record.address.rpartition(":")[0]
        return SocketAddress(ip, self._state.peer_port)
