"""Exchange of configuration snapshots between peers while the log is unavailable."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Sequence

from lentiltally.config import ConfigTree, encode_snapshot
from lentiltally.wire.channel import ChannelError, Outboxes
from lentiltally.wire.messages import ConfigFetch, ConfigSnapshot

_log = logging.getLogger(__name__)

FETCH_TIMEOUT_S = 1.0


class ConfigPeers:
    """Fetches the peers' configuration, and sends this process's own to them.

    The peers are those listed in the settings. Safe to use from several threads.
    """

    def __init__(
        self,
        outboxes: Outboxes,
        addresses: Sequence[str],
        reply_address: str,
        tree: Callable[[], ConfigTree | None],
    ) -> None:
        """Fetch from ``addresses``, apart from this process's own ``reply_address``.

        ``tree`` returns the configuration to send to peers, None if there is none yet.
        """
        self._outboxes = outboxes
        self._addresses = tuple(a for a in addresses if a != reply_address)
        self._reply_address = reply_address
        self._tree = tree
        self._answers: list[ConfigSnapshot] = []
        self._answers_changed = threading.Condition()

    def fetch(self, above_offset: int) -> Sequence[bytes]:
        """Return the peers' encoded snapshots above an offset, the newest first.

        Waits until all peers have answered, at most ``FETCH_TIMEOUT_S``.
        """
        with self._answers_changed:
            self._answers.clear()
        requested = sum(self._request(address) for address in self._addresses)
        with self._answers_changed:
            self._answers_changed.wait_for(
                lambda: len(self._answers) >= requested, timeout=FETCH_TIMEOUT_S
            )
            newer = [a for a in self._answers if a.offset > above_offset]
        return [a.tree for a in sorted(newer, key=lambda a: a.offset, reverse=True)]

    def add_answer(self, answer: ConfigSnapshot) -> None:
        """Store a peer's snapshot for the ``fetch`` that is waiting."""
        with self._answers_changed:
            self._answers.append(answer)
            self._answers_changed.notify_all()

    def answer_fetch(self, fetch: ConfigFetch) -> None:
        """Send the configuration to a peer that asked for it.

        This runs on a separate thread, since encoding a large tree takes seconds.
        """
        threading.Thread(target=self._send_snapshot, args=(fetch,), daemon=True).start()

    def _request(self, address: str) -> bool:
        try:
            self._outboxes.put(address, ConfigFetch(self._reply_address))
        except ChannelError as error:
            _log.info(
                "configuration request not sent to peer", extra={"error": str(error)}
            )
            return False
        return True

    def _send_snapshot(self, fetch: ConfigFetch) -> None:
        tree = self._tree()
        if tree is None:
            return
        try:
            self._outboxes.put(
                fetch.reply_address, ConfigSnapshot(tree.offset, encode_snapshot(tree))
            )
        except ChannelError as error:
            _log.info(
                "configuration snapshot not sent to peer", extra={"error": str(error)}
            )
