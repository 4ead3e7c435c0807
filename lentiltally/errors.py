"""The base class of the errors that lentiltally raises."""

from __future__ import annotations


class LentiltallyError(Exception):
    """An error with the processing step and the peer at which it occurred.

    ``step`` names the part of the processing, for example ``resolve`` or ``dispatch``.
    ``peer`` names the process or service on the other side; it is empty if no other
    process or service was involved.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        """Store the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message followed by step and peer."""
        origin = f"step {self.step}" + (f", peer {self.peer}" if self.peer else "")
        return f"{self.message} ({origin})"
