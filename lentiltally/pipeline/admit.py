"""Admission control: fair shares of the teams, limits, deadlines, load shedding."""

from __future__ import annotations

import random
import threading
from collections.abc import Iterator

import msgspec

from lentiltally.clock import Clock
from lentiltally.decisions.admission import (
    Admission,
    AdmissionRequest,
    Shed,
    TeamLimits,
)
from lentiltally.exchange import Answer, Exchange, Handler, Work
from lentiltally.metrics import Metrics
from lentiltally.pipeline.dispatch import placement_request
from lentiltally.problems import Refusal
from lentiltally.routing.targets import TargetDirectory

STEP = "admit"
# The reason that ``Admission`` gives when a team is over its limit.
TEAM_LIMIT = "team limit"


class AdmitFilter:
    """Sheds work that can't be served in time, before it is sent to a target."""

    def __init__(
        self,
        directory: TargetDirectory,
        failure_domain: str,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """``directory`` provides the expected waits."""
        self._directory = directory
        self._failure_domain = failure_domain
        self._clock = clock
        self._metrics = metrics
        self._admission = Admission(random.Random())
        self._lock = threading.Lock()

    def __call__(self, exchange: Exchange, next_handler: Handler) -> Answer:
        """Pass the exchange on if it is admitted.

        It counts towards the limits of its team until its answer has ended.
        """
        work = exchange.resolved()
        needs_load = self._admit(exchange, work)
        try:
            answer = next_handler(exchange)
        except BaseException:
            self._record_finished(work)
            raise
        finally:
            if needs_load:
                self._record_load_wait_end(work)
        if isinstance(answer.body, bytes):
            self._record_finished(work)
            return answer
        return msgspec.structs.replace(
            answer, body=self._forward_stream(work, answer.body)
        )

    def _admit(self, exchange: Exchange, work: Work) -> bool:
        """Return whether the work needs an adapter load.

        Raises Refusal if the work is shed or no target is eligible.
        """
        placement = placement_request(work, self._failure_domain, frozenset())
        expected = self._directory.expected_choice(placement, work.targets)
        if expected is None:
            raise Refusal(
                503,
                "no-target",
                "no target can take the request now",
                step=STEP,
                retry_after_s=1.0,
            )
        now_s = self._clock.monotonic_s()
        needs_load = expected.reason == "cold"
        request = AdmissionRequest(
            team=work.team,
            criticality=work.criticality,
            time_budget_s=exchange.request.received_s + work.deadline_s - now_s,
            queue_wait_s=expected.queue_wait_s,
            needs_load=needs_load,
            adapter=f"{work.team}/{work.adapter}@{work.version}",
        )
        with self._lock:
            team_limits = TeamLimits(work.share, work.max_concurrent)
            self._admission.set_limits(work.team, team_limits)
            result = self._admission.offer(request, now_s)
        if isinstance(result, Shed):
            self._metrics.count("sheds", label=work.team)
            raise self._refusal(result)
        return needs_load

    def _refusal(self, shed: Shed) -> Refusal:
        is_limit = shed.reason == TEAM_LIMIT
        return Refusal(
            429 if is_limit else 503,
            "team-limit" if is_limit else "overloaded",
            f"the request is not admitted: {shed.reason}",
            step=STEP,
            retry_after_s=shed.retry_after_s,
        )

    def _forward_stream(self, work: Work, parts: Iterator[bytes]) -> Iterator[bytes]:
        try:
            yield from parts
        finally:
            self._record_finished(work)

    def _record_finished(self, work: Work) -> None:
        with self._lock:
            self._admission.finished(work.team, self._clock.monotonic_s())

    def _record_load_wait_end(self, work: Work) -> None:
        with self._lock:
            self._admission.load_wait_ended(work.criticality, self._clock.monotonic_s())
