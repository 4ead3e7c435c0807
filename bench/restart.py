"""Requests during a rolling failure of every process, with a log outage.

Two entries and six agents run as processes on loopback, under load. Each process is
killed, paused or drained in turn, and the log is down in between. The journals of the
engine stand-ins show what was executed.
"""

from __future__ import annotations

import json
import random
import signal
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
import xxhash

from bench._measurement import Measurement
from tools._deployment import BASE_MODEL, Deployment, EngineSpec
from tools._processes import Processes

BOUND = 0.99
AGENTS = 6
ENTRIES = 2
CLIENTS = 16
ADAPTERS = 12
BOOKING_SHARE = 0.15
# Share of answered bookings that the caller sends again, to either entry.
RESEND_SHARE = 0.5
STREAM_SHARE = 0.3
TEAM = "team"
BOOKINGS = "bookings"
DEADLINE_S = 12.0
CLIENT_TIMEOUT_S = 15.0
MAX_ATTEMPTS = 4
CLIENT_PAUSE_S = 0.05
SETTLE_TIME_S = 1.0


@dataclass(slots=True)
class Request:
    """One request of a client and its result.

    A booking is non-idempotent and has an idempotency key. ``phase`` is the failure
    under way when the request was created. ``is_refused_not_executed`` is set if its
    only attempt was refused as not executed.
    """

    marker: str
    model: str
    is_booking: bool
    is_stream: bool
    phase: str
    outcome: str = ""
    attempts: int = 0
    is_refused_not_executed: bool = False

    def body(self) -> bytes:
        """Return the JSON body, which is the same for each attempt."""
        document = {
            "model": self.model,
            "prompt": self.marker,
            "max_tokens": 20 if self.is_stream else 5,
            "stream": self.is_stream,
        }
        return json.dumps(document).encode()

    def digest(self) -> str:
        """Return the digest by which the engine stand-ins record the body."""
        return xxhash.xxh3_128_hexdigest(self.body())


@dataclass(slots=True)
class _SharedState:
    """State shared by the clients; ``phase`` names the failure under way."""

    urls: list[str]
    phase: str = "start"
    is_stopped: bool = False
    finished: list[Request] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)


def run(seed: int) -> Measurement:
    """Run the rolling failure; ``seed`` determines the requests of each client."""
    with tempfile.TemporaryDirectory() as folder, Processes(Path(folder)) as processes:
        deployment = _start_deployment(processes, Path(folder))
        shared = _SharedState(list(deployment.entry_urls.values()))
        clients = [
            threading.Thread(target=_run_client, args=(shared, seed * 1000 + n))
            for n in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        try:
            _run_rolling_failure(deployment, processes, shared)
        finally:
            shared.is_stopped = True
            for client in clients:
                client.join()
        time.sleep(SETTLE_TIME_S)
        executions = _executions_by_body(deployment)
    return _evaluate(seed, shared.finished, executions)


def _start_deployment(processes: Processes, folder: Path) -> Deployment:
    deployment = Deployment.start(
        processes, folder, ("--starts-per-s", "0", "--load-s", "0.05")
    )
    values: dict[str, dict[str, object]] = {
        f"/teams/{TEAM}/adapters/adapter-{n}": {
            "base_model": BASE_MODEL,
            "versions": {"1": {"source": f"adapter-{n}/1"}},
        }
        for n in range(ADAPTERS)
    }
    values[f"/teams/{TEAM}/adapters/{BOOKINGS}"] = {
        "base_model": BASE_MODEL,
        "versions": {"1": {"source": "bookings/1"}},
        "non_idempotent": True,
    }
    values[f"/teams/{TEAM}/limits"] = {"deadline_s": DEADLINE_S}
    deployment.publish(values)
    for n in range(AGENTS):
        deployment.start_engine(EngineSpec(f"engine-{n}", ("--token-s", "0.01")))
        deployment.start_agent(f"agent-{n}", [f"engine-{n}"], f"domain-{n % 3}")
    for n in range(ENTRIES):
        deployment.start_entry(f"entry-{n}", f"domain-{n}")
    return deployment


def _run_rolling_failure(
    deployment: Deployment, processes: Processes, shared: _SharedState
) -> None:
    """Kill, pause or drain each process in turn, with a log outage in between."""
    steps: list[tuple[str, Callable[[], None]]] = [
        ("steady", lambda: None),
        ("drain entry-0", lambda: _drain_entry(deployment, shared, 0)),
        ("drain agent-0", lambda: _restart_agent(deployment, 0, signal.SIGTERM)),
        ("kill agent-1", lambda: _restart_agent(deployment, 1, signal.SIGKILL)),
        ("pause agent-2", lambda: _pause(processes, "agent-2")),
        ("log down", lambda: _set_log(deployment, is_down=True)),
        (
            "kill agent-3, log down",
            lambda: _restart_agent(deployment, 3, signal.SIGKILL),
        ),
        ("log up", lambda: _set_log(deployment, is_down=False)),
        ("kill entry-1", lambda: _kill_entry(deployment, shared, 1)),
        ("pause entry-0", lambda: _pause(processes, "entry-0")),
        ("drain agent-4", lambda: _restart_agent(deployment, 4, signal.SIGTERM)),
        ("kill agent-5", lambda: _restart_agent(deployment, 5, signal.SIGKILL)),
        ("end", lambda: None),
    ]
    for phase, step in steps:
        shared.phase = phase
        started_s = time.monotonic()
        step()
        print(f"{phase}: {time.monotonic() - started_s:.1f} s", flush=True)
        time.sleep(SETTLE_TIME_S)


def _restart_agent(deployment: Deployment, number: int, signal_number: int) -> None:
    name = f"agent-{number}"
    deployment.processes.stop(name, signal_number)
    deployment.restart_agent(name)


def _drain_entry(deployment: Deployment, shared: _SharedState, number: int) -> None:
    """Drain and restart an entry.

    Clients stop using it first, as a load balancer does when it reports not ready.
    """
    name = f"entry-{number}"
    url = deployment.entry_urls[name]
    shared.urls = [other for other in shared.urls if other != url]
    deployment.processes.stop(name, signal.SIGTERM)
    deployment.restart_entry(name)
    shared.urls = [*shared.urls, url]


def _kill_entry(deployment: Deployment, shared: _SharedState, number: int) -> None:
    name = f"entry-{number}"
    url = deployment.entry_urls[name]
    deployment.processes.stop(name, signal.SIGKILL)
    shared.urls = [other for other in shared.urls if other != url]
    deployment.restart_entry(name)
    shared.urls = [*shared.urls, url]


def _pause(processes: Processes, name: str) -> None:
    process = processes.process(name)
    process.send_signal(signal.SIGSTOP)
    time.sleep(4.0)
    process.send_signal(signal.SIGCONT)


def _set_log(deployment: Deployment, *, is_down: bool) -> None:
    urllib3.request("PUT", f"{deployment.log_url}/faults", json={"down": is_down})


def _run_client(shared: _SharedState, seed: int) -> None:
    rng = random.Random(seed)
    pool = urllib3.PoolManager(retries=False, timeout=CLIENT_TIMEOUT_S)
    count = 0
    while not shared.is_stopped:
        count += 1
        is_booking = rng.random() < BOOKING_SHARE
        name = (
            BOOKINGS
            if is_booking
            else f"adapter-{int(rng.paretovariate(1)) % ADAPTERS}"
        )
        request = Request(
            marker=f"request-{seed}-{count}",
            model=f"{TEAM}/{name}@1",
            is_booking=is_booking,
            is_stream=not is_booking and rng.random() < STREAM_SHARE,
            phase=shared.phase,
        )
        _send_until_answered(pool, shared, request, rng)
        with shared.lock:
            shared.finished.append(request)
        time.sleep(CLIENT_PAUSE_S)


def _send_until_answered(
    pool: urllib3.PoolManager,
    shared: _SharedState,
    request: Request,
    rng: random.Random,
) -> None:
    """Send to a random entry and retry failures, as callers behind a load balancer do.

    A first attempt that is refused as not executed ends the request, so that the
    journals can show whether the refusal was true.
    """
    for _ in range(MAX_ATTEMPTS):
        request.attempts += 1
        url = rng.choice(shared.urls)
        try:
            status, body = _send(pool, url, request)
        except urllib3.exceptions.NewConnectionError:
            time.sleep(0.1)
            continue
        except (urllib3.exceptions.HTTPError, OSError) as error:
            request.outcome = f"broken: {type(error).__name__}"
            continue
        request.outcome = _outcome(request, status, body)
        if request.outcome == "answered":
            if request.is_booking and rng.random() < RESEND_SHARE:
                continue
            return
        if request.outcome == "refused no" and request.attempts == 1:
            request.is_refused_not_executed = True
            return
        time.sleep(0.2)


def _send(pool: urllib3.PoolManager, url: str, request: Request) -> tuple[int, bytes]:
    headers = {"Content-Type": "application/json"}
    if request.is_booking:
        headers["Idempotency-Key"] = request.marker
    response = pool.request(
        "POST", f"{url}/v1/completions", body=request.body(), headers=headers
    )
    return response.status, response.data


def _outcome(request: Request, status: int, body: bytes) -> str:
    if status == 200 and request.is_stream:
        return "answered" if b"data: [DONE]" in body[-64:] else "cut"
    if status == 200:
        return "answered"
    try:
        return f"refused {json.loads(body)['executed']}"
    except (ValueError, KeyError):
        return f"status {status}"


def _executions_by_body(deployment: Deployment) -> Counter[str]:
    """Return how often each body was executed, from the journals of the engines."""
    executions: Counter[str] = Counter()
    for url in deployment.engine_urls.values():
        journal = urllib3.request("GET", f"{url}/journal", timeout=10.0).json()
        executions.update(run["body_digest"] for run in journal["executions"])
    return executions


def _evaluate(
    seed: int, finished: list[Request], executions: Counter[str]
) -> Measurement:
    idempotent = [r for r in finished if not r.is_booking]
    answered = sum(r.outcome == "answered" for r in idempotent)
    share = answered / len(idempotent)
    graceful = [r for r in finished if r.phase.startswith(("drain", "steady"))]
    lost = [
        r for r in graceful if r.outcome != "answered" and not r.is_refused_not_executed
    ]
    bookings = [r for r in finished if r.is_booking]
    executed_twice = sum(executions[r.digest()] > 1 for r in bookings)
    untrue_refusals = [
        r for r in finished if r.is_refused_not_executed and executions[r.digest()]
    ]
    outcomes = Counter(
        (r.phase, r.outcome) for r in finished if r.outcome != "answered"
    )
    for (phase, outcome), count in sorted(outcomes.items()):
        print(f"{phase}: {outcome} {count}")
    return Measurement(
        measure="restart",
        seed=seed,
        baseline=None,
        value=share,
        bound=BOUND,
        holds=share >= BOUND
        and not lost
        and not executed_twice
        and not untrue_refusals,
        unit="share",
        fields={
            "lost": len(lost),
            "doubled": executed_twice,
            "untrue_refusals": len(untrue_refusals),
            "repeatable": len(idempotent),
            "bookings": len(bookings),
            "bookings_answered": sum(r.outcome == "answered" for r in bookings),
            "refused_no": sum(r.is_refused_not_executed for r in finished),
        },
    )
