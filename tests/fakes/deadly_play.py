"""A play of requests that end each target that runs them, beside other trouble.

``python -m tests.fakes.deadly_play --seeds FIRST:LAST`` plays a range of seeds and
prints what each request did. Callers send the same path and body again and again, at
any entry. Entries are killed and cut off from the agents, agents and sound targets end,
and clocks advance past the end of refusals. Once a request has ended its third target,
few copies of it may reach targets any more.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from lentiltally.clock import SystemClock
from standins.platform_engine import PlatformEngineStandIn
from tests.fakes.direct import configuration, route
from tests.fakes.seeded_play import SeededPlay, play_seeds

ENTRIES = 3
ENGINES = 4
PLAIN_TARGETS = 4
TARGET_DOWN_S = 1.0
# After the third end, entries have this long to learn of it. Entries that trouble has
# met more recently may not know yet.
STABLE_AFTER_S = 3.0
ENDS_ALLOWED = 3
LATE_SENDS_ALLOWED = 3
# Longer than the first refusal of a request at any entry.
LAPSE_S = 125.0
PATHS = ("/stream/dead", "/safe/dead", "/once/dead")
SOUND_PATHS = ("/stream/sound", "/safe/sound", "/once/sound")


class AdvancingClock(SystemClock):
    """The system's clock, with a monotonic time that can be advanced."""

    advanced_s = 0.0

    def monotonic_s(self):
        return time.monotonic() + self.advanced_s


class RecordingEngine(PlatformEngineStandIn):
    """A target that notes when each copy of a deadly request reaches it."""

    def __init__(self, *args, arrivals, **more):
        PlatformEngineStandIn.__init__(self, *args, **more)
        self._arrivals = arrivals

    async def exchange(self, request, writer):
        if request.body in self.poisoned_bodies:
            self._arrivals.append(
                (time.monotonic(), request.path, request.headers["x-request-id"])
            )
        return await super().exchange(request, writer)

    def crash(self):
        for path in {run.path for run in self.runs if run.body in self.poisoned_bodies}:
            self._arrivals.append((time.monotonic(), path, None))
        self.runs.clear()
        super().crash()


@dataclass
class Entry:
    """An entry of the play; ``stable_from`` is when trouble last met it."""

    process: object
    address: object
    stable_from: float = 0.0
    is_cut: bool = False


@dataclass
class Play(SeededPlay):
    """One seeded play; ``late_sends`` and ``ends`` count by path."""

    late_sends: dict[str, int] = field(default_factory=dict)
    ends: dict[str, int] = field(default_factory=dict)
    sound_served: int = 0
    sound_sent: int = 0

    def summary(self):
        is_broken = max(self.late_sends.values()) > LATE_SENDS_ALLOWED
        return (
            f"late sends {self.late_sends}, ends {self.ends}, sound "
            f"{self.sound_served} of {self.sound_sent}{' BROKEN' if is_broken else ''}"
        )

    def _start(self):
        self._arrivals = []
        self._senders = {}
        self._clock = AdvancingClock()
        system = self._system
        system.start_store()
        routes = [
            route("stream", "streaming", "llm", resumable=True),
            route("safe", "safe", "plain", attempts=3),
            route("once", "unsafe", "plain", attempts=1),
        ]
        system.configure(configuration(1, routes))
        bodies = frozenset(path.encode() for path in PATHS)
        for number in range(ENGINES + PLAIN_TARGETS):
            is_engine = number < ENGINES
            more = {"service": "llm", "model": "m", "slots": 2} if is_engine else {}
            engine = system.add_target(
                f"{'e' if is_engine else 'p'}{number}",
                engine_type=RecordingEngine,
                arrivals=self._arrivals,
                poisoned_bodies=bodies,
                crash_after_s=0.1,
                **more,
            )
            if is_engine:
                engine.adapters["a1"] = 1
                system.start_agent(engine.name)
        self._entries = [self._start_entry(n) for n in range(1, ENTRIES + 1)]
        for entry in self._entries:
            assert system.wait(lambda e=entry: system._sees_all_targets(e.process))

    def _start_entry(self, number):
        process, address = self._system.start_numbered_entry(number, self._clock)
        return Entry(process, address, time.monotonic())

    async def _play(self):
        self._began = time.monotonic()
        until = self._began + self.length_s
        work = [self._send_deadly(path, until) for path in PATHS]
        work += [self._send_sound(until), self._recover_targets(until)]
        work += [self._make_trouble(until)]
        await asyncio.gather(*work)

    async def _send_deadly(self, path, until):
        count = 0
        while time.monotonic() < until:
            await asyncio.sleep(self._rng.uniform(0.1, 0.5))
            number = self._rng.randrange(ENTRIES)
            count += 1
            request_id = f"{path}-{count}"
            self._senders[request_id] = number
            asyncio.ensure_future(self._send(number, path, request_id, path.encode()))

    async def _send_sound(self, until):
        while time.monotonic() < until:
            await asyncio.sleep(0.03)
            number = self._rng.randrange(ENTRIES)
            path = self._rng.choice(SOUND_PATHS)
            request_id = f"sound-{self.sound_sent}"
            self.sound_sent += 1
            body = request_id.encode()
            asyncio.ensure_future(self._send(number, path, request_id, body))

    async def _send(self, number, path, request_id, body):
        headers = {"X-Model": "m/a1", "X-Token-Counts": "300,5"}
        with contextlib.suppress(OSError):
            answer = await self._system.request(
                path,
                request_id,
                body=body,
                headers=headers if "stream" in path else {},
                address=self._entries[number].address,
            )
            if answer.status == 200 and answer.is_complete:
                self.sound_served += 1

    async def _recover_targets(self, until):
        down = {}
        while time.monotonic() < until:
            await asyncio.sleep(0.05)
            for name, engine in self._system.engines.items():
                if not engine.is_stopped:
                    continue
                since = down.setdefault(name, time.monotonic())
                if time.monotonic() - since > TARGET_DOWN_S:
                    del down[name]
                    await engine.recover()
                    engine.adapters["a1"] = 1
                    self._system.put_record(name)

    async def _make_trouble(self, until):
        kinds = [self._restart_entry, self._cut_entry, self._restart_agents]
        kinds += [self._end_sound_target, self._lapse]
        first = True
        while time.monotonic() < until - 2.0:
            await asyncio.sleep(
                4.0 + self._rng.random() if first else self._rng.uniform(0.5, 2.0)
            )
            first = False
            await self._rng.choice(kinds)()

    async def _restart_entry(self):
        number = self._rng.randrange(ENTRIES)
        entry = self._entries[number]
        self._note(f"entry {number} is restarted")
        await self._on_thread(self._system.kill, entry.process)
        await asyncio.sleep(0.2)
        self._entries[number] = await self._on_thread(self._start_entry, number + 1)

    async def _cut_entry(self):
        entry = self._rng.choice(self._entries)
        peers = entry.process._peers
        self._note(f"entry {self._entries.index(entry)} is cut off from agents")
        send_all, receive = peers.send_all, peers.datagram_received
        peers.send_all = lambda addresses, message: None
        peers.datagram_received = lambda data, addr: None
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        peers.send_all, peers.datagram_received = send_all, receive
        entry.stable_from = time.monotonic()

    async def _restart_agents(self):
        names = self._rng.sample(list(self._system.agents), self._rng.randint(1, 4))
        self._note(f"agents {names} end")
        for name in names:
            await self._on_thread(self._system.kill, self._system.agents[name])
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        for name in names:
            await self._on_thread(self._system.start_agent, name)

    async def _end_sound_target(self):
        engine = self._rng.choice(list(self._system.engines.values()))
        if not engine.is_stopped:
            self._note(f"target {engine.name} ends")
            engine.crash()

    async def _lapse(self):
        self._note(f"clocks advance by {LAPSE_S} s")
        self._clock.advanced_s += LAPSE_S

    def _judge(self):
        for path in PATHS:
            self._judge_path(path)

    def _judge_path(self, path):
        """Count the copies that reach targets late, from entries without trouble."""
        ends, late = 0, 0
        third_end = None
        for at, arrived_path, request_id in sorted(self._arrivals, key=lambda a: a[0]):
            if arrived_path != path:
                continue
            text = f"{at - self._began:7.3f} {path}"
            if request_id is None:
                ends += 1
                if ends == ENDS_ALLOWED:
                    third_end = at
                self.log.append(f"{text} ends its target number {ends}")
                continue
            number = self._senders[request_id]
            is_late = third_end is not None and at > third_end + STABLE_AFTER_S
            is_stable = at > self._entries[number].stable_from + STABLE_AFTER_S
            late += is_late and is_stable
            self.log.append(
                f"{text} from entry {number}{' LATE' if is_late and is_stable else ''}"
            )
        self.ends[path], self.late_sends[path] = ends, late
        self.log.sort()


if __name__ == "__main__":
    play_seeds(Play, __doc__)
