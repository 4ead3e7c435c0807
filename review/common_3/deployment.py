"""Starts the project's own programs, each as a process, with settings of a machine.

The commands are those of ``deploy/system.toml``; only the path of the settings file is
another one. All machines have loopback addresses of one network.
"""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from review.common_3.record import Record

__all__ = ["ROOT", "Deployment", "Machine"]

ROOT = Path(__file__).resolve().parents[2]
SETTINGS_PATH = "/etc/lentiltally/node.toml"
# The bounds of sites/parabolica-hq.toml, as its sheet gives them.
BOUNDS: dict[str, float] = {
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


@dataclass(slots=True)
class Machine:
    """One machine with one process of the project."""

    name: str
    role: str
    ip: str
    process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of the running process."""
        assert self.process is not None
        return self.process.pid


@dataclass(slots=True)
class Deployment:
    """The machines of one small deployment."""

    record: Record
    store_address: str = ""
    bounds: dict[str, float] = field(default_factory=lambda: dict(BOUNDS))
    machines: dict[str, Machine] = field(default_factory=dict)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    network: str = field(
        default_factory=lambda: (
            f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        )
    )
    peer_port: int = 0
    front_port: int = 0
    ready_port: int = 0

    def __post_init__(self) -> None:
        """Choose ports that are free on all addresses."""
        self.peer_port = self._free_ports(2)
        self.front_port = self._free_ports(1)
        self.ready_port = self._free_ports(1)

    def ip(self, number: int) -> str:
        """Return the loopback address with a number from 1 to 250."""
        return f"{self.network}.{number}"

    def add_front(self, number: int) -> Machine:
        """Add a machine that clients reach, and start its entry."""
        machine = Machine(f"front-z-{number}", "entry", self.ip(number))
        ready = f"{machine.ip}:{self.ready_port}"
        listen = {"front": f"{machine.ip}:{self.front_port}", "ready": ready}
        self._write(machine, "front", listen, {"cpuShare": 0.817, "memoryMb": 300})
        return self._add(machine)

    def add_side(self, number: int, engine_port: int, service: str) -> Machine:
        """Add the machine beside an engine, and start its agent."""
        machine = Machine(f"side-z-{number}", "agent", self.ip(number))
        more = f'app = "{machine.ip}:{engine_port}"\nservice = "{service}"\n'
        self._write(machine, "side", {}, {"cpuShare": 0.86, "memoryMb": 232}, more)
        return self._add(machine)

    def start(self, machine: Machine) -> None:
        """Start the process of a machine with the command of the deploy file."""
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        path = str(self.folder / f"{machine.name}.toml")
        words = [
            path if word == SETTINGS_PATH else word
            for word in roles[machine.role]["run"].split()
        ]
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {"LANG": "C.UTF-8", "LENTILTALLY_CONFIG": path}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        log = (self.folder / f"{machine.name}.log").open("ab")
        machine.process = subprocess.Popen(
            words, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
        )
        log.close()
        self.record.note(f"{machine.name} started, process {machine.pid}")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.record.note(f"{number.name} to {machine.name}")
        os.kill(machine.pid, number)

    def is_running(self, machine: Machine) -> bool:
        """Return whether the process of a machine has not ended."""
        return machine.process is not None and machine.process.poll() is None

    def close(self) -> None:
        """End all processes that were started, and remove their files."""
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                os.kill(machine.pid, signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, machine: Machine, text: str) -> list[str]:
        """Return the lines with a text that a machine has logged."""
        lines = (self.folder / f"{machine.name}.log").read_text().splitlines()
        return [line for line in lines if text in line]

    def _add(self, machine: Machine) -> Machine:
        self.machines[machine.name] = machine
        self.start(machine)
        return machine

    def _write(
        self,
        machine: Machine,
        machine_class: str,
        listen: dict[str, str],
        limits: dict[str, float],
        more: str = "",
    ) -> None:
        lines = [
            f'nodeName = "{machine.name}"',
            f'role = "{machine.role}"',
            f'machineClass = "{machine_class}"',
            f'serves = ["{machine_class}"]',
            f'ipAddress = "{machine.ip}"',
            'zone = "z"',
            'region = "r"',
            f"internalPorts = [{self.peer_port},{self.peer_port + 1}]",
            "seeds = []",
            "firstStart = true",
            "inTolerance = false",
            'discovery = "platform"',
            "heartbeatMs = 1200",
            more,
            "[zones]",
            'z = "r"',
            "[listenAddresses]",
            *(f'{name} = "{address}"' for name, address in listen.items()),
            "[limits]",
            "cores = 1",
            "fileDescriptors = 4096",
            "linkMbps = 1000.0",
            "diskMb = 0",
            *(f"{name} = {value}" for name, value in limits.items()),
            "[bounds]",
            *(f"{name} = {_toml(value)}" for name, value in self.bounds.items()),
            "[platform]",
            f'address = "{self.store_address}"',
            'form = "log"',
            "writesPerS = 400",
            "readsPerS = 2000",
            "parts = 12",
            "keep_s = 300",
        ]
        path = self.folder / f"{machine.name}.toml"
        path.write_text("\n".join(lines) + "\n")

    def _free_ports(self, count: int) -> int:
        """Return the first of some consecutive ports that nothing uses."""
        for _ in range(200):
            first = random.randint(20_000, 60_000)
            if all(self._is_free(first + step) for step in range(count)):
                return first
        raise RuntimeError("no free port")

    def _is_free(self, port: int) -> bool:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((self.ip(1), port))
                except OSError:
                    return False
        return True


def _toml(value: object) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)
