"""Runs the attempts of one request that are under way at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from lentiltally.decisions.attempt_race import AttemptRace
from lentiltally.direct.model import TargetRecord
from lentiltally.direct.target_exchange import ExchangeResult, SupersededError

__all__ = ["AttemptTurn", "OpenAttempts"]


class AttemptTurn:
    """Tells the other attempts of a request how one of them proceeds."""

    def __init__(
        self, number: int, record: TargetRecord, attempts: OpenAttempts
    ) -> None:
        """Create the turn of an attempt at a target."""
        self.number = number
        self.record = record
        self.is_superseded = False
        self.has_stalled = False
        self._is_given_up = False
        self._attempts = attempts

    def check(self) -> None:
        """Raise SupersededError if the attempt has been given up."""
        if self._is_given_up:
            raise SupersededError

    def stalled(self) -> None:
        """Note that the target has made no progress for too long."""
        self.has_stalled = True
        self._attempts.stalled(self)

    def continue_answer(self) -> None:
        """Give up all other attempts, because this one continues the answer.

        Raises SupersededError if this one has been given up itself.
        """
        self.check()
        self._attempts.continued_by(self)

    def give_up(self, task: asyncio.Task[ExchangeResult]) -> None:
        """End the attempt, which runs in the given task."""
        self._is_given_up = True
        # A task that is cancelled before its first step can't release what it holds.
        asyncio.get_running_loop().call_soon(task.cancel)


class OpenAttempts:
    """Attempts in tasks of their own, until one of them has answered the request.

    While all of them have stalled, ``begin_another`` is run, which may begin one more.
    ``superseded`` is called with the target of an attempt that another one supersedes.
    """

    def __init__(
        self,
        begin_another: Callable[[], Coroutine[Any, Any, None]],
        superseded: Callable[[TargetRecord], None],
    ) -> None:
        """Start without attempts."""
        self._begin_another = begin_another
        self._superseded = superseded
        self._race = AttemptRace()
        self._tasks: dict[AttemptTurn, asyncio.Task[ExchangeResult]] = {}
        self._search: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._is_closed = False

    @property
    def is_empty(self) -> bool:
        """Return whether no attempt is left whose result has not been returned."""
        return not self._tasks

    @property
    def may_answer(self) -> bool:
        """Return whether an attempt is left that no other one has superseded."""
        return any(not turn.is_superseded for turn in self._tasks)

    @property
    def records(self) -> list[TargetRecord]:
        """Return the targets of the attempts."""
        return [turn.record for turn in self._tasks]

    def begin(
        self,
        number: int,
        record: TargetRecord,
        send: Callable[[AttemptTurn], Coroutine[Any, Any, ExchangeResult]],
    ) -> None:
        """Begin an attempt at a target; ``send`` makes it and returns its result."""
        turn = AttemptTurn(number, record, self)
        self._race.begun(number)
        task = asyncio.create_task(send(turn))
        task.add_done_callback(self._note_change)
        self._tasks[turn] = task

    async def next_result(self) -> tuple[TargetRecord, ExchangeResult]:
        """Wait for an attempt to end; return its target and its result."""
        self._search_if_stalled()
        while True:
            self._raise_failed_search()
            for turn, task in self._tasks.items():
                if task.done():
                    del self._tasks[turn]
                    self._race.ended(turn.number)
                    return turn.record, task.result()
            self._changed.clear()
            await self._changed.wait()

    async def end_search(self) -> None:
        """Stop beginning another attempt.

        Returns once the search has released what it held: the next attempt may ask the
        same agents for the same request.
        """
        search, self._search = self._search, None
        if search is not None:
            search.cancel()
            await asyncio.gather(search, return_exceptions=True)

    async def close(self) -> None:
        """Give up all attempts; returns once they have released what they held.

        No other attempt is begun, also if one stalls before its task has ended.
        """
        self._is_closed = True
        await self.end_search()
        for turn, task in self._tasks.items():
            turn.give_up(task)
        if self._tasks:
            await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        self._tasks.clear()

    def stalled(self, turn: AttemptTurn) -> None:
        """Note that an attempt has stalled."""
        self._race.stalled(turn.number)
        self._search_if_stalled()

    def continued_by(self, turn: AttemptTurn) -> None:
        """Give up all attempts but one, which continues the answer."""
        if self._search is not None:
            self._search.cancel()
        superseded = self._race.progressed(turn.number)
        for other, task in self._tasks.items():
            if other.number in superseded:
                other.is_superseded = True
                other.give_up(task)
                self._superseded(other.record)

    def _search_if_stalled(self) -> None:
        is_searching = self._search is not None and not self._search.done()
        if self._race.needs_another and not is_searching and not self._is_closed:
            self._search = asyncio.create_task(self._begin_another())
            self._search.add_done_callback(self._note_change)

    def _raise_failed_search(self) -> None:
        search = self._search
        if search is not None and search.done() and not search.cancelled():
            self._search = None
            search.result()

    def _note_change(self, _: asyncio.Future[Any]) -> None:
        self._changed.set()
