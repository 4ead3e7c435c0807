"""Cost of an agent as a holder of allotments, for docs/CAPACITY.md.

``python -m bench.allotment_costs`` prints, for three numbers of accounts over 24
agents, the memory of one holder and its processor time for each request, with decoding
and encoding but without sockets.
"""

from __future__ import annotations

import random
import time
import tracemalloc

from lentiltally.decisions.allotment_shape import HOLDERS, LimitMargin
from lentiltally.decisions.allotments import Allotments
from lentiltally.direct.allotment_holder import to_allotment_request
from lentiltally.direct.messages import decode_message, encode_message
from lentiltally.direct.right_messages import AcquireAllotment, AllotmentAnswer

MARGIN = LimitMargin(window_s=8.0, tolerance=0.1, slack=17_000.0)
ACCOUNTS = (1_000, 10_000, 100_000)
AGENTS = 24
REQUESTS = 60_000
REQUESTS_PER_S = 2_000.0
COST, RATE_PER_S = 2_300, 4_200.0
# The uptime of the holder, long enough for full balances.
NOW_S = 1_000.0


def main() -> None:
    """Measure all sizes."""
    for accounts in ACCOUNTS:
        held = accounts * HOLDERS // AGENTS
        tracemalloc.start()
        allotments = Allotments(MARGIN, 0.0)
        now_s = NOW_S
        for number in range(held):
            now_s += 1 / REQUESTS_PER_S
            _answer(allotments, _datagram(number, number), now_s)
        memory_mb = tracemalloc.get_traced_memory()[0] / 1e6
        tracemalloc.stop()
        rng = random.Random(1)
        data = [_datagram(rng.randrange(held), n + held) for n in range(REQUESTS)]
        started_s = time.process_time()
        for datagram in data:
            now_s += 1 / REQUESTS_PER_S
            _answer(allotments, datagram, now_s)
        cost_us = 1e6 * (time.process_time() - started_s) / REQUESTS
        print(
            f"{accounts} accounts: {allotments.account_count} held, "
            f"{memory_mb:.2f} MB, {cost_us:.1f} us a request, {len(data[0])} B"
        )


def _datagram(account: int, number: int) -> bytes:
    grant_id = f"deadbeef0011-{number}-10.0.1.3"
    return encode_message(
        AcquireAllotment(
            f"account-{account}", grant_id, COST, 1, RATE_PER_S, RATE_PER_S
        )
    )


def _answer(allotments: Allotments, datagram: bytes, now_s: float) -> bytes:
    message = decode_message(datagram)
    assert isinstance(message, AcquireAllotment)
    decision = allotments.request(to_allotment_request(message), now_s)
    return encode_message(
        AllotmentAnswer(
            message.account,
            message.request_id,
            decision.is_granted,
            int(decision.balance),
            int(1000 * decision.wait_s),
        )
    )


if __name__ == "__main__":
    main()
