"""Data of the engine: settings, executions, journal and load reports."""

from __future__ import annotations

from queue import SimpleQueue
from typing import Literal

import msgspec

Outcome = Literal["queued", "running", "finished", "cancelled", "failed", "cut"]


class EngineSettings(msgspec.Struct, frozen=True):
    """Size and speed of an engine.

    ``load_s`` is the time of an adapter load if there is no ``weights_url``.
    ``kept_streams`` is the number of ended answers that can still be resumed.
    """

    base_model: str = "base"
    batch_places: int = 16
    adapter_slots: int = 8
    token_s: float = 0.01
    load_s: float = 0.25
    load_lag_s: float = 1.0
    enforces_fencing: bool = False
    weights_url: str = ""
    kept_streams: int = 200
    cached_prefixes: int = 64


class ExecutionEntry(msgspec.Struct):
    """One execution in the journal; times are monotonic seconds of the engine.

    ``started_s`` is null for an execution that never got a batch place.
    """

    request_id: str
    requested_model: str
    model: str
    body_digest: str
    incarnation: str
    arrived_s: float
    started_s: float | None = None
    ended_s: float | None = None
    outcome: Outcome = "queued"
    tokens: int = 0


class OrderEntry(msgspec.Struct):
    """One order in the journal.

    ``status`` is the HTTP status of the answer and 0 before it. ``outdated`` tells
    that the fencing token was lower than the highest one seen, or missing.
    """

    order: str
    name: str
    fencing_token: int | None
    outdated: bool
    incarnation: str
    at_s: float
    status: int = 0


class Violation(msgspec.Struct):
    """Something that a correct client never does."""

    violation: str
    name: str
    request_ids: list[str]
    at_s: float


class EngineJournal(msgspec.Struct):
    """Everything that happened to an engine, over all its incarnations."""

    executions: list[ExecutionEntry] = []
    orders: list[OrderEntry] = []
    violations: list[Violation] = []


class LoadReport(msgspec.Struct, frozen=True):
    """What ``GET /load`` tells about one moment."""

    queued: int
    running: int
    resident: tuple[str, ...]
    incarnation: str
    fencing_token: int = 0


class Work(msgspec.Struct):
    """A request for an execution."""

    request_id: str
    model: str
    prompt: str
    length: int
    max_tokens: int
    priority: float
    chat: bool
    stream: bool
    body: bytes


class Execution:
    """One run of a request; its answer grows by a token per step.

    The engine's loop is the only writer. Readers subscribe first, then read
    ``entry.outcome`` and after it ``entry.tokens``, and wait on their queue.
    """

    __slots__ = ("_streams", "_waiters", "entry", "model", "sequence", "work")

    def __init__(self, work: Work, entry: ExecutionEntry, sequence: int) -> None:
        """Create a queued execution."""
        self.work = work
        self.entry = entry
        self.model = entry.model
        self.sequence = sequence
        self._streams: list[SimpleQueue[None]] = []
        self._waiters: list[SimpleQueue[None]] = []

    @property
    def ended(self) -> bool:
        """Return whether no further token will come."""
        return self.entry.ended_s is not None

    def subscribe(self, *, tokens: bool) -> SimpleQueue[None]:
        """Return a queue that gets an item at the end and, if asked, after tokens."""
        wakeups: SimpleQueue[None] = SimpleQueue()
        (self._streams if tokens else self._waiters).append(wakeups)
        return wakeups

    def unsubscribe(self, wakeups: SimpleQueue[None]) -> None:
        """Forget a stream's queue."""
        if wakeups in self._streams:
            self._streams.remove(wakeups)

    def add_token(self) -> None:
        """Extend the answer by one token."""
        self.entry.tokens += 1
        for wakeups in tuple(self._streams):
            # A reader looks at the state after it took an item, so one is enough.
            if wakeups.empty():
                wakeups.put(None)

    def end(self, outcome: Outcome, now_s: float) -> None:
        """Record the end and wake every reader."""
        self.entry.outcome = outcome
        self.entry.ended_s = now_s
        for wakeups in (*self._streams, *self._waiters):
            wakeups.put(None)
