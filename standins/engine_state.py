"""Data types of the engine stand-in: settings, executions, journal, load reports."""

from __future__ import annotations

from queue import SimpleQueue
from typing import Literal

import msgspec

# "failed" means that the adapter was unloaded, "cut" that the engine restarted.
Outcome = Literal["queued", "running", "finished", "cancelled", "failed", "cut"]


class EngineSettings(msgspec.Struct, frozen=True):
    """Capacity and speed of an engine; ``python -m standins`` takes them as options.

    ``batch_places`` is the number of batch slots, ``token_s`` the time per token.
    ``load_s`` is the time of an adapter load if there is no ``weights_url``.
    ``load_lag_s`` is the age of the state that ``GET /load`` reports.
    ``kept_streams`` is the number of ended answers that can still be resumed, and
    ``cached_prefixes`` the capacity of the prefix cache.
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

    ``started_s`` is null for an execution that never got a batch slot.
    ``requested_model`` and ``model`` differ if the engine fell back to its base model.
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

    ``order`` is the last segment of the request path, ``name`` the adapter, model or
    role that the order is about. ``status`` is the HTTP status of the answer, or 0
    until the order is answered. ``outdated`` means that the fencing token was missing
    or lower than the highest one seen.
    """

    order: str
    name: str
    fencing_token: int | None
    outdated: bool
    incarnation: str
    at_s: float
    status: int = 0


class Violation(msgspec.Struct):
    """An operation that a correct client never requests."""

    violation: str
    name: str
    request_ids: list[str]
    at_s: float


class EngineJournal(msgspec.Struct):
    """All executions, orders and violations of an engine, over all incarnations."""

    executions: list[ExecutionEntry] = []
    orders: list[OrderEntry] = []
    violations: list[Violation] = []


class LoadReport(msgspec.Struct, frozen=True):
    """Load of the engine at one moment, as ``GET /load`` returns it.

    ``queued`` and ``running`` count executions, ``resident`` lists loaded adapters.
    """

    queued: int
    running: int
    resident: tuple[str, ...]
    incarnation: str
    fencing_token: int = 0


class ExecutionRequest(msgspec.Struct):
    """A completion request that the engine is to execute.

    The engine replaces an empty ``request_id`` by a generated one. ``answer_tokens``
    is the number of tokens after which the answer ends; ``max_tokens`` is the limit
    that the caller set. Lower ``priority`` values run first.
    """

    request_id: str
    model: str
    prompt: str
    answer_tokens: int
    max_tokens: int
    priority: float
    chat: bool
    stream: bool
    body: bytes


class Execution:
    """One execution of a request; each engine step adds one token to its answer.

    State changes only under the lock of EngineCore. Readers take no lock: they
    subscribe, read ``entry.outcome`` and only then ``entry.tokens``, and wait on
    their queue for the next change.
    """

    __slots__ = (
        "_end_queues",
        "_token_queues",
        "entry",
        "model",
        "request",
        "sequence",
    )

    def __init__(
        self, request: ExecutionRequest, entry: ExecutionEntry, sequence: int
    ) -> None:
        """Create a queued execution."""
        self.request = request
        self.entry = entry
        self.model = entry.model
        self.sequence = sequence
        self._token_queues: list[SimpleQueue[None]] = []
        self._end_queues: list[SimpleQueue[None]] = []

    @property
    def ended(self) -> bool:
        """Return whether no further token will be added."""
        return self.entry.ended_s is not None

    def subscribe(self, *, tokens: bool) -> SimpleQueue[None]:
        """Return a queue that gets an item at the end, and with ``tokens`` per token.

        A queue that still holds an item gets no further one for a new token.
        """
        wakeups: SimpleQueue[None] = SimpleQueue()
        (self._token_queues if tokens else self._end_queues).append(wakeups)
        return wakeups

    def unsubscribe(self, wakeups: SimpleQueue[None]) -> None:
        """Remove a queue that was subscribed with ``tokens``."""
        if wakeups in self._token_queues:
            self._token_queues.remove(wakeups)

    def add_token(self) -> None:
        """Extend the answer by one token."""
        self.entry.tokens += 1
        for wakeups in tuple(self._token_queues):
            # Readers read the state after taking an item, so one item is enough.
            if wakeups.empty():
                wakeups.put(None)

    def end(self, outcome: Outcome, now_s: float) -> None:
        """Record the outcome and wake all readers."""
        self.entry.outcome = outcome
        self.entry.ended_s = now_s
        for wakeups in (*self._token_queues, *self._end_queues):
            wakeups.put(None)
