"""Stand-in for the platform's list of live and draining hosts."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Sequence

import msgspec

from lentiltally.clock import Clock, SystemClock
from standins._http import Request, Response, StandIn, error_response, json_response


class Host(msgspec.Struct, frozen=True):
    """One host of the list; ``status`` is ``live``, or ``leaving`` if it drains."""

    host: str
    address: str
    role: str
    region: str
    failure_domain: str
    status: str = "live"


class HostListCore:
    """A host list whose changes become visible ``lag_s`` later; thread-safe."""

    def __init__(self, hosts: Sequence[Host], lag_s: float, clock: Clock) -> None:
        """Start with the given hosts, visible at once."""
        self._lag_s = lag_s
        self._clock = clock
        self._lock = threading.Lock()
        self._versions = deque([(float("-inf"), tuple(hosts))])

    def put(self, hosts: Sequence[Host]) -> None:
        """Replace the list; readers get the new one after the lag."""
        with self._lock:
            self._versions.append((self._clock.monotonic_s(), tuple(hosts)))

    def visible(self) -> tuple[Host, ...]:
        """Return the list as of ``lag_s`` ago."""
        visible_until_s = self._clock.monotonic_s() - self._lag_s
        with self._lock:
            while len(self._versions) > 1 and self._versions[1][0] <= visible_until_s:
                self._versions.popleft()
            return self._versions[0][1]


class HostListStandIn(StandIn):
    """Serves a HostListCore; tests change the list with ``PUT /hosts``."""

    def __init__(
        self,
        host: str = "127.0.0.1",
        port: int = 0,
        *,
        hosts: Sequence[Host] = (),
        lag_s: float = 1.0,
        clock: Clock | None = None,
    ) -> None:
        """Create a list with the given hosts."""
        super().__init__(host, port)
        self.core = HostListCore(hosts, lag_s, clock or SystemClock())

    def handle(self, request: Request) -> Response:
        """Answer GET and PUT of ``/hosts``."""
        if request.path != "/hosts":
            return error_response(404, "unknown path")
        if request.method == "PUT":
            self.core.put(msgspec.json.decode(request.body, type=list[Host]))
            return json_response({})
        return json_response(self.core.visible())
