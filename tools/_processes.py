"""Start and stop the processes of a deployment on loopback."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType
from urllib.error import URLError

from tools._ports import free_port

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0


class StartError(Exception):
    """A process of the deployment did not become ready."""


class Processes:
    """Processes started by this program, by name; all are stopped on exit."""

    def __init__(self, log_folder: Path) -> None:
        """Write the output of each process to a file in the folder."""
        self._folder = log_folder
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Processes:
        """Return this collection."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop all processes that still run."""
        self.stop_all()

    def start(self, name: str, arguments: Sequence[str]) -> subprocess.Popen[bytes]:
        """Start ``python -m`` with the arguments, registered under a name."""
        with (self._folder / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                cwd=ROOT,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self._running[name] = process
        return process

    def start_standin(self, name: str, kind: str, *options: str) -> str:
        """Start a stand-in on a free port and return its URL once it answers."""
        port = free_port()
        self.start(name, ["standins", kind, "--port", str(port), *options])
        url = f"http://127.0.0.1:{port}"
        self.wait_http(name, f"{url}/faults")
        return url

    def wait_http(
        self, name: str, url: str, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Wait until the URL answers 200; raises StartError otherwise."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            if self._running[name].poll() is not None:
                break
            try:
                with urllib.request.urlopen(url, timeout=2):
                    return
            except (URLError, OSError):
                time.sleep(0.05)
        raise StartError(f"{name} did not answer at {url}:\n{self.output(name)}")

    def output(self, name: str) -> str:
        """Return the last 4,000 characters of the output of a process."""
        return (self._folder / f"{name}.log").read_text(errors="replace")[-4_000:]

    def process(self, name: str) -> subprocess.Popen[bytes]:
        """Return a process by name."""
        return self._running[name]

    def stop(self, name: str, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to a process, wait for its exit and return the exit code."""
        process = self._running.pop(name)
        process.send_signal(signal_number)
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def stop_all(self) -> None:
        """Stop all processes, starting with the last one started."""
        for process in reversed(self._running.values()):
            process.send_signal(signal.SIGTERM)
        for name in reversed(list(self._running)):
            self.stop(name)
