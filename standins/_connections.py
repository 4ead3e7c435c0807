"""Server connections that can be cut or made silent from outside."""

from __future__ import annotations

import contextlib
import errno
import selectors
import socket
import threading
from typing import Any

from cheroot.server import HTTPConnection


class ConnectionCutError(ConnectionResetError):
    """Ends the handling of a request without an answer; the server ignores it."""

    def __init__(self) -> None:
        """Carry an error number that the HTTP server closes on without a report."""
        super().__init__(errno.ECONNRESET, "connection cut by a fault switch")


class LeanReader:
    """Buffered reader; the HTTP server's own is pure Python over several layers."""

    def __init__(self, sock: socket.socket) -> None:
        """Read from the given socket."""
        self._socket = sock
        self._buffer = b""
        self._position = 0
        self.bytes_read = 0
        self.closed = False

    def readline(self, size: int | None = None) -> bytes:
        """Return a line with its end, or what there is before the end of file."""
        end = self._buffer.find(b"\n", self._position) + 1
        while not end and self._fill():
            end = self._buffer.find(b"\n", self._position) + 1
        length = (end or len(self._buffer)) - self._position
        return self._take(length if size is None or size < 0 else min(length, size))

    def read(self, size: int | None = None) -> bytes:
        """Return ``size`` bytes, or fewer only at the end of file."""
        while size is None or len(self._buffer) - self._position < size:
            if not self._fill():
                break
        available = len(self._buffer) - self._position
        return self._take(available if size is None else min(size, available))

    def has_data(self) -> bool:
        """Return whether a part of the next request is in the buffer."""
        return self._position < len(self._buffer)

    def close(self) -> None:
        """Mark the reader as closed; the socket belongs to the connection."""
        self.closed = True

    def _fill(self) -> bool:
        data = self._socket.recv(65536)
        self._buffer = self._buffer[self._position :] + data
        self._position = 0
        return bool(data)

    def _take(self, size: int) -> bytes:
        start = self._position
        self._position += size
        self.bytes_read += size
        return self._buffer[start : self._position]


class GatedWriter:
    """Writes to a socket until the connection is silenced.

    The head of an answer is held back until the first bytes of its body, so that
    both leave in one segment.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Write to the given socket."""
        self._socket = sock
        self._lock = threading.Lock()
        self._closed = False
        self._head = b""
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Send all the data; raises ConnectionCutError if the gate is closed."""
        if data.startswith(b"HTTP/1.1 ") and not data.startswith(b"HTTP/1.1 100"):
            self._head = data
        else:
            self._send(self._head + data)
        self.bytes_written += len(data)
        return len(data)

    def flush(self) -> None:
        """Send the head of an answer without a body."""
        if self._head:
            self._send(self._head)

    def _send(self, data: bytes) -> None:
        self._head = b""
        with self._lock:
            if self._closed:
                raise ConnectionCutError
            self._socket.sendall(data)

    def close_gate(self) -> None:
        """Let nothing more pass.

        Returns after a write under way has ended, unless the peer doesn't read.
        """
        self._closed = True
        if self._lock.acquire(timeout=1.0):
            self._lock.release()


def _make_file(sock: Any, mode: str, _: int) -> Any:
    return LeanReader(sock) if "r" in mode else GatedWriter(sock)


class StandInConnection(HTTPConnection):  # type: ignore[misc,unused-ignore]
    """One connection of a stand-in, known to the server from accept to close."""

    def __init__(self, server: Any, sock: Any, makefile: Any) -> None:
        """Register with the server's connection table."""
        super().__init__(server, sock, _make_file)
        # Sending on a socket with a timeout costs a second system call.
        sock.settimeout(None)
        self.silent = False
        #: The last request was for the test equipment, which faults don't touch.
        self.is_control = False
        server.table.add(self)

    def communicate(self) -> bool:
        """Handle one request, or nothing if the connection is silent."""
        if self.silent:
            return False
        keep_open = bool(super().communicate())  # type: ignore[no-untyped-call]
        try:
            self.wfile.flush()
        except OSError:
            return False
        return keep_open

    def silence(self, holder: SilentHolder) -> None:
        """Answer nothing more and leave the connection open for good."""
        with contextlib.suppress(OSError):
            holder.hold(self.socket.dup())
        self.silent = True
        self.wfile.close_gate()

    def cut(self, *, even_silent: bool = False) -> None:
        """Close the connection towards the peer at once."""
        if even_silent or not self.silent:
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close, but keep the TCP connection of a silent one open."""
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
        """Forget a closed connection."""
        with self._lock:
            self._connections.discard(connection)

    def affected(self) -> list[StandInConnection]:
        """Return the connections that faults apply to."""
        with self._lock:
            return [one for one in self._connections if not one.is_control]

    def all(self) -> list[StandInConnection]:
        """Return every open connection."""
        with self._lock:
            return list(self._connections)


class SilentHolder:
    """Reads and drops what arrives on silent connections, in one thread."""

    def __init__(self) -> None:
        """Start without connections; the thread starts with the first one."""
        self._lock = threading.Lock()
        self._selector: selectors.DefaultSelector | None = None
        self._stopped = False
        self._thread: threading.Thread | None = None

    def hold(self, sock: socket.socket) -> None:
        """Keep the socket open and drain it until the peer closes it."""
        sock.setblocking(False)
        with self._lock:
            if self._selector is None:
                self._selector = selectors.DefaultSelector()
                self._thread = threading.Thread(target=self._run, daemon=True)
                self._thread.start()
            self._selector.register(sock, selectors.EVENT_READ)

    def stop(self) -> None:
        """Close all held sockets."""
        self._stopped = True
        if self._thread is not None and self._selector is not None:
            self._thread.join()
            for key in list(self._selector.get_map().values()):
                key.fileobj.close()  # type: ignore[union-attr]
            self._selector.close()

    def _run(self) -> None:
        assert self._selector is not None
        while not self._stopped:
            for key, _ in self._selector.select(timeout=0.1):
                self._drain(key.fileobj)

    def _drain(self, sock: Any) -> None:
        data = b""
        with contextlib.suppress(BlockingIOError, OSError):
            data = sock.recv(65536)
        if not data:
            assert self._selector is not None
            self._selector.unregister(sock)
            sock.close()
