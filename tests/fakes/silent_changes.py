"""Changes of the configuration in a play, and what may be in force at a moment."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from tests.fakes.direct import configuration, route

# Within this time all entries and callers know a change.
CONFIGURATION_S = 2.0
# A version may be in force from a little before its ack.
AHEAD_S = 0.1
TIMEOUT_MS = 4000
TIMEOUTS_MS = (1500, 2500, TIMEOUT_MS, 6000)
IDLE_LIMITS_MS = (1500, 2500, 4000, 8000)
HEADER_TIMEOUTS_MS = (600, 1000, 2000)
HOME = {
    "safe": "plain",
    "once": "plain",
    "stream": "llm",
    "stream-once": "llm",
    "added": "plain",
}
OTHER = {"plain": "plain2", "llm": "llm2"}


def first_routes():
    # All may be tried at a second target, those that may run once only after a refusal.
    more = {"timeoutMs": TIMEOUT_MS}
    engine = {**more, "gapTargetMs": 150, "stickySessions": True}
    return {
        "safe": route("safe", "safe", "plain", attempts=2, **more),
        "once": route("once", "unsafe", "plain", attempts=2, **more),
        "stream": route("stream", "streaming", "llm", resumable=True, **engine),
        "stream-once": route("stream-once", "streaming", "llm", attempts=2, **engine),
    }


@dataclass
class Changes:
    """Writes new versions; ``history`` has what a moment's versions allowed."""

    system: object
    rng: object
    note: object
    routes: dict = field(default_factory=first_routes)
    adapters: dict = field(default_factory=dict)
    version: int = 1
    history: list = field(default_factory=list)

    def __post_init__(self):
        document = configuration(1)
        self.services = {service["name"]: service for service in document["services"]}
        for name, other in OTHER.items():
            self.services[other] = {**self.services[name], "name": other}
        self.limits = {**document["limits"], "idleTimeoutMs": 4000}
        self.limits["headerTimeoutMs"] = 1000

    def write(self):
        """Write the configuration; called on the event loop."""
        document = {
            "version": self.version,
            "routes": list(self.routes.values()),
            "services": list(self.services.values()),
            "limits": self.limits,
        }
        timeouts = {name: r["timeoutMs"] / 1000 for name, r in self.routes.items()}
        idle_s = self.limits["idleTimeoutMs"] / 1000
        self.history.append((time.monotonic(), timeouts, idle_s, dict(self.limits)))
        self.system.store.put_json("keyed.op", "config", document)

    def between(self, first_s, last_s):
        """Return what versions were in force at some time between two."""
        later = [entry for entry in self.history if first_s < entry[0] <= last_s]
        before = [entry for entry in self.history if entry[0] <= first_s]
        return (before[-1:] or self.history[:1]) + later

    def timeouts_s(self, name, at_s):
        """Return the timeouts of a route that may be in force for a request."""
        versions = self.between(at_s - CONFIGURATION_S, at_s + AHEAD_S)
        return [timeouts[name] for _, timeouts, _, _ in versions if name in timeouts]

    def idle_s(self, lag_s):
        """Return the idle limit as a caller knows it who learns of it late."""
        at_s = time.monotonic() - lag_s
        return self.between(at_s, at_s)[-1][2]

    def body_s(self):
        """Return how long a body may take, whatever version is in force."""
        now_s = time.monotonic()
        versions = self.between(now_s - CONFIGURATION_S, now_s)
        return min(limits["headerTimeoutMs"] for _, _, _, limits in versions) / 1000

    def change(self):
        """Change one thing, write a version and note it."""
        kinds = [self._move, self._move, self._split, self._add_or_remove]
        kinds += [self._timeout, self._idle_limit, self._sizes, self._services]
        kinds += [self._new_adapter_version]
        text = self.rng.choice(kinds)()
        if text.startswith("adapter"):
            self.note(text)
            return
        self.version += self.rng.randint(1, 3)
        self.write()
        self.note(f"version {self.version}: {text}")

    def _move(self):
        name = self.rng.choice(list(self.routes))
        entry = self.routes[name]
        home = HOME[name]
        is_home = entry["service"] == home and "trafficSplit" not in entry
        entry.pop("trafficSplit", None)
        entry["service"] = OTHER[home] if is_home else home
        return f"{name} moves to {entry['service']}"

    def _split(self):
        name = self.rng.choice(list(self.routes))
        home = HOME[name]
        weight = self.rng.choice((0.2, 0.5, 0.8))
        self.routes[name]["trafficSplit"] = [
            {"service": home, "weight": weight},
            {"service": OTHER[home], "weight": 1 - weight},
        ]
        return f"{name} is split, {weight} to {home}"

    def _add_or_remove(self):
        if self.routes.pop("added", None) is not None:
            return "route added is removed"
        self.routes["added"] = route("added", "safe", "plain", timeoutMs=TIMEOUT_MS)
        return "route added comes"

    def _timeout(self):
        name = self.rng.choice(list(self.routes))
        self.routes[name]["timeoutMs"] = timeout_ms = self.rng.choice(TIMEOUTS_MS)
        return f"{name} has {timeout_ms} ms"

    def _idle_limit(self):
        self.limits["idleTimeoutMs"] = limit_ms = self.rng.choice(IDLE_LIMITS_MS)
        return f"idle limit {limit_ms} ms"

    def _sizes(self):
        self.limits["headerBytes"] = self.rng.choice((2048, 4096, 8192))
        self.limits["bodyBytes"] = self.rng.choice((16_384, 65_536))
        self.limits["headerTimeoutMs"] = self.rng.choice(HEADER_TIMEOUTS_MS)
        return f"limits {self.limits}"

    def _services(self):
        name = self.rng.choice(list(self.services))
        service = dict(self.services[name])
        service["connectionLimit"] = self.rng.choice((16, 64, 128))
        if "engine" in service:
            slots = self.rng.choice((4, 8))
            adapter_slots = self.rng.choice((1, 2, 3))
            service["engine"] = {
                **service["engine"],
                "slots": slots,
                "adapterSlots": adapter_slots,
            }
        self.services[name] = service
        limits = [service["connectionLimit"], service.get("engine", {})]
        return f"service {name} has {limits}"

    def _new_adapter_version(self):
        adapter = f"a{self.rng.randint(1, 3)}"
        self.adapters[adapter] = version = self.adapters.get(adapter, 1) + 1
        for engine in self.system.engines.values():
            engine.versions[adapter] = version
        notice = {"model": "m", "adapter": adapter, "version": version}
        self.system.store.put_json("keyed.op", f"version/m.{adapter}", notice)
        return f"adapter {adapter} has version {version}"
