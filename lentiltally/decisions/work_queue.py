"""The agent's queue of one target."""

from __future__ import annotations

from bisect import insort
from collections.abc import Container, Iterable
from dataclasses import dataclass

import msgspec

NON_IDEMPOTENT = 0
INTERACTIVE = 1
DEFERRABLE = 2


class QueuedWork(msgspec.Struct, frozen=True):
    """One attempt that waits for its target.

    ``criticality`` is 0 (non-idempotent), 1 (interactive) or 2 (deferrable), and a
    lower ``priority`` runs first within it. Times are monotonic seconds of the agent.
    ``adapter`` is empty if none is needed. ``payload`` belongs to the caller.
    """

    attempt_id: str
    adapter: str
    priority: int
    criticality: int
    enqueued_s: float
    deadline_s: float
    predicted_tokens: float
    is_suspect: bool = False
    payload: object = None


@dataclass(frozen=True, slots=True)
class QueueSettings:
    """Order of a queue; every head start is a number of seconds.

    Head starts are added to the arrival time and the sum is the sort key, so each
    item is overtaken only by work that arrives within its head start. That bounds
    the wait of every class. ``max_absent_s`` is how long work may wait for a slot
    before the queue stops serving a resident adapter to free one.
    """

    max_length: int = 128
    interactive_s: float = 2.0
    deferrable_s: float = 20.0
    priority_step_s: float = 1.0
    long_s: float = 10.0
    long_tokens: float = 1000.0
    reserved_share: float = 0.25
    max_absent_s: float = 4.0
    seconds_per_token: float = 0.0


class AdapterDemand(msgspec.Struct, frozen=True):
    """An adapter that queued work waits for."""

    adapter: str
    waiting: int
    oldest_s: float
    criticality: int


class WorkQueue:
    """Work of one target, in the order of criticality, age and adapter batching.

    Only work whose adapter is resident is taken, and none after its deadline.
    """

    def __init__(
        self, batch_places: int, settings: QueueSettings | None = None
    ) -> None:
        """Keep the number of batch places, from which the reserve follows."""
        self._settings = settings or QueueSettings()
        self._reserved = int(batch_places * self._settings.reserved_share)
        self._max_long = max(1, batch_places - self._reserved)
        self._order: list[tuple[float, str]] = []
        self._items: dict[str, QueuedWork] = {}

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._items)

    def put(self, item: QueuedWork, now_s: float) -> bool:
        """Add an item; False if the queue is full, the item is known or it is late."""
        full = len(self._items) >= self._settings.max_length
        if full or item.attempt_id in self._items or self._is_late(item, now_s):
            return False
        self._items[item.attempt_id] = item
        insort(self._order, (self._start_by_s(item), item.attempt_id))
        return True

    def take(
        self,
        free_places: int,
        resident: Container[str],
        now_s: float,
        *,
        running_long: int = 0,
        suspect_running: bool = False,
        held_back: Container[str] = (),
    ) -> list[QueuedWork]:
        """Remove and return the items to start now, at most one of them a suspect.

        ``running_long`` counts running attempts that have passed ``long_tokens``;
        long work never gets the reserved places. ``held_back`` are resident adapters
        that get no new work, see ``yielding``.
        """
        taken: list[QueuedWork] = []
        for _, attempt_id in self._order:
            if len(taken) >= free_places:
                break
            item = self._items[attempt_id]
            if item.adapter and item.adapter not in resident:
                continue
            if item.adapter in held_back or self._is_late(item, now_s):
                continue
            if item.is_suspect and suspect_running:
                continue
            is_long = self.is_long(item.predicted_tokens)
            if is_long and running_long >= self._max_long:
                continue
            running_long += is_long
            suspect_running = suspect_running or item.is_suspect
            taken.append(item)
        self._drop(taken)
        return taken

    def is_long(self, tokens: float) -> bool:
        """Return whether work of this many tokens counts as long."""
        return tokens >= self._settings.long_tokens

    def missing_adapters(
        self, resident: Container[str], now_s: float
    ) -> list[AdapterDemand]:
        """Return the absent adapters that work in time waits for, oldest first."""
        found: dict[str, list[QueuedWork]] = {}
        for item in self._items.values():
            if not item.adapter or item.adapter in resident:
                continue
            if not self._is_late(item, now_s):
                found.setdefault(item.adapter, []).append(item)
        demands = [
            AdapterDemand(
                adapter,
                len(items),
                min(item.enqueued_s for item in items),
                min(item.criticality for item in items),
            )
            for adapter, items in found.items()
        ]
        return sorted(demands, key=lambda demand: (demand.oldest_s, demand.adapter))

    def adapters(self) -> set[str]:
        """Return the adapters that queued work needs."""
        return {item.adapter for item in self._items.values() if item.adapter}

    def adapter_to_hold_back(self, resident: Iterable[str], now_s: float) -> str | None:
        """Return a resident adapter that is to get no new work, or None.

        Without it, steady work on the resident adapters would pin every slot and
        work on other adapters would never get one. The adapter with the fewest
        waiting items is chosen.
        """
        held = set(resident)
        demands = self.missing_adapters(held, now_s)
        if not demands or now_s - demands[0].oldest_s < self._settings.max_absent_s:
            return None
        waiting = dict.fromkeys(sorted(held), 0)
        for item in self._items.values():
            if item.adapter in waiting:
                waiting[item.adapter] += 1
        return min(waiting, key=lambda adapter: waiting[adapter], default=None)

    def remove_expired(self, now_s: float) -> list[QueuedWork]:
        """Remove and return the items that can't be served in time any more."""
        late = [item for item in self._items.values() if self._is_late(item, now_s)]
        self._drop(late)
        return late

    def cancel(self, attempt_id: str) -> QueuedWork | None:
        """Remove and return an item; None if it doesn't wait here."""
        item = self._items.get(attempt_id)
        if item is not None:
            self._drop([item])
        return item

    def clear(self) -> list[QueuedWork]:
        """Remove and return everything, for a target that leaves."""
        items = [self._items[attempt_id] for _, attempt_id in self._order]
        self._drop(items)
        return items

    def _is_late(self, item: QueuedWork, now_s: float) -> bool:
        needed_s = item.predicted_tokens * self._settings.seconds_per_token
        return now_s + needed_s >= item.deadline_s

    def _start_by_s(self, item: QueuedWork) -> float:
        settings = self._settings
        head_start_s = (0.0, settings.interactive_s, settings.deferrable_s)
        start_by_s = item.enqueued_s + head_start_s[item.criticality]
        start_by_s += item.priority * settings.priority_step_s
        if self.is_long(item.predicted_tokens):
            start_by_s += settings.long_s
        return start_by_s

    def _drop(self, items: list[QueuedWork]) -> None:
        if not items:
            return
        for item in items:
            del self._items[item.attempt_id]
        self._order = [entry for entry in self._order if entry[1] in self._items]
