"""Loopback ports for programs whose settings must name them before they start."""

from __future__ import annotations

import itertools
import os
import socket

__all__ = ["free_port"]

# Below the ports that Linux gives to outgoing connections (32768 and up): one of these
# could be taken between the choice of a port and the start, or restart, of its program.
_FIRST = 16_000
_LAST = 32_000
# Test runs side by side begin at different places.
_STEP_PER_PROCESS = 211

_ports = itertools.count(os.getpid() * _STEP_PER_PROCESS)


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP and that was not returned lately.

    Raises OSError if the whole range is taken.
    """
    for _ in range(_LAST - _FIRST):
        port = _FIRST + next(_ports) % (_LAST - _FIRST)
        if _is_free(ip, port):
            return port
    raise OSError(f"no free port at {ip}")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True
