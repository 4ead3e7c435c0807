"""A randomized fault soak: ``python -m tests.soak --seed N --seconds S``.

Runs an entry and two agents as processes against stand-ins behind loopback proxies,
injects faults from outside, and checks what callers receive and targets execute. The
last line of output is one JSON object; the exit code is 1 if a guarantee was violated.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import signal
import sys
import tempfile
from collections import Counter
from pathlib import Path

import tomlkit

from standins.platform_engine import PlatformEngineStandIn
from standins.platform_store import PlatformStoreStandIn
from tests.fakes.direct import ENTRY_IP, DirectSystem, engine_ip
from tests.fakes.tcp_proxy import TcpProxy
from tests.soak.operator import ADAPTER_SLOTS, Operator
from tools._ports import free_port, free_upper_port

ROOT = Path(__file__).resolve().parent.parent.parent
REQUEST_INTERVAL_S = 0.02
SHUTDOWN_GRACE_S = 4.0
MAX_PAUSE_S = 1.5
PROCESS_START_S = 3.0
# Longest time until a process runs again if the last fault sent it SIGTERM and another
# fault pauses it during its shutdown. The platform allows 15 s for a recovery.
RECOVERY_S = SHUTDOWN_GRACE_S + MAX_PAUSE_S + PROCESS_START_S
FAULT_INTERVAL_S = (0.05, 0.4)
# Time for the newest version to be in force once the store answers.
VERSION_BOUND_S = 2.0
# Number of consecutive requests that one fault of a back end affects.
STEPS_PER_FAULT = 6
SCRIPT_STEPS = (
    "lost",
    "hang",
    "full",
    "error",
    "stray",
    "extra",
    "cut",
    "unframed-reset",
)


class Soak:
    """One run with its processes, proxies, callers, faults and results.

    ``outcomes`` counts answers by status, ``cut`` (ended early) or ``no connection``;
    ``faults`` counts injected faults by kind. ``refused_ids`` holds requests refused
    with 503, which must not be executed; ``non_idempotent_ids`` holds requests that
    must be executed at most once. ``sequence`` numbers the records that targets write
    to the store. ``terminating`` names the processes that a fault has told to stop or
    killed and that are not restarted yet.
    """

    def __init__(self, seed: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.folder = folder
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.stopping = False
        self.terminating: set[str] = set()
        self.violations: list[str] = []
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.refused_ids: set[str] = set()
        self.non_idempotent_ids: set[str] = set()
        self.store = PlatformStoreStandIn()
        self.operator = Operator(self.store, self.rng)
        self.targets: list[PlatformEngineStandIn] = []
        self.proxies: dict[str, TcpProxy] = {}
        self.sequence = 0
        self.peer_port = free_port(ENTRY_IP)
        self.metrics_port = free_upper_port(ENTRY_IP)
        # Created without __init__, since only its request() method is used.
        self.callers = DirectSystem.__new__(DirectSystem)

    async def start(self) -> None:
        await self.store.start("127.0.0.1")
        self.store.begin_eras()
        self.operator.write_next()
        self.store.take_copy()
        for number, name in enumerate(("e1", "e2", "p1", "p2", "p3")):
            is_engine = name.startswith("e")
            target = PlatformEngineStandIn(
                name,
                model="m" if is_engine else "",
                slots=ADAPTER_SLOTS if is_engine else 0,
            )
            target.ip = engine_ip(number)
            target.service = "llm" if is_engine else "plain"
            await target.start(target.ip)
            proxy = self.proxies[name] = TcpProxy(target.ip, target.port)
            await proxy.start()
            self.targets.append(target)
            if is_engine:
                self.write_settings(f"agent-{name}", target.ip, target)
        self.write_settings("entry", ENTRY_IP, None)
        for name in ("entry", "agent-e1", "agent-e2"):
            await self.run_process(name)

    def write_settings(
        self, name: str, ip: str, target: PlatformEngineStandIn | None
    ) -> None:
        document: dict[str, object] = {
            "nodeName": name,
            "serves": ["side"] if target else ["front"],
            "ipAddress": ip,
            "zone": "z1",
            "internalPorts": [self.peer_port, self.metrics_port],
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
            "bounds": {"drainMs": 400, "graceS": SHUTDOWN_GRACE_S},
        }
        if target is not None:
            document |= {"app": f"{ip}:{target.port}", "service": "llm"}
        else:
            self.callers.entry_address = address = _Address(ip, free_port(ip))
            document["listenAddresses"] = {
                "front": f"{ip}:{address.port}",
                "ready": f"{ip}:{free_port(ip)}",
            }
        (self.folder / f"{name}.toml").write_text(tomlkit.dumps(document))

    async def run_process(self, name: str) -> None:
        role = name.partition("-")[0]
        settings = str(self.folder / f"{name}.toml")
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "lentiltally", role, "--settings", settings),
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )

    # -- faults ----------------------------------------------------------------

    async def inject_faults(self) -> None:
        while not self.stopping:
            fault = self.rng.choice(
                (
                    self.fault_process,
                    self.fault_proxy,
                    self.fault_target,
                    self.fault_target,
                    self.fault_store,
                )
            )
            asyncio.ensure_future(fault())
            await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL_S))

    async def fault_process(self) -> None:
        name = self.rng.choice(list(self.processes))
        kind = self.rng.choice(("kill", "term", "pause"))
        process = self.processes[name]
        self.faults[kind] += 1
        if process.returncode is not None:
            return
        if kind == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.1, MAX_PAUSE_S))
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
            return
        process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        if name in self.terminating:
            # The call that terminated the process first also restarts it.
            return
        self.terminating.add(name)
        await process.wait()
        self.terminating.discard(name)
        if not self.stopping:
            await self.run_process(name)

    async def fault_proxy(self) -> None:
        proxy = self.rng.choice(list(self.proxies.values()))
        kind = self.rng.choice(("silent", "deaf", "delay", "reset"))
        self.faults[kind] += 1
        if kind == "reset":
            proxy.reset_all()
            return
        proxy.delay_s = 0.1 if kind == "delay" else 0.0
        proxy.modes |= {kind} - {"delay"}
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        proxy.delay_s = 0.0
        proxy.modes.clear()

    async def fault_target(self) -> None:
        target = self.rng.choice(self.targets)
        self.faults["script"] += 1
        if target.slots and self.rng.random() < 0.3:
            target.restart()
        elif target.slots and self.rng.random() < 0.3:
            target.order_script.append("late")
        else:
            target.script.extend(self.rng.choices(SCRIPT_STEPS, k=STEPS_PER_FAULT))

    async def fault_store(self) -> None:
        kind = self.rng.choice(("busy", "silent", "restore"))
        self.faults["restore" if kind == "restore" else "store"] += 1
        self.store.mode = "busy" if kind == "restore" else kind
        self.store.reset_all()
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        if kind == "restore":
            self.store.restore()
            # The operator writes again what it wrote.
            self.operator.write_again()
        else:
            self.store.compact_topic("keyed.op")
        self.store.mode = "up"

    async def announce_targets(self) -> None:
        """Write the records of all targets to the store, as their heartbeats do."""
        while not self.stopping:
            self.sequence += 1
            for target in self.targets:
                entry = {
                    "service": target.service,
                    "address": f"{target.ip}:{self.proxies[target.name].port}",
                    "zone": "z1",
                    "slots": 8,
                    "state": "ready",
                    "sequence": self.sequence,
                    "born": target.born,
                }
                self.store.put_json("keyed.servers", target.name, entry)
            await asyncio.sleep(0.3)

    # -- callers and checks ----------------------------------------------------

    async def send_request(self, number: int) -> str:
        kind = self.rng.choice(("safe", "once", "stream", "stream-once"))
        request_id = f"q{number}"
        headers = {"X-Deadline-Milliseconds": "2500"}
        body = b"booking" if kind == "once" else b""
        if kind.startswith("stream"):
            adapter = f"a{self.rng.randint(0, 5)}"
            headers |= {"X-Model": f"m/{adapter}", "X-Token-Counts": "100,20"}
        if kind in ("once", "stream-once"):
            self.non_idempotent_ids.add(request_id)
        try:
            answer = await self.callers.request(
                f"/{kind}/x", request_id, body=body, headers=headers
            )
        except OSError:
            return "no connection"
        self.check_answer(kind, request_id, answer)
        return str(answer.status) if answer.is_complete else "cut"

    def check_answer(self, kind: str, request_id: str, answer) -> None:
        if answer.status == 503 and answer.is_complete:
            self.refused_ids.add(request_id)
        if answer.status != 200:
            return
        if kind.startswith("stream"):
            ids = answer.event_ids()
            expected_ids = list(range(1, 6))
            if ids != expected_ids[: len(ids)] or (
                answer.is_complete and ids != expected_ids
            ):
                self.violations.append(f"{request_id}: events {ids}")
            if request_id.encode() not in answer.body and ids:
                self.violations.append(f"{request_id}: events of another request")
        elif answer.is_complete and answer.body != b"body of " + request_id.encode():
            self.violations.append(f"{request_id}: body {answer.body!r}")

    def check_targets(self) -> None:
        runs = Counter(run.request_id for target in self.targets for run in target.runs)
        for request_id in self.non_idempotent_ids:
            if runs[request_id] > 1:
                self.violations.append(f"{request_id}: ran {runs[request_id]} times")
        for request_id in self.refused_ids:
            if runs[request_id]:
                self.violations.append(f"{request_id}: refused as not run, but ran")
        for target in self.targets:
            if target.has_crashed:
                self.violations.append(f"{target.name}: more loads than slots")

    async def send_load(self, seconds: float) -> list[str]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        requests = []
        while loop.time() < end_s:
            requests.append(
                asyncio.ensure_future(self.send_request(next(self.request_numbers)))
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)
        outcomes = list(await asyncio.gather(*requests))
        self.outcomes.update(outcomes)
        return outcomes

    async def check_version(self) -> None:
        """Check that the newest version of the configuration gets in force."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + VERSION_BOUND_S
        statuses = []
        while loop.time() < until_s and (not statuses or statuses[-1] != 200):
            number = next(self.request_numbers)
            answer = await self.callers.request(
                f"/n{self.operator.version}/x", f"q{number}"
            )
            statuses.append(answer.status)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        if statuses[-1] != 200:
            self.violations.append(
                f"version {self.operator.version}: {Counter(statuses)}"
            )

    async def run(self, seconds: float) -> None:
        self.request_numbers = iter(range(1, 1_000_000))
        await self.start()
        announcing = asyncio.ensure_future(self.announce_targets())
        operating = asyncio.ensure_future(self.operator.run())
        await asyncio.sleep(1.5)
        faults = asyncio.ensure_future(self.inject_faults())
        await self.send_load(seconds)
        faults.cancel()
        await asyncio.sleep(RECOVERY_S)
        for target in self.targets:
            target.script.clear()
        outcomes_after_faults = await self.send_load(1.0)
        if outcomes_after_faults.count("200") < 0.9 * len(outcomes_after_faults):
            self.violations.append(
                f"after the faults: {Counter(outcomes_after_faults)}"
            )
        operating.cancel()
        await self.check_version()
        self.stopping = True
        announcing.cancel()
        self.check_targets()
        await self.stop()

    async def stop(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in (*self.targets, self.store, *self.proxies.values()):
            server.stop()


class _Address:
    def __init__(self, ip: str, port: int) -> None:
        self.ip = ip
        self.port = port


def kept_log_folder(folder: Path, seed: int) -> Path:
    """Create and return the folder for the settings and logs of one seed."""
    kept = folder / f"seed-{seed}"
    kept.mkdir(parents=True, exist_ok=True)
    return kept


def main() -> int:
    """Run one seed and print the report."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--keep-logs", type=Path)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run_folder = Path(folder)
        if arguments.keep_logs is not None:
            run_folder = kept_log_folder(arguments.keep_logs, arguments.seed)
        soak = Soak(arguments.seed, run_folder)
        asyncio.run(soak.run(arguments.seconds))
    report = {
        "seed": arguments.seed,
        "broken": soak.violations,
        "outcomes": soak.outcomes,
        "faults": soak.faults,
    }
    print(json.dumps(report))
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
