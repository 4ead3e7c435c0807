"""The decision classes put together over the fakes, as entries and agents use them."""

from __future__ import annotations

import random
from dataclasses import replace

from bench._agent import BenchAgent
from bench._fakes import FakeEngine, FakeLog, FakeWeightStore, LaggingReport, Loop
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
LOG_APPEND_S = 0.01
LOG_FOLLOW_S = 0.005
OBSERVE_S = 0.25
# How often a job is handed back for want of a slot before it waits where it is.
MAX_RETURNS = 2


class BenchEntry:
    """One entry: placement, admission and the count of its own attempts."""

    def __init__(self, loop: Loop, shape: Shape, rng: random.Random) -> None:
        """Start without targets; states fill the table."""
        self.loop = loop
        self.shape = shape
        self.placement = Placement(rng, PlacementSettings())
        self.admission = Admission(rng)
        self._waits_for_load: set[int] = set()
        self._tried: dict[int, set[str]] = {}
        self.hedges = HedgeBudget()
        self._copies: dict[int, tuple[Job, BenchAgent, BenchAgent]] = {}
        self._copy_of: dict[int, Job] = {}
        self.agents: dict[str, BenchAgent] = {}
        self.slow = SlowTargets(
            {
                f"t{number}": str(number % shape.failure_domains)
                for number in range(shape.engines)
            }
        )
        loop.after(OBSERVE_S, self._observe)

    def _observe(self) -> None:
        """Take the pace of the tokens that came since the last look."""
        now_s = self.loop.now_s
        for name, agent in self.agents.items():
            if agent.engine.running:
                pace_s = self.shape.token_s * agent.engine.factor
                self.slow.observed(name, pace_s, now_s)
        self.loop.after(OBSERVE_S, self._observe)

    def request(self, job: Job) -> None:
        """Place a job or refuse it."""
        job.attempts += 1
        now_s = self.loop.now_s
        slow = self.slow.ejected(now_s)
        wanted = PlacementRequest(MODEL, job.adapter, slow=slow)
        choice = self.placement.choose(wanted, now_s)
        if choice is None:
            self._refuse(job)
            return
        needs_load = choice.reason == "cold"
        offer = AdmissionRequest(
            team=str(job.team),
            criticality=job.criticality,
            time_budget_s=job.latest_start_s - now_s,
            queue_wait_s=choice.queue_wait_s,
            needs_load=needs_load,
            adapter=str(job.adapter),
        )
        if isinstance(self.admission.offer(offer, now_s), Shed):
            self._refuse(job)
            return
        if needs_load:
            self._waits_for_load.add(job.number)
        self._send(choice, wanted, job)

    def returned(self, agent: BenchAgent, job: Job) -> None:
        """Take back work that has not run, and place it elsewhere."""
        counts = agent.counts()
        name = agent.engine.name

        def place_again() -> None:
            now_s = self.loop.now_s
            self.placement.finished(name, now_s)
            self.placement.drop_assumed_adapter(name, job.adapter)
            self.placement.update_counts(name, counts[0], counts[1], now_s, counts[2])
            tried = self._tried.setdefault(job.number, set())
            tried.add(name)
            wanted = PlacementRequest(
                MODEL,
                job.adapter,
                excluded=frozenset(tried),
                slow=self.slow.ejected(now_s),
            )
            choice = self.placement.choose(wanted, now_s)
            if choice is not None:
                self._send(choice, wanted, job)

        self.loop.after(self.shape.one_way_s, place_again)

    def _send(
        self, choice: PlacementChoice, wanted: PlacementRequest, job: Job
    ) -> None:
        now_s = self.loop.now_s
        self.placement.dispatched(choice.target, wanted, now_s)
        self.hedges.request_sent()
        delay_s = self.hedges.hedge_delay_s(job.criticality > 0)
        if delay_s is not None:
            agent = self.agents[choice.target]
            self.loop.after(delay_s, lambda: self._hedge(job, agent))
        agent = self.agents[choice.target]
        self.loop.after(
            self.shape.one_way_s,
            lambda: agent.execute(
                job,
                job.latest_start_s,
                self,
                reject_if_no_slot=len(self._tried.get(job.number, ())) < MAX_RETURNS,
            ),
        )

    def ended(self, agent: BenchAgent, job: Job, is_whole: bool) -> None:
        """Take an answer or a refusal, with the counts that it carries."""
        counts = agent.counts()
        original = self._copy_of.get(job.number, job)
        if original is not job:
            if not is_whole:
                self.placement.finished(agent.engine.name, self.loop.now_s)
                self._copies.pop(original.number, None)
                return
            original.end_s = job.end_s
            job = original
        self.loop.after(
            self.shape.one_way_s,
            lambda: self._count(agent.engine.name, counts, job, is_whole),
        )

    def _hedge(self, job: Job, first: BenchAgent) -> None:
        now_s = self.loop.now_s
        is_over = job.first_s is not None or job.refused_s is not None
        if is_over or job.number in self._copies or not self.hedges.take():
            return
        wanted = PlacementRequest(
            MODEL,
            job.adapter,
            excluded=frozenset({first.engine.name}),
            slow=self.slow.ejected(now_s),
        )
        choice = self.placement.choose(wanted, now_s)
        if choice is None:
            return
        copy = replace(job, number=-1 - job.number, start_s=None, load_wait_s=0.0)
        second = self.agents[choice.target]
        self._copies[job.number] = (copy, first, second)
        self._copy_of[copy.number] = job
        self.placement.dispatched(choice.target, wanted, now_s)
        second.execute(copy, job.latest_start_s, self)

    def _settle(self, job: Job) -> None:
        """Keep the copy that answered first and cancel the other."""
        original = self._copy_of.get(job.number, job)
        if original.number not in self._copies or original.refused_s is not None:
            return
        copy, first, second = self._copies.pop(original.number)
        if job is original:
            loser, agent = copy, second
        else:
            loser, agent = original, first
            original.start_s, original.first_s = copy.start_s, copy.first_s
        agent.cancel(loser)
        self.placement.finished(agent.engine.name, self.loop.now_s)

    def first_token(self, job: Job) -> None:
        """Take the first token of an answer."""
        self.hedges.first_token(self.loop.now_s - job.arrival_s)
        self._settle(job)
        job = self._copy_of.get(job.number, job)
        self.loop.after(self.shape.one_way_s, lambda: self._load_wait_ended(job))

    def _load_wait_ended(self, job: Job) -> None:
        if job.number in self._waits_for_load:
            self._waits_for_load.discard(job.number)
            self.admission.load_wait_ended(job.criticality, self.loop.now_s)

    def _count(
        self, name: str, counts: tuple[int, int, int], job: Job, is_whole: bool
    ) -> None:
        self._load_wait_ended(job)
        self.admission.finished(str(job.team), self.loop.now_s)
        self.placement.finished(name, self.loop.now_s)
        self.placement.update_counts(
            name, counts[0], counts[1], self.loop.now_s, counts[2]
        )
        if not is_whole:
            self._refuse(job)

    def _refuse(self, job: Job) -> None:
        job.refused_s = self.loop.now_s


class System:
    """All entries, agents and fakes of one run."""

    def __init__(self, shape: Shape, seed: int) -> None:
        """Connect everything; nothing runs yet."""
        self.loop = Loop()
        self.shape = shape
        self.store = FakeWeightStore(self.loop)
        self.log = FakeLog[LoadRecord](self.loop, LOG_APPEND_S, LOG_FOLLOW_S)
        self._rng = random.Random(f"{seed}/{shape.name}/system")
        self.agents = [self._agent(number) for number in range(shape.engines)]
        self.entries = [
            BenchEntry(self.loop, shape, random.Random(self._rng.random()))
            for _ in range(shape.entries)
        ]
        for entry in self.entries:
            entry.agents = {agent.engine.name: agent for agent in self.agents}
            for agent in self.agents:
                entry.placement.update(self._view(agent))
        for number, agent in enumerate(self.agents):
            offset_s = shape.report_every_s * number / shape.engines
            LaggingReport(
                self.loop,
                shape,
                offset_s,
                lambda agent=agent: self._view(agent),  # type: ignore[misc]
                self._deliver,
            )

    def extra_work(self) -> float:
        """Return the seconds of cancelled copies over all seconds of engine work."""
        wasted_s = sum(agent.engine.wasted_s for agent in self.agents)
        return wasted_s / max(1.0, sum(agent.engine.worked_s for agent in self.agents))

    def run(self, jobs: list[Job], until_s: float) -> None:
        """Run the jobs; each comes to a random entry."""
        for job in jobs:
            entry = self._rng.choice(self.entries)
            self.loop.at(
                job.arrival_s,
                lambda entry=entry, job=job: entry.request(job),  # type: ignore[misc]
            )
        self.loop.run(until_s)

    def _agent(self, number: int) -> BenchAgent:
        engine = FakeEngine(self.loop, f"t{number}", self.shape)
        rng = random.Random(self._rng.random())
        return BenchAgent(self.loop, engine, self.store, self.log, rng)

    def _view(self, agent: BenchAgent) -> TargetView:
        engine = agent.engine
        queued, running, free_slots = agent.counts()
        number = int(engine.name[1:])
        return TargetView(
            name=engine.name,
            failure_domain=str(number % self.shape.failure_domains),
            base_model=MODEL,
            agent=engine.name,
            batch_places=engine.places,
            adapter_slots=engine.slots,
            queued=queued,
            running=running,
            resident=frozenset(engine.resident) | frozenset(engine.loading),
            reported_at_s=self.loop.now_s,
            free_slots=free_slots,
        )

    def _deliver(self, view: TargetView) -> None:
        for entry in self.entries:
            entry.placement.update(view)
