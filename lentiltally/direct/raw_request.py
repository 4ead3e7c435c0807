"""A caller's request as read from its connection, and its parts while it is read."""

from __future__ import annotations

import h11

from lentiltally.direct.model import CallerLimits

__all__ = ["PartialRequest", "RawHeaders", "RawRequest"]

RawHeaders = list[tuple[bytes, bytes]]

# Memory that a header takes besides its bytes: thousands of tiny ones fit into a head,
# and each is a tuple of two objects, which the request's handling copies.
HEADER_OBJECT_BYTES = 256


class RawRequest:
    """A request as read from the connection, with raw headers."""

    __slots__ = ("arrived_s", "body", "headers", "method", "path")

    def __init__(
        self,
        method: bytes,
        path: bytes,
        headers: RawHeaders,
        body: bytes,
        arrived_s: float,
    ) -> None:
        """Keep the parts; ``arrived_s`` is when the head was complete."""
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.arrived_s = arrived_s


class PartialRequest:
    """A request whose head has been read, and its body so far.

    ``head_bytes`` is the memory that the head takes.
    """

    __slots__ = ("_arrived_s", "_body", "_head", "head_bytes")

    def __init__(self, head: h11.Request, limits: CallerLimits, now_s: float) -> None:
        """Check the head; raises h11.RemoteProtocolError."""
        self._head = head
        self._body = bytearray()
        self._arrived_s = now_s
        size_bytes = sum(len(name) + len(value) + 4 for name, value in head.headers)
        self.head_bytes = size_bytes + len(head.headers) * HEADER_OBJECT_BYTES
        if size_bytes > limits.header_bytes:
            raise h11.RemoteProtocolError("head too large", error_status_hint=431)
        if head.method == b"CONNECT":
            # Its answer would turn the connection into a tunnel.
            raise h11.RemoteProtocolError("no tunnels", error_status_hint=501)
        names = [name for name, _ in head.headers]
        if b"transfer-encoding" in names and b"content-length" in names:
            # Request smuggling: with two framings, a second request can be hidden in
            # the body.
            raise h11.RemoteProtocolError("two framings of the body")
        if names.count(b"host") != 1 and head.http_version != b"1.0":
            raise h11.RemoteProtocolError("no single host")

    @property
    def held_bytes(self) -> int:
        """Return how much memory the head and the body so far take."""
        return self.head_bytes + len(self._body)

    def add(self, data: bytes, limits: CallerLimits) -> None:
        """Add a part of the body; raises h11.RemoteProtocolError."""
        self._body += data
        if len(self._body) > limits.body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)

    def complete(self) -> RawRequest:
        """Return the request once its body has been read."""
        head = self._head
        return RawRequest(
            bytes(head.method),
            bytes(head.target),
            [(bytes(name), bytes(value)) for name, value in head.headers.raw_items()],
            bytes(self._body),
            self._arrived_s,
        )
