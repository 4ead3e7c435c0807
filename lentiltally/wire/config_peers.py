"""Fetches the configuration from peers while the log can't be read, and serves it."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence

from lentiltally.config import ConfigTree, encode_snapshot
from lentiltally.wire.channel import ChannelError, Outboxes
from lentiltally.wire.messages import ConfigFetch, ConfigSnapshot

_log = logging.getLogger(__name__)

ANSWER_TIMEOUT_S = 1.0


class ConfigPeers:
    """The peers named in the settings; safe to use from several threads."""

    def __init__(
        self,
        outboxes: Outboxes,
        addresses: Sequence[str],
        reply_address: str,
        tree: Callable[[], ConfigTree | None],
    ) -> None:
        """``tree`` gives the configuration that this process serves to its peers."""
        self._outboxes = outboxes
        self._addresses = tuple(a for a in addresses if a != reply_address)
        self._reply_address = reply_address
        self._tree = tree
        self._answers: list[ConfigSnapshot] = []
        self._arrived = threading.Condition()

    def fetch(self, above_offset: int) -> Sequence[bytes]:
        """Return the peers' snapshots above an offset, the newest first.

        Waits up to a second for all peers.
        """
        with self._arrived:
            self._answers.clear()
        asked = sum(self._ask(address) for address in self._addresses)
        with self._arrived:
            self._arrived.wait_for(
                lambda: len(self._answers) >= asked, timeout=ANSWER_TIMEOUT_S
            )
            found = [a for a in self._answers if a.offset > above_offset]
        return [a.tree for a in sorted(found, key=lambda a: a.offset, reverse=True)]

    def arrived(self, answer: ConfigSnapshot) -> None:
        """Take a peer's answer."""
        with self._arrived:
            self._answers.append(answer)
            self._arrived.notify_all()

    def asked(self, fetch: ConfigFetch) -> None:
        """Answer a peer from a thread of its own, since a large tree takes seconds."""
        threading.Thread(target=self._serve, args=(fetch,), daemon=True).start()

    def _ask(self, address: str) -> bool:
        try:
            self._outboxes.put(address, ConfigFetch(self._reply_address))
        except ChannelError as error:
            _log.info("peer not asked", extra={"error": str(error)})
            return False
        return True

    def _serve(self, fetch: ConfigFetch) -> None:
        tree = self._tree()
        if tree is None:
            return
        try:
            self._outboxes.put(
                fetch.reply_address, ConfigSnapshot(tree.offset, encode_snapshot(tree))
            )
        except ChannelError as error:
            _log.info("peer not answered", extra={"error": str(error)})
