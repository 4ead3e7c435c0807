"""The datagram socket over which entries and agents talk.

Datagrams suit this better than connections: a silent connection can't hold up a
message, and neither side keeps anything for a peer that is gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import msgspec

from lentiltally.direct.messages import Message, decode_message, encode_message
from lentiltally.direct.settings import SocketAddress

__all__ = ["PeerSocket"]

_log = logging.getLogger(__name__)

Handler = Callable[[Message, SocketAddress], None]


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives messages on one port."""

    def __init__(self, handler: Handler) -> None:
        """Take the function that gets each message with its sender."""
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: SocketAddress) -> None:
        """Bind the port; raises OSError. Messages may come before this returns."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )

    def send(self, address: SocketAddress, message: Message) -> None:
        """Send a message; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(encode_message(message), (address.ip, address.port))

    def close(self) -> None:
        """Release the port; messages of requests that still run are dropped."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's datagram transports are no subclass of the declared type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Hand a message to the handler; unreadable ones are dropped."""
        try:
            message = decode_message(data)
        except msgspec.MsgspecError as error:
            _log.warning(
                "datagram dropped", extra={"peer": addr[0], "error": str(error)}
            )
            return
        self._handler(message, SocketAddress(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore refusals: the peer's absence shows by missing answers."""
        _log.debug("datagram refused", extra={"error": str(exc)})
