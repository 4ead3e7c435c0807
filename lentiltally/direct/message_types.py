"""Ranges of the values in datagrams; what is out of range is dropped with them."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta

from lentiltally.decisions.holder_role import MAX_ASKED
from lentiltally.decisions.log_position import MAX_ERA

__all__ = ["Era", "Hosts", "ListPosition", "Quantity", "RatePerS", "WaitMs"]

RatePerS = Annotated[float, Meta(ge=0, le=1e12)]
WaitMs = Annotated[int, Meta(ge=0, le=3_600_000)]
Quantity = Annotated[int, Meta(ge=0, le=2**53 - 1)]
Era = Annotated[int, Meta(ge=0, le=MAX_ERA)]
# -1 says that the list has not been read.
ListPosition = Annotated[int, Meta(ge=-1, le=2**53 - 1)]
Hosts = Annotated[tuple[str, ...], Meta(max_length=MAX_ASKED)]
