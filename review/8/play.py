"""Case 8: four agents act as the three holders of a tenant's allotment."""

from __future__ import annotations

import asyncio
import itertools
import signal
import time
from collections.abc import Iterator
from pathlib import Path

from common_2.deployment import BOUNDS, HOST, Deployment, Process, route
from common_2.engines import MODEL, Engine
from common_2.http1 import exchange
from common_2.script import Case, run

from lentiltally.decisions.allotment_holders import allotment_holders

SIDES = 9
HOLDERS = 3
TENANT, KEY = "large-tenant", "key-of-the-large-tenant"
RATE_PER_S, BURST = 60_000.0, 15_000.0
WINDOW_S, OVER, SLACK = 8.0, 0.1, 17_000.0
PROMPT_TOKENS, OUTPUT_TOKENS = 4_000, 1_000
COST = PROMPT_TOKENS + OUTPUT_TOKENS
# Requests a second at each of two front machines; the limit allows 12 in all.
LOAD_PER_S = 20
LOAD_S = 20.0
# As on the sheet of the deployment that has tenants, where it differs.
TENANT_BOUNDS: dict[str, object] = {
    "stabilityWindowMs": 4000,
    "acknowledgeMs": 6000,
    "catchUpS": 6,
    "drainMs": 3000,
    "configurationMs": 3000,
    "outerMs": 6000,
    "budgetSlack": 88,
    "recoveryS": 15,
    "passMs": 200,
    "revokeClosed": True,
    "revokeMs": 5000,
    "quotaWindowS": WINDOW_S,
    "quotaOver": OVER,
    "quotaSlack": SLACK,
}


async def play(case: Case, deployment: Deployment) -> None:
    """Lose an engine for good, restart an entry, and send more than the limit."""
    deployment.routes = [
        route("draft", "streaming", "llm", gapTargetMs=400, timeoutMs=5000)
    ]
    deployment.tenants = [
        {
            "name": TENANT,
            "apiKeys": [KEY],
            "unit": "token_routing",
            "plainTokens": 200,
            "ratePerS": RATE_PER_S,
            "burst": BURST,
        }
    ]
    await deployment.start(sides=SIDES, bookings=0)
    for engine in deployment.engines:
        engine.adapters["a1"] = engine.newest["a1"] = 1
    await deployment.configure()
    await deployment.add_entry()
    second = await deployment.add_entry()
    await asyncio.sleep(4.0)
    # Any engine may be lost. Which one it is decides whose allotment is concerned.
    hosts = [engine.ip for engine in deployment.engines]
    holders = allotment_holders(hosts, TENANT)
    assert len(holders) == HOLDERS
    if case.has_trouble:
        lost = deployment.engines[hosts.index(holders[0])]
        case.note(f"{lost.instance} is lost for good")
        await deployment.lose(lost)
        case.note("its record has lapsed; the agent beside it runs on")
    await asyncio.sleep(2.0)
    await _restart(case, deployment, second)
    await asyncio.sleep(4.0)
    numbers = itertools.count(1)
    sent_s: dict[str, float] = {}
    await asyncio.gather(
        *(
            _load(case, deployment, entry, numbers, sent_s)
            for entry in deployment.entries
        )
    )
    _judge(case, deployment.engines, sent_s)


async def _restart(case: Case, deployment: Deployment, process: Process) -> None:
    """Stop a machine as planned, and start it again."""
    case.note(f"{process.name} gets SIGTERM")
    process.signal(signal.SIGTERM)
    assert process.started is not None
    while process.started.poll() is None:
        await asyncio.sleep(0.05)
    deployment.launch(process)
    await deployment.wait_ready(process)
    case.note(f"{process.name} has started again")


async def _load(
    case: Case,
    deployment: Deployment,
    entry: Process,
    numbers: Iterator[int],
    sent_s: dict[str, float],
) -> None:
    """Send requests at a steady rate to one entry."""
    requests = []
    for _ in range(int(LOAD_S * LOAD_PER_S)):
        requests.append(
            asyncio.create_task(_send(case, deployment, entry, next(numbers), sent_s))
        )
        await asyncio.sleep(1 / LOAD_PER_S)
    await asyncio.gather(*requests)


async def _send(
    case: Case,
    deployment: Deployment,
    entry: Process,
    number: int,
    sent_s: dict[str, float],
) -> None:
    request_id = f"{entry.name}.{number:05}"
    headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "Authorization": f"Bearer {KEY}",
        "X-Model": f"{MODEL}/a1",
        "X-Token-Counts": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}",
        "X-Deadline-Milliseconds": "4000",
    }
    case.note(f"{request_id} sent")
    sent_s[request_id] = time.monotonic()
    answer = await exchange(
        (entry.ip, deployment.front_port), "POST", "/draft/x", headers, b"{}"
    )
    case.note(f"{request_id} answered {answer.status} {answer.error}")


def _judge(case: Case, engines: list[Engine], sent_s: dict[str, float]) -> None:
    """Add up the tokens of requests that were sent and ran in the same window."""
    runs = sorted(
        (run_.at_s, run_.request_id)
        for engine in engines
        for run_ in engine.runs
        if run_.headers.get("x-tenant") == TENANT
    )
    if not runs:
        raise RuntimeError("no request of the tenant ran")
    first_s = min(sent_s.values())
    for at_s, request_id in runs:
        case.note(f"{request_id} ran {at_s - first_s:.3f} s after the first was sent")
    most = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVER) + SLACK
    worst: list[str] = []
    for begin_s in sent_s.values():
        names = [
            request_id.partition(".")[0]
            for at_s, request_id in runs
            if sent_s[request_id] >= begin_s and at_s < begin_s + WINDOW_S
        ]
        worst = max(worst, names, key=len)
    shares = {name: worst.count(name) * COST for name in sorted(set(worst))}
    tokens = len(worst) * COST
    text = f"{tokens} tokens in {WINDOW_S} s, {shares}; allowed are {most:.0f}"
    case.note(text)
    if tokens > most:
        case.broken(f"QUOTA: {text}")


if __name__ == "__main__":
    run(Path(__file__).resolve().parent, play, BOUNDS | TENANT_BOUNDS)
