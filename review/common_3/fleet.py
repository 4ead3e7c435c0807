"""A store, model engines with an agent each, and entries: what the plays start from."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.common_3.client import Answer, send, wait_ready
from review.common_3.deployment import Deployment, Machine
from review.common_3.engine import ModelEngine, engine_record
from review.common_3.record import Record
from review.common_3.service import PlainServer
from review.common_3.store import Store

__all__ = ["CannotRunError", "Fleet", "has_trouble", "play"]

HOST = "callers.example"
MODEL = "m"
SERVICE = "llm"
PLAIN = "app"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HEARTBEAT_S = 1.2
MAX_PLAY_S = 110.0


class CannotRunError(Exception):
    """The play could not get as far as the case itself."""


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Fleet:
    """One small deployment with everything around it."""

    def __init__(self, record: Record, *, adapter_slots: int) -> None:
        """Create the store; ``adapter_slots`` are those of each engine."""
        self.record = record
        self.store = Store()
        self.deployment = Deployment(record)
        self.engines: list[ModelEngine] = []
        self.servers: list[PlainServer] = []
        # Keys of accounts by their names; without accounts no request needs a key.
        self.accounts: dict[str, str] = {}
        self.has_accounts = False
        # The keys that clients send.
        self.keys: dict[str, str] = {}
        self.agents: list[Machine] = []
        self.entries: list[Machine] = []
        self._adapter_slots = adapter_slots
        self._records = 0
        self._requests = 0
        self._sent_s: dict[str, float] = {}
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self, *, engines: int, entries: int = 1, servers: int = 0) -> None:
        """Start engines and processes, and wait until all entries are ready."""
        self.has_accounts = bool(self.accounts)
        self.keys = dict(self.accounts)
        await self.store.start("127.0.0.1")
        self.deployment.store_address = f"127.0.0.1:{self.store.port}"
        self.configure()
        for number in range(engines):
            await self._add_engine(number)
        for number in range(servers):
            await self._add_server(number)
        self._heartbeats = asyncio.ensure_future(self._write_heartbeats())
        for _ in range(entries):
            self._start_entry()
        for entry in self.entries:
            await self._wait_ready(entry)
        # Agents and entries exchange their first states.
        await asyncio.sleep(3.0)

    async def add_entry(self) -> None:
        """Add a machine with an entry, and wait until it is ready."""
        self._start_entry()
        await self._wait_ready(self.entries[-1])
        self.record.note(f"{self.entries[-1].name} is ready")

    def announce(self, engine: ModelEngine | PlainServer) -> None:
        """Write what an engine says of itself into the store."""
        self._records += 1
        is_plain = isinstance(engine, PlainServer)
        record = engine_record(
            f"{engine.ip}:{engine.port}",
            service=PLAIN if is_plain else SERVICE,
            sequence=self._records,
            born_ms=engine.born_ms,
            slots=6 if is_plain else 64,
        )
        self.store.put("keyed.servers", engine.name, record)

    def name_version(self, adapter: str, version: int) -> float:
        """Write a new version of an adapter; return when the store has it."""
        for engine in self.engines:
            engine.newest[adapter] = version
        value = {"model": MODEL, "adapter": adapter, "version": version}
        self.store.put("keyed.op", f"version/{MODEL}.{adapter}", value)
        return self.record.note(f"the store acknowledges {adapter} version {version}")

    async def ask(
        self, adapter: str, entry: int = 0, more: dict[str, str] | None = None
    ) -> tuple[str, Answer]:
        """Send one request for an adapter; return its id and its answer.

        ``more`` are further headers.
        """
        self._requests += 1
        request_id = f"r{self._requests:04d}"
        # The last part of a prompt is the request's own.
        headers = {"X-Prompt-Prefix": f"ee{self._requests:06x}:400", **(more or {})}
        parts = headers["X-Prompt-Prefix"].split(",")
        tokens = sum(int(part.partition(":")[2]) for part in parts)
        answer = await send(
            self.record,
            (self.entries[entry].ip, self.deployment.front_port),
            request_id,
            host=HOST,
            path="/draft/1",
            headers={
                "X-Model": f"{MODEL}/{adapter}",
                "X-Token-Counts": f"{tokens},12",
                "X-Deadline-Milliseconds": "5000",
                **headers,
            },
            body=f'{{"n":{self._requests}}}'.encode(),
        )
        return request_id, answer

    async def read(self, path: str, account: str, entry: int = 0) -> tuple[str, Answer]:
        """Send one request of an account to the plain service."""
        self._requests += 1
        request_id = f"r{self._requests:04d}"
        self._sent_s[request_id] = self.record.now_s()
        answer = await send(
            self.record,
            (self.entries[entry].ip, self.deployment.front_port),
            request_id,
            host=HOST,
            path=path,
            headers={
                "Authorization": f"Bearer {self.keys.get(account, '')}",
                "X-Deadline-Milliseconds": "4000",
            },
            method="GET",
            body=b"",
        )
        return request_id, answer

    def runs_of(self, account: str) -> list[tuple[float, str]]:
        """Return the ids of an account's requests that ran, and when they were sent."""
        runs = [run for server in self.servers for run in server.runs]
        return sorted((self._sent_s[i], i) for _, i, name in runs if name == account)

    async def ask_until_served(self, adapter: str, tries: int = 20) -> None:
        """Send requests for an adapter until one is served."""
        for _ in range(tries):
            _, answer = await self.ask(adapter)
            if answer.status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRunError(f"no request for {adapter} is served")

    def close(self) -> None:
        """End all processes and stand-ins."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        self.deployment.close()
        for engine in (*self.engines, *self.servers):
            engine.stop()
        self.store.stop()

    def configure(self, version: int = 1) -> float:
        """Write the desired state with the accounts of now; return when it is there."""
        engine = {
            "slots": 64,
            "kvCacheTokens": 100_000,
            "adapterSlots": self._adapter_slots,
            "weightsMb": 66_000.0,
            "models": [
                {
                    "name": MODEL,
                    "weightsMb": 65_100.0,
                    "loadTimeS": 0.72,
                    "adapters": 100,
                    "adapterMb": 100.0,
                }
            ],
        }
        route = {
            "name": "draft",
            "host": HOST,
            "pathPrefix": "/draft/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 1000,
            "gapTargetMs": 400,
            "priority": 1,
            "service": SERVICE,
            "attempts": 3,
            "resumable": True,
            "stickySessions": True,
        }
        limits = {
            "headerBytes": 16_384,
            "bodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        }
        plain = {
            "name": "lookup",
            "host": HOST,
            "pathPrefix": "/lookup/",
            "kind": "safe",
            "timeoutMs": 4000,
            "targetLatencyMs": 400,
            "priority": 2,
            "service": PLAIN,
            "attempts": 3,
        }
        services = [
            {"name": SERVICE, "connectionLimit": 360, "engine": engine},
            {"name": PLAIN, "connectionLimit": 96},
        ]
        document: dict[str, object] = {
            "version": version,
            "routes": [route, plain],
            "services": services,
            "limits": limits,
        }
        if self.has_accounts:
            document["tenants"] = [
                {"name": name, "apiKeys": [key]} for name, key in self.accounts.items()
            ]
        self.store.put("keyed.op", "config", document)
        return self.record.note(f"the store acknowledges desired state {version}")

    async def _write_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in (*self.engines, *self.servers):
                if engine.is_up and not self.store.is_away:
                    self.announce(engine)

    def _start_entry(self) -> None:
        number = 1 + len(self.entries)
        self.entries.append(self.deployment.add_front(number))

    async def _wait_ready(self, entry: Machine) -> None:
        address = entry.ip, self.deployment.ready_port
        if not await wait_ready(address):
            raise CannotRunError(f"{entry.name} does not get ready")

    async def _add_engine(self, number: int) -> None:
        engine = ModelEngine(
            f"i-{number + 1:08x}", self.record, model=MODEL, slots=self._adapter_slots
        )
        engine.ip = self.deployment.ip(11 + number)
        await engine.start(engine.ip)
        self.engines.append(engine)
        self.announce(engine)
        self.agents.append(self.deployment.add_side(11 + number, engine.port, SERVICE))

    async def _add_server(self, number: int) -> None:
        server = PlainServer(f"p-{number + 1:08x}", self.record)
        server.ip = self.deployment.ip(101 + number)
        await server.start(server.ip)
        self.servers.append(server)
        self.announce(server)


def play(
    folder: Path, adapter_slots: int, body: Callable[[Fleet], Awaitable[bool]]
) -> int:
    """Run a play; return 1 if it finds the rule broken, 0 if not, 2 if it can't run.

    ``body`` returns whether the rule was kept.
    """
    # The processes that were started are ended in this case, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record()
    trouble = "with the disruption" if has_trouble() else "without the disruption"
    record.note(f"play {folder.name}, {trouble}")

    async def run() -> int:
        fleet = Fleet(record, adapter_slots=adapter_slots)
        try:
            async with asyncio.timeout(MAX_PLAY_S):
                is_kept = await body(fleet)
        except (CannotRunError, TimeoutError, OSError) as error:
            record.note(f"the case could not run: {error!r}")
            return NOT_RUN
        finally:
            fleet.close()
        return HELD if is_kept else BROKEN

    status = asyncio.run(run())
    record.note({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "-"))
    name = "record.txt" if has_trouble() else "record-calm.txt"
    record.save(folder / os.environ.get("RECORD", name))
    return status
