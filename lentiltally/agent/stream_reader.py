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


class StreamSilentError(TargetError):
    """No event has arrived for the time after which a stream counts as silent.

    Its connections are still open, and the engine may go on.
    """


@dataclass(slots=True, eq=False)
class _FollowedAnswer:
    """One answer, with a handler for each connection that may deliver it."""

    handlers: dict[EngineStream, BlockHandler]
    silence_timeout_s: float
    last_event_s: float
    error: Exception | None = None
    ended: threading.Event = field(default_factory=threading.Event)


@dataclass(frozen=True, slots=True, eq=False)
class _Connection:
    descriptor: int
    stream: EngineStream
    answer: _FollowedAnswer


class StreamReader:
    """Reads streams until they end, break or fall silent; safe for several threads."""

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._selector.register(self._wake_receiver, selectors.EVENT_READ)
        self._new_answers: deque[_FollowedAnswer] = deque()
        self._connections: dict[EngineStream, _Connection] = {}
        # Connections whose last turn has left something to read.
        self._unfinished: list[_Connection] = []
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
        self, handlers: dict[EngineStream, BlockHandler], silence_timeout_s: float
    ) -> None:
        """Read an answer and return when a handler returns True or the body ends.

        ``handlers`` maps the connections that may deliver the answer to their handlers,
        which are called on the reader's thread. The first connection whose events are
        accepted by its handler is kept; the others are closed and taken out of
        ``handlers``, as is one that breaks while there are others.

        Raises StreamSilentError if no event arrives for ``silence_timeout_s``, with the
        connections still open, TargetError if the last connection breaks, and whatever
        its handler raises.
        """
        answer = _FollowedAnswer(handlers, silence_timeout_s, self._clock.monotonic_s())
        self._new_answers.append(answer)
        self._wake()
        answer.ended.wait()
        if answer.error is not None:
            raise answer.error

    def _wake(self) -> None:
        self._wake_sender.send(b"\0")

    def _run(self) -> None:
        check_due_s = 0.0
        while not self._stopped.is_set():
            self._read_ready(0.0 if self._unfinished else TIMEOUT_CHECK_INTERVAL_S)
            self._read_unfinished()
            while self._new_answers:
                self._add(self._new_answers.popleft())
            now_s = self._clock.monotonic_s()
            if now_s >= check_due_s:
                check_due_s = now_s + TIMEOUT_CHECK_INTERVAL_S
                self._check_timeouts(now_s)
            if len(self._connections) >= COALESCE_MIN_STREAMS:
                self._stopped.wait(COALESCE_DELAY_S)

    def _read_ready(self, timeout_s: float) -> None:
        for key, _ in self._selector.select(timeout_s):
            if key.data is None:
                self._wake_receiver.recv(4096)
            else:
                self._read(key.data)

    def _read_unfinished(self) -> None:
        """Give each connection that has more to read its next turn."""
        connections, self._unfinished = self._unfinished, []
        for connection in connections:
            self._read(connection)

    def _add(self, answer: _FollowedAnswer) -> None:
        for stream in list(answer.handlers):
            # The connection before may have delivered already.
            if not answer.ended.is_set() and stream in answer.handlers:
                self._add_connection(stream, answer)

    def _add_connection(self, stream: EngineStream, answer: _FollowedAnswer) -> None:
        try:
            connection = _Connection(stream.fileno(), stream, answer)
            self._selector.register(
                connection.descriptor, selectors.EVENT_READ, connection
            )
        except (OSError, ValueError) as error:
            self._drop(stream, answer, stream.wrap_error(error))
            return
        self._connections[stream] = connection
        # Events that arrived with the response head are buffered already, so the
        # connection may not become readable for them.
        if stream.has_buffered_data():
            self._read(connection)

    def _read(self, connection: _Connection) -> None:
        stream, answer = connection.stream, connection.answer
        if self._connections.get(stream) is not connection:
            # Another connection has ended the answer, or delivered first, meanwhile.
            return
        try:
            for block in stream.read_events():
                if block is None:
                    self._drop(stream, answer, None)
                    return
                is_last = answer.handlers[stream](block)
                # Single bytes that complete no event are no progress.
                answer.last_event_s = self._clock.monotonic_s()
                self._keep_only(stream, answer)
                if is_last:
                    self._end(answer, None)
                    return
            if stream.has_more:
                self._unfinished.append(connection)
        except Exception as error:
            if not isinstance(error, TargetError):
                _log.exception("unexpected error while reading an engine stream")
            self._drop(stream, answer, error)

    def _check_timeouts(self, now_s: float) -> None:
        if not self._silent_answers(now_s):
            return
        # A connection that sends a part of a chunk holds the reader up, and events of
        # other streams arrive meanwhile.
        self._read_ready(0.0)
        for answer in self._silent_answers(now_s):
            error = StreamSilentError(
                f"no event for {answer.silence_timeout_s} s",
                step="stream",
                peer=next(iter(answer.handlers)).name,
                may_have_run=True,
            )
            self._end(answer, error)

    def _silent_answers(self, now_s: float) -> set[_FollowedAnswer]:
        return {
            connection.answer
            for connection in self._connections.values()
            if now_s - connection.answer.last_event_s
            > connection.answer.silence_timeout_s
        }

    def _keep_only(self, stream: EngineStream, answer: _FollowedAnswer) -> None:
        for other in [other for other in answer.handlers if other is not stream]:
            self._close(other, answer)

    def _drop(
        self, stream: EngineStream, answer: _FollowedAnswer, error: Exception | None
    ) -> None:
        """Close a connection that has ended; end the answer if it was the last one."""
        if len(answer.handlers) == 1:
            self._end(answer, error)
            return
        _log.info(
            "one of several connections of a stream ended",
            extra={"target": stream.name, "error": str(error or "end of the body")},
        )
        self._close(stream, answer)

    def _close(self, stream: EngineStream, answer: _FollowedAnswer) -> None:
        self._unregister(stream)
        del answer.handlers[stream]
        stream.close()

    def _end(self, answer: _FollowedAnswer, error: Exception | None) -> None:
        for stream in answer.handlers:
            self._unregister(stream)
        answer.error = error
        answer.ended.set()

    def _unregister(self, stream: EngineStream) -> None:
        connection = self._connections.pop(stream, None)
        if connection is not None:
            self._selector.unregister(connection.descriptor)
