"""Requests that crash the targets that run them.

A request that was running on a target when the target ended is a suspect. Its caller
sends it again with another id, so it is known by a fingerprint of what it asks. One
that was running at the end of several targets is refused for a while, unless a request
with its fingerprint ran to its end lately: equal requests of many callers are running
whenever a target ends.
"""

from __future__ import annotations

from collections import OrderedDict

import xxhash

__all__ = ["CrashSuspects", "request_fingerprint"]

# Three targets are what the operators accept to lose to one request.
CRASHES_BEFORE_REFUSAL = 2
REFUSAL_S = 60.0
MAX_SUSPECTS = 2_000
# About 1 MB, and far more than an entry answers within the time of a target's restart.
MAX_FINISHED = 8_000


def request_fingerprint(host: str, path: bytes, adapter: str, body: bytes) -> int:
    """Return what identifies the same request when it comes again."""
    digest = xxhash.xxh3_64(host.encode())
    digest.update(path)
    digest.update(b"\0")
    digest.update(adapter.encode())
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


class CrashSuspects:
    """Fingerprints with the target starts that ended while they ran."""

    def __init__(self) -> None:
        """Start without suspects."""
        self._seen: OrderedDict[int, dict[str, float]] = OrderedDict()
        self._finished_at_s: OrderedDict[int, float] = OrderedDict()

    def record_crash(self, fingerprint: int, target_start: str, now_s: float) -> bool:
        """Note that a target ended while it ran the request; True if that is new."""
        if now_s - self._finished_at_s.get(fingerprint, -REFUSAL_S) < REFUSAL_S:
            return False
        starts = self._seen.setdefault(fingerprint, {})
        is_new = target_start not in starts
        if is_new:
            starts[target_start] = now_s
        self._seen.move_to_end(fingerprint)
        while len(self._seen) > MAX_SUSPECTS:
            self._seen.popitem(last=False)
        return is_new

    def finished(self, fingerprint: int, now_s: float) -> None:
        """Clear a request that ran to its end."""
        self._seen.pop(fingerprint, None)
        self._finished_at_s[fingerprint] = now_s
        self._finished_at_s.move_to_end(fingerprint)
        while len(self._finished_at_s) > MAX_FINISHED:
            self._finished_at_s.popitem(last=False)

    def is_refused(self, fingerprint: int, now_s: float) -> bool:
        """Return whether the request ended too many targets lately."""
        starts = self._seen.get(fingerprint)
        if starts is None:
            return False
        recent = [at_s for at_s in starts.values() if now_s - at_s < REFUSAL_S]
        return len(recent) >= CRASHES_BEFORE_REFUSAL
