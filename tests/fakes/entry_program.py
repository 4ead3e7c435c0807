"""An entry as a program of its own, beside the stand-ins of a DirectSystem."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

from lentiltally.direct.settings import SocketAddress
from tests.fakes.direct import OTHER_ENTRY_IP, WAIT_S
from tools._ports import free_port, free_upper_port

ROOT = Path(__file__).resolve().parents[2]
SETTINGS = """
nodeName = "entry-2"
role = "entry"
machineClass = "front"
serves = ["front"]
ipAddress = "{ip}"
zone = "z1"
region = "r"
internalPorts = [{peer_port}, {metrics_port}]
seeds = []
firstStart = true
heartbeatMs = 1200
[zones]
z1 = "r"
[listenAddresses]
front = "{callers}"
ready = "{ready}"
[platform]
address = "127.0.0.1:{store_port}"
[bounds]
graceS = {grace_s}
drainMs = 2000
configurationMs = 2000
stabilityWindowMs = 3000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
version_ms = 5000
[limits]
{limits}
"""


class EntryProgram:
    """Runs ``lentiltally entry``; signals reach it as on a host."""

    def __init__(self, system, grace_s, limits=None):
        self._system = system
        ip = OTHER_ENTRY_IP
        self.callers = SocketAddress(ip, free_port(ip))
        self._ready = SocketAddress(ip, free_port(ip))
        self._folder = tempfile.TemporaryDirectory()
        path = Path(self._folder.name, "entry.toml")
        path.write_text(
            SETTINGS.format(
                ip=ip,
                peer_port=system.peer_port,
                # The platform lists the two ports in ascending order.
                metrics_port=free_upper_port(ip),
                callers=self.callers,
                ready=self._ready,
                store_port=system.store.port,
                grace_s=grace_s,
                limits="\n".join(f"{k} = {v}" for k, v in (limits or {}).items()),
            )
        )
        command = [sys.executable, "-m", "lentiltally", "entry", "--settings", path]
        with Path(self._folder.name, "log").open("w") as log:
            self._process = subprocess.Popen(command, cwd=ROOT, stdout=log)

    @property
    def pid(self):
        return self._process.pid

    def wait_ready(self):
        async def ask():
            for _ in range(int(WAIT_S / 0.1)):
                try:
                    request = b"GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n"
                    answer = await self._system.raw(request, address=self._ready)
                    if answer.status == 200:
                        return True
                except OSError:
                    pass
                await asyncio.sleep(0.1)
            return False

        return self._system.run(ask())

    def signal(self, number):
        self._process.send_signal(number)

    def wait_ended(self, timeout_s):
        """Return the exit code; None if the program runs on."""
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def close(self):
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
        self._folder.cleanup()
