"""The reports of two engines have no end; the agents beside them exceed their memory.

The script plays the platform: as ``DEPLOY.md`` says, a process that exceeds
``memoryMb`` is killed, and it is started again after a short delay. Judged is Fault: on
a tenth of the machines (two at least) processes end by themselves three times.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

from review.common.client import send
from review.common.deployment import ROOT, Deployment, Host, Record, is_troubled
from review.common.memory import MemoryLimit
from review.common.script import BROKEN, HELD, NOT_RUN, run

FOLDER = Path(__file__).resolve().parent
ENGINES = 4
FAULTY_ENGINES = 2
PLAY_S = 25.0
TROUBLE_AT_S = 6.0
# The site's sheet: 'side' machines have 232 MB.
MEMORY_MB = 232.0
ENDS_THAT_COUNT = 3
MACHINES_THAT_COUNT = 2


def configuration() -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Return routes and services of the desired state."""
    route = {
        "name": "draft",
        "host": "callers.example",
        "pathPrefix": "/draft/",
        "kind": "streaming",
        "timeoutMs": 4000,
        "targetLatencyMs": 800,
        "priority": 1,
        "service": "llm",
        "attempts": 2,
        "resumable": True,
        "gapTargetMs": 400,
    }
    model = {"name": "m0", "weightsMb": 72700.0, "loadTimeS": 4.3, "adapters": 30}
    engine = {
        "slots": 64,
        "kvCacheTokens": 148713,
        "models": [{**model, "adapterMb": 66.0}],
        "weightsMb": 74600.0,
        "adapterSlots": 6,
        "loadsPerS": 4.5,
    }
    service = {
        "name": "llm",
        "healthPath": "/health",
        "connectionLimit": 370,
        "engine": engine,
    }
    return [route], [service]


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        """Prepare the deployment."""
        self.record = record
        self.deployment = Deployment(record)
        self.engines: list[asyncio.subprocess.Process] = []
        self.limits: list[MemoryLimit] = []
        self.entry = Host("front-a-1", "entry", "127.0.1.1")
        self.served = 0
        self.requests = 0
        self._readers: list[asyncio.Task[None]] = []

    async def start(self) -> bool:
        """Start engines, store and processes; return whether the entry is ready."""
        deployment = self.deployment
        await deployment.start_store()
        deployment.put_configuration(1, *configuration())
        port = deployment.free_port()
        for number in range(1, ENGINES + 1):
            name, ip = f"i-engine{number}", f"127.0.2.{number}"
            born = await self._start_engine(name, ip, port)
            deployment.put_server(name, "llm", f"{ip}:{port}", born)
            side = Host(f"side-a-{number}", "agent", ip, port, "llm")
            await deployment.start(side)
            self.limits.append(MemoryLimit(deployment, side, MEMORY_MB))
        await deployment.start(self.entry)
        return await deployment.wait_until_ready(self.entry)

    async def _start_engine(self, name: str, ip: str, port: int) -> int:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(FOLDER / "endless_engine.py"),
            name,
            ip,
            str(port),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        self.engines.append(process)
        assert process.stdout is not None
        line = (await process.stdout.readline()).decode()
        self._readers.append(asyncio.create_task(self._copy(name, process)))
        return int(line.split()[1])

    async def _copy(self, name: str, process: asyncio.subprocess.Process) -> None:
        """Copy what an engine prints to the record."""
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.record.write(f"{name}: {line.decode().strip()}")

    async def run(self) -> None:
        """Send requests at a steady rate, and begin the disruption on the way."""
        watches = [asyncio.create_task(p.watch()) for p in self.limits]
        started_s = time.monotonic()
        has_trouble = False
        tasks = []
        number = 0
        while (at_s := time.monotonic() - started_s) < PLAY_S:
            if is_troubled() and at_s > TROUBLE_AT_S and not has_trouble:
                has_trouble = True
                for process in self.engines[:FAULTY_ENGINES]:
                    process.send_signal(signal.SIGUSR1)
                self.record.write("engines 1 and 2: their reports have no end from now")
            tasks.append(asyncio.create_task(self._request(number)))
            number += 1
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)
        for watch in watches:
            watch.cancel()
        await asyncio.gather(*watches, return_exceptions=True)

    async def _request(self, number: int) -> None:
        answer = await send(
            self.entry.ip,
            self.deployment.front_port,
            "draft",
            "POST",
            f"/draft/{number:x}",
            headers={
                "X-Model": f"m0/a{1 + number % 6}",
                "X-Token-Counts": "1800,20",
                "X-Prompt-Prefix": f"5c1e07a2:341,{number:08x}:1459",
            },
            body=b"request %d" % number,
            deadline_ms=4000,
            wait_s=5.0,
        )
        self.requests += 1
        self.served += answer.status == 200 and answer.is_complete
        self.record.write(answer.text())

    def judge(self) -> bool:
        """Return whether the rule was broken."""
        ended = [p for p in self.limits if p.ends >= ENDS_THAT_COUNT]
        counts = [p.ends for p in self.limits]
        peaks = [round(p.peak_mb) for p in self.limits]
        self.record.write(
            f"summary: ends of the agents {counts}, peak memory {peaks} MB of "
            f"{MEMORY_MB:.0f} MB, {self.served} of {self.requests} requests served"
        )
        return len(ended) >= MACHINES_THAT_COUNT

    async def close(self) -> None:
        """End everything that was started."""
        await self.deployment.close()
        for process in self.engines:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for reader in self._readers:
            reader.cancel()


async def main(record: Record) -> int:
    """Play the case and return its exit code."""
    play = Play(record)
    try:
        if not await play.start():
            record.write("summary: the entry did not become ready")
            return NOT_RUN
        await play.run()
        is_broken = play.judge()
        record.write("Fault" if is_broken else "no Fault")
        return BROKEN if is_broken else HELD
    finally:
        await play.close()


if __name__ == "__main__":
    run(FOLDER, main)
