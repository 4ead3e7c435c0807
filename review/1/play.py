"""One engine sends one event without end, in small chunks; the entry stands still.

Judged is CONFIG: of the requests that are still unanswered at their route's
``timeoutMs``, more than half have no answer half a second later.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

from review.common.client import Answer, send
from review.common.deployment import Deployment, Host, Record, is_troubled
from review.common.script import BROKEN, HELD, NOT_RUN, run
from standins.platform_engine import PlatformEngineStandIn
from standins.raw_http import RawRequest

FOLDER = Path(__file__).resolve().parent
PLAY_S = 20.0
TROUBLE_AT_S = 6.0
LATE_S = 0.5
TIMEOUT_MS = {"book": 1000, "lookup": 1000, "draft": 4000}
# The site's sheet: 'slot-book' and 'hold-check' have a deadline of 4,000 ms.
DEADLINE_MS = 4000
# A client abandons an idempotent request that was not read after one second. Bookings
# are not abandoned, so the rule is judged on them alone.
WAIT_S = {"book": 4.0, "lookup": 1.0, "draft": 4.0}
JUDGED_ROUTE = "book"
# A line of the event in a chunk of its own; the blank line that ends it never comes.
LINE = b"data: token\n"
CHUNK = b"%x\r\n%s\r\n" % (len(LINE), LINE)
BLOCK = CHUNK * 1024


class FaultyEngine(PlatformEngineStandIn):
    """Sends one event without end to the first stream after ``is_faulty`` is set."""

    is_faulty = False
    sent_bytes = 0
    last_run_at_s = 0.0
    faulty_answers = 0

    async def exchange(self, request: RawRequest, writer: asyncio.StreamWriter) -> bool:
        """Answer as usual, or without end until the caller closes."""
        is_stream = "x-model" in request.headers
        if is_stream:
            self.last_run_at_s = time.monotonic()
        if not is_stream or not self.is_faulty or self.faulty_answers > 0:
            return await super().exchange(request, writer)
        self.faulty_answers += 1
        request_id = request.headers["x-request-id"]
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: " + request_id.encode() + b"\r\n"
            b"X-Response-Signature: proof\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"6\r\nid: 1\n\r\n"
        )
        while not writer.is_closing():
            writer.write(BLOCK)
            await writer.drain()
            self.sent_bytes += len(BLOCK)
        return False


def routes() -> list[dict[str, Any]]:
    """Return the routes of the desired state."""
    common = {"host": "callers.example", "priority": 1}
    return [
        {
            "name": "draft",
            "pathPrefix": "/draft/",
            "kind": "streaming",
            "timeoutMs": TIMEOUT_MS["draft"],
            "targetLatencyMs": 800,
            "service": "llm",
            "attempts": 2,
            "resumable": True,
            "gapTargetMs": 400,
            **common,
        },
        {
            "name": "book",
            "pathPrefix": "/book/",
            "kind": "unsafe",
            "timeoutMs": TIMEOUT_MS["book"],
            "targetLatencyMs": 200,
            "service": "app",
            "attempts": 1,
            **common,
        },
        {
            "name": "lookup",
            "pathPrefix": "/lookup/",
            "kind": "safe",
            "timeoutMs": TIMEOUT_MS["lookup"],
            "targetLatencyMs": 200,
            "service": "app",
            "attempts": 2,
            **common,
        },
    ]


def services() -> list[dict[str, Any]]:
    """Return the services of the desired state."""
    model = {"name": "m0", "weightsMb": 72700.0, "loadTimeS": 4.3, "adapters": 30}
    engine = {
        "slots": 64,
        "kvCacheTokens": 148713,
        "models": [{**model, "adapterMb": 66.0}],
        "weightsMb": 74600.0,
        "adapterSlots": 6,
        "loadsPerS": 4.5,
    }
    return [
        {
            "name": "llm",
            "healthPath": "/health",
            "connectionLimit": 370,
            "engine": engine,
        },
        {"name": "app", "healthPath": "/health", "connectionLimit": 110},
    ]


class Play:
    """One play of the case."""

    def __init__(self, record: Record) -> None:
        """Prepare the deployment."""
        self.record = record
        self.deployment = Deployment(record)
        self.engines: list[FaultyEngine] = []
        self.faulty: FaultyEngine | None = None
        self.apps: list[PlatformEngineStandIn] = []
        self.answers: list[Answer] = []
        self.readiness: list[tuple[float, bool]] = []
        self.entry = Host("front-a-1", "entry", "127.0.1.1")

    async def start(self) -> bool:
        """Start servers, store and processes; return whether the entry is ready."""
        deployment = self.deployment
        await deployment.start_store()
        deployment.put_configuration(1, routes(), services())
        born = int(time.time() * 1000)
        app_port = deployment.free_port()
        for number in (1, 2):
            engine = FaultyEngine(f"i-engine{number}", model="m0", slots=6, born=born)
            ip = f"127.0.2.{number}"
            await engine.start(ip, app_port)
            self.engines.append(engine)
            deployment.put_server(engine.name, "llm", f"{ip}:{app_port}", born)
            app = PlatformEngineStandIn(f"i-app{number}", answer_after_s=0.03)
            port = await app.start(f"127.0.3.{number}")
            self.apps.append(app)
            deployment.put_server(
                app.name, "app", f"127.0.3.{number}:{port}", born, slots=6
            )
            side = Host(f"side-a-{number}", "agent", ip, app_port, "llm")
            await deployment.start(side)
        await deployment.start(self.entry)
        return await deployment.wait_until_ready(self.entry)

    async def run(self) -> None:
        """Send requests at a steady rate, and begin the disruption on the way."""
        started_s = time.monotonic()
        tasks: list[asyncio.Task[None]] = [asyncio.create_task(self._poll(started_s))]
        number = 0
        has_trouble = False
        while (at_s := time.monotonic() - started_s) < PLAY_S:
            if is_troubled() and at_s > TROUBLE_AT_S and not has_trouble:
                has_trouble = True
                self._make_faulty()
            route = ("book", "lookup", "draft")[number % 3]
            tasks.append(asyncio.create_task(self._request(route, number)))
            number += 1
            await asyncio.sleep(0.05)
        await asyncio.gather(*tasks)

    def _make_faulty(self) -> None:
        """Make the engine faulty that got the last stream; the other one is sound."""
        self.faulty = max(self.engines, key=lambda engine: engine.last_run_at_s)
        self.faulty.is_faulty = True
        self.record.write(f"engine {self.faulty.name}: its next stream has no end")

    async def _request(self, route: str, number: int) -> None:
        headers, body, method = {}, b"", "GET"
        if route == "draft":
            headers = {
                "X-Model": f"m0/a{1 + number % 4}",
                "X-Token-Counts": "1800,20",
                "X-Prompt-Prefix": f"5c1e07a2:341,{number:08x}:1459",
            }
        if route != "lookup":
            method, body = "POST", b"request %d" % number
        answer = await send(
            self.entry.ip,
            self.deployment.front_port,
            route,
            method,
            f"/{route}/{number:x}",
            headers=headers,
            body=body,
            deadline_ms=DEADLINE_MS,
            wait_s=WAIT_S[route],
        )
        self.answers.append(answer)
        self.record.write(answer.text())

    async def _poll(self, started_s: float) -> None:
        """Ask the entry each second whether it is ready."""
        while time.monotonic() - started_s < PLAY_S:
            is_ready = await self.deployment.is_ready(self.entry)
            self.readiness.append((time.monotonic() - started_s, is_ready))
            self.record.write(f"readiness: {'200' if is_ready else 'no 200'}")
            await asyncio.sleep(1.0)

    def judge(self) -> bool:
        """Return whether the rule was broken."""
        late = 0
        unanswered = 0
        for answer in self.answers:
            assert answer.ended_at_s is not None
            if answer.route != JUDGED_ROUTE:
                continue
            timeout_s = TIMEOUT_MS[answer.route] / 1000
            took_s = answer.ended_at_s - answer.sent_at_s
            if took_s > timeout_s:
                unanswered += 1
                late += took_s > timeout_s + LATE_S
        ran = {run.request_id for app in self.apps for run in app.runs}
        lost = [
            a
            for a in self.answers
            if a.route == "book" and a.request_id in ran and not a.is_complete
        ]
        sent_bytes = self.faulty.sent_bytes if self.faulty else 0
        misses = sum(not is_ready for _, is_ready in self.readiness)
        self.record.write(
            f"summary: {len(self.answers)} requests; of the bookings {unanswered} "
            f"unanswered at timeoutMs, {late} of them without an answer {LATE_S} s "
            f"later; bookings that ran and whose client got no whole answer: "
            f"{len(lost)}; readiness missed {misses} of {len(self.readiness)} times; "
            f"the faulty engine sent {sent_bytes} bytes"
        )
        return late > unanswered / 2


async def main(record: Record) -> int:
    """Play the case and return its exit code."""
    play = Play(record)
    try:
        if not await play.start():
            record.write("summary: the entry did not become ready")
            return NOT_RUN
        await play.run()
        if is_troubled() and not (play.faulty and play.faulty.faulty_answers):
            record.write("summary: the disruption did not take place")
            return NOT_RUN
        is_broken = play.judge()
        record.write("CONFIG broken" if is_broken else "CONFIG held")
        return BROKEN if is_broken else HELD
    finally:
        await play.deployment.close()


if __name__ == "__main__":
    run(FOLDER, main)
