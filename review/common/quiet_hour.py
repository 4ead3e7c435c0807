"""A deployment in a quiet hour: few bookings, and servers that are replaced.

Two model engines with their agents, a few booking servers, and entries that each get
one booking in some seconds. Servers are replaced round by round: a new one comes, an
old one leaves, serves on for some seconds and exits.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from review.common.client import send
from review.common.deployment import Deployment, Host, Record
from standins.platform_engine import PlatformEngineStandIn
from standins.raw_http import RawRequest

__all__ = ["App", "QuietHour", "QuietHourSettings"]

DEADLINE_MS = 4000
HEARTBEAT_S = 1.2
WORK_S = 0.05


@dataclass(frozen=True, slots=True)
class QuietHourSettings:
    """Sizes and times of a play.

    A round is ``calm_s`` without a change and then ``leaving_s``, in which a server
    leaves. It serves on for ``serves_s`` after its notice and then exits.
    """

    agents: int = 2
    apps: int = 3
    entries: int = 4
    rounds: int = 5
    calm_s: float = 6.0
    leaving_s: float = 8.0
    serves_s: float = 7.5
    booking_interval_s: float = 5.0


class App(PlatformEngineStandIn):
    """A booking server that says in all its answers that it leaves, once it does.

    ``notice_at_s`` is when the store acknowledged that it leaves, ``is_listed`` says
    that its entry is in the store.
    """

    notice_at_s: float | None = None
    is_listed = True
    arrivals: list[tuple[float, str]]

    async def exchange(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer, and note when each request has arrived."""
        if request.path != "/health":
            now_s = time.monotonic()
            self.arrivals.append((now_s, request.headers.get("x-request-id", "")))
        return await super().exchange(request, writer)


def _configuration() -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    route = {
        "name": "book",
        "host": "callers.example",
        "pathPrefix": "/book/",
        "kind": "unsafe",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": "app",
        "attempts": 1,
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
    llm = {"name": "llm", "healthPath": "/health", "connectionLimit": 370}
    app = {"name": "app", "healthPath": "/health", "connectionLimit": 110}
    return [route], [{**llm, "engine": engine}, app]


class QuietHour:
    """One play. ``leave`` tells the store that a server leaves, and what goes wrong."""

    def __init__(
        self,
        record: Record,
        settings: QuietHourSettings,
        leave: Callable[[QuietHour, App], Awaitable[None]],
    ) -> None:
        """Prepare the deployment."""
        self.record = record
        self.settings = settings
        self.deployment = Deployment(record)
        self.engines: list[PlatformEngineStandIn] = []
        self.agents: list[Host] = []
        self.entries: list[Host] = []
        self.apps: list[App] = []
        self.all_apps: list[App] = []
        self.statuses: dict[int, int] = {}
        self._leave = leave
        self._tasks: list[asyncio.Task[None]] = []
        self._sequences: dict[str, int] = {}

    async def start(self) -> bool:
        """Start servers, store and processes; return whether the entries are ready."""
        deployment = self.deployment
        await deployment.start_store()
        deployment.put_configuration(1, *_configuration())
        port = deployment.free_port()
        born = int(time.time() * 1000)
        for number in range(1, self.settings.agents + 1):
            engine = PlatformEngineStandIn(
                f"i-engine{number}", model="m0", slots=6, born=born
            )
            engine.ip = f"127.0.2.{number}"
            await engine.start(engine.ip, port)
            self.engines.append(engine)
            self.put(engine, "llm")
            side = Host(f"side-a-{number}", "agent", engine.ip, port, "llm")
            self.agents.append(side)
            await deployment.start(side)
        for _ in range(self.settings.apps):
            await self.add_app()
        self._tasks.append(asyncio.create_task(self._heartbeats()))
        for number in range(1, self.settings.entries + 1):
            entry = Host(f"front-a-{number}", "entry", f"127.0.1.{number}")
            self.entries.append(entry)
            await deployment.start(entry)
        is_ready = [await deployment.wait_until_ready(entry) for entry in self.entries]
        return all(is_ready)

    async def add_app(self) -> None:
        """Start one more booking server."""
        number = len(self.all_apps) + 1
        born = int(time.time() * 1000)
        app = App(f"i-app{number}", answer_after_s=WORK_S, born=born)
        app.arrivals = []
        app.ip = f"127.0.3.{number}"
        await app.start(app.ip)
        self.apps.append(app)
        self.all_apps.append(app)
        self.put(app, "app")

    def put(self, server: PlatformEngineStandIn, service: str, **fields: Any) -> None:
        """Write the entry of a server, with its next sequence number."""
        sequence = self._sequences.get(server.name, 0) + 1
        self._sequences[server.name] = sequence
        slots = 64 if service == "llm" else 6
        self.deployment.put_server(
            server.name,
            service,
            f"{server.ip}:{server.port}",
            server.born,
            **{"slots": slots, "sequence": sequence, **fields},
        )

    def remove(self, app: App) -> None:
        """Remove the entry of a server, unless that was done before."""
        if app.is_listed:
            app.is_listed = False
            self.deployment.store.put("keyed.servers", app.name, None)
            self.record.write(f"servers/{app.name} removed")

    async def run(self) -> None:
        """Play the rounds; bookings go on all the time."""
        bookings = [
            asyncio.create_task(self._book(entry, number))
            for number, entry in enumerate(self.entries)
        ]
        for _ in range(self.settings.rounds):
            await self.add_app()
            await asyncio.sleep(self.settings.calm_s)
            # The server that got the last booking: entries like to send to it.
            app = max(self.apps, key=lambda app: app.arrivals[-1:] or [(0.0, "")])
            app.answer_headers["Server-Leaving"] = "1"
            await self._leave(self, app)
            self._tasks.append(asyncio.create_task(self._exit(app)))
            await asyncio.sleep(self.settings.leaving_s)
        for booking in bookings:
            booking.cancel()
        await asyncio.gather(*bookings, return_exceptions=True)

    async def _exit(self, app: App) -> None:
        """Let a server serve on for a while, and exit."""
        await asyncio.sleep(self.settings.serves_s)
        self.apps.remove(app)
        self.remove(app)
        self.record.write(f"{app.name} exits")
        app.stop()

    async def _heartbeats(self) -> None:
        """Write the entries of all servers again and again."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                self.put(engine, "llm")
            for app in self.apps:
                if "Server-Leaving" not in app.answer_headers:
                    self.put(app, "app")

    async def _book(self, entry: Host, number: int) -> None:
        """Send a booking to an entry now and then."""
        interval_s = self.settings.booking_interval_s
        await asyncio.sleep(number * interval_s / self.settings.entries)
        count = 0
        while True:
            count += 1
            answer = await send(
                entry.ip,
                self.deployment.front_port,
                "book",
                "POST",
                f"/book/{number}-{count:x}",
                body=b"booking %d %d" % (number, count),
                deadline_ms=DEADLINE_MS,
                wait_s=5.0,
            )
            self.statuses[answer.status] = self.statuses.get(answer.status, 0) + 1
            self.record.write(f"{entry.name}: {answer.text()}")
            await asyncio.sleep(interval_s)

    def requests_after(self, allowed_s: float) -> int:
        """Record and count the requests that came later after a notice than allowed."""
        late = 0
        for app in self.all_apps:
            if app.notice_at_s is None:
                continue
            for at_s, request_id in app.arrivals:
                after_s = at_s - app.notice_at_s
                if after_s > allowed_s:
                    late += 1
                    self.record.write(
                        f"request {request_id} reached {app.name} {after_s:.3f} s "
                        "after the store had acknowledged that it leaves"
                    )
        notices = sum(app.notice_at_s is not None for app in self.all_apps)
        self.record.write(
            f"summary: {notices} servers left, {late} requests reached them later than "
            f"{allowed_s:.1f} s after the ack; answers by status {self.statuses}"
        )
        return late

    async def close(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await self.deployment.close()
