"""pynng channels between processes: one inbox each, one outbox for each peer."""

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

# Messages of many streams share a frame while sends follow each other this closely;
# after a pause the first message leaves at once.
COALESCE_S = 0.004
SEND_TIMEOUT_MS = 2_000
# Longer than a send may take: nng can abort the process when a socket is closed at the
# moment at which a send on it times out.
CLOSE_TIMEOUT_S = SEND_TIMEOUT_MS / 1000 + 1.0
MIN_CONNECTION_AGE_S = 2.0
MAX_WAITING_MESSAGES = 20_000
# A frame holds at most a request or answer body plus its envelope.
MAX_FRAME_BYTES = 64 * 1024 * 1024


class ChannelError(LentiltallyError):
    """A message could not be handed to the transport, so it was not sent."""


class Inbox:
    """Receives frames on one address and gives each message to a handler.

    The handler runs on the inbox's thread and must not block.
    """

    def __init__(self, address: str, handler: Callable[[Message], None]) -> None:
        """Listen on the address (``tcp://host:port``); ChannelError if it is taken."""
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
        """Begin to receive."""
        self._thread.start()

    def close(self) -> None:
        """Stop receiving, wait for the handler, and release the address.

        nng can abort the process if it ends while a thread is still inside a receive.
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
            _log.warning("frame dropped", extra={"error": str(error)})
            return
        for message in messages:
            try:
                self._handler(message)
            except Exception:
                _log.exception("message handler failed")


class Outbox:
    """Sends messages to one peer, in order.

    ``put`` never blocks. After a pause it sends at once on the calling thread, which
    saves a context switch; messages that follow closely leave together in one frame,
    sent by the outbox's own thread.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        on_connect: Callable[[str], None] | None = None,
    ) -> None:
        """Dial the peer in the background; it need not be up yet.

        ``on_connect`` gets the address after each new connection and must not block.
        """
        self.address = address
        self._on_connect = on_connect
        self._clock = clock
        self._dialled_s = clock.monotonic_s()
        self._socket: Any = self._dial()
        self._waiting: deque[Message] = deque()
        # Held while the socket is used or replaced: nng aborts the process if a socket
        # is closed at the moment at which a send on it times out.
        self._using_socket = threading.Lock()
        self._must_redial = False
        self._gather_until_s = 0.0
        self._has_work = threading.Event()
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._send, daemon=True, name="outbox")
        self._thread.start()

    def put(self, message: Message) -> None:
        """Queue the message; raises ChannelError if the peer has fallen far behind."""
        if self._closing.is_set() or len(self._waiting) >= MAX_WAITING_MESSAGES:
            raise ChannelError("peer does not read", step="send", peer=self.address)
        if self._send_directly(message):
            return
        self._waiting.append(message)
        # Setting an event takes a lock, which is wasted while the sender is busy.
        if not self._has_work.is_set():
            self._has_work.set()

    def reconnect(self) -> None:
        """Replace the connection, because the present one may be silent for good.

        Does nothing if the connection is new: many attempts notice the same silence.
        """
        if self._clock.monotonic_s() - self._dialled_s >= MIN_CONNECTION_AGE_S:
            self._must_redial = True
            self._has_work.set()

    def close(self) -> None:
        """Send what waits, as far as the peer takes it, and close."""
        self._closing.set()
        self._has_work.set()
        self._thread.join(timeout=CLOSE_TIMEOUT_S)
        if not self._thread.is_alive():
            with self._using_socket:
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

    def _send(self) -> None:
        while True:
            self._has_work.wait()
            # Cleared before the queue is read, so that no message is left behind.
            self._has_work.clear()
            with self._using_socket:
                self._redial_if_asked()
                messages = self._take()
                is_sent = not messages or self._send_frame(messages)
            if messages:
                if not is_sent and self._closing.is_set():
                    return
                self._closing.wait(COALESCE_S)
            elif self._closing.is_set():
                return
            if self._waiting or self._closing.is_set():
                self._has_work.set()

    def _send_directly(self, message: Message) -> bool:
        """Send on the calling thread if nothing waits and no frame left just now."""
        if self._waiting or not self._using_socket.acquire(blocking=False):
            return False
        try:
            now_s = self._clock.monotonic_s()
            is_busy = self._waiting or self._must_redial or self._closing.is_set()
            if is_busy or now_s < self._gather_until_s:
                return False
            self._socket.send(encode([message]), block=False)
            self._gather_until_s = now_s + COALESCE_S
            return True
        except pynng.NNGException:
            # Most likely the peer is not connected; the sender waits for it.
            return False
        finally:
            self._using_socket.release()

    def _redial_if_asked(self) -> None:
        if self._must_redial:
            self._must_redial = False
            self._dialled_s = self._clock.monotonic_s()
            self._socket.close()
            self._socket = self._dial()

    def _take(self) -> list[Message]:
        messages = []
        for _ in range(len(self._waiting)):
            messages.append(self._waiting.popleft())
        return messages

    def _send_frame(self, messages: list[Message]) -> bool:
        try:
            self._socket.send(encode(messages))
            self._gather_until_s = self._clock.monotonic_s() + COALESCE_S
            return True
        except pynng.NNGException as error:
            # Receivers ask again for what they miss, so a lost frame is only reported.
            _log.warning(
                "frame lost",
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
        """Start with no peers; ``on_connect`` gets the address of each new one."""
        self._clock = clock
        self._on_connect = on_connect
        self._by_address: dict[str, Outbox] = {}
        self._lock = threading.Lock()

    def put(self, address: str, message: Message) -> None:
        """Queue the message for the peer; raises ChannelError if it can't be taken."""
        self._get(address).put(message)

    def reconnect(self, address: str) -> None:
        """Replace the connection to the peer."""
        self._get(address).reconnect()

    def drop(self, address: str) -> None:
        """Close the outbox of a peer that is gone."""
        with self._lock:
            outbox = self._by_address.pop(address, None)
        if outbox is not None:
            outbox.close()

    def close(self) -> None:
        """Close all outboxes after sending what waits."""
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
