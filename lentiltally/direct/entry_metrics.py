"""Counters and latency histograms of an entry on the direct path."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

from lentiltally.direct.account_labels import AccountLabels
from lentiltally.direct.process_metrics import LATENCY_BUCKETS_S, ProcessMetrics

__all__ = ["EntryMetrics"]


class EntryMetrics(ProcessMetrics):
    """The metrics of one entry, in a separate registry."""

    def __init__(self) -> None:
        """Register all metrics."""
        super().__init__()
        self._request_duration = Histogram(
            "lentiltally_request_seconds",
            "Time from a request's head to its end",
            ["kind", "outcome"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._refusals = Counter(
            "lentiltally_refusals",
            "Requests that this entry refused",
            ["status", "reason"],
            registry=self._registry,
        )
        self.connections_opened = Gauge(
            "lentiltally_target_connections_opened",
            "Connections opened to targets since the start",
            registry=self._registry,
        )

        self.refused_parts = Gauge(
            "lentiltally_refused_prompt_parts",
            "Prompt parts that are refused because they crash engines",
            registry=self._registry,
        )

        self._closed_targets = Gauge(
            "lentiltally_closed_targets",
            "Targets that get no work because of what they said of themselves",
            ["reason"],
            registry=self._registry,
        )

        self._allotments = Counter(
            "lentiltally_allotments",
            "Costs of requests, in the unit of their accounts' limits",
            ["account", "outcome"],
            registry=self._registry,
        )
        self._accounts = AccountLabels()
        self._account_requests = Counter(
            "lentiltally_account_requests",
            "Requests with the key of an account",
            ["account"],
            registry=self._registry,
        )
        self._account_refusals = Counter(
            "lentiltally_account_refusals",
            "Refused requests with the key of an account",
            ["account", "reason"],
            registry=self._registry,
        )
        self.configuration_proof_age = Gauge(
            "lentiltally_configuration_proof_age_seconds",
            "Age of the proof that the configuration is the newest, 0 without accounts",
            registry=self._registry,
        )

        self._confirmations = Counter(
            "lentiltally_configuration_confirmations",
            "Agents' answers on how recently they have read the configuration",
            ["kind"],
            registry=self._registry,
        )
        self.expected_load_services = Gauge(
            "lentiltally_expected_load_services",
            "Services whose engines are chosen by their expected load",
            registry=self._registry,
        )
        self.pace_ratio = Gauge(
            "lentiltally_engine_pace_ratio",
            "Time per prompt token of the slowest quarter of engines over the fastest",
            ["service"],
            registry=self._registry,
        )
        self._drawn_from = Histogram(
            "lentiltally_expected_load_candidates",
            "Engines among which one was drawn, 0 if an adapter had to be loaded",
            buckets=(0, 1, 2, 3, 5, 8, 13, 21, 34),
            registry=self._registry,
        )
        self._other_tokens = Histogram(
            "lentiltally_expected_other_tokens",
            "Prompt tokens that other entries were expected to have sent to the engine",
            buckets=(0, 300, 1000, 3000, 10_000, 30_000),
            registry=self._registry,
        )

    def configuration_confirmed(self, kind: str) -> None:
        """Count an agent's answer by what follows from it."""
        self._confirmations.labels(kind).inc()

    def chosen_by_expected_load(self, drawn_from: int, other_tokens: float) -> None:
        """Record a choice by the expected load."""
        self._drawn_from.observe(drawn_from)
        self._other_tokens.observe(other_tokens)

    def targets_closed(self, leaving: int, paused: int) -> None:
        """Record how many targets leave, and how many want no work now."""
        self._closed_targets.labels("leaving").set(leaving)
        self._closed_targets.labels("paused").set(paused)

    def allotment(self, account: str, outcome: str, cost: int) -> None:
        """Add the cost of a request that got an allotment, or did not."""
        self._allotments.labels(self._accounts.label(account), outcome).inc(cost)

    def ended(self, kind: str, outcome: str, took_s: float) -> None:
        """Record the outcome and the duration of a request."""
        self._request_duration.labels(kind, outcome).observe(took_s)

    def refused(self, status: int, reason: str) -> None:
        """Count a refusal."""
        self._refusals.labels(str(status), reason).inc()

    def account_requested(self, account: str) -> None:
        """Count a request of an account."""
        self._account_requests.labels(self._accounts.label(account)).inc()

    def account_refused(self, account: str, reason: str) -> None:
        """Count a refused request of an account."""
        self._account_refusals.labels(self._accounts.label(account), reason).inc()
