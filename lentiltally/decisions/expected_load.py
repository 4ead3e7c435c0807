"""Estimates the load of an engine now from a state of a given age.

Until the next state, an entry adds what it has sent itself, takes off what the engine
has prefilled, and shares out what the other entries are expected to send meanwhile.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = [
    "ExpectedLoad",
    "ExpectedLoadSettings",
    "SendsSinceState",
    "TargetCost",
    "draw_target",
]


@dataclass(frozen=True, slots=True)
class ExpectedLoadSettings:
    """Constants of the estimate.

    ``default_tokens_per_s`` is the prefill rate of an engine that reports none. A
    reported pace counts as at least ``min_pace`` and at most ``max_pace`` times the
    default time per token, so that a wrong report can't draw or repel all requests.

    Where a load is needed, entries with different states must agree on one engine, and
    different adapters must not meet at the engine that had free slots in the last
    state. ``position_penalty_s`` is therefore added for each position behind the first
    in the adapter's rendezvous order, up to ``max_penalized_positions``, more than by
    the reported load. What a state says of slots and loads counts less the older it
    is: by a factor e after ``slot_decay_s``.
    """

    default_tokens_per_s: float = 19_000.0
    min_pace: float = 0.3
    max_pace: float = 4.0
    position_penalty_s: float = 0.1
    max_penalized_positions: int = 8
    slot_decay_s: float = 0.7

    def pace(self, prefill_ns_per_token: int) -> float:
        """Return an engine's time per token over the default, 1 if not known."""
        if prefill_ns_per_token <= 0:
            return 1.0
        pace = prefill_ns_per_token * 1e-9 * self.default_tokens_per_s
        return min(self.max_pace, max(self.min_pace, pace))

    def position_cost_s(self, position: int) -> float:
        """Return the cost of a position in the rendezvous order of an adapter."""
        return self.position_penalty_s * min(position, self.max_penalized_positions)

    def slot_weight(self, age_s: float) -> float:
        """Return the weight of what a state of an age says of slots and loads."""
        return math.exp(-max(0.0, age_s) / self.slot_decay_s)


# Not frozen, which would take longer: each choice creates one for each engine.
@dataclass(slots=True)
class ExpectedLoad:
    """An engine's load now.

    ``pending_tokens`` are prompt tokens that the engine still has to prefill, without
    those of other entries since the state was made. ``other_tokens`` are the tokens
    expected of these, if they go on choosing the engine as often as before. ``pace`` is
    the engine's time per token over the default.
    """

    pending_tokens: float
    other_tokens: float
    pace: float

    @classmethod
    def estimate(
        cls,
        settings: ExpectedLoadSettings,
        *,
        prefill_tokens: int,
        own_tokens: int,
        arriving_tokens_per_s: int,
        pace: float,
        entries: int,
        age_s: float,
    ) -> ExpectedLoad:
        """Estimate the load from a state of an age and the own sends since then."""
        tokens_per_s = settings.default_tokens_per_s / pace
        other_share = 1.0 - 1.0 / max(1, entries)
        pending_tokens = prefill_tokens + own_tokens - age_s * tokens_per_s
        other_tokens = arriving_tokens_per_s * age_s * other_share
        return cls(max(0.0, pending_tokens), other_tokens, pace)


@dataclass(slots=True)
class SendsSinceState:
    """What an entry itself has sent to an engine since its last state arrived.

    ``keys`` are the hashes of the adapters that the requests need.
    """

    tokens: int = 0
    keys: set[int] = field(default_factory=set)

    def add(self, key_hash: int, tokens: int) -> None:
        """Count a request."""
        self.tokens += tokens
        self.keys.add(key_hash)

    def remove(self, key_hash: int, tokens: int) -> None:
        """Stop counting a request that the engine has not taken."""
        self.tokens = max(0, self.tokens - tokens)
        self.keys.discard(key_hash)

    def clear(self) -> None:
        """Forget all requests, because a newer state includes them."""
        self.tokens = 0
        self.keys.clear()


@dataclass(slots=True)
class TargetCost:
    """The cost of a request at one engine, and how it grows with work sent there.

    ``cost_s`` is the expected time to the first byte without the expected work,
    ``s_per_token`` what each further token adds to it.
    """

    cost_s: float
    s_per_token: float


def draw_target(
    costs: Sequence[TargetCost], tokens: float, rng: random.Random
) -> tuple[int, float, int]:
    """Draw an engine with its part of the expected work as the weight (water filling).

    Returns its index, the common cost after the work, and how many engines get work.

    The work goes where it evens out the costs: the cheapest engines are filled up to a
    common level. If all entries draw like this, the sum of their requests fills the
    engines evenly, whereas all of them would overload the cheapest one until the next
    state. Without expected work the cheapest engine is returned.
    """
    order = sorted(range(len(costs)), key=lambda index: costs[index].cost_s)
    tokens_per_s = 0.0
    weighted_cost = 0.0
    level_s = 0.0
    filled = 0
    for index in order:
        cost = costs[index]
        if filled and cost.cost_s >= level_s:
            break
        filled += 1
        tokens_per_s += 1.0 / cost.s_per_token
        weighted_cost += cost.cost_s / cost.s_per_token
        level_s = (tokens + weighted_cost) / tokens_per_s
    point = rng.random() * tokens
    for index in order[:filled]:
        cost = costs[index]
        point -= (level_s - cost.cost_s) / cost.s_per_token
        if point < 0.0:
            return index, level_s, filled
    return order[0], level_s, filled
