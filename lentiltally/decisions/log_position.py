"""Positions in a log whose store may come back from an older copy.

A store that is restored gives out offsets again, and its era rises by one each time.
A position is the pair of era and offset as one integer, the era in the high bits. So
positions of all eras have one order: whatever was read after a restore is newer than
all that was read before it, and maxima and comparisons need no other rule.

Without eras, a position is the offset.
"""

from __future__ import annotations

__all__ = [
    "MAX_ERA",
    "MAX_LOG_OFFSET",
    "log_position",
    "position_era",
    "position_offset",
]

_OFFSET_BITS = 40
MAX_LOG_OFFSET = (1 << _OFFSET_BITS) - 1
# Positions are sent as integers of at most 53 bits.
MAX_ERA = (1 << 53 - _OFFSET_BITS) - 1


def log_position(era: int, offset: int) -> int:
    """Return the position of an offset in an era; a negative offset stays as it is."""
    if offset < 0:
        return offset
    return (era << _OFFSET_BITS) + min(offset, MAX_LOG_OFFSET)


def position_era(position: int) -> int:
    """Return the era of a position, 0 for a negative one."""
    return max(0, position) >> _OFFSET_BITS


def position_offset(position: int) -> int:
    """Return the offset of a position within its era."""
    return position if position < 0 else position & MAX_LOG_OFFSET
