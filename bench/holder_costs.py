"""Cost of knowing and checking the holders of rights, for docs/CAPACITY.md.

``python -m bench.holder_costs`` prints, for three numbers of agents, the processor time
of an agent for a question (a known right, a right after a change of the list), of an
entry for the list of agents, and the sizes of the messages.
"""

from __future__ import annotations

import time
from collections.abc import Callable

from lentiltally.decisions.holder_role import AgentList, HolderRole
from lentiltally.decisions.target_limits import limit_owners
from lentiltally.direct.messages import Message, encode_message
from lentiltally.direct.right_messages import (
    AcquireAllotment,
    HandoverAnswer,
    RequestHandover,
)

AGENTS = (24, 190, 1_900)
RIGHTS = 200
ROUNDS = 20
SETTLING_S = 3.0
# Long after the start, so that the agent has settled.
NOW_S = 1_000.0
RIGHT = "allotment:listdesk-vancouver"


def main() -> None:
    """Measure all sizes."""
    for count in AGENTS:
        print(_costs(count))
    _print_sizes()


def _costs(count: int) -> str:
    hosts = [f"10.1.{n // 250}.{n % 250}" for n in range(count)]
    own = limit_owners(hosts, RIGHT)[0]
    first = AgentList(frozenset(hosts), 1)
    second = AgentList(first.hosts - {next(h for h in hosts if h != own)}, 2)
    rights = [f"allotment:account-{n}" for n in range(RIGHTS)]
    known_us = _per_call_us(RIGHTS, lambda: _ask_known(own, first, rights))
    changed_us = _per_call_us(
        RIGHTS, lambda: _ask_after_change(own, first, second, rights)
    )
    list_us = _per_call_us(1, lambda: _new_list(hosts, first))
    return (
        f"{count} agents: question {known_us:.1f} us, first question after a "
        f"change {changed_us:.0f} us, list of agents {list_us:.0f} us"
    )


def _role(own: str, agents: AgentList) -> HolderRole:
    role = HolderRole(own, SETTLING_S, 0.0)
    role.listed(agents, 0.0)
    role.listed(agents, NOW_S - 0.1)
    return role


def _ask_known(own: str, agents: AgentList, rights: list[str]) -> float:
    role = _role(own, agents)
    for right in rights:
        role.standing(right, 1, NOW_S)
    return _timed(lambda: [role.standing(right, 1, NOW_S) for right in rights])


def _ask_after_change(
    own: str, first: AgentList, second: AgentList, rights: list[str]
) -> float:
    role = _role(own, first)
    role.listed(second, NOW_S)
    return _timed(lambda: [role.standing(right, 2, NOW_S) for right in rights])


def _new_list(hosts: list[str], known: AgentList) -> float:
    return _timed(lambda: AgentList(frozenset(hosts), 3).hosts == known.hosts)


def _timed(work: Callable[[], object]) -> float:
    started_s = time.process_time()
    work()
    return time.process_time() - started_s


def _per_call_us(calls: int, measure: Callable[[], float]) -> float:
    """Return the least time of a call over some rounds, in microseconds."""
    return 1e6 * min(measure() for _ in range(ROUNDS)) / calls


def _print_sizes() -> None:
    hosts = ("10.1.3.101", "10.1.4.102", "10.1.5.103")
    others = (*hosts[1:], "10.1.6.104")
    grant_id = "deadbeef0011-12345-10.1.3.101"
    messages: dict[str, Message] = {
        "question without a position": AcquireAllotment(
            "listdesk-vancouver", grant_id, 2_300, 12, 4_200.0, 4_200.0
        ),
        "question": AcquireAllotment(
            "listdesk-vancouver", grant_id, 2_300, 12, 4_200.0, 4_200.0, 12_345_678
        ),
        "handover request": RequestHandover(RIGHT, hosts, others, 12_345_678),
        "handover answer": HandoverAnswer(RIGHT, True, 12_345_678),
    }
    sizes = {name: len(encode_message(m)) for name, m in messages.items()}
    print(", ".join(f"{name} {size} B" for name, size in sizes.items()))


if __name__ == "__main__":
    main()
