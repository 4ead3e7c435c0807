"""The agent's table of attempts, by which each attempt runs at most once.

A refusal must stay true when a delayed copy of the attempt arrives later, and an
attempt that ran must not run again. Closed attempts (finished, released or refused)
are therefore remembered, and dropped in sequence order once there are too many. The
table keeps a watermark of the dropped sequence numbers for each entry incarnation, and
refuses every attempt at or below it that it does not remember.
"""

from __future__ import annotations

import enum
import heapq
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from lentiltally.ids import split_attempt_id

# 16,384 closed attempts of about 200 bytes take 3 MB, and cover more than a minute at
# 250 attempts/s on one agent.
MAX_CLOSED = 16_384
MAX_ANSWER_BYTES = 64 * 1024 * 1024
# An incarnation costs about 400 bytes. At 185 entry restarts a day in a region,
# 4,096 cover three weeks, longer than any message can be delayed.
MAX_INCARNATIONS = 4_096


class AttemptState(enum.Enum):
    """State of an attempt at this agent.

    A released attempt has finished, and its answer was received by the entry.
    """

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    RELEASED = "released"
    REFUSED = "refused"


class RefusalReason(enum.Enum):
    """Why an offered attempt is refused permanently."""

    TOMBSTONE = "refused before"
    OTHER_INCARNATION = "meant for another agent incarnation"
    BELOW_WATERMARK = "older than the remembered attempts"
    MALFORMED = "not an attempt id"


@dataclass(frozen=True, slots=True)
class Enqueue:
    """The attempt is new and has to be queued."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class AlreadyKnown:
    """The attempt was accepted before; ``answer`` is None unless it is still kept."""

    attempt_id: str
    state: AttemptState
    answer: object | None


@dataclass(frozen=True, slots=True)
class PermanentRefusal:
    """``offer`` refuses the attempt, which will not run from now on.

    ``may_have_run`` is True if an earlier copy may have run and been dropped from the
    table; the refusal must then say ``executed: "unknown"``.
    """

    attempt_id: str
    reason: RefusalReason
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """``refuse`` took effect: the attempt has not run and never will.

    If ``was_queued`` is True, it has to be removed from the queue.
    """

    attempt_id: str
    was_queued: bool


@dataclass(frozen=True, slots=True)
class Running:
    """The attempt is running; it can be cancelled but not reported as not run."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """The attempt has run or may have run.

    ``answer`` is None unless it is still kept.
    """

    attempt_id: str
    answer: object | None


OfferResult = Enqueue | AlreadyKnown | PermanentRefusal
RefuseResult = Refused | Running | MayHaveRun


@dataclass(slots=True)
class _Record:
    state: AttemptState


@dataclass(frozen=True, slots=True)
class _KeptAnswer:
    answer: object
    size_bytes: int


@dataclass(slots=True)
class _EntryAttempts:
    """The attempts of one entry incarnation by sequence number.

    ``closed`` is a heap of the sequence numbers of closed attempts.
    ``dropped_watermark`` is the highest dropped sequence number and
    ``executed_watermark`` the highest dropped one that had run.
    """

    records: dict[int, _Record] = field(default_factory=dict)
    closed: list[int] = field(default_factory=list)
    dropped_watermark: int = 0
    executed_watermark: int = 0


class AttemptTable:
    """All attempts of one agent incarnation."""

    def __init__(
        self,
        agent_incarnation: str,
        *,
        max_closed: int = MAX_CLOSED,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        max_incarnations: int = MAX_INCARNATIONS,
    ) -> None:
        """Create an empty table.

        It remembers ``max_closed`` closed attempts and ``max_incarnations`` entry
        incarnations, and keeps answers of ``max_answer_bytes`` in total.
        """
        self._agent_incarnation = agent_incarnation
        self._max_closed = max_closed
        self._max_answer_bytes = max_answer_bytes
        self._max_incarnations = max_incarnations
        self._entries: OrderedDict[str, _EntryAttempts] = OrderedDict()
        # The entry incarnation of each closed attempt, in the order of closing.
        self._closed_order: deque[str] = deque()
        # Kept apart from the records: an answer that was not released is kept after its
        # record was dropped, so that the agent does not exit before it was received.
        self._answers: OrderedDict[str, _KeptAnswer] = OrderedDict()
        self._answer_bytes = 0
        self._open_count = 0

    def offer(
        self, attempt_id: str, addressed_incarnation: str, now_s: float
    ) -> OfferResult:
        """Decide on an attempt that an entry has sent.

        ``addressed_incarnation`` is the agent incarnation to which it was sent. A new
        attempt is recorded as queued. ``now_s`` is accepted for symmetry with other
        decision code; the table needs no time.
        """
        del now_s
        try:
            incarnation, sequence = split_attempt_id(attempt_id)
        except ValueError:
            return PermanentRefusal(attempt_id, RefusalReason.MALFORMED, False)
        if addressed_incarnation != self._agent_incarnation:
            # An attempt sent to an earlier agent incarnation may have run there.
            return PermanentRefusal(attempt_id, RefusalReason.OTHER_INCARNATION, True)
        entry = self._entry(incarnation)
        record = entry.records.get(sequence)
        if record is None:
            return self._offer_new(entry, sequence, attempt_id)
        if record.state is AttemptState.REFUSED:
            return PermanentRefusal(attempt_id, RefusalReason.TOMBSTONE, False)
        return AlreadyKnown(attempt_id, record.state, self.answer(attempt_id))

    def refuse(
        self, attempt_id: str, addressed_incarnation: str | None = None
    ) -> RefuseResult:
        """Refuse an attempt permanently if it has not been started.

        An attempt that was never received gets a tombstone, so that a delayed copy is
        refused too. ``addressed_incarnation`` is the agent incarnation to which the
        attempt was sent, if the request to refuse it comes from another process: an
        attempt unknown here may have run in an earlier incarnation. Raises ValueError
        if the text is not an attempt id.
        """
        if addressed_incarnation not in {None, self._agent_incarnation}:
            return MayHaveRun(attempt_id, None)
        incarnation, sequence = split_attempt_id(attempt_id)
        entry = self._entry(incarnation)
        record = entry.records.get(sequence)
        if record is None:
            return self._refuse_unseen(attempt_id, entry)
        if record.state is AttemptState.RUNNING:
            return Running(attempt_id)
        if record.state in {AttemptState.FINISHED, AttemptState.RELEASED}:
            return MayHaveRun(attempt_id, self.answer(attempt_id))
        was_queued = record.state is AttemptState.QUEUED
        if was_queued:
            self._close(incarnation, entry, sequence, AttemptState.REFUSED)
        return Refused(attempt_id, was_queued)

    def query(
        self, attempt_id: str, addressed_incarnation: str | None = None
    ) -> RefuseResult:
        """Return the state of an attempt; refuse it permanently if it is unknown.

        Unlike ``refuse`` this leaves an attempt that waits in the queue alone and
        reports it as running. It answers ``ClaimQuery``, and ``Resume`` of an unknown
        attempt. Raises ValueError if the text is not an attempt id.
        """
        if self.state(attempt_id) is AttemptState.QUEUED:
            return Running(attempt_id)
        return self.refuse(attempt_id, addressed_incarnation)

    def started(self, attempt_id: str) -> bool:
        """Mark a queued attempt as running; if False, it must not run."""
        record = self._record(attempt_id)
        if record is None or record.state is not AttemptState.QUEUED:
            return False
        record.state = AttemptState.RUNNING
        return True

    def cancel_start(self, attempt_id: str) -> bool:
        """Refuse a started attempt permanently that has not reached an engine.

        Allowed only if no byte of it was sent to the engine. False if it was not
        running.
        """
        record = self._record(attempt_id)
        if record is None or record.state is not AttemptState.RUNNING:
            return False
        incarnation, sequence = split_attempt_id(attempt_id)
        entry = self._entry(incarnation)
        self._close(incarnation, entry, sequence, AttemptState.REFUSED)
        return True

    def finished(self, attempt_id: str, answer: object, size_bytes: int) -> None:
        """Finish a running attempt and keep its answer.

        The answer is kept until it is released or evicted because of the byte limit.
        """
        record = self._record(attempt_id)
        if record is None or record.state is not AttemptState.RUNNING:
            return
        incarnation, sequence = split_attempt_id(attempt_id)
        self._answers[attempt_id] = _KeptAnswer(answer, size_bytes)
        self._answer_bytes += size_bytes
        self._close(
            incarnation, self._entries[incarnation], sequence, AttemptState.FINISHED
        )
        while self._answer_bytes > self._max_answer_bytes:
            self._drop_answer(next(iter(self._answers)))

    def released(self, attempt_id: str) -> None:
        """Drop an answer that the entry has received; remember that the attempt ran."""
        self._drop_answer(attempt_id)
        record = self._record(attempt_id)
        if record is not None and record.state is AttemptState.FINISHED:
            record.state = AttemptState.RELEASED

    def state(self, attempt_id: str) -> AttemptState | None:
        """Return the state of an attempt, or None if it is not remembered."""
        record = self._record(attempt_id)
        return None if record is None else record.state

    def answer(self, attempt_id: str) -> object | None:
        """Return the kept answer of a finished attempt."""
        kept = self._answers.get(attempt_id)
        return None if kept is None else kept.answer

    @property
    def is_idle(self) -> bool:
        """Return whether no attempt is queued, running or has an unreleased answer.

        A draining agent may exit when this is True.
        """
        return not self._answers and self._open_count == 0

    @property
    def answer_bytes(self) -> int:
        """Return the size of all kept answers in bytes."""
        return self._answer_bytes

    def __len__(self) -> int:
        """Return the number of remembered attempts."""
        return sum(len(entry.records) for entry in self._entries.values())

    def _offer_new(
        self, entry: _EntryAttempts, sequence: int, attempt_id: str
    ) -> OfferResult:
        if sequence <= entry.dropped_watermark:
            return PermanentRefusal(
                attempt_id,
                RefusalReason.BELOW_WATERMARK,
                sequence <= entry.executed_watermark,
            )
        entry.records[sequence] = _Record(AttemptState.QUEUED)
        self._open_count += 1
        return Enqueue(attempt_id)

    def _refuse_unseen(self, attempt_id: str, entry: _EntryAttempts) -> RefuseResult:
        incarnation, sequence = split_attempt_id(attempt_id)
        if sequence <= entry.executed_watermark:
            return MayHaveRun(attempt_id, None)
        if sequence > entry.dropped_watermark:
            entry.records[sequence] = _Record(AttemptState.REFUSED)
            self._close(incarnation, entry, sequence, AttemptState.REFUSED)
        return Refused(attempt_id, was_queued=False)

    def _record(self, attempt_id: str) -> _Record | None:
        incarnation, sequence = split_attempt_id(attempt_id)
        entry = self._entries.get(incarnation)
        return None if entry is None else entry.records.get(sequence)

    def _entry(self, incarnation: str) -> _EntryAttempts:
        """Return the attempts of an entry incarnation, which may be a new one."""
        entry = self._entries.get(incarnation)
        if entry is None:
            entry = self._entries[incarnation] = _EntryAttempts()
            self._drop_incarnation()
        self._entries.move_to_end(incarnation)
        return entry

    def _drop_incarnation(self) -> None:
        """Drop the least recently used incarnation without remembered attempts."""
        if len(self._entries) <= self._max_incarnations:
            return
        newest = next(reversed(self._entries))
        for incarnation, entry in self._entries.items():
            if not entry.records and incarnation != newest:
                del self._entries[incarnation]
                return

    def _close(
        self,
        incarnation: str,
        entry: _EntryAttempts,
        sequence: int,
        state: AttemptState,
    ) -> None:
        record = entry.records[sequence]
        if record.state in {AttemptState.QUEUED, AttemptState.RUNNING}:
            self._open_count -= 1
        record.state = state
        heapq.heappush(entry.closed, sequence)
        self._closed_order.append(incarnation)
        while len(self._closed_order) > self._max_closed:
            self._drop_lowest(self._closed_order.popleft())

    def _drop_lowest(self, incarnation: str) -> None:
        """Drop an incarnation's closed attempt with the lowest sequence number."""
        entry = self._entries[incarnation]
        sequence = heapq.heappop(entry.closed)
        record = entry.records[sequence]
        del entry.records[sequence]
        entry.dropped_watermark = max(entry.dropped_watermark, sequence)
        if record.state is not AttemptState.REFUSED:
            entry.executed_watermark = max(entry.executed_watermark, sequence)

    def _drop_answer(self, attempt_id: str) -> None:
        kept = self._answers.pop(attempt_id, None)
        if kept is not None:
            self._answer_bytes -= kept.size_bytes
