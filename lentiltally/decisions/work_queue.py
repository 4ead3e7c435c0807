"""The queue of attempts that wait at an agent for one target."""

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

    ``criticality`` is 0 (non-idempotent), 1 (interactive) or 2 (deferrable); within a
    class, a lower ``priority`` starts first. Times are in seconds on the agent's
    monotonic clock. ``adapter`` is empty if none is needed. ``is_suspect`` marks an
    attempt whose request is suspected of crashing targets. ``payload`` is opaque to the
    queue.
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
    """Limits and order of a queue, in seconds unless the name says otherwise.

    Attempts are sorted by the time of their arrival plus delays: one for their class
    (0 for non-idempotent ones), ``priority_step_s`` for each step of priority, and
    ``long_delay_s`` if they are long, which means ``long_tokens`` expected tokens or
    more. An attempt is thus only overtaken by attempts that arrive within the
    difference of their delays, which bounds the wait of every class.

    A fraction of ``reserved_fraction`` of the batch slots is kept free of long work. If
    an attempt has waited for an adapter slot for ``max_slot_wait_s``, the queue stops
    serving a loaded adapter to free its slot. An attempt that can't finish before its
    deadline, at ``seconds_per_token``, counts as expired.
    """

    max_length: int = 128
    interactive_delay_s: float = 2.0
    deferrable_delay_s: float = 20.0
    priority_step_s: float = 1.0
    long_delay_s: float = 10.0
    long_tokens: float = 1000.0
    reserved_fraction: float = 0.25
    max_slot_wait_s: float = 4.0
    seconds_per_token: float = 0.0


class AdapterDemand(msgspec.Struct, frozen=True):
    """An adapter that is not loaded and that queued work waits for.

    ``waiting`` is the number of attempts, ``oldest_s`` the arrival of the oldest one
    and ``criticality`` their lowest class number.
    """

    adapter: str
    waiting: int
    oldest_s: float
    criticality: int


class WorkQueue:
    """Attempts that wait for one target, in the order of ``QueueSettings``.

    Only work whose adapter is loaded is taken, and none after its deadline.
    """

    def __init__(self, batch_slots: int, settings: QueueSettings | None = None) -> None:
        """Reserve a fraction of the batch slots for work that is not long."""
        self._settings = settings or QueueSettings()
        self._reserved_slots = int(batch_slots * self._settings.reserved_fraction)
        self._max_long = max(1, batch_slots - self._reserved_slots)
        self._order: list[tuple[float, str]] = []
        self._items: dict[str, QueuedWork] = {}

    def __len__(self) -> int:
        """Return the number of waiting attempts."""
        return len(self._items)

    def put(self, item: QueuedWork, now_s: float) -> bool:
        """Add an attempt; False if the queue is full, or it is known or expired."""
        is_full = len(self._items) >= self._settings.max_length
        if is_full or item.attempt_id in self._items or self._is_expired(item, now_s):
            return False
        self._items[item.attempt_id] = item
        insort(self._order, (self._sort_key_s(item), item.attempt_id))
        return True

    def take(
        self,
        free_batch_slots: int,
        loaded: Container[str],
        now_s: float,
        *,
        running_long: int = 0,
        suspect_running: bool = False,
        held_back: Container[str] = (),
    ) -> list[QueuedWork]:
        """Remove and return the attempts to start now, at most one of them a suspect.

        ``running_long`` counts running attempts that have passed ``long_tokens``.
        ``suspect_running`` tells whether a suspect runs already. ``held_back`` are
        loaded adapters that get no new work, see ``adapter_to_hold_back``.
        """
        taken: list[QueuedWork] = []
        for _, attempt_id in self._order:
            if len(taken) >= free_batch_slots:
                break
            item = self._items[attempt_id]
            if item.adapter and item.adapter not in loaded:
                continue
            if item.adapter in held_back or self._is_expired(item, now_s):
                continue
            if item.is_suspect and suspect_running:
                continue
            is_long = self.is_long(item.predicted_tokens)
            if is_long and running_long >= self._max_long:
                continue
            running_long += is_long
            suspect_running = suspect_running or item.is_suspect
            taken.append(item)
        self._remove(taken)
        return taken

    def is_long(self, tokens: float) -> bool:
        """Return whether work of this many tokens counts as long."""
        return tokens >= self._settings.long_tokens

    def missing_adapters(
        self, loaded: Container[str], now_s: float
    ) -> list[AdapterDemand]:
        """Return the adapters to be loaded for unexpired work, longest wait first."""
        items_by_adapter: dict[str, list[QueuedWork]] = {}
        for item in self._items.values():
            if not item.adapter or item.adapter in loaded:
                continue
            if not self._is_expired(item, now_s):
                items_by_adapter.setdefault(item.adapter, []).append(item)
        demands = [
            AdapterDemand(
                adapter,
                len(items),
                min(item.enqueued_s for item in items),
                min(item.criticality for item in items),
            )
            for adapter, items in items_by_adapter.items()
        ]
        return sorted(demands, key=lambda demand: (demand.oldest_s, demand.adapter))

    def adapters(self) -> set[str]:
        """Return the adapters that queued work needs."""
        return {item.adapter for item in self._items.values() if item.adapter}

    def adapter_to_hold_back(self, loaded: Iterable[str], now_s: float) -> str | None:
        """Return a loaded adapter that is to get no new work, or None.

        Otherwise steady work on the loaded adapters would pin every slot, and work
        on other adapters would never get one. The adapter with the fewest waiting
        attempts is chosen.
        """
        loaded_adapters = set(loaded)
        demands = self.missing_adapters(loaded_adapters, now_s)
        if not demands or now_s - demands[0].oldest_s < self._settings.max_slot_wait_s:
            return None
        waiting = dict.fromkeys(sorted(loaded_adapters), 0)
        for item in self._items.values():
            if item.adapter in waiting:
                waiting[item.adapter] += 1
        return min(waiting, key=lambda adapter: waiting[adapter], default=None)

    def remove_expired(self, now_s: float) -> list[QueuedWork]:
        """Remove and return the attempts that can't finish before their deadline."""
        expired = [
            item for item in self._items.values() if self._is_expired(item, now_s)
        ]
        self._remove(expired)
        return expired

    def cancel(self, attempt_id: str) -> QueuedWork | None:
        """Remove and return an attempt; None if it doesn't wait here."""
        item = self._items.get(attempt_id)
        if item is not None:
            self._remove([item])
        return item

    def clear(self) -> list[QueuedWork]:
        """Remove and return all attempts, because the target drains."""
        items = [self._items[attempt_id] for _, attempt_id in self._order]
        self._remove(items)
        return items

    def _is_expired(self, item: QueuedWork, now_s: float) -> bool:
        needed_s = item.predicted_tokens * self._settings.seconds_per_token
        return now_s + needed_s >= item.deadline_s

    def _sort_key_s(self, item: QueuedWork) -> float:
        settings = self._settings
        class_delays_s = (
            0.0,
            settings.interactive_delay_s,
            settings.deferrable_delay_s,
        )
        sort_key_s = item.enqueued_s + class_delays_s[item.criticality]
        sort_key_s += item.priority * settings.priority_step_s
        if self.is_long(item.predicted_tokens):
            sort_key_s += settings.long_delay_s
        return sort_key_s

    def _remove(self, items: list[QueuedWork]) -> None:
        if not items:
            return
        for item in items:
            del self._items[item.attempt_id]
        self._order = [entry for entry in self._order if entry[1] in self._items]
