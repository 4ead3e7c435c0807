"""Sizes and load parameters of the simulated deployments, and their random arrivals.

``SHAPES`` holds two variants of each of the two deployments. The first variant has the
numbers of docs/design.md, section 1.3. The second changes each of them, with a low load
whose cold starts stay within the weight store's 4.5 loads/s. The design gives no answer
lengths, so a usual answer has the mean length of the load expected in two years (5.2 M
tokens/s over 15,000 requests/s are 347 tokens) and the highest allowed inter-token
latency, 28 ms.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import accumulate


@dataclass(frozen=True, slots=True)
class Shape:
    """Size, load and timing of one variant of a deployment.

    Loads are multiples of the capacity, shares are fractions of all requests. The load
    stays low or high for ``phase_s`` and changes within ``ramp_s``. Long jobs have
    ``long_factor`` times as many tokens as usual ones. A slowdown by ``slow_factor``
    takes ``slow_min_s`` to ``slow_max_s``. ``one_way_delay_s`` is the network delay
    between an entry and an agent, ``report_delay_s`` the delay of a state report.
    """

    name: str
    engines: int
    failure_domains: int
    one_way_delay_s: float
    # Shares of non-idempotent, interactive and deferrable requests.
    criticality_shares: tuple[float, float, float]
    entries: int = 3
    teams: int = 6
    adapters: int = 3000
    zipf_exponent: float = 1.0
    # The most popular adapters get about half of the traffic. At each interval other
    # adapters take their ranks, all at once.
    popular_adapters: int = 30
    popularity_change_interval_s: float = 100.0
    adapter_slots: int = 8
    batch_slots: int = 16
    usual_tokens: float = 347.0
    token_s: float = 0.028
    first_token_s: float = 0.2
    long_share: float = 0.03
    long_factor: float = 20.0
    low_load: float = 0.5
    high_load: float = 1.8
    ramp_s: float = 5.0
    # A load peak shorter than a few answers would be absorbed by free batch slots.
    phase_s: float = 60.0
    slowed_targets: int = 2
    slow_factor: float = 5.0
    slow_min_s: float = 0.5
    slow_max_s: float = 5.0
    report_delay_s: float = 1.0
    report_interval_s: float = 10.0
    # How long a caller waits for the first token: non-idempotent, interactive and
    # deferrable requests.
    first_token_timeout_s: tuple[float, float, float] = (15.0, 10.0, 60.0)

    @property
    def mean_tokens(self) -> float:
        """Return the mean number of answer tokens of all jobs."""
        return self.usual_tokens * (1.0 + self.long_share * (self.long_factor - 1.0))

    @property
    def capacity_per_s(self) -> float:
        """Return the number of requests per second that fill all batch slots."""
        service_s = self.first_token_s + self.mean_tokens * self.token_s
        return self.engines * self.batch_slots / service_s


def _variant(first: Shape) -> Shape:
    return Shape(
        name=first.name.replace("-1", "-2"),
        engines=first.engines,
        failure_domains=first.failure_domains,
        one_way_delay_s=first.one_way_delay_s * 2,
        criticality_shares=first.criticality_shares,
        entries=4,
        teams=8,
        adapters=4000,
        zipf_exponent=1.05,
        popular_adapters=50,
        popularity_change_interval_s=70.0,
        adapter_slots=10,
        batch_slots=20,
        usual_tokens=450.0,
        token_s=0.025,
        first_token_s=0.3,
        long_share=0.05,
        long_factor=12.0,
        low_load=0.4,
        high_load=1.6,
        ramp_s=3.0,
        phase_s=40.0,
        slowed_targets=2,
        slow_factor=4.0,
        slow_min_s=1.0,
        slow_max_s=6.0,
        report_delay_s=1.5,
        report_interval_s=8.0,
        first_token_timeout_s=(20.0, 8.0, 45.0),
    )


_BASE_SHAPES = (
    Shape("fraser-valley-1", 13, 4, 0.0015, (0.15, 0.70, 0.15)),
    Shape("parabolica-1", 12, 3, 0.001, (0.10, 0.50, 0.40)),
)
SHAPES: tuple[Shape, ...] = (
    *_BASE_SHAPES,
    *(_variant(shape) for shape in _BASE_SHAPES),
)


@dataclass(slots=True)
class Job:
    """A request and its result; times are seconds of simulated time.

    ``criticality`` is 0 for non-idempotent, 1 for interactive and 2 for deferrable
    requests. ``load_wait_s`` is the time spent waiting for the load of the adapter.
    """

    number: int
    arrival_s: float
    team: int
    adapter: int
    tokens: float
    is_long: bool
    criticality: int
    first_token_timeout_s: float
    load_wait_s: float = 0.0
    start_s: float | None = None
    first_token_at_s: float | None = None
    end_s: float | None = None
    refused_s: float | None = None
    attempts: int = 0

    @property
    def first_token_deadline_s(self) -> float:
        """Return the time by which the first token must come."""
        return self.arrival_s + self.first_token_timeout_s

    def is_in_time(self, token_s: float) -> bool:
        """Return whether the answer started in time and ran at half speed or faster.

        Both limits allow 1 s more.
        """
        if self.first_token_at_s is None or self.end_s is None:
            return False
        nominal_s = self.tokens * token_s
        return (
            self.first_token_at_s <= self.first_token_deadline_s + 1.0
            and self.end_s <= self.first_token_at_s + 2.0 * nominal_s + 1.0
        )


def constant_load(load: float) -> Callable[[Shape, float], float]:
    """Return a load profile with a fixed multiple of the capacity."""
    return lambda shape, time_s: load


def oscillating_load(shape: Shape, time_s: float) -> float:
    """Return the load at a time: low, ramp up, high, ramp down, repeated."""
    time_s %= 2 * (shape.phase_s + shape.ramp_s)
    rise = shape.high_load - shape.low_load
    if time_s < shape.phase_s:
        return shape.low_load
    time_s -= shape.phase_s
    if time_s < shape.ramp_s:
        return shape.low_load + rise * time_s / shape.ramp_s
    time_s -= shape.ramp_s
    if time_s < shape.phase_s:
        return shape.high_load
    return shape.high_load - rise * (time_s - shape.phase_s) / shape.ramp_s


def arrivals(
    shape: Shape, seed: int, duration_s: float, load: Callable[[Shape, float], float]
) -> list[Job]:
    """Return the jobs of a run: Poisson arrivals with Zipf-distributed adapters."""
    rng = random.Random(f"{seed}/{shape.name}/arrivals")
    popularity = _AdapterPopularity(shape, rng)
    jobs: list[Job] = []
    for time_s in _arrival_times(shape, rng, duration_s, load):
        adapter = popularity.draw(time_s)
        is_long = rng.random() < shape.long_share
        tokens = shape.usual_tokens * rng.uniform(0.5, 1.5)
        (criticality,) = rng.choices((0, 1, 2), shape.criticality_shares)
        jobs.append(
            Job(
                number=len(jobs),
                arrival_s=time_s,
                team=adapter % shape.teams,
                adapter=adapter,
                tokens=tokens * (shape.long_factor if is_long else 1.0),
                is_long=is_long,
                criticality=criticality,
                first_token_timeout_s=shape.first_token_timeout_s[criticality],
            )
        )
    return jobs


def _arrival_times(
    shape: Shape,
    rng: random.Random,
    duration_s: float,
    load: Callable[[Shape, float], float],
) -> Iterator[float]:
    """Yield the times of a Poisson process with a varying rate, by thinning."""
    peak_per_s = shape.capacity_per_s * 2.0
    time_s = rng.expovariate(peak_per_s)
    while time_s < duration_s:
        if rng.random() * 2.0 < load(shape, time_s):
            yield time_s
        time_s += rng.expovariate(peak_per_s)


class _AdapterPopularity:
    """Zipf popularity of adapters; the top ranks change at intervals."""

    def __init__(self, shape: Shape, rng: random.Random) -> None:
        self._shape = shape
        self._rng = rng
        ranks = range(1, shape.adapters + 1)
        self._sums = list(accumulate(rank**-shape.zipf_exponent for rank in ranks))
        self._ranking = list(range(1, shape.adapters + 1))
        rng.shuffle(self._ranking)
        self._period = -1

    def draw(self, time_s: float) -> int:
        """Return an adapter number, counted from 1."""
        period = int(time_s // self._shape.popularity_change_interval_s)
        if period != self._period:
            self._period = period
            self._replace_popular()
        rank = bisect_left(self._sums, self._rng.random() * self._sums[-1])
        return self._ranking[rank]

    def _replace_popular(self) -> None:
        ranking, size = self._ranking, self._shape.popular_adapters
        promoted = self._rng.sample(range(size, len(ranking)), size)
        for rank, other in enumerate(promoted):
            ranking[rank], ranking[other] = ranking[other], ranking[rank]
