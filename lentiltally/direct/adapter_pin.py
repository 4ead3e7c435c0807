"""Pins the adapter of one request on an engine while the request runs there."""

from __future__ import annotations

from lentiltally.decisions.target_choice import Candidate
from lentiltally.direct.agent_client import AcquireResult
from lentiltally.direct.forwarding import ForwardingContext
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.request import CallerRequest
from lentiltally.direct.settings import SocketAddress

__all__ = ["AdapterPin"]


class AdapterPin:
    """Acquires the adapter of one request from agents and releases it again."""

    def __init__(
        self, context: ForwardingContext, request: CallerRequest, rank: int
    ) -> None:
        """Pin adapters for a request of the given priority rank."""
        self._context = context
        self._state = context.state
        self._request = request
        self._rank = rank

    async def acquire(
        self, candidate: Candidate, left_s: float, objective_left_s: float
    ) -> AcquireResult | None:
        """Ask the candidate's agent to pin the adapter.

        Returns None if the request may be sent without an agent's answer.
        """
        adapter = self._request.adapter
        if adapter is None or candidate.residency == "held before":
            # The agent has published no state lately. The adapter was loaded before,
            # and the engine itself rejects the request if it has unloaded it since.
            return None
        settings = self._context.settings
        newest = self._state.newest_version(adapter.key)
        result = await self._context.agents.acquire(
            self._agent(candidate.record),
            self._request.request_id,
            adapter,
            rank=self._rank,
            prompt_tokens=self._request.prompt_tokens,
            objective_left_s=objective_left_s,
            newest_version=newest[0] if newest is not None else 0,
            max_wait_s=min(
                settings.max_acquire_wait_s, settings.acquire_wait_share * left_s
            ),
            left_s=left_s,
        )
        if result.is_timed_out and not adapter.adapter:
            # A base model needs no load order, so the request can go without the agent.
            return None
        newest = self._state.newest_version(adapter.key)
        is_older = newest is not None and result.version < newest[0]
        if result.is_granted and is_older and self._is_version_due(adapter.key):
            return AcquireResult(False, reason="older version")
        return result

    def prefill_finished(self, record: TargetRecord) -> None:
        """Tell the agent that the answer began, so it may admit another prefill."""
        if self._request.adapter is not None:
            agent = self._agent(record)
            self._context.agents.prefill_finished(agent, self._request.request_id)

    def release(self, record: TargetRecord) -> None:
        """Tell the agent that the request no longer needs the adapter."""
        if self._request.adapter is not None:
            agent = self._agent(record)
            self._context.agents.release(agent, self._request.request_id)

    def expected_version(self, result: AcquireResult | None) -> int | None:
        """Return the version that the target must check for, None if an agent has.

        Also returns None while an older version may still be in use.
        """
        adapter = self._request.adapter
        if result is not None or adapter is None or not adapter.adapter:
            return None
        newest = self._state.newest_version(adapter.key)
        is_due = newest is not None and self._is_version_due(adapter.key)
        return newest[0] if newest is not None and is_due else None

    def _is_version_due(self, key: str) -> bool:
        """Return whether targets must check for the newest version by now."""
        newest = self._state.newest_version(key)
        bound_s = self._state.bounds.adapter_version_s
        due_s = self._context.settings.version_check_share * bound_s
        return newest is not None and newest[1] > due_s

    def _agent(self, record: TargetRecord) -> SocketAddress:
        return SocketAddress(record.ip, self._state.peer_port)
