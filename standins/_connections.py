"""Server connections that fault switches can close or make silent.

A silent connection stays open and accepts bytes, but answers nothing more.
"""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
import threading
from typing import Any

from cheroot.server import HTTPConnection


class CloseWithoutAnswerError(ConnectionResetError):
    """Raised to close the connection of a request without an answer."""

    def __init__(self) -> None:
        """Set the error number on which the HTTP server closes without logging."""
        super().__init__(errno.ECONNRESET, "connection closed by a fault switch")


class BufferedSocketReader:
    """Buffered reader of a socket.

    The HTTP server's own reader is slow: pure Python in several layers.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Create a reader with an empty buffer."""
        self._socket = sock
        self._buffer = b""
        self._position = 0
        self.bytes_read = 0
        self.closed = False

    def readline(self, size: int | None = None) -> bytes:
        r"""Return a line including its ``\n``, or the rest at the end of file."""
        end = self._buffer.find(b"\n", self._position) + 1
        while not end and self._fill():
            end = self._buffer.find(b"\n", self._position) + 1
        length = (end or len(self._buffer)) - self._position
        return self._consume(length if size is None or size < 0 else min(length, size))

    def read(self, size: int | None = None) -> bytes:
        """Return ``size`` bytes, or all the rest if ``size`` is None.

        Fewer than ``size`` bytes are returned only at the end of file.
        """
        while size is None or len(self._buffer) - self._position < size:
            if not self._fill():
                break
        available = len(self._buffer) - self._position
        return self._consume(available if size is None else min(size, available))

    def has_data(self) -> bool:
        """Return whether the buffer holds bytes of a further request."""
        return self._position < len(self._buffer)

    def close(self) -> None:
        """Mark the reader as closed; the connection closes the socket."""
        self.closed = True

    def _fill(self) -> bool:
        data = self._socket.recv(65536)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        return bool(data)

    def _consume(self, size: int) -> bytes:
        start = self._position
        self._position += size
        self.bytes_read += size
        return self._buffer[start : self._position]


class SocketWriter:
    """Writes to a socket until ``block()`` is called.

    The head of an answer is buffered until the first bytes of its body, so that both
    are sent in one TCP segment.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Create a writer that is not blocked."""
        self._socket = sock
        self._lock = threading.Lock()
        self._blocked = False
        self._head = b""
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send all the data; raises CloseWithoutAnswerError if blocked."""
        if data.startswith(b"HTTP/1.1 ") and not data.startswith(b"HTTP/1.1 100"):
            self._head = data
        else:
            self._send(self._head + data)
        self.bytes_written += len(data)
        return len(data)

    def flush(self) -> None:
        """Send a head that is still buffered because its answer has no body."""
        if self._head:
            self._send(self._head)

    def _send(self, data: bytes) -> None:
        self._head = b""
        with self._lock:
            if self._blocked:
                raise CloseWithoutAnswerError
            self._socket.sendall(data)

    def block(self) -> None:
        """Make all further writes fail.

        Returns when a write in progress has ended, or after 1 s if the peer doesn't
        read.
        """
        self._blocked = True
        if self._lock.acquire(timeout=1.0):
            self._lock.release()


def _make_socket_file(sock: Any, mode: str, _: int) -> Any:
    return BufferedSocketReader(sock) if "r" in mode else SocketWriter(sock)


class StandInConnection(HTTPConnection):  # type: ignore[misc,unused-ignore]
    """One connection of a stand-in, in the server's table from accept to close."""

    def __init__(self, server: Any, sock: Any, makefile: Any) -> None:
        """Register with the server's connection table."""
        super().__init__(server, sock, _make_socket_file)
        # Sending on a socket with a timeout costs a second system call.
        sock.settimeout(None)
        self.silent = False
        #: The last request was to a control path; faults spare such connections.
        self.is_control = False
        server.table.add(self)

    def communicate(self) -> bool:
        """Handle one request; a silent connection handles none."""
        if self.silent:
            return False
        keep_open = bool(super().communicate())  # type: ignore[no-untyped-call]
        try:
            self.wfile.flush()
        except OSError:
            return False
        return keep_open

    def make_silent(self, sink: SilentConnectionSink) -> None:
        """Answer nothing more, and leave the connection open until the peer closes."""
        with contextlib.suppress(OSError):
            sink.add(self.socket.dup())
        self.silent = True
        self.wfile.block()

    def shut_down(self, *, even_silent: bool = False) -> None:
        """Shut the socket down in both directions; silent ones only if asked to."""
        if even_silent or not self.silent:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close; the sink keeps the TCP connection of a silent one open."""
        self.server.table.discard(self)
        if self.silent:
            self.rfile.close()
            self.socket.close()
        else:
            super().close()


class ConnectionTable:
    """All open connections of one server."""

    def __init__(self) -> None:
        """Start without connections."""
        self._lock = threading.Lock()
        self._connections: set[StandInConnection] = set()

    def add(self, connection: StandInConnection) -> None:
        """Add an accepted connection."""
        with self._lock:
            self._connections.add(connection)

    def discard(self, connection: StandInConnection) -> None:
        """Remove a closed connection."""
        with self._lock:
            self._connections.discard(connection)

    def fault_subjects(self) -> list[StandInConnection]:
        """Return the connections that faults apply to, without control connections."""
        with self._lock:
            return [
                connection
                for connection in self._connections
                if not connection.is_control
            ]

    def all(self) -> list[StandInConnection]:
        """Return every open connection."""
        with self._lock:
            return list(self._connections)


class SilentConnectionSink:
    """Reads and discards all bytes that arrive on silent connections, in one thread."""

    def __init__(self) -> None:
        """Start without connections; the first one starts the thread."""
        self._lock = threading.Lock()
        self._selector: selectors.DefaultSelector | None = None
        self._stopping = False
        self._thread: threading.Thread | None = None

    def add(self, sock: socket.socket) -> None:
        """Keep the socket open and discard its bytes until the peer closes it."""
        sock.setblocking(False)
        with self._lock:
            if self._selector is None:
                self._selector = selectors.DefaultSelector()
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
            self._selector.register(sock, selectors.EVENT_READ)

    def stop(self) -> None:
        """End the thread and close all sockets."""
        self._stopping = True
        if self._thread is not None and self._selector is not None:
            self._thread.join()
            for key in list(self._selector.get_map().values()):
                key.fileobj.close()  # type: ignore[union-attr]
            self._selector.close()

    def _run(self) -> None:
        assert self._selector is not None
        while not self._stopping:
            for key, _ in self._selector.select(timeout=0.1):
                self._discard_bytes(key.fileobj)

    def _discard_bytes(self, sock: Any) -> None:
        data = b""
        with contextlib.suppress(BlockingIOError, OSError):
            data = sock.recv(65536)
        if not data:
            assert self._selector is not None
            self._selector.unregister(sock)
            sock.close()
