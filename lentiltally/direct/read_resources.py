"""What the connections of a process share for reading from their peers."""

from __future__ import annotations

from dataclasses import dataclass, field

from lentiltally.decisions.held_bytes import HeldBytes
from lentiltally.direct.read_turns import ReadTurns

__all__ = ["ReadResources"]

# What one read of a socket gives is processed in one step.
RECEIVE_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class ReadResources:
    """Bounds on the work and on the memory of reading, over all connections.

    ``turns`` shares the event loop, ``held`` the memory for unfinished messages.
    ``buffer`` takes what a connection receives until it has been passed to its parser.
    """

    turns: ReadTurns
    held: HeldBytes
    buffer: bytearray = field(default_factory=lambda: bytearray(RECEIVE_BYTES))

    @classmethod
    def from_limit(cls, max_held_bytes: int) -> ReadResources:
        """Return resources that nothing else shares."""
        return cls(ReadTurns(), HeldBytes(max_held_bytes))
