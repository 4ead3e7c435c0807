"""One random schedule of calls, faults and operator actions, from seed and index."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from functools import partial

from bench._guarantees.agent import MINTED_KEY_SECRET, FakeAgent
from bench._guarantees.components import Components
from bench._guarantees.configuration import Configuration
from bench._guarantees.entry import FakeEntry
from bench._guarantees.environment import Directory, Environment
from bench._guarantees.journal import Call, Journal
from bench._guarantees.kernel import Kernel, Network, Process
from bench._guarantees.platform import FakeEngine, FakeLog
from lentiltally.decisions import claims, minted_keys

ADAPTERS = ("a", "b", "c", "d")
FAULTS_END_S = 20.0
END_S = 55.0
AGENTS = ("agent-1", "agent-2")
ENTRIES = ("entry-1", "entry-2", "entry-3")


class Schedule:
    """A schedule with two agents of one target each, and three entries."""

    def __init__(self, seed: int, index: int, components: Components) -> None:
        """Create the platform; ``run`` starts the processes and runs the schedule."""
        self._rng = random.Random(f"{seed}/{index}")
        self.journal = Journal()
        self.kernel = Kernel(self._rng, self.journal)
        has_network_faults = self._rng.random() < 0.7
        loss, duplication, long_delay = (
            (0.02, 0.08, 0.06) if has_network_faults else (0.0, 0.0, 0.0)
        )
        self._network = Network(
            self.kernel, loss=loss, duplication=duplication, long_delay=long_delay
        )
        self._log = FakeLog(
            self.kernel, answer_loss_probability=0.05 if has_network_faults else 0.0
        )
        self._directory = Directory()
        self._environment = Environment(
            self.kernel, self._network, self._log, self._directory, components
        )
        self._entries: dict[str, FakeEntry] = {}
        self._run_counts: Counter[str] = Counter()
        self._engines = {name: self._create_engine(name) for name in AGENTS}
        self._call_count = 0
        self._operator = Process(self.kernel)
        self._configuration = Configuration(self.kernel, self._log, components)

    def run(self) -> Counter[str]:
        """Run the schedule and return the violations of each guarantee."""
        for name in AGENTS:
            self._start_agent(name)
        for name in ENTRIES:
            self._start_entry(name)
        for _ in range(self._rng.randint(6, 14)):
            self.kernel.call_later(
                self._rng.uniform(0.5, FAULTS_END_S), self._send_new_work
            )
        # Half of the schedules have only two kinds of faults, because some failures
        # need the same fault twice or two faults in close succession.
        faults = self._faults()
        if self._rng.random() < 0.5:
            faults = self._rng.sample(faults, 2)
        for _ in range(self._rng.randint(1, 6)):
            at_s = self._rng.uniform(1.0, FAULTS_END_S)
            self.kernel.call_later(at_s, self._rng.choice(faults))
        for _ in range(self._rng.randint(5, 15)):
            at_s = self._rng.uniform(0.5, FAULTS_END_S)
            self.kernel.call_later(at_s, self._configuration.publish_random_change)
        self._operator.call_every(1.0, self._settle_unknown_claims)
        self.kernel.run(END_S)
        violations = self.journal.check()
        violations["g8"] += self._configuration.check()
        return violations

    def _create_engine(self, agent: str) -> FakeEngine:
        return FakeEngine(
            self.kernel,
            agent.replace("agent", "target"),
            adapter_slots=2,
            enforces_fencing=self._rng.random() < 0.6,
            answer_loss_probability=self._rng.choice([0.0, 0.1]),
        )

    def _start_agent(self, name: str) -> None:
        self._run_counts[name] += 1
        agent = FakeAgent(
            self._environment,
            self._engines[name],
            name,
            self._run_counts[name],
            on_exit=lambda: self._handle_agent_exit(name),
        )
        self._directory.agents[name] = agent
        if self._run_counts[name] > 1 and self._rng.random() < 0.3:
            self._network.replay(name)

    def _handle_agent_exit(self, name: str) -> None:
        self.kernel.call_later(
            self._rng.uniform(0.5, 4.0), lambda: self._restart_agent(name)
        )

    def _restart_agent(self, name: str) -> None:
        if self._directory.agents[name].is_dead:
            self._directory.listed_draining_since_s.pop(name, None)
            self._start_agent(name)

    def _start_entry(self, name: str) -> None:
        self._run_counts[name] += 1
        self._entries[name] = FakeEntry(self._environment, name, self._run_counts[name])

    def _schedule_burst(
        self, start_s: float, end_s: float, adapters: Sequence[str] = ADAPTERS
    ) -> None:
        """Send more work, spread over the time in which a fault has effects."""
        for _ in range(4):
            adapter = self._rng.choice(adapters)
            at_s = self._rng.uniform(start_s, end_s)
            self.kernel.call_later(at_s, partial(self._send_new_work, adapter))

    def _send_new_work(self, adapter: str | None = None) -> None:
        rng = self._rng
        is_idempotent = rng.random() < 0.4
        is_minted = not is_idempotent and rng.random() < 0.3
        key = "" if is_idempotent else f"key-{self._call_count}"
        if is_minted:
            agent = self._directory.agents[rng.choice(AGENTS)]
            incarnation, nonce = agent.incarnation, str(self._call_count)
            key = minted_keys.mint(MINTED_KEY_SECRET, agent.name, incarnation, nonce)
        call_fields = {
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
            self._call_count += 1
            call = Call(number=self._call_count, **call_fields)  # type: ignore[arg-type]
            self._entries[rng.choice(ENTRIES)].submit_call(call)

        send()
        if key:
            for _ in range(rng.choice([0, 1, 1, 2, 3])):
                delay_s = rng.choice([rng.uniform(0.0, 0.1), rng.uniform(0.1, 12.0)])
                self.kernel.call_later(delay_s, send)

    def _faults(self) -> list[Callable[[], None]]:
        return [
            lambda: self._log.start_outage(self._rng.uniform(0.5, 8.0)),
            self._restart_engine,
            lambda: self._random_agent().terminate(),
            lambda: self._random_agent().pause(self._rng.uniform(0.5, 8.0)),
            lambda: self._replace_paused_agent(self._random_agent()),
            self._restart_entry,
            lambda: self._random_entry().pause(self._rng.uniform(0.5, 8.0)),
            self._drain_agent,
            self._terminate_after_order,
            self._list_as_draining,
            self._block_messages,
            *self._configuration.faults(),
        ]

    def _random_agent(self) -> FakeAgent:
        return self._directory.agents[self._rng.choice(AGENTS)]

    def _random_entry(self) -> FakeEntry:
        return self._entries[self._rng.choice(ENTRIES)]

    def _drain_agent(self) -> None:
        self._random_agent().start_drain()
        self._schedule_burst(0.0, 8.0)

    def _terminate_after_order(self) -> None:
        """Terminate an agent right after it sends its next order.

        An engine that enforces fencing executes the order only later.
        """

        def on_terminated(adapter: str) -> None:
            if adapter in ADAPTERS:
                self._schedule_burst(1.0, 8.0, [adapter])

        self._random_agent().terminate_after_order = on_terminated

    def _restart_engine(self) -> None:
        self._engines[self._rng.choice(AGENTS)].restart()

    def _restart_entry(self) -> None:
        entry = self._random_entry()
        if entry.is_dead:
            return
        entry.terminate()
        self.kernel.call_later(
            self._rng.uniform(0.1, 2.0), lambda: self._start_entry(entry.name)
        )

    def _list_as_draining(self) -> None:
        """List a host as leaving; its agent starts to drain later, as by SIGTERM."""
        agent = self._random_agent()
        self._directory.listed_draining_since_s[agent.name] = self.kernel.now_s
        self.kernel.call_later(self._rng.uniform(6.0, 12.0), agent.start_drain)

    def _block_messages(self) -> None:
        pair = [self._rng.choice(AGENTS), self._rng.choice(ENTRIES)]
        self._rng.shuffle(pair)
        self._network.block(pair[0], pair[1], 1000.0)

    def _replace_paused_agent(self, agent: FakeAgent) -> None:
        """Pause an idle agent for longer than its lease and start another incarnation.

        The log has no outage meanwhile. Without the log, and with an engine that does
        not enforce fencing, only the listening socket keeps two incarnations apart, and
        a paused process keeps its socket.
        """
        engine = self._engines[agent.name]
        is_busy = agent.is_dead or agent.is_paused or engine.has_running_calls_of(agent)
        if is_busy or not self._log.prevent_outages(20.0):
            return
        agent.pause(self._rng.uniform(18.0, 20.0))
        self._schedule_burst(0.0, 1.0)
        self._schedule_burst(12.0, 19.0)

        def start() -> None:
            if self._directory.agents[agent.name] is agent and not agent.is_dead:
                self._start_agent(agent.name)

        self.kernel.call_later(10.5, start)

    def _settle_unknown_claims(self) -> None:
        """Let operators settle unknown claims truthfully, sometimes more than once."""
        entry = self._random_entry()
        executed = {e.call.work_id for e in self.journal.executions}
        for call in list(self.journal.calls.values()):
            if call.is_idempotent or call.is_minted or not self.kernel.flip(0.3):
                continue
            status = entry.claims.status("t", call.key, call.body)
            if isinstance(status, claims.Unknown):
                executed_answer = "yes" if call.work_id in executed else "no"
                record = claims.SettleRecord(
                    "t", call.key, status.claim_id, executed_answer, "operator"
                )
                self._log.append(
                    self._operator, "claims", [record], lambda offset: None
                )
