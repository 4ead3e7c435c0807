"""One-way pynng channels between processes.

Each process has one inbox, and one outbox for each of its peers.
"""

from __future__ import annotations

import logging
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

import pynng

from lentiltally.clock import Clock
from lentiltally.errors import LentiltallyError
from lentiltally.wire.codec import FrameError, decode, encode
from lentiltally.wire.messages import Message

_log = logging.getLogger(__name__)

# Messages that follow a sent frame within this time are collected into the next frame;
# a message after a longer pause is sent immediately.
COALESCE_S = 0.004
SEND_TIMEOUT_MS = 2_000
# Longer than a send may take: nng can abort the process if a socket is closed at the
# moment at which a send on it times out.
CLOSE_TIMEOUT_S = SEND_TIMEOUT_MS / 1000 + 1.0
MIN_CONNECTION_AGE_S = 2.0
MAX_QUEUED_MESSAGES = 20_000
# A frame holds at most a request or answer body plus its envelope.
MAX_FRAME_BYTES = 64 * 1024 * 1024


class ChannelError(LentiltallyError):
    """A message could not be handed to the transport, so it was not sent."""


class Inbox:
    """Receives frames on one address and passes each message to a handler.

    The handler runs on the inbox's thread and must not block.
    """

    def __init__(self, address: str, handler: Callable[[Message], None]) -> None:
        """Listen on the address (``tcp://host:port``).

        Raises ChannelError if the address can't be bound.
        """
        self._handler = handler
        self._socket = pynng.Pull0(recv_max_size=MAX_FRAME_BYTES)
        try:
            self._socket.listen(address)
        except pynng.NNGException as error:
            self._socket.close()
            raise ChannelError(
                f"cannot listen: {error}", step="listen", peer=address
            ) from error
        self.address = address
        self._thread = threading.Thread(target=self._receive, daemon=True, name="inbox")

    def start(self) -> None:
        """Start the thread that receives."""
        self._thread.start()

    def close(self) -> None:
        """Stop receiving, wait for the handler, and release the address.

        nng can abort the process if it exits while a thread is still inside a receive.
        """
        self._socket.close()
        if self._thread.is_alive() and self._thread is not threading.current_thread():
            self._thread.join(timeout=CLOSE_TIMEOUT_S)

    def _receive(self) -> None:
        while True:
            try:
                frame = self._socket.recv()
            except pynng.Closed:
                return
            except pynng.NNGException as error:
                _log.warning("receive failed", extra={"error": str(error)})
                continue
            self._deliver(frame)

    def _deliver(self, frame: bytes) -> None:
        try:
            messages = decode(frame)
        except FrameError as error:
            _log.warning("invalid frame dropped", extra={"error": str(error)})
            return
        for message in messages:
            try:
                self._handler(message)
            except Exception:
                _log.exception("message handler failed")


class Outbox:
    """Sends messages to one peer, in order.

    ``put`` never blocks. After a pause it sends immediately on the calling thread,
    which saves a context switch; messages that follow within ``COALESCE_S`` are queued
    and sent together in one frame by the outbox's own thread.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        on_connect: Callable[[str], None] | None = None,
    ) -> None:
        """Connect in the background; the peer need not be running yet.

        ``on_connect`` gets the address after each new connection and must not block.
        """
        self.address = address
        self._on_connect = on_connect
        self._clock = clock
        self._dialled_at_s = clock.monotonic_s()
        self._socket: Any = self._dial()
        self._queue: deque[Message] = deque()
        # Held while the socket is used or replaced: nng aborts the process if a socket
        # is closed at the moment at which a send on it times out.
        self._socket_lock = threading.Lock()
        self._reconnect_requested = False
        self._coalesce_until_s = 0.0
        self._has_work = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True, name="outbox")
        self._thread.start()

    def put(self, message: Message) -> None:
        """Send or queue the message.

        Raises ChannelError if the outbox is closed or its queue is full because the
        peer does not receive.
        """
        if self._closing.is_set() or len(self._queue) >= MAX_QUEUED_MESSAGES:
            raise ChannelError("peer does not read", step="send", peer=self.address)
        if self._try_send_now(message):
            return
        self._queue.append(message)
        # Setting an event takes a lock, which is wasted if the event is set already.
        if not self._has_work.is_set():
            self._has_work.set()

    def reconnect(self) -> None:
        """Replace the connection, because the present one may never deliver again.

        Does nothing if the connection is newer than ``MIN_CONNECTION_AGE_S``: many
        attempts notice the same unresponsive connection, and one new one is enough.
        """
        if self._clock.monotonic_s() - self._dialled_at_s >= MIN_CONNECTION_AGE_S:
            self._reconnect_requested = True
            self._has_work.set()

    def close(self) -> None:
        """Send the queued messages, as far as the peer receives them, and close."""
        self._closing.set()
        self._has_work.set()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            with self._socket_lock:
                self._socket.close()

    def _dial(self) -> Any:
        socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=50,
            reconnect_time_max=1_000,
        )
        if self._on_connect is not None:
            socket.add_post_pipe_connect_cb(self._connected)
        socket.dial(self.address, block=False)
        return socket

    def _connected(self, pipe: Any) -> None:
        del pipe
        if self._on_connect is not None and not self._closing.is_set():
            self._on_connect(self.address)

    def _run(self) -> None:
        while True:
            self._has_work.wait()
            # Cleared before the queue is read: a message that is queued after the read
            # sets the event again.
            self._has_work.clear()
            with self._socket_lock:
                self._reconnect_if_requested()
                messages = self._take_queued()
                is_sent = not messages or self._send_frame(messages)
            if messages:
                if not is_sent and self._closing.is_set():
                    return
                self._closing.wait(COALESCE_S)
            elif self._closing.is_set():
                return
            if self._queue or self._closing.is_set():
                self._has_work.set()

    def _try_send_now(self, message: Message) -> bool:
        """Send on the calling thread; return False if the message must be queued.

        It must be if others are queued already, if a frame was sent within
        ``COALESCE_S``, or if the peer is not connected.
        """
        if self._queue or not self._socket_lock.acquire(blocking=False):
            return False
        try:
            now_s = self._clock.monotonic_s()
            is_busy = self._queue or self._reconnect_requested or self._closing.is_set()
            if is_busy or now_s < self._coalesce_until_s:
                return False
            self._socket.send(encode([message]), block=False)
            self._coalesce_until_s = now_s + COALESCE_S
            return True
        except pynng.NNGException:
            # Usually the peer is not connected; the outbox's thread waits for it.
            return False
        finally:
            self._socket_lock.release()

    def _reconnect_if_requested(self) -> None:
        if self._reconnect_requested:
            self._reconnect_requested = False
            self._dialled_at_s = self._clock.monotonic_s()
            self._socket.close()
            self._socket = self._dial()

    def _take_queued(self) -> list[Message]:
        messages = []
        for _ in range(len(self._queue)):
            messages.append(self._queue.popleft())
        return messages

    def _send_frame(self, messages: list[Message]) -> bool:
        try:
            self._socket.send(encode(messages))
            self._coalesce_until_s = self._clock.monotonic_s() + COALESCE_S
            return True
        except pynng.NNGException as error:
            # A lost frame is only logged: receivers request again what they miss.
            _log.warning(
                "frame not sent",
                extra={
                    "peer": self.address,
                    "messages": len(messages),
                    "error": str(error),
                },
            )
            return False


class Outboxes:
    """The outboxes of a process, one for each peer address, opened on first use."""

    def __init__(
        self, clock: Clock, on_connect: Callable[[str], None] | None = None
    ) -> None:
        """Start without peers.

        ``on_connect`` gets the peer's address after each new connection.
        """
        self._clock = clock
        self._on_connect = on_connect
        self._by_address: dict[str, Outbox] = {}
        self._lock = threading.Lock()

    def put(self, address: str, message: Message) -> None:
        """Send or queue a message for the peer; raises ChannelError like ``Outbox``."""
        self._get(address).put(message)

    def reconnect(self, address: str) -> None:
        """Replace the connection to the peer, unless it is new."""
        self._get(address).reconnect()

    def drop(self, address: str) -> None:
        """Close and remove the outbox of a peer that no longer exists."""
        with self._lock:
            outbox = self._by_address.pop(address, None)
        if outbox is not None:
            outbox.close()

    def close(self) -> None:
        """Close all outboxes after sending their queued messages."""
        with self._lock:
            outboxes = list(self._by_address.values())
            self._by_address.clear()
        for outbox in outboxes:
            outbox.close()

    def _get(self, address: str) -> Outbox:
        with self._lock:
            outbox = self._by_address.get(address)
            if outbox is None:
                outbox = self._by_address[address] = Outbox(
                    address, self._clock, self._on_connect
                )
            return outbox
