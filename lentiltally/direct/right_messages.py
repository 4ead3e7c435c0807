"""Datagrams about rights that agents hold for all entries."""

from __future__ import annotations

from msgspec import Struct

from lentiltally.direct.message_types import (
    Hosts,
    ListPosition,
    Quantity,
    RatePerS,
    WaitMs,
)

__all__ = [
    "AcquireAllotment",
    "AcquirePermit",
    "AllotmentAnswer",
    "HandoverAnswer",
    "PermitAnswer",
    "RequestHandover",
    "ReturnAllotment",
]


class AcquirePermit(Struct, tag=15, array_like=True, frozen=True):
    """A request needs a permit of a target that names a limit.

    Sent to a holder of the limit of ``target_start``. ``rate_per_s`` is the limit as
    the entry knows it. The permit is declined if it is due after ``max_wait_ms``.
    ``list_position`` is how far the entry has read the list of targets, which names
    the holder.
    """

    request_id: str
    target_start: str
    rate_per_s: RatePerS
    max_wait_ms: WaitMs
    list_position: Quantity = 0


class PermitAnswer(Struct, tag=16, array_like=True, frozen=True):
    """Answers ``AcquirePermit``.

    A request with a permit is sent ``wait_ms`` from now; one without may ask again
    then. An agent that may not decide, because it is no holder, sets ``is_decided`` to
    False.
    """

    request_id: str
    target_start: str
    is_granted: bool
    wait_ms: WaitMs
    is_decided: bool = True


class AcquireAllotment(Struct, tag=19, array_like=True, frozen=True):
    """A request needs a part of the allotment of its client account.

    Sent to a holder of the account's allotment. ``cost`` is in the unit of the
    account's limit; ``rate_per_s`` and ``burst`` are the whole limit, as version
    ``config_version`` of the desired state has it. ``list_position`` is how far the
    entry has read the list of targets, which names the holder.
    """

    account: str
    request_id: str
    cost: Quantity
    config_version: Quantity
    rate_per_s: RatePerS
    burst: RatePerS
    list_position: Quantity = 0


class AllotmentAnswer(Struct, tag=20, array_like=True, frozen=True):
    """Answers ``AcquireAllotment``.

    ``balance`` is what the holder has left. A caller whose request was not granted may
    come again after ``wait_ms``; 0 says that the agent may not decide.
    """

    account: str
    request_id: str
    is_granted: bool
    balance: int
    wait_ms: WaitMs


class ReturnAllotment(Struct, tag=21, array_like=True, frozen=True):
    """A request that was granted a part of its account's allotment has not run."""

    account: str
    request_id: str


class RequestHandover(Struct, tag=22, array_like=True, frozen=True):
    """An agent asks other agents whether it may exercise a right as a holder.

    ``right`` names the limit of a target or the allotment of an account. ``holders``
    are its holders by the list of targets that the agent has read up to
    ``list_position``, ``asked`` the hosts of the agents that it asks.
    """

    right: str
    holders: Hosts
    asked: Hosts
    list_position: ListPosition


class HandoverAnswer(Struct, tag=23, array_like=True, frozen=True):
    """Answers ``RequestHandover``.

    An agent that agrees grants no more by a list up to the one in the request. One that
    does not agree has read a newer list, up to ``list_position``, which does not name
    the agent that asks. ``others`` are hosts to ask as well.
    """

    right: str
    is_agreed: bool
    list_position: ListPosition
    others: Hosts = ()
