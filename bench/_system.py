"""Simulated entries and agents: the real decision classes on top of fakes."""

from __future__ import annotations

import random
from dataclasses import replace

from bench._agent import BenchAgent
from bench._fakes import (
    DelayedReporter,
    EventLoop,
    FakeEngine,
    FakeLog,
    FakeWeightStore,
)
from bench._shapes import Job, Shape
from lentiltally.decisions.admission import Admission, AdmissionRequest, Shed
from lentiltally.decisions.hedging import HedgeBudget
from lentiltally.decisions.load_permits import LoadRecord
from lentiltally.decisions.placement import (
    Placement,
    PlacementChoice,
    PlacementRequest,
    PlacementSettings,
    TargetView,
)
from lentiltally.decisions.slow_targets import SlowTargets

MODEL = "m"
LOG_APPEND_DELAY_S = 0.01
LOG_FOLLOW_DELAY_S = 0.005
OBSERVATION_INTERVAL_S = 0.25
# A job rejected this often for want of an adapter slot is queued at the next target.
MAX_REJECTIONS = 2


class BenchEntry:
    """One entry with placement, admission, hedging and ejection of slow targets."""

    def __init__(self, loop: EventLoop, shape: Shape, rng: random.Random) -> None:
        """Start without targets; state reports add them."""
        self.loop = loop
        self.shape = shape
        self.placement = Placement(rng, PlacementSettings())
        self.admission = Admission(rng)
        self._waiting_for_load: set[int] = set()
        self._tried_targets: dict[int, set[str]] = {}
        self.hedges = HedgeBudget()
        self._open_hedges: dict[int, tuple[Job, BenchAgent, BenchAgent]] = {}
        self._original_of: dict[int, Job] = {}
        self.agents: dict[str, BenchAgent] = {}
        self.slow_targets = SlowTargets(
            {
                f"t{number}": str(number % shape.failure_domains)
                for number in range(shape.engines)
            }
        )
        loop.call_later(OBSERVATION_INTERVAL_S, self._observe_inter_token_latency)

    def _observe_inter_token_latency(self) -> None:
        """Record the current inter-token latency of each busy target."""
        now_s = self.loop.now_s
        for name, agent in self.agents.items():
            if agent.engine.running:
                inter_token_latency_s = self.shape.token_s * agent.engine.slow_factor
                self.slow_targets.observed(name, inter_token_latency_s, now_s)
        self.loop.call_later(OBSERVATION_INTERVAL_S, self._observe_inter_token_latency)

    def submit(self, job: Job) -> None:
        """Place a job and send it, or refuse it."""
        job.attempts += 1
        now_s = self.loop.now_s
        slow = self.slow_targets.ejected(now_s)
        request = PlacementRequest(MODEL, job.adapter, slow=slow)
        choice = self.placement.choose(request, now_s)
        if choice is None:
            self._refuse(job)
            return
        needs_load = choice.reason == "cold"
        offer = AdmissionRequest(
            team=str(job.team),
            criticality=job.criticality,
            time_budget_s=job.first_token_deadline_s - now_s,
            queue_wait_s=choice.queue_wait_s,
            needs_load=needs_load,
            adapter=str(job.adapter),
        )
        if isinstance(self.admission.offer(offer, now_s), Shed):
            self._refuse(job)
            return
        if needs_load:
            self._waiting_for_load.add(job.number)
        self._dispatch(choice, request, job)

    def job_rejected(self, agent: BenchAgent, job: Job) -> None:
        """Retry a job that was rejected before execution on another target."""
        counts = agent.counts()
        name = agent.engine.name

        def retry() -> None:
            now_s = self.loop.now_s
            self.placement.finished(name, now_s)
            self.placement.drop_assumed_adapter(name, job.adapter)
            self.placement.update_counts(name, counts[0], counts[1], now_s, counts[2])
            tried = self._tried_targets.setdefault(job.number, set())
            tried.add(name)
            request = PlacementRequest(
                MODEL,
                job.adapter,
                excluded=frozenset(tried),
                slow=self.slow_targets.ejected(now_s),
            )
            choice = self.placement.choose(request, now_s)
            if choice is not None:
                self._dispatch(choice, request, job)

        self.loop.call_later(self.shape.one_way_delay_s, retry)

    def _dispatch(
        self, choice: PlacementChoice, request: PlacementRequest, job: Job
    ) -> None:
        now_s = self.loop.now_s
        self.placement.dispatched(choice.target, request, now_s)
        self.hedges.request_sent()
        delay_s = self.hedges.hedge_delay_s(job.criticality > 0)
        if delay_s is not None:
            agent = self.agents[choice.target]
            self.loop.call_later(delay_s, lambda: self._hedge(job, agent))
        agent = self.agents[choice.target]
        self.loop.call_later(
            self.shape.one_way_delay_s,
            lambda: agent.execute(
                job,
                job.first_token_deadline_s,
                self,
                reject_if_no_slot=len(self._tried_targets.get(job.number, ()))
                < MAX_REJECTIONS,
            ),
        )

    def job_ended(self, agent: BenchAgent, job: Job, is_complete: bool) -> None:
        """Handle an answer or a refusal, with the counts that it carries."""
        counts = agent.counts()
        original = self._original_of.get(job.number, job)
        if original is not job:
            if not is_complete:
                self.placement.finished(agent.engine.name, self.loop.now_s)
                self._open_hedges.pop(original.number, None)
                return
            original.end_s = job.end_s
            job = original
        self.loop.call_later(
            self.shape.one_way_delay_s,
            lambda: self._apply_end(agent.engine.name, counts, job, is_complete),
        )

    def _hedge(self, job: Job, first_agent: BenchAgent) -> None:
        now_s = self.loop.now_s
        has_started_or_ended = (
            job.first_token_at_s is not None or job.refused_s is not None
        )
        if (
            has_started_or_ended
            or job.number in self._open_hedges
            or not self.hedges.take()
        ):
            return
        request = PlacementRequest(
            MODEL,
            job.adapter,
            excluded=frozenset({first_agent.engine.name}),
            slow=self.slow_targets.ejected(now_s),
        )
        choice = self.placement.choose(request, now_s)
        if choice is None:
            return
        hedge_job = replace(job, number=-1 - job.number, start_s=None, load_wait_s=0.0)
        hedge_agent = self.agents[choice.target]
        self._open_hedges[job.number] = (hedge_job, first_agent, hedge_agent)
        self._original_of[hedge_job.number] = job
        self.placement.dispatched(choice.target, request, now_s)
        hedge_agent.execute(hedge_job, job.first_token_deadline_s, self)

    def _cancel_hedge_loser(self, job: Job) -> None:
        """Keep the attempt whose first token came first, and cancel the other."""
        original = self._original_of.get(job.number, job)
        if original.number not in self._open_hedges or original.refused_s is not None:
            return
        hedge_job, first_agent, hedge_agent = self._open_hedges.pop(original.number)
        if job is original:
            loser, agent = hedge_job, hedge_agent
        else:
            loser, agent = original, first_agent
            original.start_s, original.first_token_at_s = (
                hedge_job.start_s,
                hedge_job.first_token_at_s,
            )
        agent.cancel(loser)
        self.placement.finished(agent.engine.name, self.loop.now_s)

    def first_token_produced(self, job: Job) -> None:
        """Handle the first token of an answer."""
        self.hedges.first_token(self.loop.now_s - job.arrival_s)
        self._cancel_hedge_loser(job)
        job = self._original_of.get(job.number, job)
        self.loop.call_later(
            self.shape.one_way_delay_s, lambda: self._record_load_wait_end(job)
        )

    def _record_load_wait_end(self, job: Job) -> None:
        if job.number in self._waiting_for_load:
            self._waiting_for_load.discard(job.number)
            self.admission.load_wait_ended(job.criticality, self.loop.now_s)

    def _apply_end(
        self, name: str, counts: tuple[int, int, int], job: Job, is_complete: bool
    ) -> None:
        self._record_load_wait_end(job)
        self.admission.finished(str(job.team), self.loop.now_s)
        self.placement.finished(name, self.loop.now_s)
        self.placement.update_counts(
            name, counts[0], counts[1], self.loop.now_s, counts[2]
        )
        if not is_complete:
            self._refuse(job)

    def _refuse(self, job: Job) -> None:
        job.refused_s = self.loop.now_s


class PolicySystem:
    """The entries, agents and fakes of one simulated run."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Create the store, the log, the agents, the entries and the reports."""
        self.loop = EventLoop()
        self.shape = shape
        self.store = FakeWeightStore(self.loop)
        self.log = FakeLog[LoadRecord](
            self.loop, LOG_APPEND_DELAY_S, LOG_FOLLOW_DELAY_S
        )
        self._rng = random.Random(f"{seed}/{shape.name}/system")
        self.agents = [self._create_agent(number) for number in range(shape.engines)]
        self.entries = [
            BenchEntry(self.loop, shape, random.Random(self._rng.random()))
            for _ in range(shape.entries)
        ]
        for entry in self.entries:
            entry.agents = {agent.engine.name: agent for agent in self.agents}
            for agent in self.agents:
                entry.placement.update(self._target_view(agent))
        for number, agent in enumerate(self.agents):
            offset_s = shape.report_interval_s * number / shape.engines
            DelayedReporter(
                self.loop,
                shape,
                offset_s,
                lambda agent=agent: self._target_view(agent),  # type: ignore[misc]
                self._deliver_view,
            )

    def cancelled_work_share(self) -> float:
        """Return the share of engine work that was done for cancelled hedges."""
        cancelled_work_s = sum(agent.engine.cancelled_work_s for agent in self.agents)
        return cancelled_work_s / max(
            1.0, sum(agent.engine.work_s for agent in self.agents)
        )

    def run(self, jobs: list[Job], until_s: float) -> None:
        """Run the jobs, each through a random entry."""
        for job in jobs:
            entry = self._rng.choice(self.entries)
            self.loop.call_at(
                job.arrival_s,
                lambda entry=entry, job=job: entry.submit(job),  # type: ignore[misc]
            )
        self.loop.run(until_s)

    def _create_agent(self, number: int) -> BenchAgent:
        engine = FakeEngine(self.loop, f"t{number}", self.shape)
        rng = random.Random(self._rng.random())
        return BenchAgent(self.loop, engine, self.store, self.log, rng)

    def _target_view(self, agent: BenchAgent) -> TargetView:
        engine = agent.engine
        queued, running, free_slots = agent.counts()
        number = int(engine.name[1:])
        return TargetView(
            name=engine.name,
            failure_domain=str(number % self.shape.failure_domains),
            base_model=MODEL,
            agent=engine.name,
            batch_places=engine.batch_slots,
            adapter_slots=engine.adapter_slots,
            queued=queued,
            running=running,
            resident=frozenset(engine.loaded) | frozenset(engine.loading),
            reported_at_s=self.loop.now_s,
            free_slots=free_slots,
        )

    def _deliver_view(self, view: TargetView) -> None:
        for entry in self.entries:
            entry.placement.update(view)
