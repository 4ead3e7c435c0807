"""A play of sound targets that fall silent and go on, beside planned changes.

``python -m tests.fakes.silent_play --seeds FIRST:LAST`` plays a range of seeds and
prints what callers saw. Targets fall silent for 0.5 to 2.5 s, one, several, or all of a
service, on all or a part of their connections. Meanwhile the configuration changes,
targets leave and come, entries are stopped and started anew, their settings change, and
at a crest all adapter slots and places are full. Each request that an entry has read
must get a whole answer or a refusal, and no failure before its deadline.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field, replace

from lentiltally.direct.settings import HostBounds
from tests.fakes.seeded_play import SeededPlay, play_seeds
from tests.fakes.silent_callers import LATE_S, Call, CallerConnection
from tests.fakes.silent_changes import TIMEOUTS_MS, Changes
from tests.fakes.silent_judge import Judge, LogLines, problem
from tests.fakes.silent_targets import PlayTarget

ENTRIES = 3
TARGETS = {
    "e0": "llm",
    "e1": "llm",
    "e2": "llm",
    "e3": "llm2",
    "p0": "plain",
    "p1": "plain",
    "p2": "plain2",
}
ENGINES = [name for name in TARGETS if name.startswith("e")]
PLACES = 6
EVENTS = 40
EVENT_S = 0.04
KEPT_CALLERS = 24
LINK_DELAY_S = 0.05
STOP_S = 8.0
# In this part of a stop's time the end may cut what targets are still at work on.
STOP_END_SHARE = 5 / 6
STOP_EXCUSES_UNTIL_S = 3.0
OUT_OF_ROTATION_S = 2.0
# A target that leaves goes on for this long at least.
LEAVING_S = 2.0
KINDS = ("stream", "stream", "stream", "stream-once", "safe", "safe", "once", "added")


@dataclass
class Entry:
    """An entry; ``stopped_at_s`` is when it was last asked to stop."""

    process: object
    address: object
    stopped_at_s: float = float("-inf")
    is_in_rotation: bool = True


@dataclass
class Play(SeededPlay):
    """One seeded play; ``broken`` has the story of each broken rule."""

    counts: Counter = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    has_stops: bool = True

    def run(self):
        with LogLines() as self._lines:
            return super().run()

    def summary(self):
        counts = ", ".join(
            f"{name} {n}" for name, n in sorted(self.counts.items()) if n
        )
        return "\n".join([counts, *(f"BROKEN {text}" for text in self.broken)])

    def _start(self):
        self._calls = []
        self._history = {}
        self._events = []
        self._stops = []
        self._is_crest = False
        system = self._system
        system.bounds = HostBounds(leaving_s=0.4, stop_s=STOP_S, retry_slack=50.0)
        system.start_store()
        self._changes = Changes(system, self._rng_of("changes"), self._note)
        system.call(self._changes.write)
        for name, service in TARGETS.items():
            more = {"model": "m", "slots": 4} if name in ENGINES else {}
            target = system.add_target(
                name,
                service=service,
                engine_type=PlayTarget,
                places=PLACES,
                history=self._history,
                events=EVENTS,
                event_s=EVENT_S,
                load_s=0.2,
                answer_after_s=0.1,
                **more,
            )
            if more:
                system.start_agent(target.name)
        self._entries = [self._start_entry(n) for n in range(ENTRIES)]

    def _start_entry(self, number, callers=None):
        system = self._system
        process, address = system.start_numbered_entry(number + 1, None, callers)
        assert system.wait(lambda: system._sees_all_targets(process))
        return Entry(process, address)

    def _rng_of(self, actor):
        """Return random numbers that don't depend on when others draw theirs."""
        return random.Random(f"{self.seed} {actor}")

    def _note(self, text):
        super()._note(text)
        self._events.append((time.monotonic(), text))

    async def _play(self):
        self._began = time.monotonic()
        self._until = self._began + self.length_s
        work = [self._call_kept() for _ in range(KEPT_CALLERS)]
        work += [self._call_anew(), self._crest(), self._make_silence()]
        work += [self._change(), self._move_targets()]
        if self.has_stops:
            work.append(self._stop_entries())
        await asyncio.gather(*work)

    @property
    def _is_over(self):
        return time.monotonic() > self._until

    # -- callers ---------------------------------------------------------------

    async def _open(self):
        """Connect to an entry in rotation; return None if that fails."""
        numbers = [n for n, e in enumerate(self._entries) if e.is_in_rotation]
        number = self._rng.choice(numbers or range(ENTRIES))
        try:
            return await CallerConnection.open(self._entries[number].address, number)
        except (OSError, TimeoutError):
            self.counts["not connected"] += 1
            return None

    def _next_call(self, connection):
        rng = self._rng
        name = rng.choice(KINDS)
        is_stream = name.startswith("stream")
        adapters = 10 if self._is_crest else 6
        least_s = 2.0 if is_stream else 1.0
        call = Call(
            f"r{len(self._calls)}",
            f"/{name}/x",
            None if rng.random() < 0.15 else rng.uniform(least_s, 6.0),
            connection.entry,
            connection.calls,
            adapter=f"a{rng.randint(1, adapters)}" if is_stream else "",
            body=b"b" * rng.choice((10, 3000)) if name == "once" else b"",
        )
        if call.body and rng.random() < 0.3:
            call.body_pause_s = rng.uniform(0.1, 0.7) * self._changes.body_s()
        self._calls.append(call)
        return call

    async def _call(self, connection):
        call = self._next_call(connection)
        limit_s = max(TIMEOUTS_MS) / 1000
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        return await connection.run(call, limit_s + LATE_S)

    async def _call_kept(self):
        """Send requests on a connection, with pauses up to 0.8 of the idle limit."""
        rng = self._rng
        while not self._is_over:
            connection = await self._open()
            if connection is None:
                await asyncio.sleep(0.1)
                continue
            for _ in range(rng.randint(2, 12)):
                if not await self._call(connection) or self._is_over:
                    break
                pause_s = rng.uniform(0.0, 0.4)
                if rng.random() < 0.2:
                    pause_s = 0.8 * self._changes.idle_s(rng.uniform(0.0, 2.0))
                await asyncio.sleep(pause_s)
                if connection.is_closed or self._is_over:
                    break
                # The caller can't know of a close that is still on its way.
                await asyncio.sleep(rng.uniform(0.0, LINK_DELAY_S))
            connection.close()

    async def _call_anew(self):
        """Send each request on a connection of its own, more of them at a crest."""
        tasks = []
        while not self._is_over:
            per_s = 60.0 if self._is_crest else 12.0
            await asyncio.sleep(self._rng.expovariate(per_s))
            tasks.append(asyncio.ensure_future(self._call_once()))
        await asyncio.gather(*tasks)

    async def _call_once(self):
        connection = await self._open()
        if connection is not None:
            await self._call(connection)
            connection.close()

    async def _crest(self):
        await asyncio.sleep(0.35 * self.length_s)
        self._note("a crest begins")
        self._is_crest = True
        await asyncio.sleep(0.25 * self.length_s)
        self._is_crest = False
        self._note("the crest ends")

    # -- what happens beside ---------------------------------------------------

    async def _make_silence(self):
        """Let targets fall silent, one, several, or all of a service."""
        rng = self._rng_of("silence")
        tasks = []
        while not self._is_over:
            await asyncio.sleep(rng.uniform(0.2, 1.2))
            # Streams last longest, so engines are chosen more often.
            names = rng.choice((list(TARGETS), ENGINES))
            service = rng.choice(list(TARGETS.values()))
            chosen = rng.choice(
                (
                    rng.sample(names, 1),
                    rng.sample(names, 1),
                    rng.sample(names, rng.randint(2, 4)),
                    [name for name in TARGETS if TARGETS[name] == service],
                )
            )
            share = rng.choice((1.0, 1.0, 0.5))
            length_s = rng.uniform(0.5, 2.5)
            silence = self._silence(chosen, share, length_s, rng)
            tasks.append(asyncio.ensure_future(silence))
        await asyncio.gather(*tasks)

    async def _silence(self, names, share, length_s, rng):
        targets = [self._system.engines[name] for name in names]
        targets = [target for target in targets if not target.silence.is_on]
        names = [target.name for target in targets]
        if not targets:
            return
        self._note(f"{names} fall silent for {length_s:.2f} s, share {share}")
        for target in targets:
            target.silence.begin(share, rng)
        await asyncio.sleep(length_s)
        for target in targets:
            target.silence.end()
        self._note(f"{names} go on")

    async def _change(self):
        """Change the configuration, at times several times in quick succession."""
        rng = self._changes.rng
        while not self._is_over:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            for _ in range(rng.choice((1, 1, 3, 4))):
                self._changes.change()
                await asyncio.sleep(0.25)

    async def _move_targets(self):
        """Let targets leave and come back, one after another."""
        rng = self._rng_of("targets")
        while not self._is_over:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            target = self._system.engines[rng.choice(list(TARGETS))]
            self._note(f"{target.name} leaves")
            self._system.put_record(target.name, state="draining")
            await asyncio.sleep(LEAVING_S)
            self._system.store.put("keyed.servers", target.name, None)
            while target.running or target.silence.is_on:
                await asyncio.sleep(0.05)
            target.stop()
            await asyncio.sleep(rng.uniform(0.2, 1.0))
            await target.recover()
            self._system.put_record(target.name)
            self._note(f"{target.name} comes back")

    async def _stop_entries(self):
        """Stop one entry after another, and change the settings in between."""
        rng = self._rng_of("stops")
        while not self._is_over:
            await asyncio.sleep(rng.uniform(0.5, 2.0))
            self._change_settings(rng.choice((30.0, 50.0, 80.0)))
            await asyncio.sleep(rng.uniform(0.5, 1.5))
            await self._stop_entry(rng.randrange(ENTRIES))

    def _change_settings(self, slack):
        system = self._system
        system.bounds = replace(system.bounds, retry_slack=slack)
        self._note(f"settings change: {slack} retries")
        for entry in self._entries:
            entry.process.reload()

    async def _stop_entry(self, number):
        entry = self._entries[number]
        self._note(f"entry {number} is asked to stop")
        entry.stopped_at_s = time.monotonic()
        self._stops.append((number, entry.stopped_at_s))
        out = asyncio.get_running_loop().call_later(
            OUT_OF_ROTATION_S, setattr, entry, "is_in_rotation", False
        )
        await self._system.stop(entry.process)
        out.cancel()
        entry.is_in_rotation = False
        self._note(f"entry {number} has stopped")
        started = await self._on_thread(self._start_entry, number, entry.address)
        self._entries[number] = started
        self._note(f"entry {number} runs again")

    # -- judgement -------------------------------------------------------------

    def _stop_end_s(self, call):
        """Return from when on the end of a stop may cut a call."""
        for number, stopped_at_s in self._stops:
            since_s = call.sent_at_s - stopped_at_s
            if number == call.entry and -STOP_S < since_s < STOP_EXCUSES_UNTIL_S:
                return stopped_at_s + STOP_END_SHARE * STOP_S
        return float("inf")

    def _judge(self):
        judge = Judge(
            self._history,
            self._lines.by_request,
            self._changes.timeouts_s,
            self._stop_end_s,
            EVENTS,
            self.counts,
        )
        for call in self._calls:
            judge.judge(call)
            reason = problem(call.answer)
            if call.answer.status != 200 and reason:
                self.counts[f"{call.answer.status} {reason}"] += 1
        if any(engine.has_crashed for engine in self._system.engines.values()):
            self.broken.append("LIMIT: more adapters than slots")
        for case in judge.broken:
            self.broken.append(judge.story(*case, self._began, self._events))


if __name__ == "__main__":
    play_seeds(Play, __doc__)
