"""A small deployment on loopback addresses: the project's processes and stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from common_2.engines import MODEL, BookingServer, Engine
from common_2.http1 import exchange
from common_2.store import Store

__all__ = ["BOUNDS", "Deployment", "Process"]

REPOSITORY = Path(__file__).resolve().parent.parent.parent
SETTINGS_PATH = "/etc/lentiltally/node.toml"
# As on the sheets of the small deployments.
BOUNDS: dict[str, object] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stabilityWindowMs": 3000,
    "acknowledgeMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configurationMs": 2000,
    "downgradeSlackMs": 250,
    "outerMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 56,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "fencingRequired": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOver": 1.1,
    "version_ms": 5000,
}
BEAT_S = 1.2
READY_TIMEOUT_S = 20.0
STORE_IP = "127.77.0.1"
HOST = "case.example"


@dataclass(slots=True)
class Process:
    """One process of the project on its own machine."""

    name: str
    role: str
    ip: str
    settings: Path
    started: subprocess.Popen[bytes] | None = None
    exits: list[int] = field(default_factory=list)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.started is not None and self.started.poll() is None:
            self.started.send_signal(number)


class Deployment:
    """Machines ``front-N`` with entries and ``side-N`` with an agent and an engine."""

    def __init__(self, bounds: dict[str, object] | None = None) -> None:
        """Choose ports that are free on this machine."""
        self.store = Store()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.entries: list[Process] = []
        self.agents: list[Process] = []
        self.engines: list[Engine] = []
        self.bookings: list[BookingServer] = []
        self.routes: list[dict[str, object]] = []
        self.tenants: list[dict[str, object]] | None = None
        self.version = 0
        self._folder = Path(tempfile.mkdtemp(prefix="lentiltally-case-"))
        base = _free_ports()
        self.store_port, self.front_port, self.ready_port = base, base + 1, base + 2
        self.peer_port, self.metrics_port = base + 3, base + 4
        self.app_port, self.booking_port = base + 5, base + 6
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self._commands = {r: deploy["roles"][r]["run"] for r in ("entry", "agent")}
        self._beats: dict[str, asyncio.Task[None]] = {}

    async def start(self, sides: int, bookings: int) -> None:
        """Start the store, the engines with their agents, and booking servers."""
        await self.store.listen(STORE_IP, self.store_port)
        for number in range(1, sides + 1):
            engine = Engine(f"i-{number:04}", side_ip(number), self.app_port, "llm")
            self.engines.append(engine)
            await engine.start()
            self.register(engine)
            self.agents.append(self._process("agent", number))
        for number in range(1, bookings + 1):
            ip = f"127.77.3.{number}"
            booking = BookingServer(f"b-{number:04}", ip, self.booking_port, "booking")
            self.bookings.append(booking)
            await booking.start()
            self.register(booking)
        for agent in self.agents:
            self.launch(agent)

    async def add_entry(self) -> Process:
        """Add a front machine, and wait until it is ready."""
        entry = self._process("entry", len(self.entries) + 1)
        self.entries.append(entry)
        self.launch(entry)
        await self.wait_ready(entry)
        return entry

    def register(self, server: Engine | BookingServer) -> None:
        """Keep the record of a server in the store."""
        self._beats[server.instance] = asyncio.create_task(self._beat(server))

    async def unregister(self, server: Engine | BookingServer) -> None:
        """Remove the record of a server, as the store does after three beats."""
        self._beats.pop(server.instance).cancel()
        await self.store.put("keyed.servers", server.instance, None)

    async def lose(self, server: Engine | BookingServer) -> None:
        """End a server for good; its record lapses after three silent beats."""
        await server.close()
        self._beats.pop(server.instance).cancel()
        await asyncio.sleep(3 * BEAT_S)
        await self.store.put("keyed.servers", server.instance, None)

    async def configure(self) -> None:
        """Write the next version of the desired state."""
        self.version += 3
        state: dict[str, object] = {
            "version": self.version,
            "routes": self.routes,
            "services": [self._llm(), self._booking()],
            "limits": {
                "headerBytes": 16384,
                "bodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        if self.tenants is not None:
            state["tenants"] = self.tenants
        await self.store.put("keyed.op", "config", state)

    async def announce(self, adapter: str, version: int) -> None:
        """Declare a new version of an adapter; the store has acknowledged it then."""
        notice = {"model": MODEL, "adapter": adapter, "version": version}
        for engine in self.engines:
            engine.newest[adapter] = version
        await self.store.put("keyed.op", f"version/{MODEL}.{adapter}", notice)

    def launch(self, process: Process) -> None:
        """Start a process with the command of the deploy file."""
        command = self._commands[process.role]
        words = [
            str(process.settings) if word == SETTINGS_PATH else word
            for word in shlex.split(command)
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LENTILTALLY_CONFIG"] = str(process.settings)
        with (self._folder / f"{process.name}.log").open("ab") as log:
            process.started = subprocess.Popen(
                words,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, entry: Process) -> None:
        """Wait until an entry says that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                answer = await exchange(
                    (entry.ip, self.ready_port),
                    "GET",
                    "/-/readiness",
                    {"Host": "x"},
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    return
                await asyncio.sleep(0.05)

    def log(self, process: Process) -> str:
        """Return what a process has written."""
        path = self._folder / f"{process.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def stop(self) -> None:
        """End all processes and stand-ins, and remove the temporary folder."""
        for process in [*self.entries, *self.agents]:
            process.signal(signal.SIGKILL)
            if process.started is not None:
                process.started.wait()
        for beat in self._beats.values():
            beat.cancel()
        for server in [self.store, *self.engines, *self.bookings]:
            await server.close()
        for path in self._folder.iterdir():
            path.unlink()
        with contextlib.suppress(OSError):
            self._folder.rmdir()

    async def _beat(self, server: Engine | BookingServer) -> None:
        while True:
            await self.store.put("keyed.servers", server.instance, server.record())
            await asyncio.sleep(BEAT_S)

    def _process(self, role: str, number: int) -> Process:
        machine = "front" if role == "entry" else "side"
        ip = front_ip(number) if role == "entry" else side_ip(number)
        name = f"{machine}-{number}"
        path = self._folder / f"{name}.toml"
        process = Process(name, role, ip, path)
        self.write_settings(process)
        return process

    def write_settings(self, process: Process, extra: str = "") -> None:
        """Write the settings file of a process, as the platform does."""
        is_entry = process.role == "entry"
        ip = process.ip
        listen = {
            "front": f"{ip}:{self.front_port}",
            "ready": f"{ip}:{self.ready_port}",
        }
        fields: dict[str, object] = {
            "nodeName": process.name,
            "role": process.role,
            "machineClass": "front" if is_entry else "side",
            "serves": ["front"] if is_entry else ["side"],
            "ipAddress": ip,
            "zone": "zone-a",
            "region": "region-a",
            "internalPorts": [self.peer_port, self.metrics_port],
            "seeds": [],
            "firstStart": True,
            "heartbeatMs": int(BEAT_S * 1000),
        }
        if not is_entry:
            fields |= {"app": f"{ip}:{self.app_port}", "service": "llm"}
        tables: dict[str, dict[str, object]] = {
            "zones": {"zone-a": "region-a"},
            "listenAddresses": dict(listen) if is_entry else {},
            "limits": {
                "cpuShare": 0.817,
                "cores": 1,
                "memoryMb": 300 if is_entry else 232,
                "fileDescriptors": 4100,
            },
            "bounds": self.bounds,
            "platform": {
                "address": f"{STORE_IP}:{self.store_port}",
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
            },
        }
        lines = [f"{name} = {json.dumps(value)}" for name, value in fields.items()]
        for title, values in tables.items():
            lines.append(f"[{title}]")
            lines += [f"{name} = {json.dumps(value)}" for name, value in values.items()]
        process.settings.write_text("\n".join(lines) + "\n" + extra)

    def _llm(self) -> dict[str, object]:
        engine = {
            "slots": 64,
            "kvCacheTokens": 120_000,
            "adapterSlots": 5,
            "weightsMb": 66_000.0,
            "models": [
                {
                    "name": MODEL,
                    "weightsMb": 65_100.0,
                    "loadTimeS": 0.72,
                    "adapters": 3000,
                    "adapterMb": 66.0,
                }
            ],
        }
        return {
            "name": "llm",
            "healthPath": "/health",
            "connectionLimit": 360,
            "engine": engine,
        }

    @staticmethod
    def _booking() -> dict[str, object]:
        return {"name": "booking", "healthPath": "/health", "connectionLimit": 96}


def front_ip(number: int) -> str:
    """Return the address of a front machine."""
    return f"127.77.1.{number}"


def side_ip(number: int) -> str:
    """Return the address of a side machine."""
    return f"127.77.2.{number}"


def route(name: str, kind: str, service: str, **more: object) -> dict[str, object]:
    """Return a route of the desired state, below the path ``/NAME/``."""
    fields: dict[str, object] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": service,
        "attempts": 1,
    }
    return fields | more


def _free_ports() -> int:
    """Return the first of some neighbouring ports that nothing uses."""
    for _ in range(100):
        base = random.randrange(20_000, 30_000, 10)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(base, base + 7):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        sock.bind((STORE_IP, port))
            except OSError:
                continue
            return base
    raise OSError("no free ports")
