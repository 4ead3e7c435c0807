"""Prompt prefix cache of the engine stand-in and its published events."""

from __future__ import annotations

import threading
from collections import OrderedDict, deque

import msgspec
import xxhash

from lentiltally.clock import Clock

_PREFIX_CHARACTERS = 256
_EVENT_LAG_S = 1.0
# Every seventh event is never published, so that clients must cope with gaps.
_UNPUBLISHED_EVENT_INTERVAL = 7
_MAX_KEPT_EVENTS = 10_000


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix was added or evicted; ``kind`` is ``stored`` or ``removed``."""

    id: int
    kind: str
    model: str
    prefix: str


class PrefixCache:
    """LRU cache of prompt prefixes; events are published 1 s late and with gaps."""

    def __init__(self, capacity: int, clock: Clock) -> None:
        """Start empty."""
        self._capacity = capacity
        self._clock = clock
        self._lock = threading.Lock()
        self._prefixes: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=_MAX_KEPT_EVENTS)
        self._last_id = 0

    def record_use(self, model: str, prompt: str) -> None:
        """Store the prefix of a prompt that an execution prefills."""
        prefix = xxhash.xxh3_64_hexdigest(prompt[:_PREFIX_CHARACTERS].encode())
        self.store(model, prefix)

    def store(self, model: str, prefix: str) -> None:
        """Add a prefix, or mark it as the most recently used one."""
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
        """Return the cached prefixes of a model, least recently used first."""
        with self._lock:
            return [prefix for name, prefix in self._prefixes if name == model]

    def events_after(self, last_id: int) -> list[CacheEvent]:
        """Return the published events with an id greater than ``last_id``."""
        visible_until_s = self._clock.monotonic_s() - _EVENT_LAG_S
        with self._lock:
            return [
                event
                for at_s, event in self._events
                if event.id > last_id
                and at_s <= visible_until_s
                and event.id % _UNPUBLISHED_EVENT_INTERVAL
            ]

    def clear(self) -> None:
        """Remove all prefixes without publishing events, as an engine restart does."""
        with self._lock:
            self._prefixes.clear()

    def _publish(self, kind: str, key: tuple[str, str]) -> None:
        self._last_id += 1
        event = CacheEvent(self._last_id, kind, *key)
        self._events.append((self._clock.monotonic_s(), event))
