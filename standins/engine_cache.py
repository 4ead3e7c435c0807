"""The engine's prompt prefix cache, as far as its events show it."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque

import msgspec
import xxhash

from lentiltally.clock import Clock

_PREFIX_CHARACTERS = 256
_EVENT_LAG_S = 1.0
# Every seventh event is never published.
_GAP = 7
_KEPT_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix came into or left the cache; ``kind`` is ``stored`` or ``removed``."""

    id: int
    kind: str
    model: str
    prefix: str


class PrefixCache:
    """Least recently used prefixes; events come a second late and with gaps."""

    def __init__(self, capacity: int, clock: Clock) -> None:
        """Start empty."""
        self._capacity = capacity
        self._clock = clock
        self._lock = threading.Lock()
        self._prefixes: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_KEPT_EVENTS)
        self._last_id = 0

    def used(self, model: str, prompt: str) -> None:
        """Note that an execution read or stored the prefix of its prompt."""
        prefix = xxhash.xxh3_64_hexdigest(prompt[:_PREFIX_CHARACTERS].encode())
        self.store(model, prefix)

    def store(self, model: str, prefix: str) -> None:
        """Put a prefix in, or make it the most recent one."""
        with self._lock:
            key = (model, prefix)
            if key in self._prefixes:
                self._prefixes.move_to_end(key)
                return
            self._prefixes[key] = None
            self._publish("stored", key)
            if len(self._prefixes) > self._capacity:
                self._publish("removed", self._prefixes.popitem(last=False)[0])

    def prefixes(self, model: str) -> list[str]:
        """Return the cached prefixes of a model, oldest first."""
        with self._lock:
            return [prefix for name, prefix in self._prefixes if name == model]

    def events_after(self, last_id: int) -> list[CacheEvent]:
        """Return the events with a greater id that are public by now."""
        limit_s = self._clock.monotonic_s() - _EVENT_LAG_S
        with self._lock:
            return [
                event
                for at_s, event in self._events
                if event.id > last_id and at_s <= limit_s and event.id % _GAP
            ]

    def clear(self) -> None:
        """Empty the cache; a restart publishes no events for that."""
        with self._lock:
            self._prefixes.clear()

    def _publish(self, kind: str, key: tuple[str, str]) -> None:
        self._last_id += 1
        event = CacheEvent(self._last_id, kind, *key)
        self._events.append((self._clock.monotonic_s(), event))
