"""An entry and agents that follow the configuration, in simulated time.

The processes' own components run on an event loop that jumps from timer to timer. The
store and the network between them are simulated, and can delay, lose and repeat.
"""

from __future__ import annotations

import asyncio
import json
import math
from types import SimpleNamespace

from bench._simulated_loop import SimulatedLoop
from lentiltally.decisions.account_table import AccountTable
from lentiltally.direct.agent_process import AgentPlatform, AgentProcess
from lentiltally.direct.caller_access import unconfirmed_refusal
from lentiltally.direct.entry_process import (
    CONFIRM_INTERVAL_S,
    EntryPlatform,
    EntryProcess,
)
from lentiltally.direct.feed_types import (
    FeedError,
    FeedPage,
    FeedRecord,
    FeedTruncatedError,
)
from lentiltally.direct.messages import ConfirmConfiguration, EngineState
from lentiltally.direct.model import AdapterNotice, ClientAccount, DesiredState
from lentiltally.direct.settings import HostBounds, HostSettings, SocketAddress
from lentiltally.errors import LentiltallyError

BOUND_S = 5.0
REPORT_INTERVAL_S = 0.2
PAGE_RECORDS = 3
CALL_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 0.4
PORT = 1


class HostClock:
    """The clocks of a host, which stand still while it is frozen.

    Timers of a frozen host still run here. Each reading then advances its clock a
    little, so that loops that wait for a time end.
    """

    def __init__(self, loop, origin_s):
        self._loop = loop
        self._origin_s = origin_s
        self._suspended_s = 0.0
        self._frozen_at_s = None
        self.until_s = 0.0

    def monotonic_s(self):
        now_s = self._loop.time()
        if self._frozen_at_s is not None:
            self._frozen_at_s = now_s = min(now_s, self._frozen_at_s + 0.001)
        return self._origin_s + now_s - self._suspended_s

    def suspended_s(self):
        return self._suspended_s

    def freeze(self, duration_s):
        now_s = self._loop.time()
        if self._frozen_at_s is None:
            self._frozen_at_s = now_s
            self.until_s = now_s + duration_s
            self._loop.call_later(duration_s, self._resume)

    def _resume(self):
        self._suspended_s += self._loop.time() - self._frozen_at_s
        self._frozen_at_s = None

    @property
    def is_frozen(self):
        return self._frozen_at_s is not None

    async def running(self):
        """Wait until the host runs."""
        while self.is_frozen:
            await asyncio.sleep(max(0.0, self.until_s - self._loop.time()) + 1e-6)


class Store:
    """A keyed topic whose records are read in small pages."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.is_up = True
        self.calls = 0
        # Simulated times to and from the store, and whether an answer is lost.
        self.delays = lambda: (0.002, 0.002)
        self.loses = lambda wait_s: False
        self.version = 0

    def put(self, key, value):
        offset = len(self.records)
        self.records.append(FeedRecord(key, value, offset))

    def put_keys(self, *keys):
        """Append a configuration in whose only account these keys are."""
        self.version += 1
        value = {"version": self.version, "keys": keys}
        self.put("config", json.dumps(value).encode())

    def put_without_accounts(self):
        self.version += 1
        self.put("config", json.dumps({"version": self.version}).encode())

    def newest(self):
        newest = {r.key: r for r in self.records if r.value is not None}
        end = len(self.records)
        last = max((r.offset for r in newest.values()), default=end - 1)
        return FeedPage(end, tuple(newest.values()), min(end, last + 1))

    def page(self, offset):
        if offset < self.first_offset:
            error = FeedTruncatedError("deleted", step="read")
            error.first_offset = self.first_offset
            raise error
        records = tuple(self.records[offset : offset + PAGE_RECORDS])
        return FeedPage(len(self.records), records, offset + len(records))


class Topic:
    """The store as one host reaches it."""

    def __init__(self, store, clock):
        self._store = store
        self._clock = clock
        self.is_reachable = True

    async def newest(self):
        return await self._call(self._store.newest, 0.0, lambda: True)

    async def read(self, offset, wait_s):
        store = self._store

        def has_answer():
            return offset < max(len(store.records), store.first_offset)

        return await self._call(lambda: store.page(offset), wait_s, has_answer)

    async def _call(self, answer, wait_s, has_answer):
        store, loop = self._store, asyncio.get_running_loop()
        await self._clock.running()
        timeout_s = wait_s + ANSWER_GRACE_S if wait_s else CALL_TIMEOUT_S
        given_up_s = loop.time() + timeout_s
        store.calls += 1
        to_store_s, from_store_s = store.delays()
        await asyncio.sleep(to_store_s)
        until_s = loop.time() + wait_s
        while not has_answer() and loop.time() < until_s:
            await asyncio.sleep(0.02)
        is_lost = not (store.is_up and self.is_reachable) or store.loses(wait_s)
        try:
            result = answer()
        except FeedError as error:
            result = error
        await asyncio.sleep(from_store_s)
        # A host that was frozen meanwhile finds the answer in its buffer.
        if is_lost or (loop.time() > given_up_s and not self._clock.is_frozen):
            await asyncio.sleep(max(0.0, given_up_s - loop.time()))
            await self._clock.running()
            raise FeedError("no answer", step="read")
        await self._clock.running()
        if isinstance(result, FeedError):
            raise result
        return result


class EmptyTopic:
    """A list without targets."""

    async def newest(self):
        return FeedPage(0, (), 0)

    async def read(self, offset, wait_s):
        return FeedPage(0, (), 0)


def decode(key, value):
    if key != "config":
        return AdapterNotice("m", key, 1)
    try:
        fields = json.loads(value)
    except ValueError as error:
        raise LentiltallyError(str(error), step="decode") from error
    accounts = None
    if "keys" in fields:
        accounts = AccountTable([(ClientAccount("a"), fields["keys"])])
    return DesiredState(fields["version"], (), {}, accounts=accounts)


class Play:
    """One entry, its agents, the store and the network between them."""

    def __init__(self, loop, agents=3, revocation_s=BOUND_S):
        self.loop = loop
        self.store = Store()
        self.questions = 0
        # Delays after which copies of a datagram arrive, and whether a link is cut.
        self.copies = lambda message, receiver: [0.001]
        self.is_cut = lambda agent: False
        self._hosts = {}
        self._entry_host = self._host("10.0.1.1", 1000.0)
        bounds = HostBounds(configuration_s=3.0, revocation_s=revocation_s)
        self._bounds = bounds
        self.entry = self._entry()
        self.agents = [f"10.0.0.{n}" for n in range(1, agents + 1)]
        self._tasks = set()
        self._processes = {"10.0.1.1": self.entry}
        for number, ip in enumerate(self.agents):
            self._host(ip, 500.0 * number)
            self._processes[ip] = self._agent(ip)
        for ip, process in self._processes.items():
            process._peers._transport = SimpleNamespace(
                sendto=lambda data, addr, ip=ip: self._send(data, ip, addr[0])
            )

    def clock(self, ip="10.0.1.1"):
        return self._hosts[ip].clock

    def topic(self, ip="10.0.1.1"):
        return self._hosts[ip].topic

    def _host(self, ip, origin_s):
        clock = HostClock(self.loop, origin_s)
        self._hosts[ip] = SimpleNamespace(clock=clock, topic=Topic(self.store, clock))
        return self._hosts[ip]

    def _settings(self, ip):
        store = SocketAddress("10.0.2.1", PORT)
        return HostSettings(ip, "z", ip, store, PORT, PORT, bounds=self._bounds)

    def _entry(self):
        host = self._entry_host
        platform = EntryPlatform(
            None, host.topic, EmptyTopic(), decode, lambda key, value: None, b"/ready"
        )
        return EntryProcess(self._settings("10.0.1.1"), platform, host.clock)

    def _agent(self, ip):
        topic, clock = self._hosts[ip].topic, self._hosts[ip].clock
        platform = AgentPlatform(
            None, topic, EmptyTopic(), decode, lambda key, value: None, "llm"
        )
        return AgentProcess(self._settings(ip), platform, clock)

    async def start(self):
        work = [self.entry._configuration.run(), self.entry._targets.run()]
        work.append(self._tick())
        for ip in self.agents:
            reader = self._processes[ip]._reader
            work += [reader.configuration.run(), reader.targets.run(), self._report(ip)]
        self._tasks.update(asyncio.create_task(w) for w in work)

    async def stop(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _tick(self):
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL_S)
            await self.clock().running()
            self.entry._confirmations.tick()

    async def _report(self, ip):
        """Send the states of an agent's engine."""
        reader, clock = self._processes[ip]._reader, self.clock(ip)
        number = 0
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await clock.running()
            report = reader.report(clock.monotonic_s())
            number += 1
            state = EngineState(1, number, 0, 0, 0, 0, (), (), None, 0, 0, 1, 0, report)
            self._processes[ip]._peers.send(SocketAddress("10.0.1.1", PORT), state)

    def _send(self, data, sender, receiver):
        agent = sender if receiver == "10.0.1.1" else receiver
        if self.is_cut(agent):
            return
        process = self._processes[receiver]
        # The token is at the same place in question and answer.
        self.questions += data[1:2] == bytes(
            [ConfirmConfiguration.__struct_config__.tag]
        )

        async def arrive(delay_s):
            await asyncio.sleep(delay_s)
            await self.clock(receiver).running()
            process._peers.datagram_received(data, (sender, PORT))

        for delay_s in self.copies(data, receiver):
            task = self.loop.create_task(arrive(delay_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    # -- requests --------------------------------------------------------------

    def refusal(self, is_public=False):
        """Return why the entry refuses a request now, None if it does not."""
        context = SimpleNamespace(
            state=self.entry._state, clock=self.clock(), retry_after_s=lambda: 0.5
        )
        return unconfirmed_refusal(context, SimpleNamespace(is_public=is_public))

    def serves(self, key):
        """Return whether a request with a key would run if it came now."""
        table = self.entry._state.table
        if table is None or self.refusal() is not None:
            return False
        accounts = table.state.accounts
        return accounts is None or accounts.find(key.encode()) is not None

    async def request(self, key):
        """Send a request with a key; return when it was sent and whether it ran."""
        sent_s = self.loop.time()
        await self.clock().running()
        return sent_s, self.serves(key)

    async def first_time(self, condition, limit_s=60.0):
        """Return after how many seconds a condition holds, infinity if it does not."""
        started_s = self.loop.time()
        while not condition():
            if self.loop.time() - started_s > limit_s:
                return math.inf
            await asyncio.sleep(0.01)
        return self.loop.time() - started_s


def play(act, **more):
    """Run ``act`` with a play whose configuration is known to all."""
    loop = SimulatedLoop()

    async def run():
        world = Play(loop, **more)
        world.store.put_keys("k")
        await world.start()
        await asyncio.sleep(3.0)
        try:
            return await act(world)
        finally:
            await world.stop()

    try:
        return loop.run_until_complete(run())
    finally:
        loop.close()
