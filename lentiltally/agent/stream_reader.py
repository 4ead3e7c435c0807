"""Reads the streamed answers of all targets on one thread.

With a thread for each stream, context switches alone cost about 90 us of processor time
per token. A single thread that waits for all connections reads the tokens of one engine
step together.
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

# From this many streams on, the reader pauses between reads, so that several tokens are
# passed on together. With fewer streams each token is passed on at once.
COALESCE_MIN_STREAMS = 8
# Below the 28 ms that are allowed between two tokens of an answer.
COALESCE_DELAY_S = 0.020
TIMEOUT_CHECK_INTERVAL_S = 0.5

# Handles a block of events; returns True if it was the last one of the answer.
BlockHandler = Callable[[EventBlock], bool]


@dataclass(slots=True, eq=False)
class _FollowedStream:
    stream: EngineStream
    on_block: BlockHandler
    silence_timeout_s: float
    last_event_s: float
    error: Exception | None = None
    ended: threading.Event = field(default_factory=threading.Event)


class StreamReader:
    """Reads streams until they end, break or time out; safe for several threads."""

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._new_streams: deque[_FollowedStream] = deque()
        self._followed: dict[int, _FollowedStream] = {}
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="streams")

    def start(self) -> None:
        """Start the reader's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop reading; calls of ``follow`` that wait do not return."""
        self._stopped.set()
        self._wake()

    def follow(
        self, stream: EngineStream, on_block: BlockHandler, silence_timeout_s: float
    ) -> None:
        """Read a stream and return when ``on_block`` returns True or the body ends.

        ``on_block`` is called on the reader's thread. Raises TargetError if the
        connection breaks or no event arrives for ``silence_timeout_s``, and whatever
        ``on_block`` raises.
        """
        followed = _FollowedStream(
            stream, on_block, silence_timeout_s, self._clock.monotonic_s()
        )
        self._new_streams.append(followed)
        self._wake()
        followed.ended.wait()
        if followed.error is not None:
            raise followed.error

    def _wake(self) -> None:
        self._wake_sender.send(b"\0")

    def _run(self) -> None:
        check_due_s = 0.0
        while not self._stopped.is_set():
            ready = self._selector.select(TIMEOUT_CHECK_INTERVAL_S)
            for key, _ in ready:
                if key.data is None:
                    self._wake_receiver.recv(4096)
                else:
                    self._read(key.data)
            while self._new_streams:
                self._add(self._new_streams.popleft())
            now_s = self._clock.monotonic_s()
            if now_s >= check_due_s:
                check_due_s = now_s + TIMEOUT_CHECK_INTERVAL_S
                self._check_timeouts(now_s)
            if len(self._followed) >= COALESCE_MIN_STREAMS:
                self._stopped.wait(COALESCE_DELAY_S)

    def _add(self, followed: _FollowedStream) -> None:
        try:
            descriptor = followed.stream.fileno()
            self._selector.register(descriptor, selectors.EVENT_READ, followed)
        except (OSError, ValueError) as error:
            self._end_stream(followed, followed.stream.wrap_error(error))
            return
        self._followed[descriptor] = followed
        # Events that arrived with the response head are buffered already, so the
        # connection may not become readable for them.
        if followed.stream.has_buffered_data():
            self._read(followed)

    def _read(self, followed: _FollowedStream) -> None:
        try:
            for block in followed.stream.read_events():
                # Single bytes that complete no event are no progress.
                followed.last_event_s = self._clock.monotonic_s()
                if block is None or followed.on_block(block):
                    self._end_stream(followed, None)
                    return
        except Exception as error:
            if not isinstance(error, TargetError):
                _log.exception("unexpected error while reading an engine stream")
            self._end_stream(followed, error)

    def _check_timeouts(self, now_s: float) -> None:
        for followed in list(self._followed.values()):
            if now_s - followed.last_event_s > followed.silence_timeout_s:
                error = TimeoutError(f"no event for {followed.silence_timeout_s} s")
                self._end_stream(followed, followed.stream.wrap_error(error))

    def _end_stream(self, followed: _FollowedStream, error: Exception | None) -> None:
        for descriptor, other in list(self._followed.items()):
            if other is followed:
                del self._followed[descriptor]
                self._selector.unregister(descriptor)
        followed.error = error
        followed.ended.set()
