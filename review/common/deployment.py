"""A small deployment on loopback: store, configuration, processes of the project.

The processes run with the commands of ``deploy/system.toml`` and get settings in the
platform's format. Every host has a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from standins.platform_store import PlatformStoreStandIn

__all__ = ["Deployment", "Host", "Record", "is_troubled"]

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PLACE = "/etc/lentiltally/node.toml"
READY_WITHIN_S = 15.0
STOP_WITHIN_S = 10.0

BOUNDS = """
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
acknowledgeMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configurationMs = 2000
downgradeSlackMs = 250
outerMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
recoveryS = 12
passMs = 120
retryAfterS = 0
fencingRequired = false
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOver = 1.1
version_ms = 5000
"""


def is_troubled() -> bool:
    """Return whether the script runs with its disruption (``TROUBLE`` is not 0)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in the folder of a case."""
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """End the record."""
        self._file.close()


@dataclass(slots=True)
class Host:
    """A host of the deployment, with the process that runs on it."""

    name: str
    role: str
    ip: str
    app_port: int = 0
    service: str = ""
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    ends: list[str] = field(default_factory=list)


class Deployment:
    """The store and the processes of the project; addresses are chosen at the start."""

    def __init__(self, record: Record) -> None:
        """Choose ports that are free now."""
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = PlatformStoreStandIn()
        self.hosts: dict[str, Host] = {}
        self._ports = random.Random()
        self.front_port, self.ready_port, self.peer_port, self.metrics_port = (
            self._free_ports(4)
        )
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self._roles = tomllib.load(file)["roles"]

    async def start_store(self) -> None:
        """Start the platform's store."""
        await self.store.start("127.0.0.1")

    def put_configuration(
        self, version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Write a desired state to the store."""
        limits = {
            "headerBytes": 16384,
            "bodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        state = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put_json("keyed.op", "config", state)
        self.record.write(f"configuration {json.dumps(state)}")

    def put_server(
        self, target_id: str, service: str, address: str, born: int, **fields: Any
    ) -> None:
        """Write a server's entry to the store."""
        entry = {
            "service": service,
            "address": address,
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": born,
            **fields,
        }
        self.store.put_json("keyed.servers", target_id, entry)
        self.record.write(f"servers/{target_id} {json.dumps(entry)}")

    async def start(self, host: Host) -> None:
        """Start the process of a host with the command of the deploy file."""
        self.hosts[host.name] = host
        path = self.folder / f"{host.name}.toml"
        path.write_text(self._settings(host))
        command = self._roles[host.role]["run"].replace(SETTINGS_PLACE, str(path))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["LENTILTALLY_CONFIG"] = str(path)
        log = (self.folder / f"{host.name}.log").open("ab")
        host.process = await asyncio.create_subprocess_exec(
            *command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        host.starts += 1
        self.record.write(f"{host.name} started, command: {host.role}")

    def log_lines(self, host: Host) -> list[dict[str, Any]]:
        """Return what a process has logged, for the record only."""
        lines = []
        for line in (self.folder / f"{host.name}.log").read_text().splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    async def is_ready(self, host: Host, timeout_s: float = 1.0) -> bool:
        """Ask an entry whether it is ready, as the platform does each second."""
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host.ip, self.ready_port)
                try:
                    writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                    line = await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, host: Host) -> bool:
        """Wait until an entry is ready; return whether it became so."""
        until_s = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until_s:
            if await self.is_ready(host):
                self.record.write(f"{host.name} is ready")
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, host: Host, number: signal.Signals) -> None:
        """Send a signal to the process of a host."""
        assert host.process is not None
        self.record.write(f"{host.name} gets {number.name}")
        host.process.send_signal(number)

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for host in self.hosts.values():
            process = host.process
            if process is None or process.returncode is not None:
                continue
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STOP_WITHIN_S):
                    await process.wait()
        self.store.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _free_ports(self, count: int) -> list[int]:
        ports: list[int] = []
        while len(ports) < count:
            port = self._ports.randrange(20_000, 30_000)
            if port not in ports and _is_free(port):
                ports.append(port)
        return sorted(ports)

    def free_port(self) -> int:
        """Return a port that is free on all loopback addresses used here."""
        return self._free_ports(1)[0]

    def _settings(self, host: Host) -> str:
        is_front = host.role == "entry"
        lines = [
            f'nodeName = "{host.name}"',
            f'role = "{host.role}"',
            f'machineClass = "{"front" if is_front else "side"}"',
            f'serves = ["{"front" if is_front else "side"}"]',
            f'ipAddress = "{host.ip}"',
            'zone = "a"',
            'region = "r"',
            f"internalPorts = [{self.peer_port}, {self.metrics_port}]",
            "seeds = []",
            "firstStart = true",
            "heartbeatMs = 1200",
        ]
        if not is_front:
            lines.append(f'app = "{host.ip}:{host.app_port}"')
            lines.append(f'service = "{host.service}"')
        lines += ["[zones]", 'a = "r"', "[listenAddresses]"]
        if is_front:
            lines.append(f'front = "{host.ip}:{self.front_port}"')
            lines.append(f'ready = "{host.ip}:{self.ready_port}"')
        lines += ["[platform]", f'address = "127.0.0.1:{self.store.port}"']
        return "\n".join(lines) + "\n" + BOUNDS


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind(("0.0.0.0", port))
            except OSError:
                return False
    return True
