"""What plays of the direct path have in common: seed, log, event loop, command line."""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from dataclasses import dataclass, field

from tests.fakes.direct import DirectSystem

# The last trouble of a play may outlast it, and the machine may be busy.
PLAY_TIMEOUT_S = 90.0


@dataclass
class SeededPlay:
    """One seeded play; ``log`` has its events, with times since its start."""

    seed: int
    length_s: float = 14.0
    log: list[str] = field(default_factory=list)

    def run(self):
        self._rng = random.Random(self.seed)
        self._system = system = DirectSystem()
        try:
            self._start()
            work = asyncio.run_coroutine_threadsafe(self._play(), system.loop)
            work.result(PLAY_TIMEOUT_S)
        finally:
            system.close()
        self._judge()
        return self

    def _note(self, text):
        self.log.append(f"{time.monotonic() - self._began:7.3f} {text}")

    async def _on_thread(self, act, *args):
        return await asyncio.get_running_loop().run_in_executor(None, act, *args)


def play_seeds(play_type, description):
    """Play the seeds that the command line names, and print what each one did."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", default="1:3")
    parser.add_argument("--log", action="store_true")
    arguments = parser.parse_args()
    first, last = map(int, arguments.seeds.split(":"))
    for seed in range(first, last + 1):
        play = play_type(seed).run()
        print(f"seed {seed}: {play.summary()}", flush=True)
        if arguments.log:
            print("\n".join(play.log))
