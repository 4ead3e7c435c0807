"""Settings of the processes on the direct path."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

__all__ = ["HostBounds", "HostSettings", "SocketAddress"]

# An error quotes no more characters of a text that may come from a faulty writer.
MAX_QUOTED = 64
# Without leading zeros, which some resolvers take for octal numbers.
_NUMBER = "(?:0|[1-9][0-9]{0,4})"
_ADDRESS = re.compile(rf"((?:{_NUMBER}\.){{3}}{_NUMBER}):({_NUMBER})")


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> SocketAddress:
        """Parse ``IP:PORT``; raises ValueError if it is something else."""
        match = _ADDRESS.fullmatch(text)
        if match is not None:
            ip, port = match[1], int(match[2])
            if 0 < port < 65_536 and all(int(p) <= 255 for p in ip.split(".")):
                return cls(ip, port)
        raise ValueError(f"{text[:MAX_QUOTED]!r} is not an IPv4 address with a port")

    def __str__(self) -> str:
        """Return ``IP:PORT``."""
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True)
class HostBounds:
    """Bounds that the operators set on the behaviour of the system.

    ``leaving_s`` is how long after its announcement a draining target may still get
    new work, ``stop_s`` the time within which a process must end after SIGTERM,
    ``configuration_s`` and ``adapter_version_s`` the times within which a new
    configuration and a new adapter version must be in use. Within any
    ``retry_window_s``, all entries together may retry ``retry_share`` of the requests
    plus ``retry_slack``. ``settled_s``, the platform's stability window, is read but
    not used.

    ``revocation_s`` is how long after its removal was acknowledged a key of a client
    account may still be used; None if a removal has no such bound. Within any
    ``limit_window_s``, a client account may exceed its limit by the share
    ``limit_tolerance`` plus ``limit_slack``, in the unit of its limit.
    """

    leaving_s: float = 2.0
    stop_s: float = 8.0
    configuration_s: float = 2.0
    settled_s: float = 3.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    adapter_version_s: float = 5.0
    revocation_s: float | None = None
    limit_window_s: float = 8.0
    limit_tolerance: float = 0.0
    limit_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a process, read at its start and again on reload.

    ``store`` is the platform's store, ``peer_port`` the UDP port of all entries and
    agents. ``callers`` and ``readiness`` are the addresses on which an entry listens;
    ``engine`` is the address of an agent's engine. ``memory_mb`` and
    ``max_descriptors`` are what the host allows the process, None if it does not say.
    """

    name: str
    failure_domain: str
    ip: str
    store: SocketAddress
    peer_port: int
    metrics_port: int
    callers: SocketAddress | None = None
    readiness: SocketAddress | None = None
    engine: SocketAddress | None = None
    bounds: HostBounds = field(default_factory=HostBounds)
    memory_mb: float | None = None
    max_descriptors: int | None = None
