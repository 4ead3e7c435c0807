"""Targets of a play that are sound, have few places and note when their runs end."""

from __future__ import annotations

import time
from dataclasses import dataclass

from standins.platform_engine import PlatformEngineStandIn
from standins.raw_http import answer


@dataclass
class Run:
    """A run of a request at a target, from its begin to its end or cancellation."""

    target: str
    began_at_s: float
    ended_at_s: float | None = None


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
        refusal = PlatformEngineStandIn._refusal(self, request, step)
        if refusal is None:
            self._history.setdefault(request_id, []).append(
                Run(self.name, time.monotonic())
            )
        return refusal

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
