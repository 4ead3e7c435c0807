"""Counters and latency histograms of an agent on the direct path."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from lentiltally.decisions.engine_orders import AdapterRequestState, EngineOrderKind
from lentiltally.decisions.holder_role import Standing
from lentiltally.direct.process_metrics import LATENCY_BUCKETS_S, ProcessMetrics

__all__ = ["AgentMetrics"]


class AgentMetrics(ProcessMetrics):
    """The metrics of one agent, in a separate registry."""

    def __init__(self) -> None:
        """Register all metrics."""
        super().__init__()
        self._adapter_wait = Histogram(
            "lentiltally_adapter_wait_seconds",
            "Time from a request for an adapter to the answer",
            ["outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._orders = Counter(
            "lentiltally_orders",
            "Orders to the engine",
            ["order", "status"],
            registry=self._registry,
        )
        self.engine_unresponsive = Gauge(
            "lentiltally_engine_lost",
            "1 while the engine does not answer",
            registry=self._registry,
        )

        self._allotments = Counter(
            "lentiltally_allotment_decisions",
            "Decisions on requests for parts of allotments that this agent holds",
            ["outcome"],
            registry=self._registry,
        )
        self._allotments_returned = Counter(
            "lentiltally_allotment_returned_cost",
            "Costs of grants that entries gave back in time",
            registry=self._registry,
        )
        self._allotment_accounts = Gauge(
            "lentiltally_allotment_accounts",
            "Accounts whose balance this agent keeps",
            registry=self._registry,
        )

        self._rights = Counter(
            "lentiltally_right_questions",
            "Questions of entries about rights, by what this agent is to them",
            ["standing"],
            registry=self._registry,
        )

        self.prefill_ns_per_token = Gauge(
            "lentiltally_prefill_ns_per_token",
            "Time that the engine took for a prompt token lately, 0 if not known",
            registry=self._registry,
        )
        self.arriving_tokens_per_s = Gauge(
            "lentiltally_arriving_tokens_per_s",
            "Prompt tokens that the agent admits per second",
            registry=self._registry,
        )

    def allotment_decided(self, *, is_granted: bool, accounts: int) -> None:
        """Count a decision, and record the number of accounts that take memory."""
        self._allotments.labels("granted" if is_granted else "declined").inc()
        self._allotment_accounts.set(accounts)

    def allotment_returned(self, cost: int) -> None:
        """Add the cost of a grant that may be granted again."""
        self._allotments_returned.inc(cost)

    def right_asked(self, standing: Standing) -> None:
        """Count a question of an entry about a right."""
        self._rights.labels(standing.value).inc()

    def decided(self, state: AdapterRequestState, waited_s: float) -> None:
        """Record the decision on an adapter request and the wait for it."""
        self._adapter_wait.labels(state.value).observe(waited_s)

    def ordered(self, kind: EngineOrderKind, status: int | None) -> None:
        """Count an order to the engine; ``status`` is None if it was not answered."""
        self._orders.labels(kind.value, str(status or "unanswered")).inc()
