"""How much of a process's memory may be held for its peers."""

from __future__ import annotations

from lentiltally.decisions.held_bytes import HeldBytes
from lentiltally.direct.settings import HostSettings

__all__ = ["answer_budget", "request_budget"]

# For processes whose settings name no memory.
DEFAULT_REQUEST_BYTES = 48 * 1024 * 1024
DEFAULT_ANSWER_BYTES = 32 * 1024 * 1024
# Shares of the memory. A process without peers takes 33 MB; with both shares in use,
# one of 200 MB stays below half of that.
REQUEST_SHARE = 0.15
ANSWER_SHARE = 0.1
# The part of the requests' share that only small requests and answers may use, so that
# a few large ones that are under way don't keep all others out.
RESERVED_SHARE = 0.25
SMALL_BYTES = 64 * 1024


def request_budget(settings: HostSettings) -> HeldBytes:
    """Return the budget of callers' requests and of answers that callers have not read.

    A request is held until it is answered, and copied for each attempt.
    """
    max_bytes = _share(settings, REQUEST_SHARE, DEFAULT_REQUEST_BYTES)
    return HeldBytes(max_bytes, int(max_bytes * RESERVED_SHARE), SMALL_BYTES)


def answer_budget(settings: HostSettings) -> HeldBytes:
    """Return the budget of the parts of targets' answers."""
    return HeldBytes(_share(settings, ANSWER_SHARE, DEFAULT_ANSWER_BYTES))


def _share(settings: HostSettings, share: float, default_bytes: int) -> int:
    if settings.memory_mb is None:
        return default_bytes
    return min(default_bytes, int(settings.memory_mb * 1e6 * share))
