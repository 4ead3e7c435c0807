"""Targets of a play that are sound, have few places and note when their runs end."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass

from standins.platform_engine import SIGNATURE_HEADER, PlatformEngineStandIn
from standins.raw_http import answer


@dataclass
class Run:
    """A run of a request at a target, from its begin to its end or cancellation.

    ``continued_at_s`` is when the first event of a stream was sent.
    """

    target: str
    began_at_s: float
    ended_at_s: float | None = None
    continued_at_s: float | None = None


class PlayTarget(PlatformEngineStandIn):
    """A target that refuses requests beyond ``places``; ``history`` has all runs."""

    def __init__(self, *args, places, history, **more):
        PlatformEngineStandIn.__init__(self, *args, **more)
        self.places = places
        self.running = 0
        self._history = history

    def _refusal(self, request, step):
        request_id = request.headers["x-request-id"]
        # This request is counted already.
        if self.running > self.places:
            headers = {"X-Not-Executed": "1", "X-Request-Id": request_id}
            return answer(503, b"full", headers)
        if PlatformEngineStandIn._refusal(self, request, step) is not None:
            return answer(421, headers={"X-Request-Id": request_id})
        run = Run(self.name, time.monotonic())
        self._history.setdefault(request_id, []).append(run)
        return None

    async def exchange(self, request, writer):
        if request.path.startswith(("/-/", "/health")):
            return await PlatformEngineStandIn.exchange(self, request, writer)
        request_id = request.headers["x-request-id"]
        runs = self._history.get(request_id, [])
        before = len(runs)
        self.running += 1
        try:
            return await PlatformEngineStandIn.exchange(self, request, writer)
        finally:
            self.running -= 1
            for run in self._history.get(request_id, [])[before:]:
                if run.target == self.name:
                    run.ended_at_s = time.monotonic()

    async def _send_event_stream(self, request, writer, step):
        request_id = request.headers["x-request-id"]
        runs = [r for r in self._history[request_id] if r.target == self.name]
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Request-Id: {request_id}\r\n{SIGNATURE_HEADER}: proof-{self.name}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        first_id = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first_id, self.events + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number == first_id:
                runs[-1].continued_at_s = time.monotonic()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
