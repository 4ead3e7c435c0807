"""One random schedule: calls, faults and operators, from a seed and an index."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

from bench._guarantees.agent import SECRET, FakeAgent
from bench._guarantees.configuration import Configuration
from bench._guarantees.entry import FakeEntry
from bench._guarantees.journal import Call, Journal
from bench._guarantees.kernel import Kernel, Network, Process
from bench._guarantees.parts import Parts
from bench._guarantees.platform import FakeEngine, FakeLog
from bench._guarantees.world import Directory, Shared
from lentiltally.decisions import claims, minted_keys

ADAPTERS = ("a", "b", "c", "d")
FAULTS_END_S = 20.0
END_S = 55.0
AGENTS = ("agent-1", "agent-2")
ENTRIES = ("entry-1", "entry-2", "entry-3")


class Schedule:
    """Two agents with one target each, three entries, and what happens to them."""

    def __init__(self, seed: int, index: int, parts: Parts) -> None:
        """Set the processes up; ``run`` lets the schedule happen."""
        self._rng = random.Random(f"{seed}/{index}")
        self.journal = Journal()
        self.kernel = Kernel(self._rng, self.journal)
        is_rough = self._rng.random() < 0.7
        loss, copies, late = (0.02, 0.08, 0.06) if is_rough else (0.0, 0.0, 0.0)
        self._network = Network(self.kernel, loss=loss, copies=copies, late=late)
        self._log = FakeLog(self.kernel, lost_answers=0.05 if is_rough else 0.0)
        self._directory = Directory()
        self._shared = Shared(
            self.kernel, self._network, self._log, self._directory, parts
        )
        self._entries: dict[str, FakeEntry] = {}
        self._runs: Counter[str] = Counter()
        self._engines = {name: self._engine(name) for name in AGENTS}
        self._calls = 0
        self._operator = Process(self.kernel)
        self._configuration = Configuration(self.kernel, self._log, parts)

    def run(self) -> Counter[str]:
        """Run the schedule and return the violations of each guarantee."""
        for name in AGENTS:
            self._start_agent(name)
        for name in ENTRIES:
            self._start_entry(name)
        for _ in range(self._rng.randint(6, 14)):
            self.kernel.at(self._rng.uniform(0.5, FAULTS_END_S), self._new_work)
        # Half of the schedules have faults of two kinds only, because some failures
        # need the same fault twice or one right after another.
        faults = self._faults()
        if self._rng.random() < 0.5:
            faults = self._rng.sample(faults, 2)
        for _ in range(self._rng.randint(1, 6)):
            at_s = self._rng.uniform(1.0, FAULTS_END_S)
            self.kernel.at(at_s, self._rng.choice(faults))
        for _ in range(self._rng.randint(5, 15)):
            at_s = self._rng.uniform(0.5, FAULTS_END_S)
            self.kernel.at(at_s, self._configuration.operate)
        self._operator.every(1.0, self._settle)
        self.kernel.run(END_S)
        violations = self.journal.check()
        violations["g8"] += self._configuration.check()
        return violations

    def _engine(self, agent: str) -> FakeEngine:
        return FakeEngine(
            self.kernel,
            agent.replace("agent", "target"),
            slots=2,
            enforces_fencing=self._rng.random() < 0.6,
            lost_answers=self._rng.choice([0.0, 0.1]),
        )

    def _start_agent(self, name: str) -> None:
        self._runs[name] += 1
        agent = FakeAgent(
            self._shared,
            self._engines[name],
            name,
            self._runs[name],
            on_exit=lambda: self._agent_ended(name),
        )
        self._directory.agents[name] = agent
        if self._runs[name] > 1 and self._rng.random() < 0.3:
            self._network.replay(name)

    def _agent_ended(self, name: str) -> None:
        self.kernel.at(self._rng.uniform(0.5, 4.0), lambda: self._replace(name))

    def _replace(self, name: str) -> None:
        if self._directory.agents[name].is_dead:
            self._directory.listed_leaving.pop(name, None)
            self._start_agent(name)

    def _start_entry(self, name: str) -> None:
        self._runs[name] += 1
        self._entries[name] = FakeEntry(self._shared, name, self._runs[name])

    def _burst(
        self, start_s: float, end_s: float, adapters: Sequence[str] = ADAPTERS
    ) -> None:
        """Send more work while a fault can be seen."""
        for _ in range(4):
            adapter = self._rng.choice(adapters)
            at_s = self._rng.uniform(start_s, end_s)
            self.kernel.at(at_s, partial(self._new_work, adapter))

    def _new_work(self, adapter: str | None = None) -> None:
        rng = self._rng
        is_idempotent = rng.random() < 0.4
        is_minted = not is_idempotent and rng.random() < 0.3
        key = "" if is_idempotent else f"key-{self._calls}"
        if is_minted:
            agent = self._directory.agents[rng.choice(AGENTS)]
            incarnation, nonce = agent.incarnation, str(self._calls)
            key = minted_keys.mint(SECRET, agent.name, incarnation, nonce)
        shape = {
            "team": "t",
            "key": key,
            "adapter": adapter or rng.choice(ADAPTERS),
            "body": key.encode()[-16:],
            "is_idempotent": is_idempotent,
            "is_minted": is_minted,
            "is_streamed": rng.random() < 0.6,
            "events": rng.randint(1, 6),
            "duration_s": rng.choice([0.05, 0.5, 3.0]),
        }

        def send() -> None:
            self._calls += 1
            call = Call(number=self._calls, **shape)  # type: ignore[arg-type]
            self._entries[rng.choice(ENTRIES)].enter_call(call)

        send()
        if key:
            for _ in range(rng.choice([0, 1, 1, 2, 3])):
                delay_s = rng.choice([rng.uniform(0.0, 0.1), rng.uniform(0.1, 12.0)])
                self.kernel.at(delay_s, send)

    def _faults(self) -> list[Callable[[], None]]:
        return [
            lambda: self._log.outage(self._rng.uniform(0.5, 8.0)),
            self._restart_engine,
            lambda: self._agent().end(),
            lambda: self._agent().pause(self._rng.uniform(0.5, 8.0)),
            lambda: self._take_over(self._agent()),
            self._restart_entry,
            lambda: self._entry().pause(self._rng.uniform(0.5, 8.0)),
            self._leave,
            self._end_after_order,
            self._list_leaving,
            self._silence,
            *self._configuration.faults(),
        ]

    def _agent(self) -> FakeAgent:
        return self._directory.agents[self._rng.choice(AGENTS)]

    def _entry(self) -> FakeEntry:
        return self._entries[self._rng.choice(ENTRIES)]

    def _leave(self) -> None:
        self._agent().leave()
        self._burst(0.0, 8.0)

    def _end_after_order(self) -> None:
        """End an agent just after its next order, which the engine reads later."""

        def ended(adapter: str) -> None:
            if adapter in ADAPTERS:
                self._burst(1.0, 8.0, [adapter])

        self._agent().end_after_order = ended

    def _restart_engine(self) -> None:
        self._engines[self._rng.choice(AGENTS)].restart()

    def _restart_entry(self) -> None:
        entry = self._entry()
        if entry.is_dead:
            return
        entry.end()
        self.kernel.at(
            self._rng.uniform(0.1, 2.0), lambda: self._start_entry(entry.name)
        )

    def _list_leaving(self) -> None:
        """Name a host as leaving; its agent is told later, by SIGTERM."""
        agent = self._agent()
        self._directory.listed_leaving[agent.name] = self.kernel.now_s
        self.kernel.at(self._rng.uniform(6.0, 12.0), agent.leave)

    def _silence(self) -> None:
        pair = [self._rng.choice(AGENTS), self._rng.choice(ENTRIES)]
        self._rng.shuffle(pair)
        self._network.silence(pair[0], pair[1], 1000.0)

    def _take_over(self, agent: FakeAgent) -> None:
        """Pause an idle agent beyond its lease and start another run of it.

        The log stays up meanwhile: without it and without an engine that enforces
        fencing, only the listening socket keeps two runs apart, and a paused run
        keeps its socket.
        """
        engine = self._engines[agent.name]
        is_busy = agent.is_dead or agent.is_paused or engine.has_runs_of(agent)
        if is_busy or not self._log.stay_up(20.0):
            return
        agent.pause(self._rng.uniform(18.0, 20.0))
        self._burst(0.0, 1.0)
        self._burst(12.0, 19.0)

        def start() -> None:
            if self._directory.agents[agent.name] is agent and not agent.is_dead:
                self._start_agent(agent.name)

        self.kernel.at(10.5, start)

    def _settle(self) -> None:
        """Let operators, who may act twice, settle unknown claims by the truth."""
        entry = self._entry()
        executed = {e.call.work for e in self.journal.executions}
        for call in list(self.journal.calls.values()):
            if call.is_idempotent or call.is_minted or not self.kernel.flip(0.3):
                continue
            status = entry.claims.status("t", call.key, call.body)
            if isinstance(status, claims.Unknown):
                found = "yes" if call.work in executed else "no"
                record = claims.SettleRecord(
                    "t", call.key, status.claim_id, found, "operator"
                )
                self._log.append(
                    self._operator, "claims", [record], lambda offset: None
                )
