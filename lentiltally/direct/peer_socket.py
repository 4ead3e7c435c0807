"""The datagram socket between entries and agents.

Datagrams are used instead of connections because a stalled connection can't delay a
message, and neither side keeps state for a peer that no longer exists.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable
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
        """Call ``handler`` with each message and the address of its sender."""
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, address: SocketAddress) -> None:
        """Bind the port; raises OSError. Messages may arrive before this returns."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.ip, address.port)
        )

    def send(self, address: SocketAddress, message: Message) -> None:
        """Send a message; it may be lost."""
        self.send_all((address,), message)

    def send_all(self, addresses: Iterable[SocketAddress], message: Message) -> None:
        """Send a message to several peers; it is encoded once."""
        if self._transport is None:
            return
        data = encode_message(message)
        for address in addresses:
            self._transport.sendto(data, (address.ip, address.port))

    def close(self) -> None:
        """Close the socket; messages that are sent later are dropped."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The event loop's datagram transports are not subclasses of the declared type.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to the handler; undecodable datagrams are dropped."""
        try:
            message = decode_message(data)
        except msgspec.MsgspecError as error:
            _log.warning(
                "undecodable datagram dropped",
                extra={"peer": addr[0], "error": str(error)},
            )
            return
        self._handler(message, SocketAddress(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors: senders notice an absent peer by its missing answers."""
        _log.debug("datagram not delivered", extra={"error": str(exc)})
