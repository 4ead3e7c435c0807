"""By what a request may be the cause of a crash, and through whom that is told."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from heapq import nlargest

import xxhash

from lentiltally.decisions._ring import rendezvous_weight

__all__ = [
    "MAX_LOGGED_PARTS",
    "RequestTraits",
    "canonical_part_id",
    "fingerprint_texts",
    "part_fingerprint",
    "request_fingerprint",
    "suspect_relays",
]

# A log line names no more parts of a request or a crash.
MAX_LOGGED_PARTS = 16
# Agents that forward a suspect to all entries: one may be down, and another datagram
# may be lost.
RELAYS_PER_SUSPECT = 3


def request_fingerprint(
    host: str, path: bytes, adapter: str, body: bytes, account: str = ""
) -> int:
    """Return the fingerprint of a request, the same each time a caller sends it.

    The caller is its client account, as the target is told; callers without one are the
    same to the target. Callers may send the request again for another adapter; that
    only tells requests apart which have no body.
    """
    digest = xxhash.xxh3_64(host.encode())
    digest.update(path)
    digest.update(b"\0")
    digest.update(body or adapter.encode())
    if account:
        # Without an account, the fingerprint is that of earlier versions.
        digest.update(b"\0account:" + account.encode())
    return digest.intdigest()


def canonical_part_id(text: str) -> str:
    """Return the id of a part of a prompt, the same for each way to write a number."""
    part_id = text.strip().lower()
    return part_id.lstrip("0") or part_id


def part_fingerprint(part_id: str) -> int:
    """Return the fingerprint of a part of a prompt, the same in all requests."""
    return xxhash.xxh3_64_intdigest(b"part:" + part_id.encode())


def fingerprint_texts(fingerprints: Iterable[int]) -> list[str]:
    """Return fingerprints as log lines show them."""
    return [f"{fingerprint:016x}" for fingerprint in fingerprints]


def suspect_relays(
    agents: Iterable[str], fingerprint: int, answering: Collection[str] = ()
) -> list[str]:
    """Return the agents through which a suspect is announced to the other entries.

    Those that are ``answering`` come first. Apart from that all entries choose the same
    ones, and each suspect has others.
    """
    return nlargest(
        RELAYS_PER_SUSPECT,
        agents,
        key=lambda agent: (agent in answering, rendezvous_weight(fingerprint, agent)),
    )


@dataclass(frozen=True, slots=True)
class RequestTraits:
    """Fingerprints by which a request may be the cause of a crash.

    ``content`` is that of the whole request, ``parts`` are those of the shared parts of
    its prompt.
    """

    content: int
    parts: tuple[int, ...] = ()

    def without_content(self) -> RequestTraits:
        """Return traits that make suspects of the parts only.

        Evidence about parts counts by different contents, so the content gets another
        name, which no request has.
        """
        name = b"answered:" + self.content.to_bytes(8, "big")
        return RequestTraits(xxhash.xxh3_64_intdigest(name), self.parts)
