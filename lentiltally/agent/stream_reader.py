"""Reads the streamed answers of all targets on one thread.

A thread for each stream costs about 90 us of processor time a token in context switches
alone. One thread that waits for all connections reads the tokens of one engine step
together.
"""

from __future__ import annotations

import logging
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from lentiltally.agent._http import TargetError
from lentiltally.agent.engine_client import EngineStream, EventBlock
from lentiltally.clock import Clock

_log = logging.getLogger(__name__)

# With this many streams, tokens are gathered for a moment and travel together; with
# fewer, each is passed on at once.
LOADED_STREAMS = 8
# Below the 28 ms that may lie between two tokens of an answer.
GATHER_S = 0.020
CHECK_S = 0.5

# Takes a block of events; True says that it was the last one.
OnBlock = Callable[[EventBlock], bool]


@dataclass(slots=True, eq=False)
class _Followed:
    stream: EngineStream
    on_block: OnBlock
    silence_timeout_s: float
    heard_s: float
    error: Exception | None = None
    ended: threading.Event = field(default_factory=threading.Event)


class StreamReader:
    """Follows streams until they end, break or fall silent."""

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._new: deque[_Followed] = deque()
        self._followed: dict[int, _Followed] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="streams")

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reading; streams that are still followed stay without an end."""
        self._stopped.set()
        self._wake()

    def follow(
        self, stream: EngineStream, on_block: OnBlock, silence_timeout_s: float
    ) -> None:
        """Return when ``on_block`` has taken the last block or the body has ended.

        ``on_block`` is called on the reader's thread. Raises TargetError if the
        connection breaks or is silent for ``silence_timeout_s``, and whatever
        ``on_block`` raises.
        """
        followed = _Followed(
            stream, on_block, silence_timeout_s, self._clock.monotonic_s()
        )
        self._new.append(followed)
        self._wake()
        followed.ended.wait()
        if followed.error is not None:
            raise followed.error

    def _wake(self) -> None:
        self._wake_sender.send(b"\0")

    def _run(self) -> None:
        next_check_s = 0.0
        while not self._stopped.is_set():
            ready = self._selector.select(CHECK_S)
            for key, _ in ready:
                if key.data is None:
                    self._wake_receiver.recv(4096)
                else:
                    self._read(key.data)
            while self._new:
                self._add(self._new.popleft())
            now_s = self._clock.monotonic_s()
            if now_s >= next_check_s:
                next_check_s = now_s + CHECK_S
                self._check_silence(now_s)
            if len(self._followed) >= LOADED_STREAMS:
                self._stopped.wait(GATHER_S)

    def _add(self, followed: _Followed) -> None:
        try:
            number = followed.stream.fileno()
            self._selector.register(number, selectors.EVENT_READ, followed)
        except (OSError, ValueError) as error:
            self._end(followed, followed.stream.wrap_error(error))
            return
        self._followed[number] = followed
        # The first events may have arrived together with the head.
        if followed.stream.has_buffered_data():
            self._read(followed)

    def _read(self, followed: _Followed) -> None:
        followed.heard_s = self._clock.monotonic_s()
        try:
            for block in followed.stream.read_events():
                if block is None or followed.on_block(block):
                    self._end(followed, None)
                    return
        except Exception as error:
            if not isinstance(error, TargetError):
                _log.exception("stream failed")
            self._end(followed, error)

    def _check_silence(self, now_s: float) -> None:
        for followed in list(self._followed.values()):
            if now_s - followed.heard_s > followed.silence_timeout_s:
                error = TimeoutError(f"silent for {followed.silence_timeout_s} s")
                self._end(followed, followed.stream.wrap_error(error))

    def _end(self, followed: _Followed, error: Exception | None) -> None:
        for number, other in list(self._followed.items()):
            if other is followed:
                del self._followed[number]
                self._selector.unregister(number)
        followed.error = error
        followed.ended.set()
