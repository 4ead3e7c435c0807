"""The base of all errors that lentiltally raises."""

from __future__ import annotations


class LentiltallyError(Exception):
    """An error with the processing step and the peer at which it arose.

    ``step`` names the part of the processing (for example ``resolve`` or
    ``dispatch``); ``peer`` names the process or service on the other side, or is
    empty if there is none.
    """

    def __init__(self, message: str, *, step: str, peer: str = "") -> None:
        """Keep the message, the step and the peer."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message followed by step and peer."""
        where = f"step {self.step}" + (f", peer {self.peer}" if self.peer else "")
        return f"{self.message} ({where})"
