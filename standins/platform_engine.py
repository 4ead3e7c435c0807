"""Stand-in of the users' back ends: model engines with adapters, and plain services."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import dataclass, field

from standins.raw_http import RawHttpServer, RawRequest, answer, reset

__all__ = ["EngineRun", "PlatformEngineStandIn"]

PROOF = "X-Response-Signature"


@dataclass(frozen=True, slots=True)
class EngineRun:
    """A request that began to run."""

    request_id: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class PlatformEngineStandIn(RawHttpServer):
    """One back end; a script says how it treats the next requests.

    Steps of the script: ``run``, ``full`` (refuses, not run), ``lost`` (runs, closes
    without an answer), ``hang`` (runs, never answers), ``error`` (runs, 500 with a
    proof), ``unproved`` (200 without a proof), ``stray`` (an answer to another request
    comes first), ``extra`` (a second answer follows), ``unframed`` (ends with the
    connection), ``cut`` (a stream breaks within its third event), ``unframed-reset``,
    ``skip`` (an event is missing), ``stall`` (a stream stops after two events).
    """

    name: str
    model: str = ""
    slots: int = 0
    events: int = 5
    load_s: float = 0.02
    event_s: float = 0.002
    answer_after_s: float = 0.0
    ip: str = ""
    service: str = ""
    script: deque[str] = field(default_factory=deque)
    adapters: dict[str, int] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    loading: set[str] = field(default_factory=set)
    runs: list[EngineRun] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)
    orders: list[dict[str, object]] = field(default_factory=list)
    order_script: deque[str] = field(default_factory=deque)
    left: list[str] = field(default_factory=list)
    order_instances: list[tuple[str, str]] = field(default_factory=list)
    sequence: int = 0
    born: int = 1
    has_crashed: bool = False

    def __post_init__(self) -> None:
        """Prepare the server."""
        RawHttpServer.__init__(self)

    def restart(self) -> None:
        """Start anew and empty, under the same id."""
        self.born += 1
        self.sequence = 0
        self.adapters.clear()
        self.loading.clear()
        self.reset_all()

    def dropped(self, request: RawRequest) -> None:
        """Note a request whose caller left."""
        self.left.append(request.headers.get("x-request-id", ""))

    async def handle(self, request: RawRequest) -> bytes | None:
        """Return an answer to the engine's own calls."""
        if request.path == "/-/report":
            return answer(200, json.dumps(self._report()).encode())
        if request.path == "/-/order":
            expected = request.headers.get("x-expected-instance", "")
            self.order_instances.append((expected, self.name))
            if expected not in ("", self.name):
                return answer(421, headers={"X-Instance-Id": self.name})
            return await self._order(json.loads(request.body), expected)
        return answer(404)

    async def exchange(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer a request on its connection."""
        if request.path == "/health":
            writer.write(answer(200, headers={"X-Instance-Id": self.name}))
            return True
        if request.path.startswith("/-/"):
            return await RawHttpServer.exchange(self, request, writer)
        step = self.script.popleft() if self.script else "run"
        refusal = self._refusal(request, step)
        if refusal is not None:
            self.refused.append(request.headers["x-request-id"])
            writer.write(refusal)
            return True
        self.runs.append(
            EngineRun(
                request.headers["x-request-id"],
                request.path,
                request.headers,
                request.body,
            )
        )
        if step == "hang":
            await asyncio.sleep(3600)
        if step == "lost":
            return False
        await asyncio.sleep(self.answer_after_s)
        if "x-model" in request.headers and step not in ("error", "unproved"):
            return await self._stream(request, writer, step)
        return await self._whole(request, writer, step)

    def _refusal(self, request: RawRequest, step: str) -> bytes | None:
        expected = request.headers.get("x-expected-instance", self.name)
        _, _, adapter = request.headers.get("x-model", "").partition("/")
        is_absent = bool(adapter) and adapter not in self.adapters
        version = request.headers.get("x-expected-version")
        is_other = version is not None and self.adapters.get(adapter) != int(version)
        if expected != self.name or is_absent or is_other:
            return answer(421, headers={"X-Instance-Id": self.name})
        return answer(503, headers={"X-Not-Executed": "1"}) if step == "full" else None

    async def _whole(
        self, request: RawRequest, writer: asyncio.StreamWriter, step: str
    ) -> bool:
        request_id = request.headers["x-request-id"]
        proof = {PROOF: f"proof-{self.name}"}
        headers = {"X-Request-Id": request_id, **proof}
        body = b"body of " + request_id.encode()
        if step == "unproved":
            headers.pop(PROOF)
        if step == "stray":
            writer.write(answer(200, b"other", {"X-Request-Id": "other", **proof}))
        if step.startswith("unframed"):
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode() + body)
            await writer.drain()
            if step == "unframed-reset":
                await asyncio.sleep(0.02)
                reset(writer)
            return False
        writer.write(answer(500 if step == "error" else 200, body, headers))
        if step == "extra":
            writer.write(answer(200, b"extra", headers))
        await writer.drain()
        return True

    async def _stream(
        self, request: RawRequest, writer: asyncio.StreamWriter, step: str
    ) -> bool:
        request_id = request.headers["x-request-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\n{PROOF}: proof-{self.name}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            if step == "cut" and number == first + 2:
                event = event[:9]
            if step == "skip" and number == first + 2:
                continue
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if step == "cut" and number == first + 2:
                await asyncio.sleep(0.02)
                reset(writer)
                return False
            if step == "stall" and number == first + 1:
                await asyncio.sleep(3600)
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _report(self) -> dict[str, object]:
        adapters = [f"{name}@{version}" for name, version in self.adapters.items()]
        models = [{"name": self.model, "version": 1, "adapters": adapters}]
        return {
            "models": models if self.model else [],
            "busy": False,
            "sequence": self.sequence,
            "waiting": 0,
            "running": 0,
            "kvCacheUsed": 0,
            "kvCacheTotal": 100_000,
            "coming": [f"{self.model}/{name}@1" for name in self.loading],
            "born": self.born,
            "runs": [],
        }

    async def _order(self, order: dict[str, object], expected: str) -> bytes | None:
        self.orders.append(order)
        step = self.order_script.popleft() if self.order_script else "do"
        if step == "late":
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, self._carry_out_late, order, expected)
            await asyncio.sleep(3600)
        return answer(self._carry_out(order))

    def _carry_out_late(self, order: dict[str, object], expected: str) -> None:
        if expected in ("", self.name):
            self._carry_out(order)

    def _carry_out(self, order: dict[str, object]) -> int:
        if order["expect"] != self.sequence:
            return 409
        name = str(order["adapter"])
        self.sequence += 1
        if order["operation"] == "unload":
            self.adapters.pop(name, None)
            return 200
        if len(self.adapters.keys() | self.loading | {name}) > self.slots:
            self.has_crashed = True
            return 202
        self.loading.add(name)
        asyncio.get_running_loop().call_later(self.load_s, self._loaded, name)
        return 202

    def _loaded(self, name: str) -> None:
        if name in self.loading:
            self.loading.discard(name)
            self.adapters[name] = self.versions.get(name, 1)
