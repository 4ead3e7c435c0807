"""Loopback ports for programs whose settings must name them before they start."""

from __future__ import annotations

import itertools
import os
import socket
from collections.abc import Iterator

__all__ = ["free_port", "free_upper_port"]

# Below the ports that Linux uses for outgoing connections (32768 and up), any of which
# could be taken before the program that needs it starts or restarts.
_FIRST_PORT = 16_000
_END_PORT = 32_000
_BLOCKS = 20
_BLOCK_PORTS = (_END_PORT - _FIRST_PORT) // _BLOCKS
_UPPER_PORTS = 200

# Holds the first port of this process's block for as long as the process lives.
_guard: socket.socket | None = None
_lower_ports: Iterator[int] = iter(())
_upper_ports: Iterator[int] = iter(())


def free_port(ip: str = "127.0.0.1") -> int:
    """Return a port that is free for TCP and UDP and was not returned recently.

    Each process has a block of ports: whether a port is free is checked before its
    program takes it, and another test run must not take it in between. Raises OSError
    if no block or no port is free.
    """
    _share_out_block()
    return _next_free(ip, _lower_ports)


def free_upper_port(ip: str = "127.0.0.1") -> int:
    """Return such a port that is higher than all that ``free_port`` returns.

    Settings list some ports in ascending order. Raises OSError like ``free_port``.
    """
    _share_out_block()
    return _next_free(ip, _upper_ports)


def _next_free(ip: str, ports: Iterator[int]) -> int:
    for port in itertools.islice(ports, _BLOCK_PORTS):
        if _is_free(ip, port):
            return port
    raise OSError(f"no free port at {ip} in the block of this process")


def _share_out_block() -> None:
    global _lower_ports, _upper_ports  # noqa: PLW0603
    if _guard is None:
        block = _claim_block()
        _lower_ports = itertools.cycle(block[:-_UPPER_PORTS])
        _upper_ports = itertools.cycle(block[-_UPPER_PORTS:])


def _claim_block() -> range:
    """Claim a block by listening on its first port; return the other ports."""
    global _guard  # noqa: PLW0603
    for number in range(_BLOCKS):
        first = _FIRST_PORT + (os.getpid() + number) % _BLOCKS * _BLOCK_PORTS
        guard = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            # The host number keeps guards apart from the addresses of the programs.
            guard.bind(("127.0.254.254", first))
            guard.listen(1)
        except OSError:
            guard.close()
            continue
        _guard = guard
        return range(first + 1, first + _BLOCK_PORTS)
    raise OSError(f"all {_BLOCKS} blocks of ports are taken by other processes")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as candidate:
            try:
                candidate.bind((ip, port))
            except OSError:
                return False
    return True
