"""Turns on the event loop for connections that hold much to parse.

A peer decides in how many pieces its bytes come. Without turns, a loop over the pieces
that have arrived already runs until all are processed, and nothing else is served
meanwhile: no other request, no timer, no readiness check.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

__all__ = ["MAX_PIECES_PER_TURN", "ReadTurns"]

# Pieces that a connection may process before it waits for its next turn. One piece
# takes some ten microseconds.
MAX_PIECES_PER_TURN = 32


class ReadTurns:
    """Lets one connection go on in each iteration of the event loop, in order.

    However many connections hold pieces, an iteration is only longer by one turn.
    """

    __slots__ = ("_is_scheduled", "_waiting")

    def __init__(self) -> None:
        """Start with nobody waiting."""
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def call(self, go_on: Callable[[], None]) -> None:
        """Call ``go_on`` when it is its turn; it must not raise."""
        self._waiting.append(go_on)
        self._schedule()

    async def wait(self) -> None:
        """Wait for a turn."""
        turn = asyncio.get_running_loop().create_future()
        self.call(lambda: None if turn.done() else turn.set_result(None))
        await turn

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._give_turn)

    def _give_turn(self) -> None:
        self._is_scheduled = False
        go_on = self._waiting.popleft()
        self._schedule()
        go_on()
