"""Refusal of requests that crash the targets that run them.

A request that was running on a target when the target terminated is a suspect. Callers
retry it under another id, so it is identified by a fingerprint of its content. Once it
is the suspect of several targets, it is refused for some time, unless a request with
the same fingerprint has finished recently: if many callers send the same request, it is
running whenever a target terminates, whatever the cause.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from heapq import nlargest

import xxhash

from lentiltally.decisions._ring import rendezvous_weight

__all__ = [
    "CrashSuspects",
    "fingerprint_texts",
    "part_fingerprint",
    "request_fingerprint",
    "suspect_relays",
]

# Operators accept the loss of up to three targets to one request.
CRASHES_BEFORE_REFUSAL = 2
REFUSAL_S = 60.0
MAX_SUSPECTS = 2_000
# About 1 MB, and far more requests than an entry answers while a target restarts.
MAX_FINISHED = 8_000
# Agents that forward a suspect to all entries: one may be down, and another datagram
# may be lost.
RELAYS_PER_SUSPECT = 3


def request_fingerprint(host: str, path: bytes, adapter: str, body: bytes) -> int:
    """Return the fingerprint of a request, the same each time a caller sends it."""
    digest = xxhash.xxh3_64(host.encode())
    digest.update(path)
    digest.update(b"\0")
    digest.update(adapter.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


def part_fingerprint(part_id: str) -> int:
    """Return the fingerprint of a part of a prompt, the same in all requests."""
    return xxhash.xxh3_64_intdigest(b"part:" + part_id.encode())


def fingerprint_texts(fingerprints: Iterable[int]) -> list[str]:
    """Return fingerprints as log lines show them."""
    return [f"{fingerprint:016x}" for fingerprint in fingerprints]


def suspect_relays(agents: Iterable[str], fingerprint: int) -> list[str]:
    """Return the agents through which a suspect is announced to the other entries.

    All entries choose the same ones, and each suspect has others.
    """
    return nlargest(
        RELAYS_PER_SUSPECT,
        agents,
        key=lambda agent: rendezvous_weight(fingerprint, agent),
    )


class CrashSuspects:
    """Fingerprints of requests, with the target starts that they may have crashed.

    A target start is one incarnation of a target: a target that restarted can crash
    again.
    """

    def __init__(self) -> None:
        """Start without suspects."""
        self._crashes: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._finished_at_s: OrderedDict[int, float] = OrderedDict()

    def record_crash(self, fingerprint: int, target_start: str, now_s: float) -> bool:
        """Note that a target terminated while it ran the request.

        Return True if that was not known for this target start. Return False also if a
        request with the fingerprint has finished recently, so that it is no suspect.
        """
        if now_s - self._finished_at_s.get(fingerprint, -REFUSAL_S) < REFUSAL_S:
            return False
        crash_times = self._crashes.setdefault(fingerprint, {})
        is_new = target_start not in crash_times
        if is_new:
            crash_times[target_start] = now_s
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > MAX_SUSPECTS:
            self._crashes.popitem(last=False)
        return is_new

    def finished(self, fingerprint: int, now_s: float) -> None:
        """Clear the fingerprint of a request that has finished."""
        self._crashes.pop(fingerprint, None)
        self._finished_at_s[fingerprint] = now_s
        self._finished_at_s.move_to_end(fingerprint)
        while len(self._finished_at_s) > MAX_FINISHED:
            self._finished_at_s.popitem(last=False)

    def is_refused(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request has crashed too many targets recently."""
        crash_times = self._crashes.get(fingerprint)
        if crash_times is None:
            return False
        recent = [at_s for at_s in crash_times.values() if now_s - at_s < REFUSAL_S]
        return len(recent) >= CRASHES_BEFORE_REFUSAL
