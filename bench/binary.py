"""Start time and memory of the binary, run as a host without disks would run it."""

from __future__ import annotations

import contextlib
import hashlib
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Final

import msgspec
import urllib3

from bench._measurement import Measurement
from lentiltally.config import CONFIG_STREAM, ChangeItem, ChangeRecord
from tools.build_binary import OUTPUT

START_BOUND_S: Final = 1.5
MEMORY_BOUND_BYTES: Final = 64 * 1024 * 1024
STARTS: Final = 5
ADAPTER_COUNTS: Final = (3_000, 100_000)
TEAMS: Final = 200
ITEMS_PER_RECORD: Final = 1_000
# Later than this a start counts as failed; the bound itself is far below.
GIVE_UP_S: Final = 20.0
IDLE_S: Final = 2.0
POLL_S: Final = 0.005
ROOT: Final = Path(__file__).resolve().parent.parent


@dataclass(frozen=True, slots=True)
class Started:
    """One start of the binary."""

    ready_s: float
    resident_bytes: int


def run(seed: int) -> Measurement:
    """Build twice, start the entry several times and read its memory.

    ``value`` is the median time from the start of the process to ``/readyz`` 200 with
    the smaller number of adapters; the first start is left out, because it may read the
    file from a disk.
    """
    identical, file_bytes = _build_twice()
    starts: list[Started] = []
    with _read_only_copy(OUTPUT) as binary:
        small, large = ADAPTER_COUNTS
        with _platform(small, seed) as urls:
            _start(binary, urls)
            starts = [_start(binary, urls) for _ in range(STARTS)]
        with _platform(large, seed) as urls:
            largest = _start(binary, urls)
        untouched = [path.name for path in binary.parent.iterdir()] == [binary.name]
    median_s = statistics.median(start.ready_s for start in starts)
    resident_bytes = statistics.median(start.resident_bytes for start in starts)
    return Measurement(
        measure="binary",
        seed=seed,
        baseline=None,
        value=round(median_s, 3),
        bound=START_BOUND_S,
        holds=median_s <= START_BOUND_S
        and max(resident_bytes, largest.resident_bytes) <= MEMORY_BOUND_BYTES
        and identical
        and untouched,
        unit="s",
        fields={
            "file_bytes": file_bytes,
            "identical_builds": identical,
            "nothing_written_beside": untouched,
            "starts_s": [round(start.ready_s, 3) for start in starts],
            "memory_bound_mb": 64,
            f"memory_mb_{small}_adapters": _megabytes(resident_bytes),
            f"memory_mb_{large}_adapters": _megabytes(largest.resident_bytes),
            f"start_s_{large}_adapters": round(largest.ready_s, 3),
        },
    )


def _build_twice() -> tuple[bool, int]:
    digests = set()
    for hash_seed in ("1", "2"):
        command = [sys.executable, "-m", "tools.build_binary"]
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        subprocess.run(
            command, cwd=ROOT, env=environment, check=True, stdout=subprocess.DEVNULL
        )
        digests.add(hashlib.sha256(OUTPUT.read_bytes()).hexdigest())
    return len(digests) == 1, OUTPUT.stat().st_size


@contextlib.contextmanager
def _read_only_copy(binary: Path) -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as folder:
        place = Path(folder) / "bin"
        place.mkdir()
        copy = place / binary.name
        copy.write_bytes(binary.read_bytes())
        copy.chmod(0o555)
        place.chmod(0o555)
        try:
            yield copy
        finally:
            place.chmod(0o755)


@contextlib.contextmanager
def _platform(adapters: int, seed: int) -> Iterator[tuple[str, str]]:
    """Run a log with a configuration, and a host list; yield their URLs."""
    with _stand_in("log") as log_url, _stand_in("hosts") as hosts_url:
        pool = urllib3.PoolManager()
        items = _configuration(adapters, random.Random(seed))
        for first in range(0, len(items), ITEMS_PER_RECORD):
            record = ChangeRecord(
                change_id=f"{first:032x}",
                author="bench",
                source_address="127.0.0.1",
                at=datetime(2026, 1, 1, tzinfo=UTC),
                items=tuple(items[first : first + ITEMS_PER_RECORD]),
            )
            answer = pool.request(
                "POST",
                f"{log_url}/streams/{CONFIG_STREAM}/records",
                body=msgspec.json.encode([record]),
                headers={"Content-Type": "application/json"},
            )
            if answer.status >= 300:
                raise RuntimeError(f"the log answered {answer.status}: {answer.data!r}")
        yield log_url, hosts_url


def _configuration(adapters: int, rng: random.Random) -> list[ChangeItem]:
    values = {
        f"/teams/team-{rng.randrange(TEAMS)}/adapters/adapter-{number}": {
            "base_model": "base",
            "versions": {"1": {"source": f"weights/adapter-{number}/1"}},
        }
        for number in range(adapters)
    }
    target = {"kind": "engine", "host": "host-1", "base_model": "base"}
    items = [ChangeItem(path, 0, value) for path, value in values.items()]
    return [ChangeItem("/targets/engine-1", 0, target), *items]


@contextlib.contextmanager
def _stand_in(kind: str) -> Iterator[str]:
    command = [sys.executable, "-m", "standins", kind]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)
    try:
        assert process.stdout is not None
        word, _, url = process.stdout.readline().strip().partition(" ")
        if word != "ready":
            raise RuntimeError(f"the stand-in {kind} did not start")
        yield url
    finally:
        process.terminate()
        process.wait()


def _start(binary: Path, urls: tuple[str, str]) -> Started:
    """Start the entry, wait until it is ready and idle, and stop it."""
    ports = _free_ports(3)
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "entry.toml"
        settings.write_text(_settings(urls, ports))
        begin_s = time.monotonic()
        process = subprocess.Popen(
            [str(binary), "entry", "--settings", str(settings)],
            cwd="/",
            env={"PATH": f"{sys.base_prefix}/bin:/usr/bin:/bin"},
            stderr=subprocess.DEVNULL,
        )
        try:
            _wait_until_ready(process, f"http://127.0.0.1:{ports[0]}/readyz")
            ready_s = time.monotonic() - begin_s
            time.sleep(IDLE_S)
            return Started(ready_s, _resident_bytes(process.pid))
        finally:
            process.terminate()
            try:
                process.wait(GIVE_UP_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _wait_until_ready(process: subprocess.Popen[bytes], url: str) -> None:
    pool = urllib3.PoolManager(retries=False, timeout=1.0)
    give_up_s = time.monotonic() + GIVE_UP_S
    while time.monotonic() < give_up_s:
        if process.poll() is not None:
            raise RuntimeError(f"the entry ended with {process.returncode}")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            if pool.request("GET", url).status == 200:
                return
        time.sleep(POLL_S)
    raise RuntimeError(f"the entry was not ready within {GIVE_UP_S} s")


def _settings(urls: tuple[str, str], ports: list[int]) -> str:
    callers, admin, channel = ports
    return f"""
[process]
role = "entry"
name = "bench"
region = "local"
failure_domain = "a"
drain_s = 0
[channel]
listen = "tcp://127.0.0.1:{channel}"
[callers]
listen = "127.0.0.1:{callers}"
[admin]
listen = "127.0.0.1:{admin}"
[log]
url = "{urls[0]}"
[host_list]
url = "{urls[1]}"
"""


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [int(each.getsockname()[1]) for each in sockets]


def _resident_bytes(process_id: int) -> int:
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    raise RuntimeError("no VmRSS in the process status")


def _megabytes(size_bytes: float) -> float:
    return round(size_bytes / 1024 / 1024, 1)
