"""Find the first schedule that violates each guarantee, with or without a mutation.

``python -m bench._guarantees.find [MUTATION] [--seed N] [--schedules N]``
"""

from __future__ import annotations

import argparse

from bench._guarantees.components import Components
from bench._guarantees.mutations import MUTATIONS
from bench._guarantees.schedule import Schedule


def main() -> None:
    """Print the first violating schedule and the count of each violated guarantee."""
    parser = argparse.ArgumentParser(prog="bench._guarantees.find")
    parser.add_argument("mutation", nargs="?", choices=list(MUTATIONS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--schedules", type=int, default=400)
    options = parser.parse_args()
    components = (
        MUTATIONS[options.mutation].components if options.mutation else Components()
    )
    first: dict[str, int] = {}
    counts: dict[str, int] = {}
    for index in range(options.schedules):
        violations = Schedule(options.seed, index, components).run()
        for guarantee, count in (+violations).items():
            first.setdefault(guarantee, index)
            counts[guarantee] = counts.get(guarantee, 0) + count
    for guarantee, index in sorted(first.items()):
        print(f"{guarantee}: first in schedule {index}, {counts[guarantee]} in all")
    print(f"{options.schedules} schedules, {sum(counts.values())} violations")


if __name__ == "__main__":
    main()
