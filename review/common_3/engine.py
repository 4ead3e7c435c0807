"""A model engine and a plain service, as the users' pages describe them.

Only what the cases need is there: reports, orders, requests, health. A late order is
one that gets no answer and is carried out some seconds later, after newer orders; its
``expect`` and its ``X-Expected-Instance`` are checked at that point.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.common_3.http_server import HttpServer, Request, answer
from review.common_3.record import Record

__all__ = ["ModelEngine", "Run", "engine_record"]

FIRST_TOKEN_S = 0.05
EVENT_S = 0.02
EVENTS = 4


@dataclass(frozen=True, slots=True)
class Run:
    """A request that an engine has begun to run, with the version of its adapter.

    ``reached_s`` is when it reached the engine, ``at_s`` when it began to run.
    """

    request_id: str
    engine: str
    adapter: str
    version: int
    reached_s: float
    at_s: float


@dataclass(slots=True)
class _Load:
    """An adapter on its way, and the version that it will have."""

    name: str
    version: int


class ModelEngine(HttpServer):
    """One engine with a base model and slots for adapters."""

    def __init__(self, name: str, record: Record, *, model: str, slots: int) -> None:
        """Start with the base model, as engines of a busy model do."""
        super().__init__()
        self.name = name
        self.ip = ""
        self.model = model
        self.slots = slots
        self.adapters: dict[str, int] = {}
        self.newest: dict[str, int] = {}
        self.runs: list[Run] = []
        self.crashes: list[str] = []
        self.adapter_load_s = 0.25
        self.model_load_s = 0.7
        # Says whether an order is left without an answer, and for how long.
        self.late_s: Callable[[dict[str, object]], float | None] = lambda order: None
        # The part of a prompt that crashes an engine which begins to answer it.
        self.deadly_part = ""
        # Events of that answer that are written before.
        self.deadly_events = 0
        self.deadly_runs: list[Run] = []
        # When such requests have crashed it.
        self.deadly_crashes_s: list[float] = []
        self._record = record
        self._has_model = True
        self._sequence = 0
        self._is_busy = False
        self._coming: dict[str, _Load] = {}
        self._running: dict[str, int] = {}
        self._born_ms = int(time.time() * 1000)
        self._is_up = True

    @property
    def born_ms(self) -> int:
        """Return the start of the engine."""
        return self._born_ms

    @property
    def sequence(self) -> int:
        """Return the number of orders accepted since the start."""
        return self._sequence

    @property
    def is_up(self) -> bool:
        """Return whether the engine runs."""
        return self._is_up

    def crash(self, reason: str) -> None:
        """End at once; connections are reset and new ones are refused."""
        self._record.note(f"{self.name} crashes: {reason}")
        self._is_up = False
        self.stop()

    async def restart(self) -> None:
        """Start again under the same id, empty, with counts that begin anew."""
        self._born_ms = int(time.time() * 1000)
        self._sequence = 0
        self._has_model = self._is_busy = False
        self.adapters = {}
        self._coming = {}
        self._running = {}
        await self.start(self.ip, self.port)
        self._is_up = True
        self._record.note(f"{self.name} is back under its id, empty, sequence 0")

    async def exchange(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer one request."""
        if request.path == "/health":
            writer.write(answer(200, headers={"X-Instance-Id": self.name}))
        elif request.path == "/-/report":
            writer.write(answer(200, json.dumps(self._report()).encode()))
        elif request.path == "/-/order":
            status = await self._ordered(request)
            writer.write(answer(status))
        else:
            return await self._serve_request(request, writer)
        await writer.drain()
        return True

    def _report(self) -> dict[str, object]:
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        model = {"name": self.model, "version": 1, "adapters": adapters}
        coming = [f"{self.model}/{x.name}@{x.version}" for x in self._coming.values()]
        return {
            "stage": "prefill_and_decode",
            "models": [model] if self._has_model else [],
            "busy": self._is_busy,
            "sequence": self._sequence,
            "waiting": 0,
            "running": sum(self._running.values()),
            "kvCacheUsed": 0,
            "kvCacheTotal": 100_000,
            "handles": 0,
            "coming": coming,
            "born": self._born_ms,
            "state": "ready",
            "runs": [],
        }

    async def _ordered(self, request: Request) -> int:
        order = json.loads(request.body)
        expected = request.headers.get("x-expected-instance")
        late_s = self.late_s(order)
        if late_s is None:
            return self._carry_out(order, expected)
        self._record.note(
            f"{self.name} leaves an order without an answer, to be carried out "
            f"{late_s:.1f} s later: {_text(order)}, for instance {expected}"
        )
        loop = asyncio.get_running_loop()
        loop.call_later(late_s, self._carry_out_late, order, expected)
        await asyncio.sleep(3600)
        return 503

    def _carry_out_late(self, order: dict[str, object], expected: str | None) -> None:
        if self._is_up:
            status = self._carry_out(order, expected)
            self._record.note(f"{self.name} gets to the late order: {status}")

    def _carry_out(self, order: dict[str, object], expected: str | None) -> int:
        status = self._status_of(order, expected)
        self._record.note(f"{self.name} order {_text(order)}: {status}")
        return status

    def _status_of(self, order: dict[str, object], expected: str | None) -> int:
        refusal = self._order_refusal(order, expected)
        if refusal is not None:
            return refusal
        name = order.get("adapter")
        if name is None:
            return self._load_model(order)
        if not self._has_model:
            return 400
        if order["operation"] == "unload":
            return self._unload(str(name))
        return self._load(str(name), order.get("version"))

    def _order_refusal(
        self, order: dict[str, object], expected: str | None
    ) -> int | None:
        if expected not in (None, self.name):
            return 421
        if not order.get("holder") or "fencingToken" not in order:
            return 400
        is_other = order.get("expect", self._sequence) != self._sequence
        return 409 if self._is_busy or is_other else None

    def _load_model(self, order: dict[str, object]) -> int:
        if order["operation"] != "load":
            return 400
        if self._has_model:
            return 200
        self._sequence += 1
        self._is_busy = True
        loop = asyncio.get_running_loop()
        loop.call_later(self.model_load_s, self._model_loaded, self._born_ms)
        return 202

    def _model_loaded(self, born_ms: int) -> None:
        if born_ms == self._born_ms:
            self._has_model, self._is_busy = True, False

    def _unload(self, name: str) -> int:
        self._sequence += 1
        if not self._running.get(name, 0):
            self.adapters.pop(name, None)
            return 200
        asyncio.ensure_future(self._finish_unload(name, self._born_ms))
        return 202

    async def _finish_unload(self, name: str, born_ms: int) -> None:
        while self._running.get(name, 0) and born_ms == self._born_ms:
            await asyncio.sleep(0.005)
        if born_ms == self._born_ms:
            self.adapters.pop(name, None)

    def _load(self, name: str, version: object) -> int:
        wanted = version if isinstance(version, int) else self.newest.get(name, 1)
        if self.adapters.get(name) == wanted:
            return 200
        self._sequence += 1
        held = self.adapters.keys() | self._coming.keys() | {name}
        if len(held) > self.slots:
            reason = f"ordered to hold {len(held)} adapters, it has {self.slots} slots"
            self.crashes.append(reason)
            asyncio.get_running_loop().call_soon(self.crash, reason)
            return 202
        self._coming[name] = _Load(name, wanted)
        asyncio.ensure_future(self._finish_load(name, self._born_ms))
        return 202

    async def _finish_load(self, name: str, born_ms: int) -> None:
        # A replacement waits for the runs of the adapter.
        while self._running.get(name, 0) and born_ms == self._born_ms:
            await asyncio.sleep(0.005)
        await asyncio.sleep(self.adapter_load_s)
        if born_ms == self._born_ms:
            load = self._coming.pop(name)
            self.adapters[name] = load.version

    async def _serve_request(
        self, request: Request, writer: asyncio.StreamWriter
    ) -> bool:
        reached_s = self._record.now_s()
        request_id = request.headers.get("x-request-id", "")
        _, _, adapter = request.headers.get("x-model", "").partition("/")
        refusal = self._refusal(request, request_id, adapter)
        if refusal is None:
            # A request begins to run with its first token.
            await asyncio.sleep(FIRST_TOKEN_S)
            refusal = self._refusal(request, request_id, adapter)
        if refusal is not None:
            writer.write(refusal)
            await writer.drain()
            return True
        version = self.adapters[adapter]
        at_s = self._record.note(
            f"{self.name} runs {request_id} with {adapter} in version {version}"
        )
        run = Run(request_id, self.name, adapter, version, reached_s, at_s)
        self.runs.append(run)
        if self.deadly_part and self.deadly_part in _parts(request):
            self.deadly_runs.append(run)
            if self.deadly_events:
                await self._send_stream(
                    request, request_id, version, writer, self.deadly_events
                )
            if self._is_up:
                self.deadly_crashes_s.append(self._record.now_s())
                self.crash(f"it began to answer {request_id}, whose prompt is deadly")
            return False
        self._running[adapter] = self._running.get(adapter, 0) + 1
        try:
            await self._send_stream(request, request_id, version, writer)
        finally:
            self._running[adapter] = max(0, self._running.get(adapter, 0) - 1)
        return True

    def _refusal(self, request: Request, request_id: str, adapter: str) -> bytes | None:
        headers = {"X-Request-Id": request_id}
        if request.headers.get("x-expected-instance", self.name) != self.name:
            return answer(421, headers=headers)
        if not self._has_model:
            return answer(421, headers=headers)
        if adapter in self._coming:
            return answer(503, headers={**headers, "X-Not-Executed": "1"})
        if adapter not in self.adapters:
            return answer(421, headers=headers)
        version = request.headers.get("x-expected-version")
        if version is not None and int(version) != self.adapters[adapter]:
            return answer(421, headers=headers)
        return None

    async def _send_stream(
        self,
        request: Request,
        request_id: str,
        version: int,
        writer: asyncio.StreamWriter,
        deadly_events: int = 0,
    ) -> None:
        """Send a stream; with ``deadly_events`` only so many events of it."""
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\nX-Response-Signature: {self.name}.proof\r\n"
            f"X-Weight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: version {version}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if number == first + deadly_events - 1:
                return
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def engine_record(
    address: str, *, service: str, sequence: int, born_ms: int, slots: int = 64
) -> dict[str, object]:
    """Return what an engine writes about itself to the store."""
    return {
        "service": service,
        "address": address,
        "zone": "z",
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": sequence,
        "born": born_ms,
    }


def _parts(request: Request) -> list[str]:
    """Return the ids of the parts of a request's prompt."""
    pairs = request.headers.get("x-prompt-prefix", "").split(",")
    return [pair.partition(":")[0] for pair in pairs]


def _text(order: dict[str, object]) -> str:
    name = f"{order['model']}/{order['adapter']}" if "adapter" in order else "model"
    return f"{order['operation']} {name}, expect {order.get('expect')}"
