"""Stand-in for the store from which engines fetch adapter weights."""

from __future__ import annotations

import threading

import msgspec

from lentiltally.clock import Clock, SystemClock
from standins._http import Request, Response, StandIn, error_response, json_response
from standins._rates import TokenBucket


class WeightStoreSettings(msgspec.Struct, frozen=True):
    """Speed and rate limit of the store.

    A load takes ``load_s`` while at most ``free_loads`` are in flight, and beyond that
    proportionally longer. ``starts_per_s`` limits the rate at which loads start, with
    bursts of ``burst``; 0 is no limit.
    """

    load_s: float = 0.25
    free_loads: int = 8
    starts_per_s: float = 4.5
    burst: float = 8.0


class WeightStoreCore:
    """Loads in flight and their times; safe to use from several threads.

    The time of a load is fixed at its start, by the number of loads then in flight.
    """

    def __init__(self, settings: WeightStoreSettings, clock: Clock) -> None:
        """Start without loads."""
        self._settings = settings
        self._clock = clock
        self._lock = threading.Lock()
        self._bucket = TokenBucket(settings.starts_per_s, settings.burst)
        self._in_flight = 0
        self.peak_in_flight = 0
        self.loads = 0
        self.refusals = 0

    def begin(self) -> tuple[float, float]:
        """Start a load; return its duration and 0.

        If the rate limit refuses it, return 0 and the time to wait before a retry.
        """
        with self._lock:
            wait_s = self._bucket.take(self._clock.monotonic_s())
            if wait_s > 0:
                self.refusals += 1
                return 0.0, wait_s
            self._in_flight += 1
            self.loads += 1
            self.peak_in_flight = max(self.peak_in_flight, self._in_flight)
            slowdown = max(1.0, self._in_flight / self._settings.free_loads)
            return self._settings.load_s * slowdown, 0.0

    def end(self) -> None:
        """End a load."""
        with self._lock:
            self._in_flight -= 1

    def summary(self) -> dict[str, int]:
        """Return the counts since the start."""
        with self._lock:
            return {
                "loads": self.loads,
                "refusals": self.refusals,
                "in_flight": self._in_flight,
                "peak_in_flight": self.peak_in_flight,
            }


class WeightStoreStandIn(StandIn):
    """Serves ``GET /weights/{path}`` with a few bytes in place of weights."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        settings: WeightStoreSettings | None = None,
        clock: Clock | None = None,
    ) -> None:
        """Create a store without loads."""
        super().__init__(host, port)
        self.core = WeightStoreCore(
            settings or WeightStoreSettings(), clock or SystemClock()
        )

    def handle(self, request: Request) -> Response:
        """Answer one load after its duration."""
        if not request.path.startswith("/weights/"):
            return error_response(404, "unknown path")
        load_s, wait_s = self.core.begin()
        if wait_s > 0:
            response = error_response(429, "load rate exceeded")
            response.headers = [("Retry-After", f"{wait_s:.3f}")]
            return response
        try:
            self.pause(load_s * self.faults.switches.slow_factor)
        finally:
            self.core.end()
        return json_response({"weights": request.path.removeprefix("/weights/")})

    def journal(self) -> object:
        """Return the counts of loads and refusals."""
        return self.core.summary()
