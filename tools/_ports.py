"""Loopback ports for programs whose settings must name them before they start."""

from __future__ import annotations

import itertools
import os
import socket

__all__ = ["free_port"]

# Below the ports that Linux uses for outgoing connections (32768 and up), any of which
# could be taken before the program that needs it starts or restarts.
_FIRST_PORT = 16_000
_END_PORT = 32_000
# Concurrent test runs start at different ports.
_OFFSET_PER_PROCESS = 211

_ports = itertools.count(os.getpid() * _OFFSET_PER_PROCESS)


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP and was not returned recently.

    Raises OSError if the whole range is taken.
    """
    for _ in range(_END_PORT - _FIRST_PORT):
        port = _FIRST_PORT + next(_ports) % (_END_PORT - _FIRST_PORT)
        if _is_free(ip, port):
            return port
    raise OSError(f"no free port from {_FIRST_PORT} to {_END_PORT - 1} at {ip}")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as candidate:
            try:
                candidate.bind((ip, port))
            except OSError:
                return False
    return True
