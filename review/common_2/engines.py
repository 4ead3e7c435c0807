"""Stand-ins for model engines and for a booking application.

They behave like sound ones. What they ran is kept for the judgement of a case.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field

from common_2.http1 import HttpServer, Request, head_bytes

__all__ = ["BookingServer", "Engine", "EngineOrder", "Run"]

MODEL = "m0"
ADAPTER_MB = 66.0
EVENT_PAUSE_S = 0.01
MODEL_LOAD_S = 0.72
ENGINE_SLOTS = 64
BOOKING_SLOTS = 6


@dataclass(slots=True)
class Run:
    """A request that began to run."""

    request_id: str
    at_s: float
    adapter: str = ""
    version: int = 0
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class EngineOrder:
    """An order that arrived, and what was answered."""

    at_s: float
    operation: str
    adapter: str
    expect: int
    status: int


class _Server(HttpServer):
    """What both kinds of servers have in common."""

    def __init__(self, instance: str, ip: str, port: int, service: str) -> None:
        """Describe one start of a server."""
        super().__init__()
        self.instance = instance
        self.ip = ip
        self.port = port
        self.service = service
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.limit_per_s: float | None = None
        self.limit_named_at_s: float | None = None
        self.beats = 0
        self.concurrency = ENGINE_SLOTS

    async def start(self) -> None:
        """Listen at the server's address."""
        await self.listen(self.ip, self.port)

    def record(self) -> dict[str, object]:
        """Return the next record of the server in the store."""
        self.beats += 1
        return {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "zone-a",
            "version": "v1",
            "slots": self.concurrency,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self.beats,
            "born": self.born,
        }

    def answer_headers(self, request: Request) -> list[tuple[str, str]]:
        """Return the headers that all answers to a request have."""
        headers = [("X-Instance-Id", self.instance)]
        if "x-request-id" in request.headers:
            headers.append(("X-Request-Id", request.headers["x-request-id"]))
        if self.limit_per_s is not None:
            if self.limit_named_at_s is None:
                self.limit_named_at_s = time.monotonic()
            headers.append(("Server-Limit", f"{self.limit_per_s}"))
        return headers

    def _is_meant(self, request: Request) -> bool:
        expected = request.headers.get("x-expected-instance", self.instance)
        return expected == self.instance

    def _refuse(self, request: Request, writer: asyncio.StreamWriter, to: int) -> bool:
        headers = [*self.answer_headers(request), ("X-Not-Executed", "1")]
        self.send(writer, to, b"", headers)
        return True


class BookingServer(_Server):
    """A plain service; each request runs once when it arrives."""

    run_s = 0.02

    def __init__(self, instance: str, ip: str, port: int, service: str) -> None:
        """Describe one start of a server."""
        super().__init__(instance, ip, port, service)
        self.concurrency = BOOKING_SLOTS
        # Requests that the server got, also those that waited for a slot.
        self.arrivals: list[Run] = []
        self._slots = asyncio.Semaphore(BOOKING_SLOTS)

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request, or answer the health check."""
        if request.path == "/health":
            self.send(writer, 200, b"", self.answer_headers(request))
            return True
        if not self._is_meant(request):
            return self._refuse(request, writer, 421)
        request_id = request.headers["x-request-id"]
        self.arrivals.append(Run(request_id, time.monotonic()))
        async with self._slots:
            run = Run(request_id, time.monotonic())
            run.headers = request.headers
            self.runs.append(run)
            await asyncio.sleep(self.run_s)
        headers = [*self.answer_headers(request), ("X-Response-Signature", "proof")]
        self.send(writer, 200, b"done", headers)
        return True


class Engine(_Server):
    """A model engine with one model, whose adapters are loaded by orders."""

    def __init__(self, instance: str, ip: str, port: int, service: str) -> None:
        """Start with the model and without adapters."""
        super().__init__(instance, ip, port, service)
        self.adapters: dict[str, int] = {}
        # Adapters under way from the weight store, with the version that comes.
        self.coming: dict[str, int] = {}
        self.newest: dict[str, int] = {}
        self.has_model = True
        self.is_busy = False
        self.sequence = 0
        self.slots = 5
        self.load_s = 0.25
        self.events = 3
        self.orders: list[EngineOrder] = []
        self.overload: str = ""
        # Adapters whose unload waits for their runs.
        self._leaving: set[str] = set()
        self._active: dict[str, int] = {}

    def record(self) -> dict[str, object]:
        """Return the next record of the engine in the store."""
        stage = {"stage": "prefill_and_decode", "models": self._models()}
        return {**super().record(), **stage}

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a report, an order, a health check or a request."""
        if request.path == "/health":
            self.send(writer, 200, b"", self.answer_headers(request))
        elif request.path == "/-/report":
            headers = self.answer_headers(request)
            self.send(writer, 200, json.dumps(self._report()).encode(), headers)
        elif request.path == "/-/order":
            return await self._order(request, writer)
        else:
            return await self._run(request, writer)
        return True

    def _models(self) -> list[dict[str, object]]:
        if not self.has_model:
            return []
        names = [f"{name}@{version}" for name, version in self.adapters.items()]
        return [{"name": MODEL, "version": 1, "adapters": names}]

    def _report(self) -> dict[str, object]:
        return {
            "stage": "prefill_and_decode",
            "models": self._models(),
            "busy": self.is_busy,
            "sequence": self.sequence,
            "waiting": 0,
            "running": sum(self._active.values()),
            "kvCacheUsed": 0,
            "kvCacheTotal": 100_000,
            "handles": 0,
            "coming": [f"{MODEL}/{n}@{v}" for n, v in self.coming.items()],
            "state": "ready",
            "born": self.born,
            "runs": [],
        }

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        model, _, adapter = request.headers.get("x-model", "").partition("/")
        if not self._is_meant(request) or model != MODEL or not self.has_model:
            return self._refuse(request, writer, 421)
        if adapter in self.coming or adapter in self._leaving:
            # An order concerns the request, which has not started.
            return self._refuse(request, writer, 503)
        if adapter and adapter not in self.adapters:
            return self._refuse(request, writer, 421)
        version = self.adapters.get(adapter, 1)
        expected = request.headers.get("x-expected-version")
        if expected is not None and int(expected) != version:
            return self._refuse(request, writer, 421)
        run = Run(request.headers["x-request-id"], time.monotonic(), adapter, version)
        run.headers = request.headers
        self.runs.append(run)
        self._active[adapter] = self._active.get(adapter, 0) + 1
        try:
            await self._stream(request, writer, version)
        finally:
            self._active[adapter] = max(0, self._active.get(adapter, 0) - 1)
        return True

    async def _stream(
        self, request: Request, writer: asyncio.StreamWriter, version: int
    ) -> None:
        headers = [
            *self.answer_headers(request),
            ("X-Response-Signature", "proof"),
            ("X-Weight-Versions", str(version)),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(head_bytes(200, headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: version {version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")

    async def _order(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        order = json.loads(request.body)
        if not self._is_meant(request):
            self.send(writer, 421, b"", self.answer_headers(request))
            return True
        status = self.execute(order)
        self._note(order, status)
        self.send(writer, status, b"", self.answer_headers(request))
        return True

    def _note(self, order: dict[str, object], status: int) -> None:
        self.orders.append(
            EngineOrder(
                time.monotonic(),
                str(order["operation"]),
                str(order.get("adapter", "")),
                int(str(order.get("expect", -1))),
                status,
            )
        )

    def execute(self, order: dict[str, object]) -> int:
        """Carry out an order, and return the status of its answer."""
        if order.get("expect", self.sequence) != self.sequence:
            return 409
        name = str(order.get("adapter") or "")
        version = int(str(order.get("version") or self.newest.get(name, 1)))
        is_load = order["operation"] == "load"
        if not name:
            return self._execute_model(is_load)
        if not self.has_model:
            return 400
        is_held = self.adapters.get(name) == version
        if is_held if is_load else name not in self.adapters:
            return 200
        self.sequence += 1
        if not is_load:
            return self._unload(name)
        if len({*self.adapters, *self.coming, name}) > self.slots:
            held = sorted({*self.adapters, *self.coming})
            self.overload = f"load of {name} beside {held} in {self.slots} slots"
        self.coming[name] = version
        asyncio.get_running_loop().call_later(self.load_s, self._loaded, name, version)
        return 202

    def _execute_model(self, is_load: bool) -> int:
        if self.has_model == is_load:
            return 200
        if self.is_busy:
            return 409
        self.sequence += 1
        if is_load:
            self.is_busy = True
            loop = asyncio.get_running_loop()
            loop.call_later(MODEL_LOAD_S, self._model_loaded, self.born)
            return 202
        self.has_model = False
        self.adapters.clear()
        return 202

    def _model_loaded(self, born: int) -> None:
        if born == self.born:
            self.is_busy = False
            self.has_model = True

    def _unload(self, name: str) -> int:
        if not self._active.get(name):
            self._leaving.discard(name)
            del self.adapters[name]
            return 200
        # An unload waits for the runs of the adapter.
        self._leaving.add(name)
        asyncio.get_running_loop().call_later(EVENT_PAUSE_S, self._unload, name)
        return 202

    def _loaded(self, name: str, version: int) -> None:
        if self._active.get(name):
            # A replacement waits for the runs of the version before.
            loop = asyncio.get_running_loop()
            loop.call_later(EVENT_PAUSE_S, self._loaded, name, version)
        else:
            del self.coming[name]
            self.adapters[name] = version
