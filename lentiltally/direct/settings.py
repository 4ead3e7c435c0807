"""Settings of the processes on the direct path."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["HostBounds", "HostSettings", "SocketAddress"]


@dataclass(frozen=True, slots=True)
class SocketAddress:
    """An IP address and a port."""

    ip: str
    port: int

    @classmethod
    def from_text(cls, text: str) -> SocketAddress:
        """Parse ``IP:PORT``; raises ValueError if it is something else."""
        ip, separator, port = text.rpartition(":")
        parts = ip.split(".")
        if not separator or len(parts) != 4 or not all(p.isdigit() for p in parts):
            raise ValueError(f"{text!r} is not an IPv4 address with a port")
        number = int(port)
        if not 0 < number < 65_536 or any(int(p) > 255 for p in parts):
            raise ValueError(f"{text!r} is not an IPv4 address with a port")
        return cls(ip, number)

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
    """

    leaving_s: float = 2.0
    stop_s: float = 8.0
    configuration_s: float = 2.0
    settled_s: float = 3.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    adapter_version_s: float = 5.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a process, read at its start and again on reload.

    ``store`` is the platform's store, ``peer_port`` the UDP port of all entries and
    agents. ``callers`` and ``readiness`` are the addresses on which an entry listens;
    ``engine`` is the address of an agent's engine.
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
